import { Result } from 'true-myth';
import {
  StoreError,
  StoreErrorCode,
  type FeedRow,
  type Row,
  type RowKey,
  type RowStore,
  type StoreLimits,
  type Transaction,
  type TransactionOutcome,
} from '../../batch/index.js';
import type { Clock } from '../../clock/index.js';

/** Fault injected into the calls of a node. */
export enum StoreFault {
  /** The call is refused and has no effect. */
  Refuse = 'refuse',
  /** The call has no effect and is not answered. */
  DropCall = 'silent',
  /** A transaction is applied but not answered; other calls succeed. */
  LoseAnswer = 'lose_answer',
  /** A transaction is applied, but its answer cannot be decoded; other calls succeed. */
  SpoilAnswer = 'spoil_answer',
  /**
   * A transaction is applied after a delay if its conditions still hold, and not answered; other
   * calls succeed.
   */
  ApplyLate = 'late',
}

/** Time until the store answers a call. */
const ANSWER_DELAY_MS = 4;
/** Time after which a caller gives up on an answer. */
const NO_ANSWER_TIMEOUT_MS = 1_200;
/** Delay until a transaction with {@link StoreFault.ApplyLate} is applied. */
const LATE_APPLY_DELAY_MS = 2_000;

/** Maximum size of a table, part or key name. */
const MAX_NAME_BYTES = 200;

/** Sizes up to which the fake store accepts rows and transactions. */
export const fakeStoreLimits: StoreLimits = {
  rowBytes: 65_536,
  operations: 100,
  transactionBytes: 750_000,
};

const keyText = ({ table, part, key }: RowKey) => `${table}\n${part}\n${key}`;

/** Linearizable in-memory row store that the nodes of a test share. */
export class FakeRowStore {
  readonly rows = new Map<string, Row>();
  readonly #clock: Clock;
  readonly #acceptsSeveralParts: boolean;
  readonly #history: FeedRow[] = [];
  /** The history holds only changes after this version. */
  #droppedUpToVersion = 0;
  #version = 1;
  /** Faults by node. */
  readonly faults = new Map<string, StoreFault>();
  /** Broken limits of the calls that the store never accepts. */
  readonly invalidCalls: string[] = [];
  /** Called when a node sends a transaction, before the store applies it. */
  onTransaction: (node: string, tx: Transaction) => void = () => undefined;
  /** Number of calls by kind. */
  readonly calls = { transact: 0, read: 0, feed: 0 };
  /** Additional delay in milliseconds of reads and feeds, by `NODE TABLE`. */
  readonly delays = new Map<string, number>();
  /** Number of reads of parts and feeds, by `NODE TABLE`. */
  readonly tableReads = new Map<string, number>();
  #waiters = new Set<() => void>();

  /** @param acceptsSeveralParts - whether a transaction may contain rows of several parts */
  constructor(clock: Clock, acceptsSeveralParts = false) {
    this.#clock = clock;
    this.#acceptsSeveralParts = acceptsSeveralParts;
  }

  /** Drops the history of changes; a feed from an earlier version then fails. */
  dropHistory(): void {
    this.#droppedUpToVersion = this.#version;
    this.#history.length = 0;
  }

  /** Writes a row without conditions, as operators and workers do. */
  put(key: RowKey, value: string): void {
    this.#version++;
    this.#write({ ...key, value, version: this.#version, isRemoved: false });
    this.#wakeWaiters();
  }

  /** Removes a row without conditions. */
  remove(key: RowKey): void {
    this.#version++;
    this.#write({ ...key, value: '', version: this.#version, isRemoved: true });
    this.#wakeWaiters();
  }

  /** Returns the rows of a part sorted by key. */
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

