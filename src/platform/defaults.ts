import { z } from 'zod';

/** Settings of the platform client. */
export const platformSchema = z.object({
  url: z
    .url({ protocol: /^https?$/ })
    .default('http://127.0.0.1:7070')
    .describe('Base URL of the platform'),
  callTimeoutMs: z
    .int()
    .positive()
    .default(2_000)
    .describe('Longest time of one call, waiting for a connection included, in milliseconds'),
  connectTimeoutMs: z
    .int()
    .positive()
    .default(1_000)
    .describe('Longest time to establish a connection, in milliseconds'),
  readsPerSecond: z
    .number()
    .positive()
    .default(100)
    .describe('Share of table and object store reads of this process, in calls per second'),
  writesPerSecond: z
    .number()
    .positive()
    .default(20)
    .describe('Share of table and object store writes of this process, in calls per second'),
  controlPerSecond: z
    .number()
    .positive()
    .default(400)
    .describe('Share of calls to pool and worker interfaces, in calls per second'),
  burstMs: z
    .int()
    .positive()
    .default(1_000)
    .describe('Time over which an unused share accumulates, in milliseconds'),
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
    .describe('Most connections to the platform, not counting the one for lease renewals'),
  maxWaiting: z
    .int()
    .nonnegative()
    .default(64)
    .describe('Most calls waiting for a connection; further ones are refused'),
  maxAnswerBytes: z
    .int()
    .positive()
    .default(16 * 1024 * 1024)
    .describe('Longest accepted answer in bytes'),
  readRetries: z
    .int()
    .nonnegative()
    .default(1)
    .describe('Retries of a read whose answer is missing or damaged, as a count'),
  failuresUntilDown: z
    .int()
    .positive()
    .default(3)
    .describe('Calls in a row without an answer after which the platform counts as unreachable'),
  backoffBaseMs: z
    .int()
    .positive()
    .default(100)
    .describe('Delay before the first retry or reconnection attempt, in milliseconds'),
  backoffMaxMs: z
    .int()
    .positive()
    .default(5_000)
    .describe('Longest delay between reconnection attempts, in milliseconds'),
});

/** Settings of the platform client. */
export type PlatformSettings = z.infer<typeof platformSchema>;
