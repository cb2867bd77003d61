import type { Counters } from '../batch/counters.js';
import type { JobTable } from '../batch/jobTable.js';
import type { RowStore } from '../batch/ports.js';
import {
  RefusalReason,
  type JobSpec,
  type RefusedSubmission,
  type SubmitOutcome,
} from '../batch/types.js';
import { compareOwner, JobOwner } from './access.js';
import { AdmissionRefusalCode } from './admission.js';
import { FULL_RETRY_MS, MAX_OPEN_JOBS, STORE_RETRY_MS, UNSTORABLE_RETRY_MS } from './defaults.js';
import { readJobOwner } from './jobOwner.js';
import type { AdmissionPreview, LoadAdmission } from './loadAdmission.js';

/** Reasons of refusals under load. */
const loadRefusalReasons: Readonly<Record<AdmissionRefusalCode, RefusalReason>> = {
  [AdmissionRefusalCode.Hopeless]: RefusalReason.Hopeless,
  [AdmissionRefusalCode.AccountShare]: RefusalReason.AccountShare,
};

/** Names under which the holder counts refusals; others are counted where they are answered. */
const countedRefusals: ReadonlyMap<RefusalReason, string> = new Map([
  [RefusalReason.StoreSuspect, RefusalReason.StoreSuspect],
  [RefusalReason.Full, 'too_many_open_jobs'],
  [RefusalReason.Unstorable, RefusalReason.Unstorable],
  [RefusalReason.IdInUse, RefusalReason.IdInUse],
]);

/** Makes the Retry-After of a preview its shortest value. */
const withoutJitter: AdmissionPreview = { random: { next: () => 0 } };

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
  refuse(spec: JobSpec): RefusedSubmission | undefined {
    const refused = this.#findRefusal(spec);
    return refused && this.#count(refused);
  }

  /** Decides as {@link refuse} does, but keeps and counts nothing and adds no jitter. */
  preview(spec: JobSpec): RefusedSubmission | undefined {
    return this.#findRefusal(spec, withoutJitter);
  }

  #findRefusal(spec: JobSpec, preview?: AdmissionPreview): RefusedSubmission | undefined {
    const { store, jobs, admission } = this.#deps;
    if (store.isSuspect()) return refusal(RefusalReason.StoreSuspect, STORE_RETRY_MS);
    if (jobs.size >= MAX_OPEN_JOBS) return refusal(RefusalReason.Full, FULL_RETRY_MS);
    const refused = admission.refuse(spec, preview);
    if (!refused) return undefined;
    const { code, retryAfterMs, workAheadMs, ratePerMs } = refused;
    const reason = loadRefusalReasons[code];
    return { isAccepted: false, reason, retryAfterMs, load: { workAheadMs, ratePerMs } };
  }

  /** Refuses a job that the store never accepts. */
  refuseUnstorable(): RefusedSubmission {
    return this.#count(refusal(RefusalReason.Unstorable, UNSTORABLE_RETRY_MS));
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
    return this.#count(refusal(RefusalReason.IdInUse, UNSTORABLE_RETRY_MS));
  }

  #count(refused: RefusedSubmission): RefusedSubmission {
    const name = countedRefusals.get(refused.reason);
    if (name !== undefined) this.#deps.counters.count('refusals', name);
    return refused;
  }
}

/**
 * A refused submission.
 *
 * @param retryAfterMs - milliseconds after which the caller should retry
 */
export function refusal(reason: RefusalReason, retryAfterMs: number): RefusedSubmission {
  return { isAccepted: false, reason, retryAfterMs };
}
