import Emittery from 'emittery';
import type { Result } from 'true-myth/result';
import { elapsedMs, type Clock } from '../clock/index.js';
import {
  epochRange,
  isFields,
  isFlag,
  isNumberIn,
  isOptionalFlag,
  isText,
  isWholeNumberIn,
  parseJson,
  type NumberRange,
} from '../validation/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { initialHeadValue, headKey } from './journal.js';
import { rankForService, type Candidate } from './nodeWeight.js';
import type { Row, RowKey, RowStore, StoreError, TransactionOutcome } from './ports.js';
import {
  LeaseBounds,
  MAX_LEASE_REMAINDER_MS,
  readReleasedLeases,
  type ReleasedLeases,
} from './recovery.js';

/** Interval at which this node's row is renewed and all node rows are read. */
const RENEW_INTERVAL_MS = 600;
/** A node expires when its row has not changed for this long while the store answers. */
const NODE_EXPIRY_MS = 2_400;
/** How long after its last renewal a holder is certain to still hold its services. */
const START_AUTHORITY_MS = 2_000;
/**
 * How long after its last renewal a holder may still extend leases and start tasks without earlier
 * runs. A successor waits for the leases that may have been granted in that time.
 */
const EXTEND_AUTHORITY_MS = 7_000;
/**
 * Time in milliseconds after a node's expiry during which it may still send orders as the previous
 * holder. A holder that released the service, or whose process has ended, sends none.
 */
const STALE_ORDER_WINDOW_MS = EXTEND_AUTHORITY_MS - NODE_EXPIRY_MS;
/** Gap between successful reads after which the expiry periods of all nodes restart. */
const READ_GAP_MS = 1_800;
/** Delay before a new process's first claim, so that it sees nodes that start at the same time. */
const FIRST_CLAIM_DELAY_MS = 900;
/** Delay before a claim per live node that ranks higher for the service. */
const CLAIM_STAGGER_MS = 500;
/** As {@link CLAIM_STAGGER_MS}, for a released service, which all nodes notice at once. */
const RELEASED_STAGGER_MS = 150;
/** Long-poll duration of one feed call; short, so that a stalled connection is detected early. */
const FEED_WAIT_MS = 1_500;
const RETRY_MS = 300;
/** Weight of a node whose row does not contain one. */
const DEFAULT_WEIGHT = 1;

/** Pseudo-service whose holder sends the VM orders to the vendor. */
export const FLEET_SERVICE = '@fleet';

/** Holder of a service, as stored in its owner row. */
export interface Owner {
  service: string;
  node: string;
  /** Session in which the holder claimed the service. */
  incarnation: string;
  epoch: number;
  /** `IP:port` of the holder's listener for other nodes. */
  address: string;
  /** Whether the holder released the service. */
  isReleased: boolean;
  /**
   * For how long after the release an earlier holder, which expired without a release, may still send
   * orders, in milliseconds. Missing in rows of earlier versions and while the service is held.
   */
  staleOrderWindowMs?: number;
  /** Set at the release; missing in rows of earlier versions. */
  leases?: ReleasedLeases;
  /** Version of the row. */
  version: number;
}

/** A successful claim of a service. */
export interface Claim {
  service: string;
  epoch: number;
  /** Version of the head row after the claim. */
  headVersion: number;
  /**
   * For how long after the claim an earlier holder may still send orders, in milliseconds; 0 if each
   * of them has released the service or expired long enough ago.
   */
  staleOrderWindowMs: number;
  /** Until when leases may last on the workers of the service. */
  leases: LeaseBounds;
}

/** Events of {@link Ownership}. */
export interface OwnershipEvents {
  claimed: Claim;
  /** This process no longer holds a service. */
  lost: { service: string; reason: string };
}

/** Dependencies of {@link Ownership}. */
export interface OwnershipDeps {
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  node: string;
  /** Unique per start of the process; the sessions of a process extend it by a number. */
  incarnation: string;
  /** `IP:port` of this process's listener for other nodes. */
  address: string;
  /** Number of busy services that this node can hold. */
  weight: number;
  /** Names of the services that need a holder. */
  services: () => string[];
}

