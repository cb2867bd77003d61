import { z } from 'zod';

/** Schema of {@link PlatformSettings}. */
export const platformSchema = z.object({
  url: z
    .url({ protocol: /^https?$/ })
    .default('http://127.0.0.1:7070')
    .describe('Base URL of the platform'),
  callTimeoutMs: z
    .int()
    .positive()
    .default(2_000)
    .describe('Timeout of one call, including the wait for a connection, in milliseconds'),
  connectTimeoutMs: z
    .int()
    .positive()
    .default(1_000)
    .describe('Timeout for establishing a connection, in milliseconds'),
  readsPerSecond: z
    .number()
    .positive()
    .default(100)
    .describe(
      'Share of table, object store and VM list reads of this process, in calls per second',
    ),
  writesPerSecond: z
    .number()
    .positive()
    .default(20)
    .describe('Share of table and object store writes of this process, in calls per second'),
  controlPerSecond: z
    .number()
    .positive()
    .default(400)
    .describe('Share of pool and worker interface calls of this process, in calls per second'),
  burstMs: z
    .int()
    .positive()
    .default(1_000)
    .describe('Time over which the unused part of a share accumulates to a burst, in milliseconds'),
  leaseReserve: z
    .number()
    .min(0)
    .max(0.9)
    .default(0.1)
    .describe('Part of each share that only lease renewals may use, as a fraction of the burst'),
  maxConcurrent: z
    .int()
    .positive()
    .default(16)
    .describe(
      'Maximum number of connections to the platform, excluding the one for lease renewals',
    ),
  maxWaiting: z
    .int()
    .nonnegative()
    .default(64)
    .describe('Maximum number of calls waiting for a connection; further calls are refused'),
  maxAnswerBytes: z
    .int()
    .positive()
    .default(16 * 1024 * 1024)
    .describe('Maximum size of a response, in bytes'),
  readRetries: z
    .int()
    .nonnegative()
    .default(1)
    .describe('Maximum number of retries of a read whose response is missing or invalid'),
  failuresUntilDown: z
    .int()
    .positive()
    .default(3)
    .describe(
      'Consecutive calls without a response after which the platform counts as unreachable',
    ),
  backoffBaseMs: z
    .int()
    .positive()
    .default(100)
    .describe(
      'Delay before the first retry or reconnection attempt, in milliseconds; doubled each time',
    ),
  backoffMaxMs: z
    .int()
    .positive()
    .default(5_000)
    .describe('Upper limit of the delay between reconnection attempts, in milliseconds'),
});

/** Settings of the platform client. */
export type PlatformSettings = z.infer<typeof platformSchema>;
