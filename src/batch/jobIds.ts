import { compareOwner, JobOwner, type KeyRegistry } from '../accounts/index.js';
import type { Counters } from './counters.js';
import { CLOSED_ID, decodeStoredAccount, isClosedId } from './jobCodec.js';
import type { Row, RowStore } from './ports.js';
import type { QueueAssignments } from './queueAssignments.js';
import { acceptanceConditions, endedKey } from './rows.js';
import type { JobSpec, QueuePath } from './types.js';

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

/** Result of {@link JobIds.claim}. */
export type IdClaim =
  | {
      state: IdState.Free;
      /**
       * Version of the row that closes the id in the service, 0 if there is none. The transaction that
       * accepts the job must require it and remove the row: another one may have closed the id since.
       */
      closedVersion: number;
    }
  | { state: Exclude<IdState, IdState.Free> };

/** Claim of an id that no other service can have. */
export const unsharedClaim: IdClaim = { state: IdState.Free, closedVersion: 0 };

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
   * more. Must precede the acceptance of the job. Needs no call to the store for a queue that has never
   * moved, once its assignment is known.
   *
   * The row of the service's own id is read first, and its acceptance requires that row to be unchanged.
   * So of two attempts for two services, the one that closes the other's id later finds the job, or makes
   * the other's acceptance fail.
   *
   * @param path - queue of the job
   * @param service - service that is to accept the job
   */
  async claim(path: QueuePath, service: string, spec: JobSpec): Promise<IdClaim> {
    const { assignments, store, counters } = this.#deps;
    const services = await assignments.record(path, service);
    if (services.isErr) return { state: IdState.Unknown };
    const others = services.value.filter((other) => other !== service);
    if (others.length === 0) return unsharedClaim;
    const own = await store.readRow(endedKey(service, spec.id));
    if (own.isErr) return { state: IdState.Unresolved };
    for (const other of others) {
      const state = await this.#close(other, spec);
      counters.count('id_claims', state);
      if (state !== IdState.Free) return { state };
    }
    const { value: row } = own;
    return { state: IdState.Free, closedVersion: row && isClosedId(row) ? row.version : 0 };
  }

  /** Records the assignment of a queue before its first job arrives. */
  async prepare(path: QueuePath, service: string): Promise<void> {
    await this.#deps.assignments.record(path, service);
  }

  /**
   * Handles a conflict with a closed id: the queue has other services than this node knows of, or another
   * service has claimed the id at the same time.
   */
  handleClosed(): void {
    this.#deps.counters.count('id_claims', 'overtaken');
    this.#deps.assignments.invalidate();
  }

  /**
   * Makes sure that a service never accepts a job with an id, unless it has one already or its own claim
   * begins later. The row of an id that is closed already is written again, because an attempt that has
   * read it could otherwise go on.
   */
  async #close(service: string, spec: JobSpec, closedVersion = 0): Promise<IdState> {
    const res = await this.#deps.store.transact({
      conditions: acceptanceConditions(service, spec.id, closedVersion),
      writes: [{ ...endedKey(service, spec.id), value: CLOSED_ID }],
      removes: [],
    });
    if (res.isErr) return IdState.Unresolved;
    if (res.value.isApplied) return IdState.Free;
    const closed = res.value.rows.find(isClosedId);
    if (!closed) return this.#ownerState(spec, res.value.rows);
    // A row that was written since the last attempt serves the same purpose.
    return closedVersion === 0 ? this.#close(service, spec, closed.version) : IdState.Free;
  }

  #ownerState({ account }: JobSpec, [row]: readonly Row[]): Exclude<IdState, IdState.Free> {
    if (!row) return IdState.Unresolved;
    if (!this.#deps.keys.isInUse) return IdState.Taken;
    const owner = decodeStoredAccount(row);
    // An unreadable row may be that of the same job.
    if (!owner.isOk) return IdState.Unresolved;
    return compareOwner(owner.value, account) === JobOwner.Same ? IdState.Taken : IdState.InUse;
  }
}