interface NodeRow {
  /** Session of the process; see {@link Ownership}. */
  incarnation: string;
  address: string;
  weight?: number;
  /**
   * Whether another node has ended the session. A fenced session is never renewed again, so that its
   * services can be claimed.
   */
  isFenced?: boolean;
}

interface ObservedNode extends NodeRow {
  version: number;
  /**
   * Whether a row that cannot be decoded has replaced that of the session. The session cannot be
   * renewed any more, because a renewal requires the version of the one before.
   */
  isReplaced?: boolean;
  /** Monotonic time of the first read of this version, or of the first read after a gap. */
  observedAt: number;
}

/** Maximum transactions of one renewal: the row may have to be read first, or a session replaced. */
const MAX_RENEWAL_ATTEMPTS = 3;

const nodeKey = (node: string): RowKey => ({ table: 'node', part: '', key: node });
const ownerKey = (service: string): RowKey => ({ table: 'owner', part: service, key: 'owner' });

/**
 * Tracks and claims the ownership of services. Each process renews one node row, which lists its
 * session. When a holder stops renewing, another process takes its services in two transactions of
 * one part each: it fences the session in the node row, and then claims the service with a higher
 * epoch, which also serves as the fencing token for the workers. A renewal requires the version of
 * the previous one and therefore fails after a fence; the process then drops its services and
 * continues with a new session.
 */
export class Ownership {
  readonly events = new Emittery<OwnershipEvents>();
  readonly #deps: OwnershipDeps;
  readonly #owners = new Map<string, Owner>();
  readonly #nodes = new Map<string, ObservedNode>();
  readonly #unownedSince = new Map<string, number>();
  readonly #heldEpochs = new Map<string, number>();
  /** Monotonic time until which earlier holders of a held service may send orders. */
  readonly #staleOrdersUntil = new Map<string, number>();
  readonly #leases = new Map<string, LeaseBounds>();
  /** Last epoch of each service that this process held and lost. */
  readonly #lostEpochs = new Map<string, number>();
  /** Number of the current session of this process. */
  #session = 1;
  /** Version of the own node row at the last renewal; 0 when there is none. */
  #rowVersion = 0;
  #renewedAt = -Infinity;
  #renewedWallTime = -Infinity;
  #lastReadAt = -Infinity;
  #startedAt: number;
  /** Whether this process no longer claims services. */
  #isLeaving = false;
  /** Whether this process no longer renews its node row. */
  #hasStoppedRenewing = false;
  #isClaiming = false;

