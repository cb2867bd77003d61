import Emittery from 'emittery';
import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { claimedHead, headKey } from './journal.js';
import { rankForService, type Candidate } from './nodeWeight.js';
import type { Row, RowKey, RowStore } from './ports.js';

/** Interval of renewing and reading the node rows. */
const RENEW_INTERVAL_MS = 600;
/** Unchanged for this long, with the store answering, a node counts as gone. */
const NODE_EXPIRY_MS = 2_400;
/** Since its last renewal, a holder is certain to hold its services for this long. */
const START_AUTHORITY_MS = 2_000;
/**
 * Since its last renewal, a holder extends leases and starts tasks that ran nowhere before for
 * this long; a successor waits for the leases that may have been given meanwhile.
 */
const EXTEND_AUTHORITY_MS = 7_000;
/**
 * Time from an expiry until the last order of the earlier holder, in milliseconds. A holder that
 * gave back, or whose process has ended, gives none any more.
 */
export const LAST_ORDER_MS = EXTEND_AUTHORITY_MS - NODE_EXPIRY_MS;
/** A gap between answered reads after which all expiries are counted anew. */
const READ_GAP_MS = 1_800;
/** Wait of a new process before its first claim, so that all nodes of a start are seen. */
const FIRST_CLAIM_DELAY_MS = 900;
/** Wait of a node for each other live node that is better placed to claim a service. */
const CLAIM_STAGGER_MS = 500;
/** The same for a service that was given back, which all nodes see at once. */
const RELEASED_STAGGER_MS = 150;
/** Wait of one feed call; short, so that a channel that went silent is noticed. */
const FEED_WAIT_MS = 1_500;
const RETRY_MS = 300;
/** Weight of a node whose row names none. */
const DEFAULT_WEIGHT = 1;

/** Name of the service whose holder gives the orders to the vendor. */
export const FLEET_SERVICE = '@fleet';

/** Who holds a service. */
export interface Owner {
  service: string;
  node: string;
  incarnation: string;
  epoch: number;
  /** `IP:port` of the holder's peer listener. */
  address: string;
  /** Set when the holder gave the service back. */
  isReleased: boolean;
  /** Version of the row. */
  version: number;
}

/** A claim that succeeded. */
export interface Claim {
  service: string;
  epoch: number;
  /** Version of the head row after the claim. */
  headVersion: number;
  /** Whether an earlier holder may just have given orders. */
  mayOverlap: boolean;
}

/** Events of {@link Ownership}. */
export interface OwnershipEvents {
  claimed: Claim;
  /** This process no longer holds a service. */
  lost: { service: string; reason: string };
}

/** Needs of {@link Ownership}. */
export interface OwnershipDeps {
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  node: string;
  /** Differs for each life of the process. */
  incarnation: string;
  /** `IP:port` of this process's peer listener. */
  address: string;
  /** How many busy services this node can carry. */
  weight: number;
  /** Services that need a holder. */
  services: () => string[];
}

interface NodeRow {
  incarnation: string;
  address: string;
  weight?: number;
}

interface SeenNode extends NodeRow {
  version: number;
  /** Monotonic time at which this version was seen first. */
  seenAt: number;
}

const nodeKey = (node: string): RowKey => ({ table: 'node', part: '', key: node });
const ownerKey = (service: string): RowKey => ({ table: 'owner', part: service, key: 'owner' });

/**
 * Which process holds which service. Each process renews one row; a service whose holder stopped
 * renewing is claimed with a higher epoch, which is also the fencing token towards its workers.
 */
export class Ownership {
  readonly events = new Emittery<OwnershipEvents>();
  readonly #deps: OwnershipDeps;
  readonly #owners = new Map<string, Owner>();
  readonly #nodes = new Map<string, SeenNode>();
  readonly #unownedSince = new Map<string, number>();
  readonly #held = new Map<string, number>();
  /** Highest epoch of each service that this process held and lost. */
  readonly #lostEpochs = new Map<string, number>();
  #renewedAt = -Infinity;
  #renewedWall = -Infinity;
  #lastReadAt = -Infinity;
  #startedAt: number;
  /** Set once no service is to be claimed any more. */
  #isLeaving = false;
  /** Set once the row of this node is not to be renewed any more. */
  #hasLeft = false;
  #isClaiming = false;

