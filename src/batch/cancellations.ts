import { mayAccessJob } from '../accounts/index.js';
import type { DecisionLog } from './decisionLog.js';
import type { Job } from './job.js';
import type { JobTable } from './jobTable.js';
import type { CancellationKey } from './rows.js';

/** Dependencies of {@link Cancellations}. */
export interface CancellationsDeps {
  service: string;
  jobs: JobTable;
  log: DecisionLog;
  /** Whether jobs of different client accounts have to be kept apart. */
  usesAccounts: () => boolean;
  /** Ends a job as cancelled and stops its runs. */
  cancel: (job: Job) => void;
}

/**
 * Cancellations that gateways wrote to the store. One that is read before its job is known waits for
 * it: the job's row may be in the store while the holder still waits for the answer to its write.
 */
export class Cancellations {
  readonly #deps: CancellationsDeps;
  /** Rows of cancellations whose job is not known, by the id of the job. */
  readonly #waiting = new Map<string, Map<string, CancellationKey>>();

  constructor(deps: CancellationsDeps) {
    this.#deps = deps;
  }

  /** Applies the cancellation in an inbox row, now or as soon as its job is added. */
  receive(key: string, cancellation: CancellationKey): void {
    const { jobs, log, service } = this.#deps;
    const { id } = cancellation;
    const job = jobs.get(id);
    if (job) {
      this.#apply(job, key, cancellation);
      return;
    }
    if (jobs.stateOf(id) !== undefined) return;
    const rows = this.#waiting.get(id) ?? new Map<string, CancellationKey>();
    if (!rows.has(key)) log.info('cancellation_waits_for_job', { job: id, service });
    this.#waiting.set(id, rows.set(key, cancellation));
  }

  /** Applies the cancellations that wait for a job which has been added. */
  handleAdded(job: Job): void {
    const { id } = job.spec;
    const rows = this.#waiting.get(id);
    this.#waiting.delete(id);
    for (const [key, cancellation] of rows ?? []) this.#apply(job, key, cancellation);
  }

  /** Discards the cancellation of an inbox row that was removed. */
  discard(key: string, { id }: CancellationKey): void {
    const rows = this.#waiting.get(id);
    rows?.delete(key);
    if (rows?.size === 0) this.#waiting.delete(id);
  }

  /** Discards all waiting cancellations, before the whole inbox is read again. */
  clear(): void {
    this.#waiting.clear();
  }

  #apply(job: Job, key: string, { account }: CancellationKey): void {
    job.inboxKeys.add(key);
    if (this.#deps.usesAccounts() && !mayAccessJob(job.spec.account, account)) return;
    this.#deps.cancel(job);
  }
}
