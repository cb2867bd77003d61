import { z } from 'zod';

/** Names of the ways in which committed versions reach the other processes. */
export enum DisseminationMethodName {
  /** Every process reads the head row at an interval. */
  Polling = 'polling',
  /** Every process passes a new version to all others once. */
  Flooding = 'flooding',
  /** The committing process sends a new version to all others. */
  DirectPush = 'direct_push',
  /** Every process shares the work of informing the others with those that it informs. */
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
    .describe('How committed versions reach the other processes'),
  headPollMs: milliseconds(
    4_000,
    'Time between reads of the head row by the lease holder of a zone',
  ),
  pollMs: milliseconds(1_000, 'Time between reads of the head row by every process, when polling'),
  ackTimeoutMs: milliseconds(
    250,
    'Time to confirm a pushed version, after which its receiver counts as failed',
  ),
  maxPendingPushes: count(4_096, 'Most pushed versions waiting for confirmation'),
  antiEntropyDelayMs: milliseconds(
    50,
    'Time that a version may take to be pushed before a process that is behind asks for it',
  ),
  requestTimeoutMs: milliseconds(1_000, 'Time to answer a process that asked for versions'),
  maxDeltasPerMessage: count(200, 'Most versions in one message'),
  maxChangesPerMessage: count(
    4_000,
    'Most changes in one message; a process that misses a larger version gets a snapshot in parts',
  ),
  startBackoffMs: milliseconds(
    200,
    'Ceiling of the first delay between attempts to load the configuration, doubled up to 5 s',
  ),
  maxRecentDeltas: count(1_000, 'Most recent versions kept for processes that are behind'),
  maxRecentChanges: count(20_000, 'Most changes over all kept versions'),
  snapshotInterval: count(1_000, 'Versions between snapshots in the platform table'),
  pageSize: count(200, 'Rows read from the platform table at once'),
  maxAttempts: count(6, 'Most attempts at one commit'),
  backoffBaseMs: milliseconds(
    50,
    'Ceiling of the first delay between attempts at a commit, doubled for each further one',
  ),
});

/** Settings of the versioned configuration. */
export type ConfigurationSettings = z.infer<typeof configurationSchema>;

/** Default settings of the versioned configuration. */
export const configurationDefaults: ConfigurationSettings = configurationSchema.parse({});
