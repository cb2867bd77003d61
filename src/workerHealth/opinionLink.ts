import type { Result } from 'true-myth/result';
import type { Clock } from '../clock/index.js';
import { healthDefaults } from './defaults.js';
import { decodeOpinion, encodeOpinion } from './opinion.js';
import type { WorkerHealth } from './workerHealth.js';

const TABLE = 'worker_health';
const KEY = 'health';
/** Delay before a failed read is repeated, and the number of reads. */
const READ_RETRY_MS = 300;
const MAX_READS = 5;

interface StoredRow {
  table: string;
  part: string;
  key: string;
  value: string;
}

/** Rows to be written together. */
export interface OpinionRows {
  writes: StoredRow[];
  removes: Omit<StoredRow, 'value'>[];
}

/** Dependencies of an {@link OpinionLink}. */
export interface OpinionLinkDeps {
  service: string;
  clock: Clock;
  log: {
    info(event: string, fields: Record<string, string | number>): void;
    warn(event: string, fields: Record<string, string | number>): void;
  };
  counters: { count(name: string, reason: string): void };
  health: WorkerHealth;
  read: (table: string) => Promise<Result<{ rows: StoredRow[] }, { code: string }>>;
  /** Writes rows with the journal; `settle` is told whether they were applied. */
  write: (rows: OpinionRows, settle: (isApplied: boolean) => void) => void;
}

/** Passes the opinion on workers from one holder of a service to the next, in one row. */
export class OpinionLink {
  readonly #deps: OpinionLinkDeps;
  #storedAt = -Infinity;
  /** What the stored row says; an empty list counts as no row. */
  #stored = '';
  #isWriting = false;

  constructor(deps: OpinionLinkDeps) {
    this.#deps = deps;
  }

  /** Takes over the opinion of the earlier holder, if it is readable and recent. */
  async load(signal: AbortSignal): Promise<void> {
    const { service, clock, log, counters, health, read } = this.#deps;
    for (let count = 0; count < MAX_READS && !signal.aborted; count++) {
      const res = await read(TABLE);
      if (res.isErr) {
        counters.count('health_opinion_reads', res.error.code);
        await clock.sleep(READ_RETRY_MS, signal);
        continue;
      }
      const row = res.value.rows.find(({ key }) => key === KEY);
      if (!row) return;
      // Whatever it says, it has to be removed or replaced.
      this.#stored = row.value;
      const decoded = decodeOpinion(row.value, clock.wallTime(), healthDefaults);
      if (decoded.isErr) {
        const { code: reason } = decoded.error;
        counters.count('health_opinion_reads', reason);
        log.warn('worker_health_dropped', { service, reason, bytes: row.value.length });
        return;
      }
      const { opinion, ageMs } = decoded.value;
      counters.count('health_opinion_reads', 'read');
      log.info('worker_health_loaded', {
        service,
        workers: opinion.workers.length,
        age_ms: Math.round(ageMs),
      });
      health.restore(opinion, ageMs);
      return;
    }
  }

  /** Stores the opinion if it has changed and the last one was stored long enough ago. */
  store(): void {
    const { service: part, clock, counters, health, write } = this.#deps;
    const now = clock.now();
    if (this.#isWriting || now - this.#storedAt < healthDefaults.storeIntervalMs) return;
    const opinion = health.opinion();
    const summary = opinion.workers
      .map(({ id, reason, rounds }) => `${id} ${reason} ${rounds}`)
      .sort()
      .join('\n');
    if (summary === this.#stored) return;
    const key = { table: TABLE, part, key: KEY };
    const isEmpty = opinion.workers.length === 0;
    const writes = isEmpty ? [] : [{ ...key, value: encodeOpinion(opinion) }];
    this.#isWriting = true;
    this.#storedAt = now;
    write({ writes, removes: isEmpty ? [key] : [] }, (isApplied) => {
      this.#isWriting = false;
      counters.count('health_opinion_writes', isApplied ? 'applied' : 'failed');
      if (isApplied) this.#stored = summary;
    });
  }
}
