import { Result } from 'true-myth';
import {
  StoreError,
  StoreErrorCode,
  type FeedRow,
  type Row,
  type RowKey,
  type RowStore,
  type Transaction,
  type TransactionOutcome,
} from '../../batch/index.js';
import type { Clock } from '../../clock/index.js';

/** What happens to the next transactions of a node. */
export enum StoreFault {
  /** Refused; nothing is done. */
  Refuse = 'refuse',
  /** Not carried out and not answered. */
  DropCall = 'silent',
  /** Carried out, but not answered. */
  LoseAnswer = 'lose_answer',
  /** Carried out later if the conditions still hold, and not answered. */
  ApplyLate = 'late',
}

/** Time of one answer. */
const ANSWER_MS = 4;
/** Time after which a caller gives up on an answer. */
const NO_ANSWER_MS = 1_200;
/** Delay of a transaction that is carried out late. */
const LATE_MS = 2_000;

const keyText = ({ table, part, key }: RowKey) => `${table}\n${part}\n${key}`;

/** Linearizable rows in memory, shared by the nodes of a test. */
export class FakeRowStore {
  readonly rows = new Map<string, Row>();
  readonly #clock: Clock;
  readonly #history: FeedRow[] = [];
  /** Changes up to this version are no longer kept. */
  #forgottenUpto = 0;
  #version = 1;
  /** Fault of all calls of a node. */
  readonly faults = new Map<string, StoreFault>();
  /** Counts calls by kind. */
  readonly calls = { transact: 0, read: 0, feed: 0 };
  /** Extra milliseconds of a node's reads of a table and of its changes, as `NODE TABLE`. */
  readonly delays = new Map<string, number>();
  /** Reads of tables and of their changes by each node, as `NODE TABLE`. */
  readonly tableReads = new Map<string, number>();
  #waiters = new Set<() => void>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Drops the history of changes. */
  dropHistory(): void {
    this.#forgottenUpto = this.#version;
    this.#history.length = 0;
  }

  /** Writes a row as an operator or a worker does. */
  put(key: RowKey, value: string): void {
    this.#version++;
    this.#write({ ...key, value, version: this.#version, isRemoved: false });
    this.#wake();
  }

  /** The rows of a part in order of keys. */
  rowsOfPart(table: string, part: string): Row[] {
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  #write(row: FeedRow): void {
    if (row.isRemoved) this.rows.delete(keyText(row));
    else this.rows.set(keyText(row), row);
    this.#history.push(row);
  }

  #wake(): void {
    const waiters = this.#waiters;
    this.#waiters = new Set();
    for (const wake of waiters) wake();
  }

  #apply({ conditions, writes, removes }: Transaction): TransactionOutcome {
    const holds = conditions.every(
      (row) => (this.rows.get(keyText(row))?.version ?? 0) === row.version,
    );
    if (!holds) {
      const rows = conditions.map((row) => this.rows.get(keyText(row)));
      return { isApplied: false, rows: rows.filter((row) => row !== undefined) };
    }
    this.#version++;
    for (const row of writes) this.#write({ ...row, version: this.#version, isRemoved: false });
    for (const key of removes) {
      if (!this.rows.has(keyText(key))) continue;
      this.#write({ ...key, value: '', version: this.#version, isRemoved: true });
    }
    this.#wake();
    return { isApplied: true, version: this.#version };
  }

  /** The store as one node reaches it. */
  clientOf(node: string): RowStore {
    const guard = async (): Promise<StoreError | undefined> => {
      const fault = this.faults.get(node);
      if (fault === StoreFault.Refuse) {
        await this.#clock.sleep(ANSWER_MS);
        return new StoreError(StoreErrorCode.Refused, 'refused');
      }
      if (fault === StoreFault.DropCall) {
        await this.#clock.sleep(NO_ANSWER_MS);
        return new StoreError(StoreErrorCode.NoAnswer, 'no answer');
      }
      await this.#clock.sleep(ANSWER_MS);
      return undefined;
    };
    const startRead = async (table: string): Promise<void> => {
      const name = `${node} ${table}`;
      this.tableReads.set(name, (this.tableReads.get(name) ?? 0) + 1);
      const delayMs = this.delays.get(name);
      if (delayMs !== undefined) await this.#clock.sleep(delayMs);
    };
    return {
      transact: async (tx) => {
        this.calls.transact++;
        const err = await guard();
        if (err) return Result.err(err);
        const fault = this.faults.get(node);
        if (fault === StoreFault.ApplyLate) {
          this.#clock.setTimer(LATE_MS, () => {
            this.#apply(tx);
          });
        } else {
          const outcome = this.#apply(tx);
          if (fault !== StoreFault.LoseAnswer) {
            // A feed may tell of the change before the answer arrives.
            await this.#clock.sleep(ANSWER_MS);
            return Result.ok(outcome);
          }
        }
        await this.#clock.sleep(NO_ANSWER_MS);
        return Result.err(new StoreError(StoreErrorCode.NoAnswer, 'answer lost'));
      },
      readPart: async (table, part) => {
        this.calls.read++;
        await startRead(table);
        const err = await guard();
        if (err) return Result.err(err);
        return Result.ok({ rows: this.rowsOfPart(table, part), version: this.#version });
      },
      readRow: async (key) => {
        this.calls.read++;
        const err = await guard();
        return err ? Result.err(err) : Result.ok(this.rows.get(keyText(key)));
      },
      feed: async (table, after, waitMs, signal) => {
        this.calls.feed++;
        await startRead(table);
        const err = await guard();
        if (err) return Result.err(err);
        const res = await this.#feed(table, after, waitMs, signal);
        // What is cut meanwhile does not arrive.
        const cut = await guard();
        return cut ? Result.err(cut) : res;
      },
    };
  }

  async #feed(
    table: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<{ rows: FeedRow[]; version: number }, StoreError>> {
    const end = this.#clock.now() + waitMs;
    while (!signal.aborted) {
      if (after < this.#forgottenUpto) {
        return Result.err(new StoreError(StoreErrorCode.HistoryGone, 'history is gone'));
      }
      const rows = this.#history.filter((row) => row.table === table && row.version > after);
      if (rows.length > 0 || this.#clock.now() >= end) {
        return Result.ok({ rows, version: this.#version });
      }
      const wait = new AbortController();
      const wake = () => {
        wait.abort();
      };
      this.#waiters.add(wake);
      signal.addEventListener('abort', wake, { once: true });
      await this.#clock.sleep(Math.max(1, end - this.#clock.now()), wait.signal);
      signal.removeEventListener('abort', wake);
      this.#waiters.delete(wake);
    }
    return Result.ok({ rows: [], version: after });
  }
}
