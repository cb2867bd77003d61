import type { Clock } from '../clock/index.js';
import { isAborted } from './follow.js';
import { Job } from './job.js';
import { decodeJob } from './jobCodec.js';
import type { JobTable } from './jobTable.js';
import type { DecisionLog } from './decisionLog.js';
import { StoreErrorCode, type FeedRow, type Row, type RowStore } from './ports.js';

/** Wait of one feed call; short, so that a channel that went silent is noticed. */
const FEED_WAIT_MS = 1_500;
const RETRY_MS = 300;

/** Needs of an {@link Inbox}. */
export interface InboxDeps {
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  service: string;
  jobs: JobTable;
  place: () => void;
  /** Whether no other process can have claimed the service. */
  canStart: () => boolean;
  cancel: (id: string) => void;
}

/** Follows the jobs and cancellations that other processes recorded without the holder. */
export class Inbox {
  readonly #deps: InboxDeps;

  constructor(deps: InboxDeps) {
    this.#deps = deps;
  }

  /** Follows the inbox from a version of the store until the signal is aborted. */
  async run(version: number, signal: AbortSignal): Promise<void> {
    const { store, clock, log, service } = this.#deps;
    let after = version;
    await this.#readAll();
    while (!signal.aborted) {
      const res = await store.feed('inbox', after, FEED_WAIT_MS, signal);
      if (res.isOk) {
        // A row that was removed since may belong to a job that has ended.
        const latest = new Map(res.value.rows.map((row) => [`${row.part}/${row.key}`, row]));
        const isPresent = ({ part, isRemoved }: FeedRow) => part === service && !isRemoved;
        for (const row of [...latest.values()].filter(isPresent)) this.#take(row);
        after = res.value.version;
        continue;
      }
      if (isAborted(signal)) return;
      log.warn('inbox_feed_failed', { service, reason: res.error.code });
      if (res.error.code === StoreErrorCode.HistoryGone) {
        const newest = await this.#readAll();
        if (newest !== undefined) after = newest;
      }
      await clock.sleep(RETRY_MS, signal);
    }
  }

  async #readAll(): Promise<number | undefined> {
    const res = await this.#deps.store.readPart('inbox', this.#deps.service);
    if (res.isErr) return undefined;
    for (const row of res.value.rows) this.#take(row);
    return res.value.version;
  }

  #take({ key, value }: Row): void {
    const { jobs, clock, log, cancel, place, canStart, service } = this.#deps;
    if (key.endsWith('!')) {
      const id = key.slice(0, -1);
      jobs.get(id)?.inboxKeys.add(key);
      cancel(id);
      return;
    }
    if (jobs.stateOf(key) !== undefined) return;
    const spec = decodeJob(value);
    if (spec.isErr) {
      log.warn('job_row_unreadable', { job: key, reason: spec.error.code });
      return;
    }
    const job = new Job(spec.value, clock.now(), 1);
    job.inboxKeys.add(key);
    // Past the certain hold, a successor may have taken the job and started it.
    job.mayHaveOtherHolder = !canStart();
    job.openDue(clock.wallTime());
    jobs.add(job);
    log.info('job_taken_from_inbox', { job: key, service, certain: !job.mayHaveOtherHolder });
    place();
  }
}
