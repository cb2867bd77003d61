import type { JobsSettings } from './defaults.js';
import type { Resources } from './types.js';

interface KindRecord {
  samples: number;
  peak: Resources;
  runs: number;
  meanRunMs: number;
}

/** Weight of a new run time in the mean. */
const RUN_TIME_WEIGHT = 0.2;

/** Resource use and run time learned per job kind. */
export class ResourceModel {
  readonly #settings: JobsSettings;
  /** In order of last use; the first entry is the least recent. */
  readonly #kinds = new Map<string, KindRecord>();
  readonly #onEvict: () => void;

  /** @param onEvict - called when a kind is forgotten for lack of room */
  constructor(settings: JobsSettings, onEvict: () => void) {
    this.#settings = settings;
    this.#onEvict = onEvict;
  }

  /** Number of kinds in memory. */
  get size(): number {
    return this.#kinds.size;
  }

  /** Learns from one observation: a decaying peak per resource. */
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

  /** Learns the run time of a finished task, in milliseconds. */
  observeRunTime(kind: string, ranMs: number): void {
    const record = this.#touch(kind);
    const weight = record.runs === 0 ? 1 : RUN_TIME_WEIGHT;
    record.runs += 1;
    record.meanRunMs += (ranMs - record.meanRunMs) * weight;
  }

  /** Learned use; undefined until there are enough observations. */
  learnedUsage(kind: string): Resources | undefined {
    const record = this.#kinds.get(kind);
    return record && record.samples >= this.#settings.minSamples ? record.peak : undefined;
  }

  /** Mean run time in milliseconds; undefined until there are enough runs. */
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
