import type { Counters } from '../batch/counters.js';
import type { Job } from '../batch/job.js';
import type { JobSpec } from '../batch/types.js';
import type { Clock } from '../clock/index.js';
import type { AccountControl } from './accountControl.js';

/** Dependencies of {@link JobCounting}. */
export interface JobCountingDeps {
  control: AccountControl;
  clock: Clock;
  counters: Counters;
  /** Applies the accounts of the active configuration. */
  configure: () => void;
}

/** Counts the jobs of one service for the rates of their accounts. */
export class JobCounting {
  readonly #deps: JobCountingDeps;

  constructor(deps: JobCountingDeps) {
    this.#deps = deps;
  }

  /** Counts a job for its account's rate and records the result in the job. */
  count(spec: JobSpec): void {
    const { control, clock, counters, configure } = this.#deps;
    configure();
    if (spec.account === undefined || !control.isActive) return;
    spec.isBeyondRate = control.countJob(spec.account, clock.now());
    if (spec.isBeyondRate) counters.count('jobs_beyond_rate', spec.account);
  }

  /** A job as {@link count} would record it now; counts nothing. */
  preview(spec: JobSpec): JobSpec {
    const { control, clock, configure } = this.#deps;
    configure();
    const { account } = spec;
    if (account === undefined || !control.isActive) return { ...spec };
    return { ...spec, isBeyondRate: control.wouldBeBeyondRate(account, clock.now()) };
  }

  /** Takes back the count of a job that was not accepted. */
  uncount({ account, isBeyondRate }: JobSpec): void {
    const { control, clock } = this.#deps;
    if (account === undefined || isBeyondRate !== false) return;
    control.giveBack(account, clock.now());
  }

  /** Counts the jobs that an earlier holder accepted, so that they are ordered the same way. */
  restore(open: Iterable<Job>): void {
    const { control, configure } = this.#deps;
    configure();
    if (!control.isActive) return;
    const jobs = [...open].flatMap(({ spec, acceptedAt }) =>
      spec.account === undefined
        ? []
        : [{ spec, acceptedAt, account: spec.account, isBeyondRate: spec.isBeyondRate }],
    );
    control.restore(jobs, ({ spec }, isBeyondRate) => {
      spec.isBeyondRate = isBeyondRate;
    });
  }
}
