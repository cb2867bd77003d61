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

/** Maximum number of row operations per transaction; the platform's store accepts 100. */
const MAX_OPERATIONS = 96;
/** Maximum size of the row values per transaction; the store accepts 1 MB of base64. */
const MAX_VALUE_BYTES = 500_000;
/** Backoff after a refused or unanswered transaction; doubled on each retry. */
const RETRY_BASE_MS = 50;
const RETRY_MAX_MS = 400;

/** Result of writing a journal entry. */
export enum EntryOutcome {
  Applied = 'applied',
  /** A condition of the entry did not hold; none of its writes were applied. */
  Conflict = 'conflict',
  /** This process no longer writes for the service: it was lost, or the journal has stopped. */
  HolderLost = 'holder_lost',
}

/** Row operations that are applied together. */
export interface JournalEntry {
  conditions: RowCondition[];
  writes: (RowKey & { value: string })[];
  removes: RowKey[];
  settle(outcome: EntryOutcome): void;
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
  /** Takes entries for unsaved changes, with at most `maxOperations` row operations in total. */
  takeDirty(maxOperations: number): { entries: JournalEntry[]; hasMore: boolean };
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
  readonly #pending: JournalEntry[] = [];
  #barriers: ((isDurable: boolean) => void)[] = [];
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
    this.#pending.push(entry);
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
      for (const resolve of barriers) resolve(!this.#isLost);
    }
    this.#failPending();
  }

  #failPending(): void {
    this.#isLost = true;
    for (const entry of this.#pending.splice(0)) entry.settle(EntryOutcome.HolderLost);
    for (const resolve of this.#barriers.splice(0)) resolve(false);
  }

  #takeBatch(): { entries: JournalEntry[]; barriers: ((isDurable: boolean) => void)[] } {
    const entries: JournalEntry[] = [];
    // Starts with the condition on the head row and the write to it.
    let operations = 2;
    let bytes = 0;
    for (let next = this.#pending[0]; next; next = this.#pending[0]) {
      operations += countOperations(next);
      bytes += next.writes.reduce((sum, { value }) => sum + value.length, 0);
      if (entries.length > 0 && (operations > MAX_OPERATIONS || bytes > MAX_VALUE_BYTES)) break;
      entries.push(next);
      this.#pending.shift();
    }
    const dirty = this.#deps.takeDirty(MAX_OPERATIONS - operations);
    entries.push(...dirty.entries);
    if (dirty.hasMore) return { entries, barriers: [] };
    return { entries, barriers: this.#barriers.splice(0) };
  }

  async #commit(entries: JournalEntry[], signal: AbortSignal): Promise<void> {
    const { store, clock, counters, log, service } = this.#deps;
    const attempts: Attempt[] = [];
    let attempt = this.#createAttempt(entries);
    let delayMs = RETRY_BASE_MS;
    while (!signal.aborted) {
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
      if (!doConditionsHold(entry)) entry.settle(EntryOutcome.Conflict);
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

function countOperations({ conditions, writes, removes }: JournalEntry): number {
  return conditions.length + writes.length + removes.length;
}

function rowId({ table, key }: RowKey): string {
  return `${table}/${key}`;
}
