import { Result } from 'true-myth';
import type { Counters } from '../batch/counters.js';
import type { DecisionLog } from '../batch/decisionLog.js';
import { LinkErrorCode, type NodeTransport } from '../batch/links.js';
import type { MonitoredStore } from '../batch/monitoredStore.js';
import {
  StoreError,
  StoreErrorCode,
  type RowKey,
  type RowStore,
  type StoreLimits,
  type Transaction,
} from '../batch/ports.js';
import type { Clock } from '../clock/index.js';
import type { Random } from '../random/index.js';
import {
  CHECK_TIMEOUT_MS,
  CHECKED_PEERS,
  OVERDUE_MS,
  PROBE_INTERVAL_MS,
  RELAY_TIMEOUT_MS,
  SEARCH_PAUSE_MS,
} from './defaults.js';
import { decodeFeed, decodeOutcome, decodeRow, decodeRows, isReachableAnswer } from './messages.js';
import { RelayOperation, type RelayRequest } from './types.js';

/** Dependencies of a {@link RelayedStore}. */
export interface RelayedStoreDeps {
  /** The node's own path to the store. */
  direct: MonitoredStore;
  transport: NodeTransport;
  /** `IP:port` of other nodes that may reach the store. */
  peers: () => readonly string[];
  clock: Clock;
  random: Random;
  log: DecisionLog;
  counters: Counters;
}

type Call<T> = () => Promise<Result<T, StoreError>>;

/**
 * Reaches the store through another node while this node's own path fails. Answers outages in which
 * the store, or the network, rejects some nodes and serves the others: a holder then keeps its
 * services, and a gateway goes on accepting jobs.
 *
 * A transaction may be sent on both paths. That is safe because each one that must not be applied
 * twice has a condition on the version of a row that it changes.
 */
export class RelayedStore implements RowStore {
  readonly #deps: RelayedStoreDeps;
  /** Peer through which calls pass. */
  #relay: string | undefined;
  #search: Promise<string | undefined> | undefined;
  #searchedAt = -Infinity;
  #probedAt = -Infinity;

  constructor(deps: RelayedStoreDeps) {
    this.#deps = deps;
  }

  get limits(): StoreLimits {
    return this.#deps.direct.limits;
  }

  transact(tx: Transaction): ReturnType<RowStore['transact']> {
    const req = { relay: RelayOperation.Transact, tx } as const;
    return this.#call(() => this.#deps.direct.transact(tx), req, decodeOutcome);
  }

  readPart(table: string, part: string): ReturnType<RowStore['readPart']> {
    const req = { relay: RelayOperation.ReadPart, table, part } as const;
    return this.#call(() => this.#deps.direct.readPart(table, part), req, decodeRows);
  }

  readRow(key: RowKey): ReturnType<RowStore['readRow']> {
    const req = { relay: RelayOperation.ReadRow, key } as const;
    return this.#call(() => this.#deps.direct.readRow(key), req, decodeRow);
  }

  feed(
    table: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): ReturnType<RowStore['feed']> {
    const req = { relay: RelayOperation.Feed, table, after, waitMs } as const;
    const direct = () => this.#deps.direct.feed(table, after, waitMs, signal);
    return this.#call(direct, req, decodeFeed, waitMs);
  }

