import { FairBacklog, type ItemAccount } from '../accounts/index.js';
import type { Clock } from '../clock/index.js';
import type { DecisionLog } from './decisionLog.js';
import type { Counters } from './counters.js';
import {
  StoreErrorCode,
  type Row,
  type RowCondition,
  type RowKey,
  type RowStore,
  type Transaction,
} from './ports.js';

/** Operations for the head row in each transaction: a condition and a write. */
const HEAD_OPERATIONS = 2;
/** Upper bound of the size of the head row's value. */
const HEAD_VALUE_BYTES = 64;
/** Backoff after a refused or unanswered transaction; doubled on each retry. */
const RETRY_BASE_MS = 50;
const RETRY_MAX_MS = 400;

/** Result of writing a journal entry. */
export enum EntryOutcome {
  Applied = 'applied',
  /** A condition of the entry did not hold; none of its writes were applied. */
  Conflict = 'conflict',
  /** The store never accepts the entry, for example because a row is too large. */
  Rejected = 'rejected',
  /** This process no longer writes for the service: it was lost, or the journal has stopped. */
  HolderLost = 'holder_lost',
}

/** Row operations that are applied together. */
export interface JournalEntry {
  conditions: RowCondition[];
  writes: (RowKey & { value: string })[];
  removes: RowKey[];
  /**
   * Account whose job it stores. Entries of different accounts must not concern the same rows,
   * because they are written in turn by weight.
   */
  account?: ItemAccount;
  /** @param conflicts - after a conflict, the rows of the conditions of its transaction that exist */
  settle(outcome: EntryOutcome, conflicts?: readonly Row[]): void;
}

/** Size of a transaction, or of the part of it that is still free. */
export interface TransactionSize {
  operations: number;
  /** Size of all values. */
  bytes: number;
}

/** Size that an entry adds to its transaction. */
export function sizeOf({ conditions, writes, removes }: JournalEntry): TransactionSize {
  return {
    operations: conditions.length + writes.length + removes.length,
    bytes: writes.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0),
  };
}

/** Dependencies of a {@link Journal}. */
export interface JournalDeps {
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  /** Name of the service; all its rows are in the part of this name. */
  service: string;
  epoch: number;
  /** Version of the head row after the claim. */
  headVersion: number;
  /** Takes entries for unsaved changes that fit in the rest of a transaction. */
  takeDirty(remaining: TransactionSize): { entries: JournalEntry[]; hasMore: boolean };
  onLost(reason: string): void;
}

/** Key of a service's head row, whose value is the epoch and sequence number of the last write. */
export const headKey = (service: string): RowKey => ({
  table: 'head',
  part: service,
  key: 'head',
});

interface Attempt {
  headValue: string;
  entries: JournalEntry[];
}

/**
 * Writes the state of one service with group commit: only one transaction is in flight at a time,
 * and the next one contains all entries that arrived meanwhile. Each transaction requires the
 * current version of the service's head row and replaces it. A transaction of an earlier holder,
 * or one that the store applies late, therefore fails without effect.
 */
export class Journal {
  readonly #deps: JournalDeps;
  readonly #pending = new FairBacklog<JournalEntry>();
  #barriers: ((isDurable: boolean) => void)[] = [];
  /** Whether an entry was rejected since the last barrier, which is then not reached. */
  #hasRejectedEntry = false;
  #headVersion: number;
  #lastHeadValue: string;
  #sequence = 0;
  #isLost = false;
  #wakeWriter: () => void = () => undefined;

  constructor(deps: JournalDeps) {
    this.#deps = deps;
    this.#headVersion = deps.headVersion;
    this.#lastHeadValue = headValue(deps.epoch, 0);
  }

  /** Queues an entry for the next transaction. */
  append(entry: JournalEntry): void {
    if (this.#isLost) {
      entry.settle(EntryOutcome.HolderLost);
      return;
    }
    const { rowBytes } = this.#deps.store.limits;
    if (entry.writes.some(({ value }) => Buffer.byteLength(value) > rowBytes)) {
      this.#reject(entry, `a row is larger than ${rowBytes} bytes`);
      return;
    }
    this.#pending.push(entry, entry.account);
    this.#wakeWriter();
  }