  constructor(deps: OwnershipDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  /** The holder of a service as last seen; undefined when none is known. */
  ownerOf(service: string): Owner | undefined {
    const owner = this.#owners.get(service);
    return owner?.isReleased ? undefined : owner;
  }

  /** Whether this process holds a service, as far as it knows. */
  holds(service: string): boolean {
    return this.#held.has(service);
  }

  /** Names of the live nodes, this one included. */
  liveNodes(): string[] {
    const now = this.#deps.clock.now();
    return [...this.#nodes]
      .filter(([, { seenAt }]) => now - seenAt < NODE_EXPIRY_MS)
      .map(([name]) => name);
  }

  /** Whether no other node can have claimed a service of this one. */
  canStart(): boolean {
    return this.#renewalAge() < START_AUTHORITY_MS;
  }

  /** Whether the last renewal is recent enough for orders that a successor reckons with. */
  canExtend(): boolean {
    return this.#renewalAge() < EXTEND_AUTHORITY_MS;
  }

  /** Whether the store answered recently. */
  isStoreReachable(): boolean {
    return this.#deps.clock.now() - this.#lastReadAt < NODE_EXPIRY_MS;
  }

  /**
   * Milliseconds since the last renewal was sent. The time of day counts as well: a suspended
   * VM's steady clock stands still.
   */
  #renewalAge(): number {
    const { clock } = this.#deps;
    return Math.max(clock.now() - this.#renewedAt, clock.wallTime() - this.#renewedWall);
  }

  /** Renews, watches and claims until the signal is aborted. */
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
      if (this.isStoreReachable() && !this.#isLeaving) await this.#claimFree();
    } while (await clock.sleep(RENEW_INTERVAL_MS, signal));
  }

  async #watchNodes(signal: AbortSignal): Promise<void> {
    do await this.#readNodes();
    while (await this.#deps.clock.sleep(RENEW_INTERVAL_MS, signal));
  }

  /** Claims a service that was given back without waiting for the next renewal. */
  async #claimReleased(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    let isReleased = true;
    while (isReleased && !signal.aborted && !this.#isLeaving && this.isStoreReachable()) {
      await this.#claimFree();
      isReleased = [...this.#owners.values()].some((owner) => owner.isReleased);
      await clock.sleep(RELEASED_STAGGER_MS, signal);
    }
  }

  /** Renews the row of this node; false when that failed. */
  async #renew(): Promise<boolean> {
    if (this.#hasLeft) return false;
    const { clock, store, node, incarnation, address, weight, log, counters } = this.#deps;
    const sentAt = clock.now();
    const sentWall = clock.wallTime();
    const row: NodeRow = { incarnation, address, weight };
    const res = await store.transact({
      conditions: [],
      writes: [{ ...nodeKey(node), value: JSON.stringify(row) }],
      removes: [],
    });
    if (res.isErr) {
      counters.count('renewal_failures', res.error.code);
      log.warn('renewal_failed', { node, reason: res.error.code, age_ms: this.#renewalAge() | 0 });
      return false;
    }
    // After a gap another node may have claimed a service before this renewal.
    const hadGap = this.#renewalAge() >= START_AUTHORITY_MS;
    if (hadGap && (await this.#readOwners()) === undefined) return false;
    this.#renewedAt = sentAt;
    this.#renewedWall = sentWall;
    return true;
  }

  async #readNodes(): Promise<void> {
    const { clock, store } = this.#deps;
    const res = await store.readPart('node', '');
    if (res.isErr) return;
    const now = clock.now();
    const hadGap = now - this.#lastReadAt > READ_GAP_MS;
    this.#lastReadAt = now;
    const names = new Set<string>();
    for (const row of res.value.rows) {
      const value = parseRow(row) as NodeRow | undefined;
      if (!value) continue;
      names.add(row.key);
      const seen = this.#nodes.get(row.key);
      const isChanged = seen?.version !== row.version;
      const seenAt = isChanged || hadGap ? now : seen.seenAt;
      this.#nodes.set(row.key, { ...value, version: row.version, seenAt });
    }
    for (const name of this.#nodes.keys()) if (!names.has(name)) this.#nodes.delete(name);
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
        for (const row of res.value.rows) this.#seeOwner(row);
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
      for (const row of res.value.rows) this.#seeOwner(row);
      oldest ??= res.value.version;
    }
    return oldest;
  }

  /** Whether the process that holds a service, by its row, is alive. */
  #isAlive(owner: Owner): boolean {
    const { clock, node, incarnation } = this.#deps;
    if (owner.node === node) {
      return owner.incarnation === incarnation && this.#held.has(owner.service);
    }
    const seen = this.#nodes.get(owner.node);
    if (seen?.incarnation !== owner.incarnation) return false;
    return clock.now() - seen.seenAt < NODE_EXPIRY_MS;
  }

  #seeOwner(row: Row): void {
    const value = parseRow(row) as Omit<Owner, 'service' | 'version'> | undefined;
    if (!value) return;
    const known = this.#owners.get(row.part);
    if (known && known.version >= row.version) return;
    const owner = { ...value, service: row.part, version: row.version };
    this.#owners.set(row.part, owner);
    const heldEpoch = this.#held.get(row.part);
    if (heldEpoch !== undefined && owner.epoch > heldEpoch) {
      this.lose(row.part, `epoch ${owner.epoch} belongs to ${owner.node}`);
    }
    if (this.#isOwnNewClaim(owner)) this.#claimed(owner, known);
  }

  /** Whether the row shows a claim of this process that had no answer. */
  #isOwnNewClaim(owner: Owner): boolean {
    const { node, incarnation } = this.#deps;
    if (owner.node !== node || owner.incarnation !== incarnation || owner.isReleased) return false;
    if (this.#isLeaving || this.#held.has(owner.service)) return false;
    return owner.epoch > (this.#lostEpochs.get(owner.service) ?? 0);
  }

  async #claimFree(): Promise<void> {
    if (this.#isClaiming) return;
    this.#isClaiming = true;
    await this.#claimEach();
    this.#isClaiming = false;
  }

  async #claimEach(): Promise<void> {
    const { clock, services } = this.#deps;
    const now = clock.now();
    if (now - this.#startedAt < FIRST_CLAIM_DELAY_MS) return;
    for (const service of services()) {
      const owner = this.#owners.get(service);
      if (this.#held.has(service) || (owner && !owner.isReleased && this.#isAlive(owner))) {
        this.#unownedSince.delete(service);
        continue;
      }
      const since = this.#unownedSince.get(service) ?? now;
      this.#unownedSince.set(service, since);
      const isOwn = owner?.node === this.#deps.node && !owner.isReleased;
      const stagger = owner?.isReleased ? RELEASED_STAGGER_MS : CLAIM_STAGGER_MS;
      const wait = isOwn
        ? 0
        : rankForService(this.#deps.node, service, this.#candidates()) * stagger;
      if (now - since >= wait) await this.#claim(service);
    }
  }

  /** The live nodes, with the services that each holds. */
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
    return [...held].map(([name, count]) => ({
      node: name,
      weight: weightOf(name),
      held: count,
    }));
  }

  async #claim(service: string): Promise<void> {
    const { store, node, incarnation, address, log, counters } = this.#deps;
    const before = this.#owners.get(service);
    const epoch = (before?.epoch ?? 0) + 1;
    const row = { node, incarnation, epoch, address, isReleased: false };
    const conditions = [{ ...ownerKey(service), version: before?.version ?? 0 }];
    if (before && before.node !== node && !before.isReleased) {
      // A holder that has renewed meanwhile keeps its services.
      const version = this.#nodes.get(before.node)?.version ?? 0;
      conditions.push({ ...nodeKey(before.node), version });
    }
    const res = await store.transact({
      conditions,
      writes: [
        { ...ownerKey(service), value: JSON.stringify(row) },
        { ...headKey(service), value: claimedHead(epoch) },
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
        if (current.table === 'owner') this.#seeOwner(current);
      }
      return;
    }
    this.#claimed({ ...row, service, version: res.value.version }, before);
  }

  /** Reads back a claim whose answer was lost. */
  async #resolveClaim(service: string): Promise<void> {
    const res = await this.#deps.store.readRow(ownerKey(service));
    if (res.isOk && res.value) this.#seeOwner(res.value);
  }

  #claimed(owner: Owner, before: Owner | undefined): void {
    const { log, counters } = this.#deps;
    const { service, epoch, version } = owner;
    // The answer to a claim and the feed tell of it in any order.
    if (this.#held.get(service) === epoch) return;
    const reason = takeoverReason(before);
    this.#owners.set(service, owner);
    this.#held.set(service, epoch);
    this.#unownedSince.delete(service);
    counters.count('takeovers', reason);
    log.info('service_claimed', { service, epoch, reason, before: before?.node });
    const mayOverlap = before !== undefined && !before.isReleased;
    const claim = { service, epoch, headVersion: version, mayOverlap };
    void this.events.emit('claimed', claim);
  }

  /** Forgets that this process holds a service. */
  lose(service: string, reason: string): void {
    const epoch = this.#held.get(service);
    if (epoch === undefined) return;
    this.#held.delete(service);
    this.#lostEpochs.set(service, epoch);
    this.#deps.log.warn('service_lost', { service, reason });
    this.#deps.counters.count('services_lost', 'superseded');
    void this.events.emit('lost', { service, reason });
  }

  /**
   * Gives all services back and removes the row of this node, before a planned stop. While the
   * store is away nobody could take them over, so they are kept until it answers.
   *
   * @param limitMs - how long to keep them at most, in milliseconds
   */
  async leave(limitMs: number): Promise<void> {
    this.#isLeaving = true;
    const { store, node, log, clock } = this.#deps;
    const end = clock.now() + limitMs;
    while (this.#held.size > 0 && !(await this.#renew()) && clock.now() < end) {
      await clock.sleep(RETRY_MS);
    }
    this.#hasLeft = true;
    for (const service of [...this.#held.keys()]) {
      const owner = this.#owners.get(service);
      this.lose(service, 'planned stop');
      if (!owner) continue;
      const { version, ...row } = owner;
      const res = await store.transact({
        conditions: [{ ...ownerKey(service), version }],
        writes: [{ ...ownerKey(service), value: JSON.stringify({ ...row, isReleased: true }) }],
        removes: [],
      });
      const outcome = res.isOk ? (res.value.isApplied ? 'applied' : 'conflict') : res.error.code;
      log.info('service_released', { service, epoch: row.epoch, outcome });
    }
    const res = await store.transact({ conditions: [], writes: [], removes: [nodeKey(node)] });
    if (res.isErr) log.warn('node_row_left_behind', { node, reason: res.error.code });
  }
}

function takeoverReason(before: Owner | undefined): string {
  if (!before) return 'first';
  return before.isReleased ? 'released' : 'expired';
}

function parseRow(row: Row): unknown {
  try {
    return JSON.parse(row.value);
  } catch {
    return undefined;
  }
}