  /**
   * @param waitMs - duration for which a long poll may remain unanswered, in milliseconds
   */
  async #call<T>(
    direct: Call<T>,
    req: RelayRequest,
    decode: (body: unknown) => Result<T, StoreError>,
    waitMs = 0,
  ): Promise<Result<T, StoreError>> {
    const { direct: store, clock } = this.#deps;
    if (store.isSuspect()) {
      this.#probe();
      const relay = this.#relay ?? (await this.#findRelay());
      return relay === undefined ? direct() : this.#callPeer(relay, req, decode, waitMs);
    }
    this.#endRelay();
    const answer = direct();
    const timer = new AbortController();
    const overdue = clock.sleep(waitMs + OVERDUE_MS, timer.signal).then(() => undefined);
    const first = await Promise.race([answer, overdue]);
    timer.abort();
    if (first) return first;
    if (!store.isSuspect()) return answer;
    const relay = this.#relay ?? (await this.#findRelay());
    if (relay === undefined) return answer;
    const relayed = this.#callPeer(relay, req, decode, waitMs);
    return firstOk(answer, relayed);
  }

  async #callPeer<T>(
    relay: string,
    req: RelayRequest,
    decode: (body: unknown) => Result<T, StoreError>,
    waitMs: number,
  ): Promise<Result<T, StoreError>> {
    const { transport, counters } = this.#deps;
    const res = await transport.call(relay, req, RELAY_TIMEOUT_MS + waitMs);
    if (res.isErr) {
      counters.count('relayed_calls', res.error.code);
      if (this.#relay === relay) this.#relay = undefined;
      const wasSent = res.error.code === LinkErrorCode.NoAnswer;
      const code = wasSent ? StoreErrorCode.NoAnswer : StoreErrorCode.Refused;
      return Result.err(new StoreError(code, res.error.message, res.error));
    }
    const decoded = decode(res.value);
    counters.count('relayed_calls', decoded.isOk ? 'ok' : decoded.error.code);
    const hasLostStore =
      decoded.isErr &&
      (decoded.error.code === StoreErrorCode.NoAnswer ||
        decoded.error.code === StoreErrorCode.Refused);
    // The peer's own path fails, too; the next call looks for another peer.
    if (hasLostStore && this.#relay === relay) this.#relay = undefined;
    return decoded;
  }

  /** Tries the direct path, whose answer ends its suspicion. */
  #probe(): void {
    const { direct, clock } = this.#deps;
    if (clock.now() - this.#probedAt < PROBE_INTERVAL_MS) return;
    this.#probedAt = clock.now();
    void direct.readRow({ table: 'node', part: '', key: '' });
  }

  #endRelay(): void {
    if (this.#relay === undefined) return;
    this.#deps.log.info('store_path', { path: 'direct', before: this.#relay });
    this.#relay = undefined;
  }

  /** Finds a peer that reaches the store; calls made meanwhile share the search. */
  #findRelay(): Promise<string | undefined> {
    const { clock } = this.#deps;
    if (this.#search) return this.#search;
    if (clock.now() - this.#searchedAt < SEARCH_PAUSE_MS) return Promise.resolve(undefined);
    this.#search = this.#askPeers().finally(() => {
      this.#search = undefined;
    });
    return this.#search;
  }

  async #askPeers(): Promise<string | undefined> {
    const { transport, peers, random, clock, log, counters } = this.#deps;
    const candidates = random.shuffle([...peers()]).slice(0, CHECKED_PEERS);
    const ask = async (address: string) => {
      const res = await transport.call(address, { relay: RelayOperation.Check }, CHECK_TIMEOUT_MS);
      return res.isOk && isReachableAnswer(res.value) ? address : undefined;
    };
    const relay = await firstDefined(candidates.map(ask));
    if (relay === undefined) this.#searchedAt = clock.now();
    else log.warn('store_path', { path: 'relayed', relay, asked: candidates.length });
    counters.count('relay_searches', relay === undefined ? 'none' : 'found');
    this.#relay = relay;
    return relay;
  }
}

/**
 * The first successful result of a call that was sent on two paths. If there is none, the result that
 * leaves open whether the call took effect, because a refusal on one path says nothing of the other.
 */
async function firstOk<T>(
  first: Promise<Result<T, StoreError>>,
  second: Promise<Result<T, StoreError>>,
): Promise<Result<T, StoreError>> {
  const successOf = async (call: Promise<Result<T, StoreError>>) => {
    const res = await call;
    return res.isOk ? res : undefined;
  };
  const success = await firstDefined([successOf(first), successOf(second)]);
  if (success) return success;
  const res = await first;
  return res.isErr && res.error.code === StoreErrorCode.Refused ? second : res;
}

/** The first defined value; undefined if there is none. */
async function firstDefined<T>(values: Promise<T | undefined>[]): Promise<T | undefined> {
  return new Promise((resolve) => {
    for (const value of values) {
      void value.then((found) => {
        if (found !== undefined) resolve(found);
      });
    }
    void Promise.all(values).then(() => {
      resolve(undefined);
    });
  });
}
