import type { JobsSettings } from './defaults.js';
import type { Resources } from './types.js';

interface KindRecord {
  /** Number of usage observations. */
  samples: number;
  peak: Resources;
  /** Number of finished runs in the mean. */
  runs: number;
  meanRunMs: number;
}

/** Weight of a new run time in the exponential moving average. */
const RUN_TIME_WEIGHT = 0.2;

/** Learns resource usage and run time per job kind. */
export class ResourceModel {
  readonly #settings: JobsSettings;
  /** Ordered by last update, least recent first. */
  readonly #kinds = new Map<string, KindRecord>();
  readonly #onEvict: () => void;

  /** @param onEvict - called when the least recently updated kind is evicted */
  constructor(settings: JobsSettings, onEvict: () => void) {
    this.#settings = settings;
    this.#onEvict = onEvict;
  }

  /** Number of tracked kinds. */
  get size(): number {
    return this.#kinds.size;
  }

  /** Updates the decaying peak usage of each resource with one observation. */
  observeUsage(kind: string, usage: Resources): void {
    const record = this.#touch(kind);
    const decay = record.samples === 0 ? 0 : this.#settings.useDecay;
    const decayedPeak = (old: number, observed: number) =>
      Math.max(observed, old * decay + observed * (1 - decay));
    record.samples += 1;
    record.peak = {
      cores: decayedPeak(record.peak.cores, usage.cores),
      memoryMib: decayedPeak(record.peak.memoryMib, usage.memoryMib),
      accelerators: Math.max(usage.accelerators, Math.ceil(record.peak.accelerators * decay)),
    };
  }

  /**
   * Updates the mean run time with a finished task.
   *
   * @param ranMs - run time in milliseconds
   */
  observeRunTime(kind: string, ranMs: number): void {
    const record = this.#touch(kind);
    const weight = record.runs === 0 ? 1 : RUN_TIME_WEIGHT;
    record.runs += 1;
    record.meanRunMs += (ranMs - record.meanRunMs) * weight;
  }

  /** Learned peak usage; undefined until there are `minSamples` observations. */
  learnedUsage(kind: string): Resources | undefined {
    const record = this.#kinds.get(kind);
    return record && record.samples >= this.#settings.minSamples ? record.peak : undefined;
  }

  /** Mean run time in milliseconds; undefined until there are `minSamples` runs. */
  meanRunMs(kind: string): number | undefined {
    const record = this.#kinds.get(kind);
    return record && record.runs >= this.#settings.minSamples ? record.meanRunMs : undefined;
  }

  #touch(kind: string): KindRecord {
    const record = this.#kinds.get(kind) ?? {
      samples: 0,
      peak: { cores: 0, memoryMib: 0, accelerators: 0 },
      runs: 0,
      meanRunMs: 0,
    };
    this.#kinds.delete(kind);
    this.#kinds.set(kind, record);
    if (this.#kinds.size > this.#settings.maxLearnedKinds) {
      const oldest = this.#kinds.keys().next().value;
      if (oldest !== undefined) this.#kinds.delete(oldest);
      this.#onEvict();
    }
    return record;
  }
}
