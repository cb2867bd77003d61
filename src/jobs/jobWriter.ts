import type { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import {
  PlatformErrorCode,
  type PlatformError,
  type Table,
  type Write,
} from '../platform/index.js';
import type { LeaseCondition } from './types.js';

/** How the write of a job row ended. */
export enum WriteOutcome {
  Committed = 'committed',
  /** The row is or may be different from what is known; it must be read again. */
  Stale = 'stale',
  /** Nothing was written. */
  NotWritten = 'not_written',
  /** Nothing was written, as the zone controller lease is held by another process. */
  LeaseLost = 'lease_lost',
}

/** A conditional write of one job row with its index rows. */
export interface RowChange {
  /** Job row and the version it must have. */
  key: string;
  version: number;
  writes: Write[];
  /** Row of `writes` whose value carries `writeId`; read back when the answer is lost. */
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
 * Writes job rows under the zone lease, one transaction at a time, several rows per transaction
 * and urgent jobs first. The number of waiting changes is bounded by the known jobs, as each job
 * has at most one.
 */
export class JobWriter {
  readonly #deps: JobWriterDeps;
  readonly #urgent: PendingChange[] = [];
  readonly #normal: PendingChange[] = [];
  #isFlushing = false;

  constructor(deps: JobWriterDeps) {
    this.#deps = deps;
  }

  write(change: RowChange): Promise<WriteOutcome> {
    return new Promise((resolve) => {
      const queue = change.urgent ? this.#urgent : this.#normal;
      queue.push({ ...change, resolve });
      if (!this.#isFlushing) void this.#flush();
    });
  }

  async #flush(): Promise<void> {
    this.#isFlushing = true;
    // Changes decided in the same round share a transaction.
    await Promise.resolve();
    while (this.#urgent.length + this.#normal.length > 0) {
      const batch = this.#urgent.splice(0, this.#deps.maxBatch);
      batch.push(...this.#normal.splice(0, this.#deps.maxBatch - batch.length));
      await this.#commit(batch);
    }
    this.#isFlushing = false;
  }

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
          // The holder's own renewal changes the row's version; a change by another does not
          // reach this process as a new condition.
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

  async #resolveOutcome(
    result: Result<void, PlatformError>,
    batch: PendingChange[],
  ): Promise<WriteOutcome> {
    if (result.isOk) return WriteOutcome.Committed;
    if (!result.error.mayHaveTakenEffect) return WriteOutcome.NotWritten;
    // All rows of the batch were written or none, so one of them tells.
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
