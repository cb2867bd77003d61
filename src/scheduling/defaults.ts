import { z } from 'zod';

/** Ids of the scheduling policies; each has an entry in `schedulingPolicies`. */
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
    .describe('Scheduling policy (name)'),
  shortMaxMs: z
    .number()
    .positive()
    .default(100)
    .describe('Maximum run time of work classed as short (ms)'),
  mediumMaxMs: z
    .number()
    .positive()
    .default(1_000)
    .describe('Maximum run time of work classed as medium; longer work is classed as long (ms)'),
  longSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.375)
    .describe('Maximum slots of a pool that long work may hold (share of slots)'),
  longExecutorSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.5)
    .describe('Maximum slots of one executor that long work may hold (share of slots)'),
  mediumSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.75)
    .describe(
      'Maximum slots of a pool that medium and long work together may hold (share of slots)',
    ),
  mediumExecutorSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.875)
    .describe(
      'Maximum slots of one executor that medium and long work together may hold (share of slots)',
    ),
  shortLoadWindowMs: z
    .number()
    .positive()
    .default(1_000)
    .describe('Averaging window of the load of shorter work, for which slots are reserved (ms)'),
  longLoadWindowMs: z
    .number()
    .positive()
    .default(60_000)
    .describe(
      'Averaging window of the load of medium and long work, for which enough slots are kept (ms)',
    ),
  longDrainMs: z
    .number()
    .positive()
    .default(17_000)
    .describe('Target time to start all queued medium and long work, within the slot limits (ms)'),
  reserveFactor: z
    .number()
    .min(0)
    .default(1.5)
    .describe(
      'Slots reserved for shorter work in addition to its load, as a multiple of the square root of that load (factor)',
    ),
  longQueueShare: z
    .number()
    .gt(0)
    .max(1)
    .default(0.5)
    .describe(
      "Maximum part of a service's queue that long work may use (share of the queue limit)",
    ),
  guaranteedSlotShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.125)
    .describe(
      'Slots of a pool guaranteed to long work, and as many again to medium work, ahead of shorter work (share of slots)',
    ),
  maxOperations: z
    .number()
    .int()
    .positive()
    .default(4_096)
    .describe(
      'Maximum operations with learned run times; the least recently used is evicted (count)',
    ),
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
    .describe('Quantile of learned run times that determines the size class (share of runs)'),
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
    .describe('Safety margin on the estimated wait when it is compared with the deadline (factor)'),
  unlearnedRunning: z
    .number()
    .int()
    .positive()
    .default(2)
    .describe(
      'Maximum concurrent requests of an operation whose run time is not yet known (count)',
    ),
  unlearnedRunMs: z
    .number()
    .positive()
    .default(50)
    .describe('Run time assumed for operations that have not run yet (ms)'),
  recheckMs: z
    .number()
    .positive()
    .default(50)
    .describe(
      'Interval at which queued work is reconsidered even if no slot has been released (ms)',
    ),
  refusalRetryAfterMs: z
    .number()
    .positive()
    .default(1_000)
    .describe('Retry-after of refusals that do not depend on the queue (ms)'),
  maxRetryAfterMs: z
    .number()
    .positive()
    .default(60_000)
    .describe('Maximum retry-after of a refusal (ms)'),
});

/** Settings of the scheduler. */
export type SchedulingSettings = z.infer<typeof schedulingSchema>;
