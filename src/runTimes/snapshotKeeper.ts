import type { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { runTimesDefaults } from './defaults.js';
import type { RunTimes } from './runTimes.js';

const { snapshotIntervalMs, snapshotMaxAgeMs, snapshotGrowth } = runTimesDefaults;
/** Delay before a snapshot that could not be read is read again. */
const READ_RETRY_MS = 1_000;

/** Result of writing a snapshot. */
export enum SnapshotWrite {
  Written = 'written',
  /** The store never accepts it. */
  Rejected = 'rejected',
  /** This process no longer writes for the service. */
  HolderLost = 'holder_lost',
}

type Fields = Record<string, string | number | undefined>;

/** Dependencies of a {@link SnapshotKeeper}. */
export interface SnapshotKeeperDeps {
  service: string;
  runTimes: RunTimes;
  clock: Clock;
  log: {
    info: (event: string, fields: Fields) => void;
    warn: (event: string, fields: Fields) => void;
  };
  counters: { count: (name: string, reason: string) => void };
  /** Reads the stored snapshot; undefined if there is none. */
  read: () => Promise<Result<string | undefined, { code: string }>>;
  write: (value: string) => Promise<SnapshotWrite>;
  /** Maximum size of a row of the store, in bytes. */
  rowBytes: number;
}

/** Reads the snapshot of an earlier holder, and writes one for the next. */
export class SnapshotKeeper {
  readonly #deps: SnapshotKeeperDeps;
  #isLoaded = false;
  #isWriting = false;
  #writtenAt: number;
  /** Number of samples recorded here when the last snapshot was taken. */
  #writtenSamples = 0;

  constructor(deps: SnapshotKeeperDeps) {
    this.#deps = deps;
    this.#writtenAt = deps.clock.now();
  }

  /** Reads the snapshot, retrying until the store answers; learning goes on meanwhile. */
  async load(signal: AbortSignal): Promise<void> {
    const { service, runTimes, clock, log, counters, read } = this.#deps;
    while (!signal.aborted) {
      const res = await read();
      if (res.isErr) {
        counters.count('store_retries', res.error.code);
        await clock.sleep(READ_RETRY_MS, signal);
        continue;
      }
      this.#isLoaded = true;
      if (res.value === undefined) return;
      const restored = runTimes.restore(res.value);
      if (restored.isOk) {
        counters.count('run_times_snapshots', 'read');
        log.info('run_times_loaded', { service, keys: restored.value });
        return;
      }
      counters.count('run_times_snapshots', restored.error.code);
      log.warn('run_times_unreadable', { service, reason: restored.error.code });
      return;
    }
  }

  /** Writes a snapshot if enough was learned since the last; to be called regularly. */
  update(): void {
    const { runTimes, clock } = this.#deps;
    // A snapshot written before the earlier one was read would replace it.
    if (!this.#isLoaded || this.#isWriting) return;
    const news = runTimes.observed - this.#writtenSamples;
    const ageMs = clock.now() - this.#writtenAt;
    if (news === 0 || ageMs < snapshotIntervalMs) return;
    if (ageMs < snapshotMaxAgeMs && news < snapshotGrowth * runTimes.samples) return;
    this.#isWriting = true;
    this.#writtenAt = clock.now();
    this.#writtenSamples = runTimes.observed;
    void this.#write(runTimes.encode(this.#deps.rowBytes));
  }

  async #write(value: string): Promise<void> {
    const { service, counters, log, write } = this.#deps;
    const outcome = await write(value);
    counters.count('run_times_snapshots', outcome);
    if (outcome === SnapshotWrite.Written) {
      this.#isWriting = false;
      return;
    }
    // Writing stops: what the store never accepts would only be rejected again.
    if (outcome === SnapshotWrite.Rejected) {
      log.warn('run_times_rejected', { service, bytes: Buffer.byteLength(value) });
    }
  }
}
