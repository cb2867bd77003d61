import type { Clock } from '../clock/index.js';
import type { JobsSettings } from './defaults.js';

interface HealthRecord {
  /** Ids of distinct jobs that failed since the last success or quarantine. */
  failedJobs: Set<string>;
  quarantines: number;
  /** Monotonic time in milliseconds. */
  quarantinedUntil: number;
}

/** Quarantines workers on which several different jobs fail in a row. */
export class WorkerHealth {
  readonly #clock: Clock;
  readonly #settings: JobsSettings;
  readonly #records = new Map<string, HealthRecord>();
  readonly #onQuarantine: (vm: string, ms: number) => void;

  constructor(
    clock: Clock,
    settings: JobsSettings,
    onQuarantine: (vm: string, ms: number) => void,
  ) {
    this.#clock = clock;
    this.#settings = settings;
    this.#onQuarantine = onQuarantine;
  }

  /** Number of workers with a failure record. */
  get size(): number {
    return this.#records.size;
  }

  recordSuccess(vm: string): void {
    this.#records.delete(vm);
  }

  recordFailure(vm: string, jobId: string): void {
    const record = this.#records.get(vm) ?? this.#createRecord(vm);
    record.failedJobs.add(jobId);
    // After a first quarantine, a single failure triggers the next one.
    const limit = record.quarantines > 0 ? 1 : this.#settings.quarantineFailures;
    if (record.failedJobs.size < limit) return;
    const durationMs = Math.min(
      this.#settings.quarantineMaxMs,
      this.#settings.quarantineMs * 2 ** record.quarantines,
    );
    record.failedJobs.clear();
    record.quarantines += 1;
    record.quarantinedUntil = this.#clock.now() + durationMs;
    this.#onQuarantine(vm, durationMs);
  }

  isQuarantined(vm: string): boolean {
    return (this.#records.get(vm)?.quarantinedUntil ?? -Infinity) > this.#clock.now();
  }

  #createRecord(vm: string): HealthRecord {
    const record = { failedJobs: new Set<string>(), quarantines: 0, quarantinedUntil: -Infinity };
    this.#records.set(vm, record);
    if (this.#records.size > this.#settings.maxWorkerRecords) {
      const oldest = this.#records.keys().next().value;
      if (oldest !== undefined) this.#records.delete(oldest);
    }
    return record;
  }
}
