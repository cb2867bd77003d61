import { compareOwner, JobOwner, type KeyRegistry } from '../accounts/index.js';
import type { Counters } from './counters.js';
import { CLOSED_ID, decodeStoredAccount, isClosedId } from './jobCodec.js';
import type { Row, RowStore } from './ports.js';
import type { QueueAssignments, QueuePath } from './queueAssignments.js';
import { acceptanceConditions, endedKey } from './rows.js';
import type { JobSpec } from './types.js';

/** Whether a service may accept a job, as far as other services are concerned. */
export enum IdState {
  /** No other service has a job with its id, or can accept one. */
  Free = 'free',
  /** Another service has accepted the job. */
  Taken = 'taken',
  /** Another service has a job of another account with its id. */
  InUse = 'in_use',
  /** Another service may have a job with its id, or may still accept one. */
  Unresolved = 'unresolved',
  /** The store did not say to which services the queue was assigned. */
  Unknown = 'unknown',
}

/** Dependencies of {@link JobIds}. */
export interface JobIdsDeps {
  store: RowStore;
  counters: Counters;
  assignments: QueueAssignments;
  keys: Pick<KeyRegistry, 'isInUse'>;
}

/**
 * Keeps the id of a job unique over the services to which its queue was ever assigned. Each service
 * accepts a job under conditions on its own rows, so a submission that is repeated after its queue has
 * moved would otherwise be a new job.
 */
export class JobIds {
  readonly #deps: JobIdsDeps;

  constructor(deps: JobIdsDeps) {
    this.#deps = deps;
  }

  /**
   * Closes the id of a job in all other services of its queue, so that none of them can accept it any
   * more, and opens it in the given one if it was closed there. Must precede the acceptance of the job.
   * Needs no call to the store for a queue that has never moved, once its assignment is known.
   *
   * @param path - queue of the job
   * @param service - service that is to accept the job
   */
  async claim(path: QueuePath, service: string, spec: JobSpec): Promise<IdState> {
    const { assignments, counters } = this.#deps;
    const services = await assignments.record(path, service);
    if (services.isErr) return IdState.Unknown;
    const others = services.value.filter((other) => other !== service);
    if (others.length === 0) return IdState.Free;
    for (const other of others) {
      const state = await this.#close(other, spec);
      counters.count('id_claims', state);
      if (state !== IdState.Free) return state;
    }
    return this.#open(service, spec.id);
  }

  /** Records the assignment of a queue before its first job arrives. */
  async prepare(path: QueuePath, service: string): Promise<void> {
    await this.#deps.assignments.record(path, service);
  }

  /** Handles a conflict with a closed id: the queue has other services than this node knows of. */
  handleClosed(): void {
    this.#deps.assignments.invalidate();
  }

  /** Makes sure that a service never accepts a job with an id, unless it has one already. */
  async #close(service: string, spec: JobSpec): Promise<IdState> {
    const res = await this.#deps.store.transact({
      conditions: acceptanceConditions(service, spec.id),
      writes: [{ ...endedKey(service, spec.id), value: CLOSED_ID }],
      removes: [],
    });
    if (res.isErr) return IdState.Unresolved;
    if (res.value.isApplied || res.value.rows.some(isClosedId)) return IdState.Free;
    return this.#ownerState(spec, res.value.rows);
  }

  #ownerState({ account }: JobSpec, [row]: readonly Row[]): IdState {
    if (!this.#deps.keys.isInUse) return IdState.Taken;
    const owner = row && decodeStoredAccount(row);
    // An unreadable row may be that of the same job.
    if (!owner?.isOk) return IdState.Unresolved;
    return compareOwner(owner.value, account) === JobOwner.Same ? IdState.Taken : IdState.InUse;
  }

  async #open(service: string, id: string): Promise<IdState> {
    const { store } = this.#deps;
    const key = endedKey(service, id);
    const read = await store.readRow(key);
    if (read.isErr) return IdState.Unresolved;
    if (!read.value || !isClosedId(read.value)) return IdState.Free;
    const { version } = read.value;
    const res = await store.transact({
      conditions: [{ ...key, version }],
      writes: [],
      removes: [key],
    });
    return res.isOk && res.value.isApplied ? IdState.Free : IdState.Unresolved;
  }
}
