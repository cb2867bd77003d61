import { elapsedMs, type Clock } from '../clock/index.js';
import type { Cancellations } from './cancellations.js';
import type { Counters } from './counters.js';
import { follow, type Changes } from './follow.js';
import { Job } from './job.js';
import { decodeJob } from './jobCodec.js';
import type { JobTable } from './jobTable.js';
import type { DecisionLog } from './decisionLog.js';
import type { Row, RowStore } from './ports.js';
import { parseCancellation } from './rows.js';
import { tableSource } from './tableSource.js';
import type { JobSpec } from './types.js';

/** Long-poll duration of one feed call; short, so that a stalled connection is detected early. */
const FEED_WAIT_MS = 1_500;

/** Dependencies of an {@link Inbox}. */
export interface InboxDeps {
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  service: string;
  jobs: JobTable;
  /** Requests a placement round. */
  place: () => void;
  /** Whether no other process can have claimed the service. */
  canStart: () => boolean;
  cancellations: Cancellations;
  /** Counts a job for its account's rate. */
  countJob: (spec: JobSpec) => void;
}

/**
 * Takes over jobs and cancellations that gateways wrote to the store instead of sending them to the
 * holder.
 */
export class Inbox {
  readonly #deps: InboxDeps;
  #readAt = -Infinity;
  #readWallTime = -Infinity;

  constructor(deps: InboxDeps) {
    this.#deps = deps;
  }

  /** Watches the inbox table until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    const { store, clock, log, counters, service } = this.#deps;
    const source = tableSource(store, 'inbox', service, (row) => row);
    const apply = ({ items, removed }: Changes<Row>, isFullRead: boolean) => {
      if (isFullRead) this.#deps.cancellations.clear();
      for (const key of removed) this.#discardRow(key);
      for (const row of items) this.#processRow(row);
      this.#readAt = clock.now();
      this.#readWallTime = clock.wallTime();
    };
    const waits = { waitMs: FEED_WAIT_MS, pauseMs: 0 };
    return follow({ name: 'inbox', source, clock, log, counters, ...waits, apply }, signal);
  }

  /**
   * Milliseconds since the inbox was last known completely. Also considers wall-clock time, because
   * the monotonic clock stops while the VM is suspended.
   */
  ageMs(): number {
    const { clock } = this.#deps;
    return elapsedMs(clock, { monotonicMs: this.#readAt, wallMs: this.#readWallTime });
  }

  #discardRow(key: string): void {
    const cancellation = parseCancellation(key);
    if (cancellation) this.#deps.cancellations.discard(key, cancellation);
  }

  #processRow({ key, value }: Row): void {
    const { jobs, clock, log, cancellations, place, canStart, service } = this.#deps;
    const cancellation = parseCancellation(key);
    if (cancellation) {
      cancellations.receive(key, cancellation);
      return;
    }
    if (jobs.stateOf(key) !== undefined) return;
    const spec = decodeJob(value);
    if (spec.isErr) {
      log.warn('job_row_unreadable', { job: key, reason: spec.error.code });
      return;
    }
    this.#deps.countJob(spec.value);
    const job = new Job(spec.value, clock.now(), 1);
    job.inboxKeys.add(key);
    // Without certain ownership, a successor may already have taken and started the job.
    job.mayHaveOtherHolder = !canStart();
    job.createDueOccurrences(clock.wallTime());
    jobs.add(job);
    log.info('job_taken_from_inbox', { job: key, service, exclusive: !job.mayHaveOtherHolder });
    place();
  }
}
