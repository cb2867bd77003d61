import { z } from 'zod';

/** Ordering policies of the scheduler; each has an entry in the policy registry. */
export enum SchedulingPolicyId {
  FirstComeFirstServed = 'first_come_first_served',
  DeclaredClasses = 'declared_classes',
  LearnedClasses = 'learned_classes',
}

/** Settings of the scheduler. */
export const schedulingSchema = z.object({
  policy: z
    .enum(SchedulingPolicyId)
    .default(SchedulingPolicyId.LearnedClasses)
    .describe('Ordering policy (name)'),
  shortMaxMs: z.number().positive().default(100).describe('Longest run time of short work (ms)'),
  mediumMaxMs: z
    .number()
    .positive()
    .default(1_000)
    .describe('Longest run time of medium work; anything above is long (ms)'),
  longSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.375)
    .describe('Most slots of a pool that long work may hold (share of slots)'),
  longExecutorSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.5)
    .describe('Most slots of one executor that long work may hold (share of slots)'),
  mediumSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.75)
    .describe('Most slots of a pool that medium and long work together may hold (share of slots)'),
  mediumExecutorSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.875)
    .describe(
      'Most slots of one executor that medium and long work together may hold (share of slots)',
    ),
  shortLoadWindowMs: z
    .number()
    .positive()
    .default(1_000)
    .describe('Time over which the load of shorter work is averaged to reserve slots for it (ms)'),
  longLoadWindowMs: z
    .number()
    .positive()
    .default(60_000)
    .describe(
      'Time over which the load of longer work is averaged to keep it from falling behind (ms)',
    ),
  longDrainMs: z
    .number()
    .positive()
    .default(17_000)
    .describe('Time within which waiting work longer than short is to start, as bounds allow (ms)'),
  reserveFactor: z
    .number()
    .min(0)
    .default(1.5)
    .describe(
      'Slots reserved for shorter work beyond its load, as a multiple of the square root of that load (factor)',
    ),
  longQueueShare: z
    .number()
    .gt(0)
    .max(1)
    .default(0.5)
    .describe("Most of a service's queue that long work may take (share of the queue limit)"),
  guaranteedSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.125)
    .describe(
      'Slots of a pool that medium work, and again long work, gets ahead of shorter work (share of slots)',
    ),
  maxOperations: z
    .number()
    .int()
    .positive()
    .default(4_096)
    .describe('Operations with learned run times; the least recently used is dropped (count)'),
  learningWindow: z
    .number()
    .int()
    .positive()
    .default(64)
    .describe('Runs over which an observed run time loses most of its weight (count)'),
  classQuantile: z
    .number()
    .gt(0)
    .lt(1)
    .default(0.8)
    .describe('Quantile of learned run times that decides the size class (share of runs)'),
  admissionQuantile: z
    .number()
    .gt(0)
    .lt(1)
    .default(0.95)
    .describe(
      'Quantile of learned run times that must fit between the estimated wait and the deadline (share of runs)',
    ),
  waitMargin: z
    .number()
    .min(1)
    .default(1.2)
    .describe('Factor on the estimated wait when it is compared with the deadline (factor)'),
  unlearnedRunning: z
    .number()
    .int()
    .positive()
    .default(2)
    .describe('Requests of an operation that run at once before its run time is known (count)'),
  unlearnedRunMs: z
    .number()
    .positive()
    .default(50)
    .describe('Run time assumed for operations that have not run yet (ms)'),
  recheckMs: z
    .number()
    .positive()
    .default(50)
    .describe('Interval between attempts to place work while no executor may be used (ms)'),
  refusalRetryAfterMs: z
    .number()
    .positive()
    .default(1_000)
    .describe('Retry-after of refusals that do not depend on the queue (ms)'),
  maxRetryAfterMs: z
    .number()
    .positive()
    .default(60_000)
    .describe('Longest retry-after of a refusal (ms)'),
});

/** Settings of the scheduler. */
export type SchedulingSettings = z.infer<typeof schedulingSchema>;
