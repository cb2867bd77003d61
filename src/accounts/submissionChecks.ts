import type { Counters } from '../batch/counters.js';
import type { JobTable } from '../batch/jobTable.js';
import type { RowStore } from '../batch/ports.js';
import { RefusalReason, type JobSpec, type SubmitOutcome } from '../batch/types.js';
import { compareOwner, JobOwner } from './access.js';
import { AdmissionRefusalCode } from './admission.js';
import { FULL_RETRY_MS, MAX_OPEN_JOBS, STORE_RETRY_MS, UNSTORABLE_RETRY_MS } from './defaults.js';
import { readJobOwner } from './jobOwner.js';
import type { LoadAdmission } from './loadAdmission.js';

/** Reasons of refusals under load. */
const loadRefusalReasons: Readonly<Record<AdmissionRefusalCode, RefusalReason>> = {
  [AdmissionRefusalCode.Hopeless]: RefusalReason.Hopeless,
  [AdmissionRefusalCode.AccountShare]: RefusalReason.AccountShare,
};

/** Dependencies of {@link SubmissionChecks}. */
export interface SubmissionChecksDeps {
  service: string;
  store: Pick<RowStore, 'readRow'> & { isSuspect(): boolean };
  counters: Counters;
  jobs: Pick<JobTable, 'size' | 'find'>;
  /** Whether jobs of different client accounts have to be kept apart. */
  usesAccounts: () => boolean;
  admission: Pick<LoadAdmission, 'refuse'>;
}

/** Decides how a holder answers submissions that it does not accept. */
export class SubmissionChecks {
  readonly #deps: SubmissionChecksDeps;

  constructor(deps: SubmissionChecksDeps) {
    this.#deps = deps;
  }

  /** Refuses a job that the holder does not know; undefined if it may be accepted. */
  refuse(spec: JobSpec): SubmitOutcome | undefined {
    const { store, counters, jobs, admission } = this.#deps;
    if (store.isSuspect()) return this.#countRefusal(RefusalReason.StoreSuspect, STORE_RETRY_MS);
    if (jobs.size >= MAX_OPEN_JOBS) {
      counters.count('refusals', 'too_many_open_jobs');
      return refusal(RefusalReason.Full, FULL_RETRY_MS);
    }
    const refused = admission.refuse(spec);
    if (!refused) return undefined;
    const { code, retryAfterMs, workAheadMs, ratePerMs } = refused;
    const reason = loadRefusalReasons[code];
    return { isAccepted: false, reason, retryAfterMs, load: { workAheadMs, ratePerMs } };
  }

  /** Refuses a job that the store never accepts. */
  refuseUnstorable(): SubmitOutcome {
    return this.#countRefusal(RefusalReason.Unstorable, UNSTORABLE_RETRY_MS);
  }

  /** Answers a submission with the id of an accepted job, which may be another account's. */
  async answerKnown(spec: JobSpec): Promise<SubmitOutcome> {
    const { service, store, jobs, usesAccounts } = this.#deps;
    if (!usesAccounts()) return { isAccepted: true };
    const found = jobs.find(spec.id);
    const owner = found
      ? compareOwner(found.account, spec.account)
      : await readJobOwner(store, service, spec);
    if (owner === JobOwner.Same) return { isAccepted: true };
    if (owner === JobOwner.Unknown) return refusal(RefusalReason.Unresolved, 0);
    return this.#countRefusal(RefusalReason.IdInUse, UNSTORABLE_RETRY_MS);
  }

  #countRefusal(reason: RefusalReason, retryAfterMs: number): SubmitOutcome {
    this.#deps.counters.count('refusals', reason);
    return refusal(reason, retryAfterMs);
  }
}

/**
 * A refused submission.
 *
 * @param retryAfterMs - milliseconds after which the caller should retry
 */
export function refusal(reason: RefusalReason, retryAfterMs: number): SubmitOutcome {
  return { isAccepted: false, reason, retryAfterMs };
}