  constructor(deps: OwnershipDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  /** Last known holder of a service; undefined when none is known. */
  ownerOf(service: string): Owner | undefined {
    const owner = this.#owners.get(service);
    return owner?.isReleased ? undefined : owner;
  }

  /** Whether this process holds a service, to its knowledge; a successor may already exist. */
  holds(service: string): boolean {
    return this.#heldEpochs.has(service);
  }

  /** Names of all live nodes, including this one. */
  liveNodes(): string[] {
    const now = this.#deps.clock.now();
    return [...this.#nodes]
      .filter(([, { isFenced }]) => isFenced !== true)
      .filter(([, { observedAt }]) => now - observedAt < NODE_EXPIRY_MS)
      .map(([name]) => name);
  }

  /** Addresses of all other nodes that were alive when the node rows were last read. */
  peerAddresses(): string[] {
    return [...this.#nodes]
      .filter(([name, { isFenced }]) => name !== this.#deps.node && isFenced !== true)
      .map(([, { address }]) => address);
  }

  /** Whether no other node can have claimed one of this node's services. */
  canStart(): boolean {
    return this.#renewalAgeMs() < START_AUTHORITY_MS;
  }

  /** Whether this process may still extend leases and start tasks without earlier runs. */
  canExtend(): boolean {
    return this.#renewalAgeMs() < EXTEND_AUTHORITY_MS;
  }

  /** Whether the store answered recently. */
  isStoreReachable(): boolean {
    return this.#deps.clock.now() - this.#lastReadAt < NODE_EXPIRY_MS;
  }

  /**
   * Milliseconds since the last renewal was sent. Also considers wall-clock time, because the
   * monotonic clock stops while the VM is suspended.
   */
  #renewalAgeMs(): number {
    const { clock } = this.#deps;
    return elapsedMs(clock, { monotonicMs: this.#renewedAt, wallMs: this.#renewedWallTime });
  }

  /** Renews the node row, watches node and owner rows, and claims services until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#renewLoop(signal),
      this.#watchNodes(signal),
      this.#watchOwners(signal),
    ]);
  }

  async #renewLoop(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    do {
      await this.#renew();
      if (this.#mayClaim()) await this.#claimAvailableServices();
    } while (await clock.sleep(RENEW_INTERVAL_MS, signal));
  }

  async #watchNodes(signal: AbortSignal): Promise<void> {
    do await this.#readNodes();
    while (await this.#deps.clock.sleep(RENEW_INTERVAL_MS, signal));
  }

  /** Claims released services without waiting for the next renewal. */
  async #claimReleased(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    let isReleased = true;
    while (isReleased && !signal.aborted && this.#mayClaim()) {
      await this.#claimAvailableServices();
      isReleased = [...this.#owners.values()].some((owner) => owner.isReleased);
      await clock.sleep(RELEASED_STAGGER_MS, signal);
    }
  }

  /** Whether the session is renewed in the store, so that other nodes see it as alive. */
  #mayClaim(): boolean {
    return !this.#isLeaving && this.isStoreReachable() && this.canStart();
  }

  /** Identifies the current session in node and owner rows. */
  get #sessionId(): string {
    return `${this.#deps.incarnation}/${this.#session}`;
  }

  /** Renews the row of this node. Returns false on failure. */
  async #renew(): Promise<boolean> {
    const { clock, store, node, address, weight, log, counters } = this.#deps;
    for (let attempt = 0; attempt < MAX_RENEWAL_ATTEMPTS; attempt++) {
      if (this.#hasStoppedRenewing) return false;
      const sentAt = clock.now();
      const sentWallTime = clock.wallTime();
      const row: NodeRow = { incarnation: this.#sessionId, address, weight };
      const res = await store.transact({
        conditions: [{ ...nodeKey(node), version: this.#rowVersion }],
        writes: [{ ...nodeKey(node), value: JSON.stringify(row) }],
        removes: [],
      });
      if (res.isErr) {
        counters.count('renewal_failures', res.error.code);
        log.warn('renewal_failed', {
          node,
          reason: res.error.code,
          age_ms: this.#renewalAgeMs() | 0,
        });
        return false;
      }
      if (res.value.isApplied) {
        this.#rowVersion = res.value.version;
        this.#renewedAt = sentAt;
        this.#renewedWallTime = sentWallTime;
        return true;
      }
      this.#handleRenewalConflict(res.value.rows[0]);
    }
    counters.count('renewal_failures', 'conflict');
    return false;
  }

  /** Continues from the found node row, with a new session unless the row is of this session. */
  #handleRenewalConflict(found: Row | undefined): void {
    const value = found && decodeNodeRow(found.value);
    this.#rowVersion = found?.version ?? 0;
    const isOwnSession = value?.incarnation === this.#sessionId;
    // An earlier renewal whose answer was lost.
    if (isOwnSession && value.isFenced !== true) return;
    const { node, log, counters } = this.#deps;
    const held = [...this.#heldEpochs.keys()];
    if (isOwnSession || held.length > 0) {
      const reason = isOwnSession ? 'fenced' : 'node_row_replaced';
      counters.count('sessions_ended', reason);
      log.warn('session_ended', { node, session: this.#session, reason, services: held.length });
    }
    this.#session++;
    for (const service of held) this.markLost(service, 'the session of this process has ended');
  }

  async #readNodes(): Promise<void> {
    const { clock, store } = this.#deps;
    const res = await store.readPart('node', '');
    if (res.isErr) return;
    const now = clock.now();
    const hadGap = now - this.#lastReadAt > READ_GAP_MS;
    this.#lastReadAt = now;
    const names = new Set(res.value.rows.map(({ key }) => key));
    for (const row of res.value.rows) this.#observeNode(row, hadGap);
    for (const name of this.#nodes.keys()) if (!names.has(name)) this.#nodes.delete(name);
  }

  /** Records a node row. Its expiry period restarts when the row has changed, or if requested. */
  #observeNode(row: Row, restartsExpiry = false): NodeRow | undefined {
    const value = decodeNodeRow(row.value);
    const observed = this.#nodes.get(row.key);
    if (!value) {
      this.#deps.counters.count('bad_rows', 'node');
      if (observed && observed.version < row.version) {
        this.#nodes.set(row.key, { ...observed, version: row.version, isReplaced: true });
      }
      return undefined;
    }
    // A transaction may have shown a newer version while a read was in progress.
    if (observed && observed.version > row.version) return observed;
    const isChanged = observed?.version !== row.version;
    const observedAt = isChanged || restartsExpiry ? this.#deps.clock.now() : observed.observedAt;
    this.#nodes.set(row.key, { ...value, version: row.version, observedAt });
    return value;
  }

  async #watchOwners(signal: AbortSignal): Promise<void> {
    const { store, clock } = this.#deps;
    let after: number | undefined;
    while (!signal.aborted) {
      if (after === undefined) {
        after = await this.#readOwners();
        if (after === undefined) await clock.sleep(RETRY_MS, signal);
        continue;
      }
      const res = await store.feed('owner', after, FEED_WAIT_MS, signal);
      if (res.isOk) {
        for (const row of res.value.rows) this.#applyOwnerRow(row);
        after = res.value.version;
        if (res.value.rows.length > 0) void this.#claimReleased(signal);
        continue;
      }
      after = undefined;
      await clock.sleep(RETRY_MS, signal);
    }
  }

  async #readOwners(): Promise<number | undefined> {
    let oldest: number | undefined;
    for (const service of this.#deps.services()) {
      const res = await this.#deps.store.readPart('owner', service);
      if (res.isErr) return undefined;
      for (const row of res.value.rows) this.#applyOwnerRow(row);
      oldest ??= res.value.version;
    }
    return oldest;
  }

  /** Whether the session named in an owner row is alive. */
  #isAlive(owner: Owner): boolean {
    const { clock, node } = this.#deps;
    if (owner.node === node) {
      return owner.incarnation === this.#sessionId && this.#heldEpochs.has(owner.service);
    }
    const observed = this.#nodes.get(owner.node);
    if (observed?.incarnation !== owner.incarnation || observed.isFenced === true) return false;
    return clock.now() - observed.observedAt < NODE_EXPIRY_MS;
  }

  /**
   * Makes sure that the session named in an owner row can never be renewed again. Another session in
   * the node row, or none, is only trusted from a read after the owner row was seen.
   */
  async #endSession({ node, incarnation, service }: Owner): Promise<boolean> {
    const { store, clock, log, counters } = this.#deps;
    const observed = this.#nodes.get(node);
    if (observed?.incarnation !== incarnation) {
      const res = await store.readRow(nodeKey(node));
      if (res.isErr) return false;
      const current = res.value && this.#observeNode(res.value);
      return current?.incarnation !== incarnation || current.isFenced === true;
    }
    if (observed.isFenced === true || observed.isReplaced === true) return true;
    const { version, observedAt, ...row } = observed;
    const res = await store.transact({
      conditions: [{ ...nodeKey(node), version }],
      writes: [{ ...nodeKey(node), value: JSON.stringify({ ...row, isFenced: true }) }],
      removes: [],
    });
    const outcome = outcomeOf(res);
    counters.count('fences', outcome);
    const silent_ms = Math.round(clock.now() - observedAt);
    log.warn('node_fenced', { node, service, silent_ms, outcome });
    if (res.isErr) return false;
    if (res.value.isApplied) {
      this.#nodes.set(node, { ...observed, version: res.value.version, isFenced: true });
      return true;
    }
    const [found] = res.value.rows;
    if (found) this.#observeNode(found);
    return false;
  }

  #applyOwnerRow(row: Row): void {
    const knownOwner = this.#owners.get(row.part);
    if (knownOwner && knownOwner.version >= row.version) return;
    const value = decodeOwnerRow(row.value);
    if (!value) {
      this.#deps.counters.count('bad_rows', 'owner');
      this.#deps.log.warn('owner_row_unreadable', { service: row.part, version: row.version });
      // The next claim replaces the row, and continues from the last epoch that was read.
      if (knownOwner) knownOwner.version = row.version;
      return;
    }
    const owner = { ...value, service: row.part, version: row.version };
    this.#owners.set(row.part, owner);
    const heldEpoch = this.#heldEpochs.get(row.part);
    if (heldEpoch !== undefined && owner.epoch > heldEpoch) {
      this.markLost(row.part, `superseded: epoch ${owner.epoch} is held by ${owner.node}`);
    }
    if (this.#isOwnUnacknowledgedClaim(owner)) this.#recordClaim(owner, knownOwner);
  }

  /** Whether the row shows a claim by this process whose answer was lost. */
  #isOwnUnacknowledgedClaim(owner: Owner): boolean {
    if (owner.node !== this.#deps.node || owner.incarnation !== this.#sessionId) return false;
    if (owner.isReleased) return false;
    if (this.#isLeaving || this.#heldEpochs.has(owner.service)) return false;
    return owner.epoch > (this.#lostEpochs.get(owner.service) ?? 0);
  }

  async #claimAvailableServices(): Promise<void> {
    if (this.#isClaiming) return;
    this.#isClaiming = true;
    try {
      await this.#claimEligibleServices();
    } finally {
      this.#isClaiming = false;
    }
  }

  async #claimEligibleServices(): Promise<void> {
    const { clock, services } = this.#deps;
    const now = clock.now();
    if (now - this.#startedAt < FIRST_CLAIM_DELAY_MS) return;
    for (const service of services()) {
      const owner = this.#owners.get(service);
      if (this.#heldEpochs.has(service) || (owner && !owner.isReleased && this.#isAlive(owner))) {
        this.#unownedSince.delete(service);
        continue;
      }
      const unownedSince = this.#unownedSince.get(service) ?? now;
      this.#unownedSince.set(service, unownedSince);
      const isOwnPreviousClaim = owner?.node === this.#deps.node && !owner.isReleased;
      const staggerMs = owner?.isReleased ? RELEASED_STAGGER_MS : CLAIM_STAGGER_MS;
      const waitMs = isOwnPreviousClaim
        ? 0
        : rankForService(this.#deps.node, service, this.#candidates()) * staggerMs;
      if (now - unownedSince >= waitMs) await this.#claim(service);
    }
  }

  /** Live nodes with their weights and the number of services that each holds. */
  #candidates(): Candidate[] {
    const { node, weight } = this.#deps;
    const held = new Map([...this.liveNodes(), node].map((name) => [name, 0]));
    for (const owner of this.#owners.values()) {
      const count = held.get(owner.node);
      if (count !== undefined && !owner.isReleased && this.#isAlive(owner)) {
        held.set(owner.node, count + 1);
      }
    }
    const weightOf = (name: string) =>
      name === node ? weight : (this.#nodes.get(name)?.weight ?? DEFAULT_WEIGHT);
    return [...held].map(([name, heldCount]) => ({
      node: name,
      weight: weightOf(name),
      held: heldCount,
    }));
  }

  async #claim(service: string): Promise<void> {
    const { store, node, address, log, counters } = this.#deps;
    const previous = this.#owners.get(service);
    const hasOtherHolder = previous && previous.node !== node && !previous.isReleased;
    if (hasOtherHolder && !(await this.#endSession(previous))) return;
    const epoch = (previous?.epoch ?? 0) + 1;
    const incarnation = this.#sessionId;
    const row = { node, incarnation, epoch, address, isReleased: false };
    const res = await store.transact({
      conditions: [{ ...ownerKey(service), version: previous?.version ?? 0 }],
      writes: [
        { ...ownerKey(service), value: JSON.stringify(row) },
        { ...headKey(service), value: initialHeadValue(epoch) },
      ],
      removes: [],
    });
    if (res.isErr) {
      counters.count('claims', res.error.code);
      log.warn('claim_failed', { service, epoch, reason: res.error.code });
      await this.#resolveClaim(service);
      return;
    }
    if (!res.value.isApplied) {
      counters.count('claims', 'conflict');
      for (const current of res.value.rows) {
        if (current.table === 'owner') this.#applyOwnerRow(current);
      }
      return;
    }
    const owner = { ...row, service, version: res.value.version };
    // After the end of the session, another node may already have claimed the service again.
    if (incarnation === this.#sessionId) this.#recordClaim(owner, previous);
  }

  /** Reads the owner row after a claim without an answer, to learn whether it was applied. */
  async #resolveClaim(service: string): Promise<void> {
    const res = await this.#deps.store.readRow(ownerKey(service));
    if (res.isOk && res.value) this.#applyOwnerRow(res.value);
  }

  #recordClaim(owner: Owner, previous: Owner | undefined): void {
    const { clock, log, counters } = this.#deps;
    const { service, epoch, version } = owner;
    // The answer to a claim and the feed may report it in either order.
    if (this.#heldEpochs.get(service) === epoch) return;
    const reason = takeoverReason(previous);
    this.#owners.set(service, owner);
    this.#heldEpochs.set(service, epoch);
    this.#unownedSince.delete(service);
    counters.count('takeovers', reason);
    const staleOrderWindowMs = remainingStaleOrderWindowMs(previous);
    this.#staleOrdersUntil.set(service, clock.now() + staleOrderWindowMs);
    const inherited = inheritedLeases(previous, staleOrderWindowMs);
    const leases = new LeaseBounds(clock, inherited);
    this.#leases.set(service, leases);
    log.info('service_claimed', {
      service,
      epoch,
      reason,
      before: previous?.node,
      stale_orders_ms: staleOrderWindowMs,
      leases_ms: inherited.othersMs,
      workers_with_shorter_leases: Object.keys(inherited.workers).length,
    });
    const claim = { service, epoch, headVersion: version, staleOrderWindowMs, leases };
    void this.events.emit('claimed', claim);
  }

  /** Gives a claim up. Has no effect once the process has lost it, or has claimed the service again. */
  endClaim({ service, epoch }: Claim, reason: string): void {
    if (this.#heldEpochs.get(service) === epoch) this.markLost(service, reason);
  }

  /** Records that this process no longer holds a service. */
  markLost(service: string, reason: string): void {
    const epoch = this.#heldEpochs.get(service);
    if (epoch === undefined) return;
    this.#heldEpochs.delete(service);
    this.#lostEpochs.set(service, epoch);
    this.#deps.log.warn('service_lost', { service, reason });
    this.#deps.counters.count('services_lost', 'superseded');
    void this.events.emit('lost', { service, reason });
  }

  /**
   * Releases all services and removes the row of this node, before a planned stop. While the store
   * is unavailable, no other node could take the services over, so they are kept until it answers.
   *
   * @param limitMs - maximum time to keep the services, in milliseconds
   */
  async leave(limitMs: number): Promise<void> {
    this.#isLeaving = true;
    const { store, node, log, clock } = this.#deps;
    const end = clock.now() + limitMs;
    while (this.#heldEpochs.size > 0 && !(await this.#renew()) && clock.now() < end) {
      await clock.sleep(RETRY_MS);
    }
    this.#hasStoppedRenewing = true;
    for (const service of [...this.#heldEpochs.keys()]) {
      const owner = this.#owners.get(service);
      this.markLost(service, 'planned stop');
      if (!owner) continue;
      const { version, ...row } = owner;
      const staleOrdersUntil = this.#staleOrdersUntil.get(service) ?? 0;
      const staleOrderWindowMs = Math.ceil(Math.max(0, staleOrdersUntil - clock.now()));
      // Also ends granting at once; the holder itself is stopped asynchronously.
      const leases = this.#leases.get(service)?.release();
      const released = { ...row, isReleased: true, staleOrderWindowMs, leases };
      const res = await store.transact({
        conditions: [{ ...ownerKey(service), version }],
        writes: [{ ...ownerKey(service), value: JSON.stringify(released) }],
        removes: [],
      });
      log.info('service_released', { service, epoch: row.epoch, outcome: outcomeOf(res) });
    }
    const res = await store.transact({
      conditions: [{ ...nodeKey(node), version: this.#rowVersion }],
      writes: [],
      removes: [nodeKey(node)],
    });
    if (res.isErr) log.warn('node_row_removal_failed', { node, reason: res.error.code });
  }
}

/** Outcome of a transaction for logs and counters. */
function outcomeOf(res: Result<TransactionOutcome, StoreError>): string {
  if (res.isErr) return res.error.code;
  return res.value.isApplied ? 'applied' : 'conflict';
}

/** How long earlier holders may still send orders after a claim that follows `previous`. */
function remainingStaleOrderWindowMs(previous: Owner | undefined): number {
  if (!previous) return 0;
  return previous.isReleased ? (previous.staleOrderWindowMs ?? 0) : STALE_ORDER_WINDOW_MS;
}

/** The leases that holders before a claim may have granted, counted from the claim. */
function inheritedLeases(previous: Owner | undefined, staleOrderWindowMs: number): ReleasedLeases {
  const defaultMs = staleOrderWindowMs + MAX_LEASE_REMAINDER_MS;
  if (!previous?.isReleased) return { othersMs: defaultMs, workers: {} };
  const maxMs = STALE_ORDER_WINDOW_MS + MAX_LEASE_REMAINDER_MS;
  return readReleasedLeases(previous.leases, defaultMs, maxMs);
}

function takeoverReason(previous: Owner | undefined): string {
  if (!previous) return 'first';
  return previous.isReleased ? 'released' : 'expired';
}

/** Weights of nodes; see `nodeWeight`. */
const weightRange: NumberRange = { min: 1e-6, max: 1e6 };

/** Decodes a node row; returns undefined if it is malformed. Unknown fields are dropped. */
function decodeNodeRow(text: string): NodeRow | undefined {
  const fields = parseJson(text);
  if (!isFields(fields)) return undefined;
  const { incarnation, address, weight, isFenced } = fields;
  if (!isText(incarnation) || !isText(address) || !isOptionalFlag(isFenced)) return undefined;
  if (weight !== undefined && !isNumberIn(weight, weightRange)) return undefined;
  return { incarnation, address, weight, isFenced };
}

/** Decodes an owner row; returns undefined if it is malformed. Unknown fields are dropped. */
function decodeOwnerRow(text: string): Omit<Owner, 'service' | 'version'> | undefined {
  const fields = parseJson(text);
  if (!isFields(fields)) return undefined;
  const { node, incarnation, epoch, address, isReleased, staleOrderWindowMs, leases } = fields;
  if (!isText(node) || !isText(incarnation) || !isText(address)) return undefined;
  if (!isWholeNumberIn(epoch, epochRange) || !isFlag(isReleased)) return undefined;
  const isWindow = isNumberIn(staleOrderWindowMs, { min: 0, max: STALE_ORDER_WINDOW_MS });
  return {
    node,
    incarnation,
    epoch,
    address,
    isReleased,
    // Without a window in range, the longest one is assumed.
    staleOrderWindowMs:
      isWindow || staleOrderWindowMs === undefined ? staleOrderWindowMs : STALE_ORDER_WINDOW_MS,
    // Its entries are checked when the service is claimed, see `readReleasedLeases`.
    leases: isFields(leases) ? (leases as unknown as ReleasedLeases) : undefined,
  };
}
