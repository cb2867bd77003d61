import type { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import {
  PlatformErrorCode,
  type PlatformError,
  type Table,
  type Write,
} from '../platform/index.js';
import type { LeaseCondition } from './types.js';

/** Outcome of writing a job row. */
export enum WriteOutcome {
  Committed = 'committed',
  /** The row differs or may differ from the copy in memory and must be read again. */
  Stale = 'stale',
  /** Nothing was written. */
  NotWritten = 'not_written',
  /** Nothing was written, as this process no longer holds the zone controller lease. */
  LeaseLost = 'lease_lost',
}

/** A conditional write of a job row and its index rows. */
export interface RowChange {
  /** Key of the job row, which must have `version`. */
  key: string;
  version: number;
  writes: Write[];
  /** Key in `writes` whose value contains `writeId`; read back if the response is lost. */
  readBackKey: string;
  writeId: string;
  urgent: boolean;
}

interface PendingChange extends RowChange {
  resolve: (outcome: WriteOutcome) => void;
}

/** Dependencies of {@link JobWriter}. */
export interface JobWriterDeps {
  table: Table;
  clock: Clock;
  leaseCondition: LeaseCondition;
  maxBatch: number;
}

/**
 * Writes job rows under the zone lease in batches, one transaction at a time, urgent jobs first.
 * The number of queued changes is bounded by the number of jobs in memory, as each job has at most
 * one.
 */
export class JobWriter {
  readonly #deps: JobWriterDeps;
  readonly #urgent: PendingChange[] = [];
  readonly #normal: PendingChange[] = [];
  #isFlushing = false;

  constructor(deps: JobWriterDeps) {
    this.#deps = deps;
  }

  /** Queues a change; resolves when its outcome is known. */
  write(change: RowChange): Promise<WriteOutcome> {
    return new Promise((resolve) => {
      const queue = change.urgent ? this.#urgent : this.#normal;
      queue.push({ ...change, resolve });
      if (!this.#isFlushing) void this.#flush();
    });
  }

  async #flush(): Promise<void> {
    this.#isFlushing = true;
    // Let changes of the same round queue up, so that they share a transaction.
    await Promise.resolve();
    while (this.#urgent.length + this.#normal.length > 0) {
      const batch = this.#urgent.splice(0, this.#deps.maxBatch);
      batch.push(...this.#normal.splice(0, this.#deps.maxBatch - batch.length));
      await this.#commit(batch);
    }
    this.#isFlushing = false;
  }

  /** Commits a batch, dropping changes whose condition failed and retrying the others. */
  async #commit(batch: PendingChange[]): Promise<void> {
    let pending = batch;
    let lease = this.#deps.leaseCondition();
    while (pending.length > 0) {
      if (!lease) {
        resolveAll(pending, WriteOutcome.LeaseLost);
        return;
      }
      const { key: leaseKey, version: leaseVersion } = lease;
      const conditions = [lease, ...pending.map(({ key, version }) => ({ key, version }))];
      const writes = pending.flatMap((change) => change.writes);
      const result = await this.#deps.table.transact(conditions, writes);
      if (result.isErr && result.error.code === PlatformErrorCode.ConditionFailed) {
        const { failedKey } = result.error;
        lease = this.#deps.leaseCondition();
        if (failedKey === leaseKey) {
          // A renewal by this process changes the version of the lease row, and the known
          // condition with it. If the condition is unchanged, another process took the lease.
          if (lease?.version === leaseVersion) lease = undefined;
          continue;
        }
        resolveAll(
          pending.filter(({ key }) => key === failedKey),
          WriteOutcome.Stale,
        );
        const others = pending.filter(({ key }) => key !== failedKey);
        if (others.length === pending.length) {
          resolveAll(pending, WriteOutcome.Stale);
          return;
        }
        pending = others;
        continue;
      }
      resolveAll(pending, await this.#resolveOutcome(result, pending));
      return;
    }
  }

  /** Determines the outcome of a transaction, reading a row back if the response was lost. */
  async #resolveOutcome(
    result: Result<void, PlatformError>,
    batch: PendingChange[],
  ): Promise<WriteOutcome> {
    if (result.isOk) return WriteOutcome.Committed;
    if (!result.error.mayHaveTakenEffect) return WriteOutcome.NotWritten;
    // The transaction is atomic, so reading one row back shows the outcome for all.
    const [first] = batch;
    if (!first) return WriteOutcome.Stale;
    const found = await this.#deps.table.get(first.readBackKey);
    const value = found.isOk ? (found.value?.value as { writeId?: string } | undefined) : undefined;
    return value?.writeId === first.writeId ? WriteOutcome.Committed : WriteOutcome.Stale;
  }
}

function resolveAll(changes: PendingChange[], outcome: WriteOutcome): void {
  for (const change of changes) change.resolve(outcome);
}
