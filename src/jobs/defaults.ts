import { z } from 'zod';

const ms = (value: number, text: string) =>
  z.int().positive().default(value).describe(`${text}, in milliseconds`);
const count = (value: number, text: string) =>
  z.int().positive().default(value).describe(`${text}, as a count`);

/** Settings of the job subsystem. */
export const jobsSchema = z.object({
  leaseMs: ms(30_000, 'Duration of the lease of a task on its worker'),
  leaseMarginMs: ms(
    5_000,
    'Time after the end of an unrenewed lease before the task counts as stopped',
  ),
  startWindowMs: ms(10_000, 'Maximum age of a placement at which its task is still started'),
  placementIntervalMs: ms(250, 'Interval between placement rounds'),
  urgentScanIntervalMs: ms(1_000, 'Interval between scans of the index of open urgent jobs'),
  cancelScanIntervalMs: ms(1_000, 'Interval between scans of cancellation requests'),
  scanIntervalMs: ms(5_000, 'Interval between complete scans of the open jobs'),
  usageLagMs: ms(2_000, 'Age of a task from which its reported usage counts as observed'),
  lateAnswerMs: ms(300, 'Waiting time for a worker status after which other workers are preferred'),
  suspectMs: ms(10_000, 'Time for which a worker that did not respond gets no new tasks'),
  pollIntervalMs: ms(1_000, 'Interval between status reads of a worker that runs tasks'),
  maxPayloadBytes: count(64 * 1024, 'Maximum size of the payload of a job, in bytes of JSON'),
  maxKnownJobs: count(5_000, 'Maximum number of open jobs in memory; others wait in the table'),
  maxKnownUrgentJobs: count(
    500,
    'Maximum number of urgent jobs in memory in addition to maxKnownJobs',
  ),
  maxLearnedKinds: count(
    1_000,
    'Maximum number of job kinds with learned usage; the least recent is evicted',
  ),
  maxWorkerRecords: count(2_000, 'Maximum number of workers with a failure record'),
  maxPollsPerRound: count(
    200,
    'Maximum number of workers polled per poll interval, least recently polled first',
  ),
  maxWorkerCalls: count(
    32,
    'Maximum number of concurrent background calls to workers, urgent ones not counted',
  ),
  endedRetentionMs: ms(
    604_800_000,
    'Time from submission after which an ended job is deleted and its id can be used again',
  ),
  pageSize: count(200, 'Number of rows per page of a scan'),
  maxBatch: count(20, 'Maximum number of job rows written in one transaction'),
  maxPlacementsPerRound: count(
    100,
    'Number of jobs placed in one round after which only urgent jobs are placed',
  ),
  maxCancelsPerRound: count(
    100,
    'Maximum number of cancellations written at once, so that other writes get their turn',
  ),
  maxAttempts: count(4, 'Maximum number of attempts of a job'),
  lookahead: count(
    16,
    'Number of queued jobs per team that may fail to fit before the others are skipped',
  ),
  minSamples: count(3, 'Number of observations of a kind after which they replace declared sizes'),
  useDecay: z
    .number()
    .min(0)
    .max(1)
    .default(0.9)
    .describe(
      'Decay factor of the learned peak usage for each observation below it, as a fraction',
    ),
  quarantineFailures: count(
    3,
    'Number of different jobs failing in a row on a worker that put it in quarantine',
  ),
  quarantineMs: ms(
    60_000,
    'Duration of the first quarantine of a worker, doubled for each further one',
  ),
  quarantineMaxMs: ms(3_600_000, 'Maximum duration of a quarantine of a worker'),
  stragglerFactor: z
    .number()
    .min(1)
    .default(3)
    .describe('Factor over the mean run time of its kind from which a task is a straggler'),
  duplicateShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.05)
    .describe('Maximum number of duplicated jobs as a fraction of running attempts; at least one'),
  throttleShare: z
    .number()
    .gt(0)
    .max(1)
    .default(0.5)
    .describe('Fraction of its resources that a throttled straggler may use'),
  reserveAfterMs: ms(
    30_000,
    'Waiting time of a normal job after which a worker is reserved for it',
  ),
  submitRetries: count(3, 'Maximum number of retries of a job insertion whose outcome is unknown'),
  submitBackoffMs: ms(
    100,
    'Upper bound of the random delay before the first retry, doubled for each further one',
  ),
});

/** Settings of the job subsystem. */
export type JobsSettings = z.infer<typeof jobsSchema>;
