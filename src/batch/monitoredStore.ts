import type { Result } from 'true-myth/result';
import type { Clock } from '../clock/index.js';
import type {
  Row,
  RowKey,
  RowStore,
  StoreLimits,
  StoreError,
  Transaction,
  TransactionOutcome,
} from './ports.js';

/** Calls unanswered for longer than this count as failing; a slow store still answers sooner. */
const OVERDUE_AFTER_MS = 450;
/**
 * The store is suspect only after this long without any answer. Longer than the interval between
 * regular calls, so that a single lost answer does not make it suspect.
 */
const SUSPECT_AFTER_MS = 700;

/** Wraps the store and tracks whether it answers this node, from the outcome of its calls. */
export class MonitoredStore implements RowStore {
  readonly #store: RowStore;
  readonly #clock: Clock;
  readonly #pendingCalls = new Map<symbol, number>();
  #answeredAt = -Infinity;
  #failedAt = -Infinity;

  constructor(store: RowStore, clock: Clock) {
    this.#store = store;
    this.#clock = clock;
  }

  get limits(): StoreLimits {
    return this.#store.limits;
  }

  /** Whether a call made now is likely to remain unanswered. */
  isSuspect(): boolean {
    const now = this.#clock.now();
    if (now - this.#answeredAt < SUSPECT_AFTER_MS) return false;
    const [oldest = Infinity] = this.#pendingCalls.values();
    return this.#failedAt > this.#answeredAt || now - oldest > OVERDUE_AFTER_MS;
  }

  transact(tx: Transaction): Promise<Result<TransactionOutcome, StoreError>> {
    return this.#track(this.#store.transact(tx));
  }

  readPart(
    table: string,
    part: string,
  ): Promise<Result<{ rows: Row[]; version: number }, StoreError>> {
    return this.#track(this.#store.readPart(table, part));
  }

  readRow(key: RowKey): Promise<Result<Row | undefined, StoreError>> {
    return this.#track(this.#store.readRow(key));
  }

  async feed(...args: Parameters<RowStore['feed']>): ReturnType<RowStore['feed']> {
    // Feed calls are long polls, so only their outcome is recorded, not their duration.
    const res = await this.#store.feed(...args);
    this.#recordOutcome(res.isOk);
    return res;
  }

  async #track<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const key = Symbol('call');
    this.#pendingCalls.set(key, this.#clock.now());
    const res = await call;
    this.#pendingCalls.delete(key);
    this.#recordOutcome(res.isOk);
    return res;
  }

  #recordOutcome(isAnswered: boolean): void {
    if (isAnswered) this.#answeredAt = this.#clock.now();
    else this.#failedAt = this.#clock.now();
  }
}
