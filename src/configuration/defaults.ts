import { z } from 'zod';

/** Methods of disseminating committed versions to the other processes. */
export enum DisseminationMethodName {
  /** Every process reads the head row periodically. */
  Polling = 'polling',
  /** Every process forwards each new version once to all others. */
  Flooding = 'flooding',
  /** The committing process pushes each new version to all others. */
  DirectPush = 'direct_push',
  /**
   * Every process delegates part of the remaining recipients to each process to which it pushes.
   */
  WorkSplitting = 'work_splitting',
}

const count = (value: number, description: string) =>
  z.int().min(1).default(value).describe(description);

const milliseconds = (value: number, description: string) =>
  count(value, `${description}, in milliseconds`);

/** Settings of the versioned configuration. */
export const configurationSchema = z.strictObject({
  dissemination: z
    .enum(DisseminationMethodName)
    .default(DisseminationMethodName.DirectPush)
    .describe('Method of disseminating committed versions to the other processes'),
  headPollMs: milliseconds(
    4_000,
    'Time between reads of the head row by the controller lease holder of an availability zone',
  ),
  pollMs: milliseconds(
    1_000,
    'Time between reads of the head row by every process, for the method polling',
  ),
  ackTimeoutMs: milliseconds(
    250,
    'Time to acknowledge a pushed version, after which its receiver counts as failed',
  ),
  maxPendingPushes: count(4_096, 'Maximum number of pushed versions that await acknowledgement'),
  antiEntropyDelayMs: milliseconds(
    50,
    'Time that a process which is behind waits for a version to be pushed before it requests the version',
  ),
  requestTimeoutMs: milliseconds(
    1_000,
    'Time within which a peer must answer a request for versions',
  ),
  maxDeltasPerMessage: count(200, 'Maximum number of versions in one message'),
  maxChangesPerMessage: count(
    4_000,
    'Maximum number of changes in one message; a process that lacks a larger version receives a snapshot in parts',
  ),
  startBackoffMs: milliseconds(
    200,
    'Upper limit of the first random delay between attempts to load the configuration; doubled for each further attempt, up to 5 s',
  ),
  maxRecentDeltas: count(
    1_000,
    'Maximum number of recent versions kept for processes that are behind',
  ),
  maxRecentChanges: count(20_000, 'Maximum number of changes in all kept versions together'),
  snapshotInterval: count(1_000, 'Number of versions between snapshots in the platform table'),
  pageSize: count(200, 'Maximum number of rows read from the platform table in one call'),
  maxAttempts: count(6, 'Maximum number of attempts to commit a change set'),
  backoffBaseMs: milliseconds(
    50,
    'Base of the upper limit of the random delay between attempts to commit; doubled for each attempt',
  ),
});

/** Settings of the versioned configuration. */
export type ConfigurationSettings = z.infer<typeof configurationSchema>;

/** Default settings of the versioned configuration. */
export const configurationDefaults: ConfigurationSettings = configurationSchema.parse({});
