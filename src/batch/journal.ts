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

/** Entries of one transaction, at most. Source: the platform's store takes 100. */
const MAX_ENTRIES = 96;
/** Text of one transaction in bytes, at most. Source: the store takes 1 MB of base64. */
const MAX_TEXT_BYTES = 500_000;
/** Wait after a refused or unanswered transaction, doubled each time. */
const RETRY_BASE_MS = 50;
const RETRY_MAX_MS = 400;

/** What became of an entry. */
export enum EntryOutcome {
  Applied = 'applied',
  /** A condition of the entry did not hold; nothing of it was written. */
  Conflict = 'conflict',
  /** Another process holds the service; nothing more is written. */
  HolderLost = 'holder_lost',
}

/** Writes that belong together. */
export interface JournalEntry {
  conditions: RowCondition[];
  writes: (RowKey & { value: string })[];
  removes: RowKey[];
  settle(outcome: EntryOutcome): void;
}

/** Needs of a {@link Journal}. */
export interface JournalDeps {
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  /** Part of all rows of the service. */
  service: string;
  epoch: number;
  /** Version of the head row after the claim. */
  headVersion: number;
  /** Takes entries for changed state, up to a number of row operations. */
  takeDirty(maxOperations: number): { entries: JournalEntry[]; hasMore: boolean };
  onLost(reason: string): void;
}

/** Key of the head row of a service. */
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
 * Writes of the holder of one service, grouped: one transaction is under way at a time and takes
 * all that came meanwhile. Each transaction requires and replaces the head row of the service, so
 * that a transaction of an earlier holder, or one that is carried out late, changes nothing.
 */
export class Journal {
  readonly #deps: JournalDeps;
  readonly #pending: JournalEntry[] = [];
  #barriers: ((isDurable: boolean) => void)[] = [];
  #headVersion: number;
  #lastValue: string;
  #sequence = 0;
  #isLost = false;
  #wake: () => void = () => undefined;

  constructor(deps: JournalDeps) {
    this.#deps = deps;
    this.#headVersion = deps.headVersion;
    this.#lastValue = headValue(deps.epoch, 0);
  }

  /** Writes an entry with the next transaction. */
  append(entry: JournalEntry): void {
    if (this.#isLost) {
      entry.settle(EntryOutcome.HolderLost);
      return;
    }
    this.#pending.push(entry);
    this.#wake();
  }

  /** Resolves to true once all state that is dirty now is durable, to false if it cannot be. */
  barrier(): Promise<boolean> {
    if (this.#isLost) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.#barriers.push(resolve);
      this.#wake();
    });
  }

  /** Runs until the signal is aborted or the holder is lost. */
  async run(signal: AbortSignal): Promise<void> {
    const onAbort = () => {
      this.#wake();
    };
    signal.addEventListener('abort', onAbort, { once: true });
    while (!signal.aborted && !this.#isLost) {
      if (this.#pending.length === 0 && this.#barriers.length === 0) {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
        continue;
      }
      const { entries, barriers } = this.#takeBatch();
      if (entries.length > 0) await this.#commit(entries, signal);
      for (const resolve of barriers) resolve(!this.#isLost);
    }
    this.#end();
  }

  #end(): void {
    this.#isLost = true;
    for (const entry of this.#pending.splice(0)) entry.settle(EntryOutcome.HolderLost);
    for (const resolve of this.#barriers.splice(0)) resolve(false);
  }

  #takeBatch(): { entries: JournalEntry[]; barriers: ((isDurable: boolean) => void)[] } {
    const entries: JournalEntry[] = [];
    let operations = 2;
    let bytes = 0;
    for (let next = this.#pending[0]; next; next = this.#pending[0]) {
      operations += operationsOf(next);
      bytes += next.writes.reduce((sum, { value }) => sum + value.length, 0);
      if (entries.length > 0 && (operations > MAX_ENTRIES || bytes > MAX_TEXT_BYTES)) break;
      entries.push(next);
      this.#pending.shift();
    }
    const dirty = this.#deps.takeDirty(MAX_ENTRIES - operations);
    entries.push(...dirty.entries);
    if (dirty.hasMore) return { entries, barriers: [] };
    return { entries, barriers: this.#barriers.splice(0) };
  }

  async #commit(entries: JournalEntry[], signal: AbortSignal): Promise<void> {
    const { store, clock, counters, log, service } = this.#deps;
    const attempts: Attempt[] = [];
    let attempt = this.#attempt(entries);
    let delayMs = RETRY_BASE_MS;
    while (!signal.aborted) {
      attempts.push(attempt);
      const res = await store.transact(this.#transaction(attempt));
      if (res.isOk && res.value.isApplied) {
        this.#applied(attempt, res.value.version);
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

  #attempt(entries: JournalEntry[]): Attempt {
    this.#sequence++;
    return { headValue: headValue(this.#deps.epoch, this.#sequence), entries };
  }

  #transaction({ headValue: value, entries }: Attempt): Transaction {
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

  #applied(attempt: Attempt, version: number): void {
    this.#headVersion = version;
    this.#lastValue = attempt.headValue;
    for (const entry of attempt.entries) entry.settle(EntryOutcome.Applied);
  }

  /** The attempt to make next, or undefined when all entries are settled. */
  #resolveConflict(attempts: Attempt[], current: Attempt, rows: Row[]): Attempt | undefined {
    const head = rows.find(({ table }) => table === 'head');
    const earlier = attempts.find(({ headValue: value }) => value === head?.value);
    if (head && earlier) {
      this.#applied(earlier, head.version);
      const left = current.entries.filter((entry) => !earlier.entries.includes(entry));
      return left.length > 0 ? this.#attempt(left) : undefined;
    }
    if (head?.value !== this.#lastValue) {
      this.#lose(current, head?.value);
      return undefined;
    }
    if (head.version !== this.#headVersion) {
      this.#headVersion = head.version;
      return current;
    }
    const versions = new Map(rows.map((row) => [keyText(row), row.version]));
    const holds = ({ conditions }: JournalEntry) =>
      conditions.every((row) => (versions.get(keyText(row)) ?? 0) === row.version);
    const left = current.entries.filter(holds);
    for (const entry of current.entries) if (!holds(entry)) entry.settle(EntryOutcome.Conflict);
    return left.length > 0 ? this.#attempt(left) : undefined;
  }

  #lose(current: Attempt, found: string | undefined): void {
    this.#isLost = true;
    for (const entry of current.entries) entry.settle(EntryOutcome.HolderLost);
    this.#deps.onLost(`head is ${found ?? 'missing'}, expected ${this.#lastValue}`);
  }
}

function headValue(epoch: number, sequence: number): string {
  return `${epoch}.${sequence}`;
}

/** Value of the head row that a claim writes. */
export const claimedHead = (epoch: number): string => headValue(epoch, 0);

function operationsOf({ conditions, writes, removes }: JournalEntry): number {
  return conditions.length + writes.length + removes.length;
}

function keyText({ table, key }: RowKey): string {
  return `${table}/${key}`;
}
