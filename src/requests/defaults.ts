import { z } from 'zod';

const positiveInt = (defaultValue: number, description: string) =>
  z.number().int().positive().default(defaultValue).describe(description);

const MIB = 1024 * 1024;

/** Settings of the request path. */
export const requestsSchema = z.object({
  defaultTimeoutMs: positiveInt(30_000, 'Deadline of requests that name none, in milliseconds.'),
  maxTimeoutMs: positiveInt(
    900_000,
    'Longest deadline that a caller may ask for, in milliseconds.',
  ),
  maxInFlight: positiveInt(2_000, 'Requests of callers in progress at once.'),
  maxForwardsOut: positiveInt(
    1_000,
    'Requests passed to other entry processes and not yet answered.',
  ),
  maxForwardsIn: positiveInt(
    1_000,
    'Requests taken from other entry processes and not yet answered.',
  ),
  maxUnusedIds: positiveInt(20_000, 'Issued request ids that have not run.'),
  maxIdsPerCall: positiveInt(100, 'Request ids issued by one call.'),
  maxWaitersPerId: positiveInt(16, 'Callers that wait for the answer of one running request id.'),
  maxKeptAnswers: positiveInt(5_000, 'Answers kept for replay.'),
  maxKeptAnswerBytes: positiveInt(8 * MIB, 'Size of all answers kept for replay, in bytes.'),
  ledgerRetentionMs: positiveInt(
    600_000,
    'Time for which unused ids and answers are kept, in milliseconds.',
  ),
  claimRetentionMs: positiveInt(
    86_400_000,
    'Time after which the claim of a caller key may be swept, in milliseconds.',
  ),
  claimAttempts: positiveInt(3, 'Attempts to insert the claim of a caller key.'),
  maxKeyLength: positiveInt(200, 'Longest caller key, in characters.'),
  maxAttempts: positiveInt(3, 'Attempts per request, the first one included.'),
  retryRatio: z
    .number()
    .min(0)
    .max(1)
    .default(0.1)
    .describe('Retries per request in recent traffic, as a fraction.'),
  retryMinPerSecond: z
    .number()
    .min(0)
    .default(1)
    .describe('Retries allowed regardless of traffic, per second.'),
  retryBurst: positiveInt(20, 'Retries that may be saved up.'),
  backoffBaseMs: positiveInt(20, 'Ceiling of the delay before the first retry, in milliseconds.'),
  backoffMaxMs: positiveInt(1_000, 'Ceiling of the delay before any retry, in milliseconds.'),
  maxHeaderBytes: positiveInt(16_384, 'Size of the request line and headers, in bytes.'),
  maxBodyBytes: positiveInt(MIB, 'Size of a request body, in bytes.'),
  maxBufferedBytes: positiveInt(64 * MIB, 'Size of all request bodies held at once, in bytes.'),
  maxUnreadAnswerBytes: positiveInt(
    64 * MIB,
    'Size of all answers that callers have not yet read, in bytes.',
  ),
  answerTimeoutMs: positiveInt(60_000, 'Time for a caller to read an answer, in milliseconds.'),
  maxConnections: positiveInt(2_000, 'Connections from callers.'),
  headerTimeoutMs: positiveInt(
    10_000,
    'Time to receive the headers of a request, in milliseconds.',
  ),
  bodyTimeoutMs: positiveInt(60_000, 'Time to receive a whole request, in milliseconds.'),
  bodyIdleTimeoutMs: positiveInt(
    10_000,
    'Silence allowed while a body is received, in milliseconds.',
  ),
  idleTimeoutMs: positiveInt(60_000, 'Time for which an idle connection is kept, in milliseconds.'),
});

/** Settings of the request path. */
export type RequestsSettings = z.infer<typeof requestsSchema>;
