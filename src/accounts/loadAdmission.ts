import type { JobTable } from '../batch/jobTable.js';
import type { WaitingStep } from '../batch/ordering.js';
import type { JobSpec, QueueTerms, Resources } from '../batch/types.js';
import type { Clock } from '../clock/index.js';
import type { Random } from '../random/index.js';
import type { AccountControl } from './accountControl.js';
import {
  SHARED_FILL,
  type AdmissionRefusal,
  type JobRequest,
  type JobTimes,
  type QueuedWork,
} from './admission.js';
import { FULL_RETRY_MS, MAX_OPEN_JOBS } from './defaults.js';

/** Dependencies of {@link LoadAdmission}. */
export interface LoadAdmissionDeps {
  control: AccountControl;
  clock: Clock;
  jobs: Pick<JobTable, 'size' | 'open'>;
  /** Queue of the active configuration, whose accounts it applies. */
  queueOf: (name: string) => QueueTerms | undefined;
  timesOf: (spec: JobSpec, queue: QueueTerms | undefined) => JobTimes;
  /** Capacity of the pool. */
  pool: () => Resources;
  queuedWork: (waiting: readonly WaitingStep[], pool: Resources) => QueuedWork[];
}

/** Options of a decision of which nothing is kept. */
export interface AdmissionPreview {
  /** Source of the jitter of the Retry-After. */
  random: Pick<Random, 'next'>;
}

/** Decides whether a job that the holder does not know is refused under load. */
export class LoadAdmission {
  readonly #deps: LoadAdmissionDeps;
  /** Waiting steps of the last placement round. */
  #waiting: readonly WaitingStep[] = [];
  /** Their work; computed when it is required. */
  #queued: QueuedWork[] | undefined;

  constructor(deps: LoadAdmissionDeps) {
    this.#deps = deps;
  }

  /** Sets the steps that wait in a placement round. */
  setWaiting(waiting: readonly WaitingStep[]): void {
    const { isActive } = this.#deps.control;
    this.#waiting = isActive ? waiting : [];
    if (isActive) this.#queued = undefined;
  }

  /**
   * Refuses a job; undefined if it is accepted.
   *
   * @param preview - given if nothing may be kept of the decision
   */
  refuse(spec: JobSpec, preview?: AdmissionPreview): AdmissionRefusal | undefined {
    const { control, clock, jobs, queueOf, timesOf } = this.#deps;
    const queue = queueOf(spec.queue);
    const { account, steps } = spec;
    if (account === undefined || !control.isActive) return undefined;
    if (spec.occurrences > 0 || steps.some(({ isLasting }) => isLasting)) return undefined;
    const now = clock.now();
    const job: JobRequest = {
      account,
      isBeyondRate: preview
        ? control.wouldBeBeyondRate(account, now)
        : control.isBeyondRate(account, now),
      priority: queue?.priority ?? 0,
      ...timesOf(spec, queue),
    };
    const queued = () => this.#queuedWork(preview);
    const hopeless = control.refuseHopeless(job, queued, now, preview?.random);
    if (hopeless || jobs.size < MAX_OPEN_JOBS * SHARED_FILL) return hopeless;
    const accounts = [...jobs.open()].map((open) => open.spec.account);
    const open = { accounts, limit: MAX_OPEN_JOBS, defaultRetryMs: FULL_RETRY_MS };
    return control.refuseAboveShare(job, open, queued, now, preview?.random);
  }

  #queuedWork(preview?: AdmissionPreview): QueuedWork[] {
    const { queuedWork, pool } = this.#deps;
    const queued = this.#queued ?? queuedWork(this.#waiting, pool());
    if (!preview) this.#queued = queued;
    return queued;
  }
}