  #wakeWaiters(): void {
    const waiters = this.#waiters;
    this.#waiters = new Set();
    for (const wake of waiters) wake();
  }

  /** Why the store never accepts a transaction; undefined if it may. */
  #findBrokenLimit({ conditions, writes, removes }: Transaction): string | undefined {
    const { rowBytes, operations, transactionBytes } = fakeStoreLimits;
    const keys = [...conditions, ...writes, ...removes];
    if (keys.length > operations) return `${keys.length} entries`;
    const changed = [...writes, ...removes].map(keyText);
    if (new Set(changed).size < changed.length) return 'a row is changed twice';
    const isLong = (text: string) => Buffer.byteLength(text) > MAX_NAME_BYTES;
    if (keys.some(({ table, part, key }) => isLong(table) || isLong(part) || isLong(key)))
      return 'a name is too long';
    const sizes = writes.map(({ value }) => Buffer.byteLength(value));
    if (sizes.some((bytes) => bytes > rowBytes)) return 'a value is too long';
    const bytes = sizes.reduce((sum, size) => sum + size, 0);
    if (bytes > transactionBytes) return `${bytes} bytes`;
    if (!this.#acceptsSeveralParts && new Set(keys.map(({ part }) => part)).size > 1)
      return 'rows of several parts';
    return undefined;
  }

  #apply({ conditions, writes, removes }: Transaction): TransactionOutcome {
    const conditionsHold = conditions.every(
      (row) => (this.rows.get(keyText(row))?.version ?? 0) === row.version,
    );
    if (!conditionsHold) {
      const rows = conditions.map((row) => this.rows.get(keyText(row)));
      return { isApplied: false, rows: rows.filter((row) => row !== undefined) };
    }
    this.#version++;
    for (const row of writes) this.#write({ ...row, version: this.#version, isRemoved: false });
    for (const key of removes) {
      if (!this.rows.has(keyText(key))) continue;
      this.#write({ ...key, value: '', version: this.#version, isRemoved: true });
    }
    this.#wakeWaiters();
    return { isApplied: true, version: this.#version };
  }

  /** Creates the client of one node, with its faults and delays. */
  clientOf(node: string): RowStore {
    const applyNodeFault = async (): Promise<StoreError | undefined> => {
      const fault = this.faults.get(node);
      if (fault === StoreFault.Refuse) {
        await this.#clock.sleep(ANSWER_DELAY_MS);
        return new StoreError(StoreErrorCode.Refused, 'the store refused the call');
      }
      if (fault === StoreFault.DropCall) {
        await this.#clock.sleep(NO_ANSWER_TIMEOUT_MS);
        return new StoreError(StoreErrorCode.NoAnswer, 'the store did not answer');
      }
      await this.#clock.sleep(ANSWER_DELAY_MS);
      return undefined;
    };
    const delayRead = async (table: string): Promise<void> => {
      const delayMs = this.delays.get(`${node} ${table}`);
      if (delayMs !== undefined) await this.#clock.sleep(delayMs);
    };
    const countAndDelayRead = async (table: string): Promise<void> => {
      const name = `${node} ${table}`;
      this.tableReads.set(name, (this.tableReads.get(name) ?? 0) + 1);
      await delayRead(table);
    };
    return {
      limits: fakeStoreLimits,
      transact: async (tx) => {
        this.calls.transact++;
        this.onTransaction(node, tx);
        const err = await applyNodeFault();
        if (err) return Result.err(err);
        const brokenLimit = this.#findBrokenLimit(tx);
        if (brokenLimit !== undefined) {
          this.invalidCalls.push(brokenLimit);
          return Result.err(new StoreError(StoreErrorCode.Invalid, brokenLimit));
        }
        const fault = this.faults.get(node);
        if (fault === StoreFault.ApplyLate) {
          this.#clock.setTimer(LATE_APPLY_DELAY_MS, () => {
            this.#apply(tx);
          });
        } else {
          const outcome = this.#apply(tx);
          if (fault === StoreFault.SpoilAnswer) {
            return Result.err(new StoreError(StoreErrorCode.BadAnswer, 'the answer is no JSON'));
          }
          if (fault !== StoreFault.LoseAnswer) {
            // A feed may deliver the change before the answer arrives.
            await this.#clock.sleep(ANSWER_DELAY_MS);
            return Result.ok(outcome);
          }
        }
        await this.#clock.sleep(NO_ANSWER_TIMEOUT_MS);
        return Result.err(
          new StoreError(StoreErrorCode.NoAnswer, 'the answer of the store was lost'),
        );
      },
      readPart: async (table, part) => {
        this.calls.read++;
        await countAndDelayRead(table);
        const err = await applyNodeFault();
        if (err) return Result.err(err);
        return Result.ok({ rows: this.rowsOfPart(table, part), version: this.#version });
      },
      readRow: async (key) => {
        this.calls.read++;
        await delayRead(key.table);
        const err = await applyNodeFault();
        return err ? Result.err(err) : Result.ok(this.rows.get(keyText(key)));
      },
      feed: async (table, after, waitMs, signal) => {
        this.calls.feed++;
        await countAndDelayRead(table);
        const err = await applyNodeFault();
        if (err) return Result.err(err);
        const res = await this.#feed(table, after, waitMs, signal);
        // A fault that began during the wait also affects the answer.
        const lateErr = await applyNodeFault();
        return lateErr ? Result.err(lateErr) : res;
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
      if (after < this.#droppedUpToVersion) {
        return Result.err(
          new StoreError(StoreErrorCode.HistoryGone, 'the history no longer covers this version'),
        );
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