  /** Resolves to true once all state that is dirty now is durable, or to false if it cannot be. */
  barrier(): Promise<boolean> {
    if (this.#isLost) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.#barriers.push(resolve);
      this.#wakeWriter();
    });
  }

  /** Writes queued entries until the signal is aborted or the service is lost. */
  async run(signal: AbortSignal): Promise<void> {
    const onAbort = () => {
      this.#wakeWriter();
    };
    signal.addEventListener('abort', onAbort, { once: true });
    while (!signal.aborted && !this.#isLost) {
      if (this.#pending.length === 0 && this.#barriers.length === 0) {
        await new Promise<void>((resolve) => {
          this.#wakeWriter = resolve;
        });
        continue;
      }
      const { entries, barriers } = this.#takeBatch();
      if (entries.length > 0) await this.#commit(entries, signal);
      if (barriers.length === 0) continue;
      const isDurable = this.#concludeBarrier();
      for (const resolve of barriers) resolve(isDurable);
    }
    this.#failPending();
  }

  /** Returns whether all entries since the last barrier are durable, and starts the next one. */
  #concludeBarrier(): boolean {
    const isDurable = !this.#isLost && !this.#hasRejectedEntry;
    this.#hasRejectedEntry = false;
    return isDurable;
  }

  #failPending(): void {
    this.#isLost = true;
    for (const entry of this.#pending.drain()) entry.settle(EntryOutcome.HolderLost);
    for (const resolve of this.#barriers.splice(0)) resolve(false);
  }

  #takeBatch(): { entries: JournalEntry[]; barriers: ((isDurable: boolean) => void)[] } {
    const { limits } = this.#deps.store;
    const entries: JournalEntry[] = [];
    const remaining = {
      operations: limits.operations - HEAD_OPERATIONS,
      bytes: limits.transactionBytes - HEAD_VALUE_BYTES,
    };
    const changedRows = new Set<string>();
    for (let next = this.#pending.first; next; next = this.#pending.first) {
      const { operations, bytes } = sizeOf(next);
      const fits = operations <= remaining.operations && bytes <= remaining.bytes;
      const ids = [...next.writes, ...next.removes].map(rowId);
      // Within a transaction, the order of two changes of one row is undefined.
      const isOrdered = !ids.some((id) => changedRows.has(id));
      if (entries.length > 0 && !(fits && isOrdered)) break;
      for (const id of ids) changedRows.add(id);
      remaining.operations -= operations;
      remaining.bytes -= bytes;
      entries.push(next);
      this.#pending.shift();
    }
    const dirty = this.#deps.takeDirty(remaining);
    entries.push(...dirty.entries);
    if (dirty.hasMore) return { entries, barriers: [] };
    return { entries, barriers: this.#barriers.splice(0) };
  }

  /**
   * Writes entries in one transaction, or in several if the store rejects some of them.
   *
   * @param attempts - earlier attempts to write some of the entries, which may still be applied
   */
  async #commit(
    entries: JournalEntry[],
    signal: AbortSignal,
    attempts: Attempt[] = [],
  ): Promise<void> {
    const { store, clock, counters, log, service } = this.#deps;
    let attempt = this.#createAttempt(entries);
    let delayMs = RETRY_BASE_MS;
    while (!signal.aborted && !this.#isLost) {
      attempts.push(attempt);
      const res = await store.transact(this.#buildTransaction(attempt));
      if (res.isOk && res.value.isApplied) {
        this.#handleApplied(attempt, res.value.version);
        return;
      }
      if (res.isOk && !res.value.isApplied) {
        const next = this.#resolveConflict(attempts, attempt, res.value.rows);
        if (!next) return;
        if (next !== attempt) delayMs = RETRY_BASE_MS;
        attempt = next;
        continue;
      }
      if (res.isErr && res.error.code === StoreErrorCode.Invalid) {
        const { entries: rejected } = attempt;
        if (rejected[0] && rejected.length === 1) {
          this.#reject(rejected[0], res.error.message);
          return;
        }
        const middle = Math.ceil(rejected.length / 2);
        await this.#commit(rejected.slice(0, middle), signal, attempts);
        await this.#commit(rejected.slice(middle), signal, attempts);
        return;
      }
      if (res.isErr) {
        counters.count('store_retries', res.error.code);
        log.warn('journal_retry', { service, reason: res.error.code, entries: entries.length });
        if (res.error.code === StoreErrorCode.BadAnswer) delayMs = RETRY_MAX_MS;
      }
      await clock.sleep(delayMs, signal);
      delayMs = Math.min(RETRY_MAX_MS, delayMs * 2);
    }
    for (const entry of attempt.entries) entry.settle(EntryOutcome.HolderLost);
  }

  /** Settles an entry that the store never accepts. */
  #reject(entry: JournalEntry, reason: string): void {
    const { log, counters, service } = this.#deps;
    this.#hasRejectedEntry = true;
    counters.count('journal_rejections', service);
    const rows = [
      ...entry.conditions.map(rowId),
      ...entry.writes.map((row) => `${rowId(row)}:${Buffer.byteLength(row.value)}`),
      ...entry.removes.map(rowId),
    ];
    log.warn('journal_rejected', { service, rows: rows.join(','), reason });
    entry.settle(EntryOutcome.Rejected);
  }

  #createAttempt(entries: JournalEntry[]): Attempt {
    this.#sequence++;
    return { headValue: headValue(this.#deps.epoch, this.#sequence), entries };
  }

  #buildTransaction({ headValue: value, entries }: Attempt): Transaction {
    const head = headKey(this.#deps.service);
    return {
      conditions: [
        { ...head, version: this.#headVersion },
        ...entries.flatMap(({ conditions }) => conditions),
      ],
      writes: [{ ...head, value }, ...entries.flatMap(({ writes }) => writes)],
      removes: entries.flatMap(({ removes }) => removes),
    };
  }

  #handleApplied(attempt: Attempt, version: number): void {
    this.#headVersion = version;
    this.#lastHeadValue = attempt.headValue;
    for (const entry of attempt.entries) entry.settle(EntryOutcome.Applied);
  }

  /**
   * Handles a transaction whose conditions failed: an earlier attempt may have been applied, the
   * service may have been lost, or conditions of single entries did not hold.
   *
   * @returns the next attempt; undefined when all entries are settled
   */
  #resolveConflict(attempts: Attempt[], current: Attempt, rows: Row[]): Attempt | undefined {
    const head = rows.find(({ table }) => table === 'head');
    const appliedAttempt = attempts.find(({ headValue: value }) => value === head?.value);
    if (head && appliedAttempt) {
      this.#handleApplied(appliedAttempt, head.version);
      const remaining = current.entries.filter((entry) => !appliedAttempt.entries.includes(entry));
      return remaining.length > 0 ? this.#createAttempt(remaining) : undefined;
    }
    if (head?.value !== this.#lastHeadValue) {
      this.#handleLostService(current, head?.value);
      return undefined;
    }
    if (head.version !== this.#headVersion) {
      this.#headVersion = head.version;
      return current;
    }
    const versions = new Map(rows.map((row) => [rowId(row), row.version]));
    const doConditionsHold = ({ conditions }: JournalEntry) =>
      conditions.every((row) => (versions.get(rowId(row)) ?? 0) === row.version);
    const remaining = current.entries.filter(doConditionsHold);
    for (const entry of current.entries)
      if (!doConditionsHold(entry)) entry.settle(EntryOutcome.Conflict, rows);
    return remaining.length > 0 ? this.#createAttempt(remaining) : undefined;
  }

  #handleLostService(current: Attempt, foundValue: string | undefined): void {
    this.#isLost = true;
    for (const entry of current.entries) entry.settle(EntryOutcome.HolderLost);
    this.#deps.onLost(`head row is ${foundValue ?? 'missing'}, expected ${this.#lastHeadValue}`);
  }
}

function headValue(epoch: number, sequence: number): string {
  return `${epoch}.${sequence}`;
}

/** Value of the head row that a claim with this epoch writes. */
export const initialHeadValue = (epoch: number): string => headValue(epoch, 0);

function rowId({ table, key }: RowKey): string {
  return `${table}/${key}`;
}
