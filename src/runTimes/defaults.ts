/** Limits and constants of learning. */
export const runTimesDefaults = {
  /** Maximum number of keys (queue and image) per holder. */
  maxKeys: 256,
  /** Maximum length of a queue's name and of an image's name within a key, in characters. */
  maxNameLength: 128,
  /** Number of samples from which on a prediction differs from the declared estimate. */
  minSamples: 10,
  /** Number of samples over which older ones lose their weight; about 40 steps of 13 tasks. */
  windowSamples: 500,
  /** Number of runs after a key's first predictions from which on its quantiles are used. */
  minRatios: 30,
  /** Maximum size of a snapshot, in bytes. */
  maxSnapshotBytes: 32_768,
  /** Minimum time between two snapshots, in milliseconds. */
  snapshotIntervalMs: 5_000,
  /** Time after which a snapshot is written even if little was learned, in milliseconds. */
  snapshotMaxAgeMs: 30_000,
  /** Growth of the number of samples, as a share, that is worth a snapshot before that time. */
  snapshotGrowth: 0.25,
};
