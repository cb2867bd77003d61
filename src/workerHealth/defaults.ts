import type { HealthSettings } from './types.js';

/** Default settings of the health of workers. */
export const healthDefaults: HealthSettings = {
  // Faults that were seen last 5 to 7 s.
  windowMs: 10_000,
  maxRunsPerWorker: 32,
  maxTasks: 1_000,
  minOtherRuns: 4,
  // Declared run times are wrong by up to 1.9; a slow worker takes five times as long.
  slowFactor: 2.5,
  // 3 of 100 tasks run seven times as long, in addition to the error of the declared run time.
  stallFactor: 16,
  // Four failures in a row where failures are rare; about 20 runs of which 30% fail.
  failureThreshold: 9,
  // Four slow runs in a row: three in a row happen by chance once in 37,000 runs.
  slowThreshold: 11,
  firstPeriodMs: 1_000,
  maxPeriodMs: 16_000,
  forgetMs: 30_000,
  // Long, because a worker that nothing is started on is not needed; a peak tries it with one run.
  maxTrialWaitMs: 15_000,
  maxShare: 0.2,
  // A judgement of 250 workers takes some milliseconds of a core.
  judgeIntervalMs: 500,
  storeIntervalMs: 5_000,
  opinionTtlMs: 30_000,
};
