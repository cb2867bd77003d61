import { z } from 'zod';

const ms = (value: number, text: string) =>
  z.int().positive().default(value).describe(`${text}, in milliseconds`);
const count = (value: number, text: string) =>
  z.int().positive().default(value).describe(`${text}, as a count`);

/** Settings of the job subsystem. */
export const jobsSchema = z.object({
  leaseMs: ms(30_000, 'Lease of a task on its worker'),
  leaseMarginMs: ms(5_000, 'Wait beyond an unrenewed lease before the task counts as stopped'),
  startWindowMs: ms(10_000, 'Longest age of a placement at which its task is still started'),
  placementIntervalMs: ms(250, 'Time between placement rounds'),
  urgentScanIntervalMs: ms(1_000, 'Time between reads of the index of waiting urgent jobs'),
  cancelScanIntervalMs: ms(1_000, 'Time between reads of cancellation requests'),
  scanIntervalMs: ms(5_000, 'Time between complete reads of the open jobs'),
  usageLagMs: ms(2_000, 'Age of a task from which its reported use counts as observed'),
  lateAnswerMs: ms(300, 'Wait for a worker status from which other workers are preferred'),
  suspectMs: ms(10_000, 'Time for which a worker that did not answer gets no new tasks'),
  pollIntervalMs: ms(1_000, 'Time between status reads of a worker that runs tasks'),
  maxPayloadBytes: count(64 * 1024, 'Longest payload of a job, in bytes of JSON'),
  maxKnownJobs: count(5_000, 'Most open jobs in memory; further ones wait in the table'),
  maxKnownUrgentJobs: count(500, 'Further urgent jobs in memory beyond maxKnownJobs'),
  maxLearnedKinds: count(1_000, 'Most job kinds with learned use; the least recent is dropped'),
  maxWorkerRecords: count(2_000, 'Most workers with a failure record'),
  maxPollsPerRound: count(200, 'Most workers polled per poll interval; the others wait their turn'),
  maxWorkerCalls: count(32, 'Most calls to workers at once'),
  endedRetentionMs: ms(
    604_800_000,
    'Time from submission after which an ended job is forgotten and its id is free again',
  ),
  pageSize: count(200, 'Rows per page of a scan'),
  maxBatch: count(20, 'Most job rows written in one transaction'),
  maxPlacementsPerRound: count(100, 'Most jobs placed in one round'),
  maxCancelsPerRound: count(100, 'Most cancellations applied before other work gets its turn'),
  maxAttempts: count(4, 'Most attempts of a job'),
  lookahead: count(16, 'Queued jobs per team considered when earlier ones do not fit'),
  minSamples: count(3, 'Observations of a kind before they replace declared sizes'),
  useDecay: z
    .number()
    .min(0)
    .max(1)
    .default(0.9)
    .describe('Factor on the learned peak use per observation below it, as a fraction'),
  quarantineFailures: count(3, 'Different jobs failed in a row that put a worker in quarantine'),
  quarantineMs: ms(60_000, 'First quarantine of a worker, doubled for each further one'),
  quarantineMaxMs: ms(3_600_000, 'Longest quarantine of a worker'),
  stragglerFactor: z
    .number()
    .min(1)
    .default(3)
    .describe('Run time over the mean of its kind that makes a straggler, as a factor'),
  duplicateShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.05)
    .describe('Most duplicated jobs as a fraction of running ones, at least one'),
  throttleShare: z
    .number()
    .gt(0)
    .max(1)
    .default(0.5)
    .describe('Share of its resources left to a throttled straggler, as a fraction'),
  reserveAfterMs: ms(30_000, 'Wait of a normal job after which a worker is kept free for it'),
  submitRetries: count(3, 'Attempts to record a job whose insertion got no answer'),
  submitBackoffMs: ms(100, 'First delay between these attempts, doubled for each'),
});

/** Settings of the job subsystem. */
export type JobsSettings = z.infer<typeof jobsSchema>;
