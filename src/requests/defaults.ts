import { z } from 'zod';

const positiveInt = (defaultValue: number, description: string) =>
  z.number().int().positive().default(defaultValue).describe(description);

const MIB = 1024 * 1024;

/** Settings of the request path. */
export const requestsSchema = z.object({
  defaultTimeoutMs: positiveInt(30_000, 'Timeout of requests that specify none, in milliseconds.'),
  maxTimeoutMs: positiveInt(900_000, 'Longest timeout that a caller may request, in milliseconds.'),
  maxInFlight: positiveInt(2_000, 'Maximum number of caller requests in progress.'),
  maxForwardsOut: positiveInt(
    1_000,
    'Maximum number of requests in progress that were forwarded to other entry processes.',
  ),
  maxForwardsIn: positiveInt(
    1_000,
    'Maximum number of requests in progress that were received from other entry processes.',
  ),
  maxUnusedIds: positiveInt(20_000, 'Maximum number of issued request ids that have not run.'),
  maxIdsPerCall: positiveInt(100, 'Maximum number of request ids issued per call.'),
  maxWaitersPerId: positiveInt(
    16,
    'Maximum number of callers that wait for the response of one running request id.',
  ),
  maxKeptAnswers: positiveInt(5_000, 'Maximum number of responses kept for replay.'),
  maxKeptAnswerBytes: positiveInt(
    8 * MIB,
    'Maximum total size of the responses kept for replay, in bytes.',
  ),
  ledgerRetentionMs: positiveInt(
    600_000,
    'Time for which unused request ids and responses are kept, in milliseconds.',
  ),
  claimRetentionMs: positiveInt(
    86_400_000,
    'Time after which the claim of an idempotency key may be deleted, in milliseconds.',
  ),
  claimAttempts: positiveInt(
    3,
    'Maximum number of attempts to insert the claim of an idempotency key.',
  ),
  maxKeyLength: positiveInt(200, 'Maximum length of an idempotency key, in characters.'),
  maxAttempts: positiveInt(3, 'Maximum number of attempts per request, including the first one.'),
  retryRatio: z
    .number()
    .min(0)
    .max(1)
    .default(0.1)
    .describe('Retries allowed per request in recent traffic, as a fraction.'),
  retryMinPerSecond: z
    .number()
    .min(0)
    .default(1)
    .describe('Retries allowed regardless of traffic, per second.'),
  retryBurst: positiveInt(20, 'Maximum number of unused retries that accumulate.'),
  backoffBaseMs: positiveInt(
    20,
    'Upper bound of the delay before the first retry, in milliseconds.',
  ),
  backoffMaxMs: positiveInt(1_000, 'Upper bound of the delay before any retry, in milliseconds.'),
  maxHeaderBytes: positiveInt(16_384, 'Maximum size of the request line and headers, in bytes.'),
  maxTotalHeaderBytes: positiveInt(
    4 * MIB,
    'Maximum total size of the headers of all requests being received or in progress, in bytes.',
  ),
  maxReadAheadBytes: positiveInt(
    32 * MIB,
    'Maximum total size of what callers send ahead of their requests in progress, in bytes.',
  ),
  maxBodyBytes: positiveInt(MIB, 'Maximum size of a request body, in bytes.'),
  maxBufferedBytes: positiveInt(
    64 * MIB,
    'Maximum total size of buffered request bodies, in bytes.',
  ),
  maxUnreadAnswerBytes: positiveInt(
    64 * MIB,
    'Maximum total size of the responses that callers have not yet read, in bytes.',
  ),
  answerTimeoutMs: positiveInt(60_000, 'Time for a caller to read a response, in milliseconds.'),
  maxConnections: positiveInt(
    2_000,
    'Maximum number of connections from callers. The one that has waited longest for a request is closed for a new one.',
  ),
  headerTimeoutMs: positiveInt(
    10_000,
    'Time to receive the headers of a request, in milliseconds.',
  ),
  bodyTimeoutMs: positiveInt(
    60_000,
    'Time to receive the whole body of a request, in milliseconds.',
  ),
  bodyIdleTimeoutMs: positiveInt(
    10_000,
    'Longest pause while a body is received, in milliseconds.',
  ),
  idleTimeoutMs: positiveInt(60_000, 'Time for which an idle connection is kept, in milliseconds.'),
});

/** Settings of the request path. */
export type RequestsSettings = z.infer<typeof requestsSchema>;
