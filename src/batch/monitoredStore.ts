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

/** A call that has had no answer for so long makes the store suspect; slow phases take less. */
const SUSPECT_AFTER_MS = 450;

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
  get isSuspect(): boolean {
    if (this.#failedAt > this.#answeredAt) return true;
    const [oldest] = this.#open.values();
    if (oldest === undefined || this.#clock.now() - oldest < SUSPECT_AFTER_MS) return false;
    // Calls sent later may have been answered on other channels.
    return this.#answeredAt < oldest + SUSPECT_AFTER_MS;
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

  feed(...args: Parameters<RowStore['feed']>): ReturnType<RowStore['feed']> {
    return this.#store.feed(...args);
  }

  async #follow<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const key = Symbol('call');
    this.#open.set(key, this.#clock.now());
    const res = await call;
    this.#open.delete(key);
    if (res.isOk) this.#answeredAt = this.#clock.now();
    else this.#failedAt = this.#clock.now();
    return res;
  }
}
