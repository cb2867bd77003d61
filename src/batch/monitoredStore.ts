import type { Result } from 'true-myth/result';
import type { Clock } from '../clock/index.js';
import type {
  Row,
  RowKey,
  RowStore,
  StoreError,
  Transaction,
  TransactionOutcome,
} from './ports.js';

/** A call that has had no answer for so long counts as failing; slow phases take less. */
const FAILING_AFTER_MS = 450;
/**
 * The store is suspect after so long without any answer. Above the interval of the regular calls,
 * so that single answers that are lost do not count.
 */
const SUSPECT_AFTER_MS = 700;

/** Follows whether the store answers this node, over all its short calls. */
export class MonitoredStore implements RowStore {
  readonly #store: RowStore;
  readonly #clock: Clock;
  readonly #open = new Map<symbol, number>();
  #answeredAt = -Infinity;
  #failedAt = -Infinity;

  constructor(store: RowStore, clock: Clock) {
    this.#store = store;
    this.#clock = clock;
  }

  /** Whether a call now is likely to have no answer. */
  isSuspect(): boolean {
    const now = this.#clock.now();
    if (now - this.#answeredAt < SUSPECT_AFTER_MS) return false;
    const [oldest = Infinity] = this.#open.values();
    return this.#failedAt > this.#answeredAt || now - oldest > FAILING_AFTER_MS;
  }

  transact(tx: Transaction): Promise<Result<TransactionOutcome, StoreError>> {
    return this.#follow(this.#store.transact(tx));
  }

  readPart(
    table: string,
    part: string,
  ): Promise<Result<{ rows: Row[]; version: number }, StoreError>> {
    return this.#follow(this.#store.readPart(table, part));
  }

  readRow(key: RowKey): Promise<Result<Row | undefined, StoreError>> {
    return this.#follow(this.#store.readRow(key));
  }

  async feed(...args: Parameters<RowStore['feed']>): ReturnType<RowStore['feed']> {
    // Feeds wait by design, so only their ends tell something.
    const res = await this.#store.feed(...args);
    this.#note(res.isOk);
    return res;
  }

  async #follow<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const key = Symbol('call');
    this.#open.set(key, this.#clock.now());
    const res = await call;
    this.#open.delete(key);
    this.#note(res.isOk);
    return res;
  }

  #note(isAnswered: boolean): void {
    if (isAnswered) this.#answeredAt = this.#clock.now();
    else this.#failedAt = this.#clock.now();
  }
}
