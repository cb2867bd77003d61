import type { Clock } from '../clock/index.js';
import { EventName, type EventBus } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import {
  PeerMessageType,
  type DrainingVm,
  type HeartbeatMessage,
  type MemberInfo,
  type PeerNetwork,
  type ServiceLoad,
} from '../peers/index.js';
import type { Table } from '../platform/index.js';
import type { Random } from '../random/index.js';
import type { MembershipSettings } from './defaults.js';
import {
  planRemoteHeartbeats,
  planZoneHeartbeats,
  type HeartbeatBudget,
  type HeartbeatPlan,
} from './heartbeatPlan.js';
import { LoadReporter, toLoadEntries } from './loadReport.js';
import {
  MemberTable,
  removalTimeoutMs,
  suspectTimeoutMs,
  type MemberEntry,
} from './memberTable.js';
import { deregisterMember, registerMember, registeredMembers } from './registration.js';
import { rendezvousOwner } from './rendezvous.js';
import { MemberState, type Member, type Membership } from './types.js';

/** Silence allowed on the link of a member that is shutting down and sends no heartbeats. */
const LEAVE_SILENCE_MS = 120_000;

/** Callbacks that provide the content of heartbeats; called for each round and each new link. */
export interface HeartbeatSources {
  configVersion: () => number;
  load: () => ServiceLoad[];
  /** Whether requests of a service may be forwarded to other zones; by default, all may. */
  spills?: (service: string) => boolean;
  draining: () => DrainingVm[];
  /** VMs seen leaving. Sent within the zone only, as other zones send no requests to its VMs. */
  leaving?: () => string[];
}

/** Called for each heartbeat that was applied. */
export type HeartbeatListener = (member: Member, message: HeartbeatMessage) => void;

/** Size of a draining or leaving VM in a heartbeat. */
const DRAINING_ENTRY_BYTES = 40;

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  network: PeerNetwork;
  settings: MembershipSettings;
  heartbeat: HeartbeatSources;
  /** Table with the member rows; without it, members are discovered through seeds only. */
  table?: Table;
  clock: Clock;
  random: Random;
  events: EventBus;
  logger: Logger;
  metrics: Metrics;
}

/** Membership that exchanges heartbeats with other members. */
export interface RunningMembership extends Membership {
  /** Sends heartbeats, checks for silence and registers this process until closed. */
  run(lifecycle: Lifecycle): Promise<void>;
  /** Announces to all connected members that this process leaves, and deletes its member row. */
  leave(): Promise<void>;
  /** Registers a listener for heartbeats of other members. Returns a function that removes it. */
  onHeartbeat(listener: HeartbeatListener): () => void;
}

/** Creates the membership of this process. Call `run` to start its periodic work. */
export function createMembership(options: MembershipOptions): RunningMembership {
  return new PeerMembership(options);
}

/** Heartbeats to the members of the same zone, or to the members of all other zones. */
interface HeartbeatGroup {
  isLocal: boolean;
  plan: (budget: HeartbeatBudget, members: number) => HeartbeatPlan;
  reporter: LoadReporter;
  /** Longest time until the next round. */
  intervalMs: number;
}

class PeerMembership implements RunningMembership {
  readonly self: MemberInfo;
  readonly #options: MembershipOptions;
  readonly #table: MemberTable;
  readonly #listeners = new Set<HeartbeatListener>();
  readonly #counters: ReturnType<typeof createCounters>;
  #liveByZone = new Map<string, readonly MemberInfo[]>();
  /** Names and incarnations of the live members that were published last. */
  #liveKey = 'none';
  #sequence = 0;
  /** Time at which the last pause of this process was detected. */
  #resumedAt = Number.NEGATIVE_INFINITY;
  #lastPublishedRevision = -1;
  readonly #zoneGroup: HeartbeatGroup;
  readonly #remoteGroup: HeartbeatGroup;
  #hasLeft = false;
  /** Members that announced that they leave and whose link is still up. */
  readonly #leavingMembers = new Set<string>();

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.self = options.network.self;
    this.#table = new MemberTable(options.settings.maxMembers);
    this.#counters = createCounters(options.metrics);
    const { zoneHeartbeatMs, remoteHeartbeatMs } = options.settings;
    this.#zoneGroup = {
      isLocal: true,
      plan: planZoneHeartbeats,
      reporter: new LoadReporter(),
      intervalMs: zoneHeartbeatMs,
    };
    this.#remoteGroup = {
      isLocal: false,
      plan: planRemoteHeartbeats,
      reporter: new LoadReporter(),
      intervalMs: remoteHeartbeatMs,
    };
    this.#liveByZone.set(this.self.zone, [this.self]);
    this.#counters.live.set(1);
    const { network } = options;
    network.handle(PeerMessageType.Heartbeat, (from, message) => {
      this.#onHeartbeat(from, message);
    });
    network.handle(PeerMessageType.Leave, (from) => {
      this.#onLeave(from);
    });
    network.onLink((member, up) => {
      if (up) this.#onLinkUp(member);
      else if (this.#leavingMembers.delete(member.name)) network.removeMember(member.name);
    });
  }

  members(): readonly Member[] {
    return this.#table.entries();
  }

  member(name: string): Member | undefined {
    return this.#table.get(name);
  }

  liveMembers(zone: string): readonly MemberInfo[] {
    return this.#liveByZone.get(zone) ?? [];
  }

  ownerOf(zone: string, vm: string): string | undefined {
    const names = this.liveMembers(zone).map(({ name }) => name);
    return rendezvousOwner(names, vm);
  }

  onHeartbeat(listener: HeartbeatListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  async run(lifecycle: Lifecycle): Promise<void> {
    const { network, settings } = this.#options;
    for (const { host, port } of settings.seeds) network.addSeed?.(host, port);
    await Promise.all([
      this.#sweepLoop(lifecycle.signal),
      this.#heartbeatLoop(this.#zoneGroup, lifecycle.signal),
      this.#heartbeatLoop(this.#remoteGroup, lifecycle.signal),
      this.#registrationLoop(lifecycle.signal),
      this.#discoveryLoop(lifecycle.signal),
    ]);
  }

  async leave(): Promise<void> {
    const { network, table, logger } = this.#options;
    this.#hasLeft = true;
    // Forces a publication of the live members without this process.
    this.#liveKey = '';
    this.#lastPublishedRevision = -1;
    this.#publishLiveMembers();
    const { name, incarnation } = this.self;
    for (const member of network.connected()) {
      network.send(member.name, { type: PeerMessageType.Leave, from: { name, incarnation } });
    }
    const deleted = await (table && deregisterMember(table, this.self));
    if (!deleted?.isErr) return;
    // The zone controller deletes the row once the member has been unknown for long enough.
    logger.warn({ event: 'member_deregister_failed', error: deleted.error.message });
  }

  async #sweepLoop(signal: AbortSignal): Promise<void> {
    const { clock, settings } = this.#options;
    while (!signal.aborted) {
      const due = clock.now() + settings.sweepIntervalMs;
      await clock.sleep(settings.sweepIntervalMs, signal);
      this.#detectSilentMembers(clock.now() - due);
    }
  }

  #detectSilentMembers(lateMs: number): void {
    const { clock, settings, network, logger } = this.#options;
    const now = clock.now();
    if (lateMs > settings.pauseThresholdMs) {
      this.#table.resetSilence(now);
      this.#resumedAt = now;
      this.#counters.pauses.inc();
      logger.warn({ event: 'process_was_paused', lateMs });
    }
    const { removed, forgotten } = this.#table.sweep(now, settings);
    for (const info of removed) {
      this.#counters.removed.inc();
      logger.info({ event: 'member_removed', member: info.name, zone: info.zone });
      // A removed member may be partitioned, so reconnecting is attempted until it is forgotten.
      network.addMember(info);
    }
    for (const info of forgotten) network.removeMember(info.name);
    this.#publishLiveMembers();
  }

  async #heartbeatLoop(group: HeartbeatGroup, signal: AbortSignal): Promise<void> {
    const { clock, random, network, settings } = this.#options;
    const firstPlan = group.plan(settings, 0);
    await clock.sleep(random.next() * firstPlan.intervalMs, signal);
    while (!signal.aborted) {
      const targets = network.connected().filter((info) => this.#groupOf(info) === group);
      const plan = group.plan(settings, targets.length);
      group.intervalMs = plan.intervalMs;
      if (targets.length > 0 && !this.#hasLeft) this.#sendRound(group, targets, plan);
      await clock.sleep(plan.intervalMs, signal);
    }
  }

  #groupOf({ zone }: MemberInfo): HeartbeatGroup {
    return zone === this.self.zone ? this.#zoneGroup : this.#remoteGroup;
  }

  /** Sends a heartbeat to each target; the one to a random target also lists some members. */
  #sendRound(
    { isLocal, reporter, intervalMs }: HeartbeatGroup,
    targets: readonly MemberInfo[],
    { loadBytes }: HeartbeatPlan,
  ): void {
    const draining = isLocal ? this.#options.heartbeat.draining() : [];
    const leaving = isLocal ? (this.#options.heartbeat.leaving?.() ?? []) : [];
    const maxLoadBytes = loadBytes - (draining.length + leaving.length) * DRAINING_ENTRY_BYTES;
    const common = {
      ...this.#commonFields(intervalMs),
      load: reporter.nextEntries(this.#loadForGroup(isLocal), maxLoadBytes),
      ...(draining.length > 0 && { draining }),
      ...(leaving.length > 0 && { leaving }),
    };
    const digestTarget = this.#options.random.pick(targets);
    const members = this.#digest();
    for (const target of targets) {
      this.#send(target, target === digestTarget ? { ...common, members } : common);
    }
  }

  /** Sends the first heartbeat on a link, with the load of all services and all live members. */
  #sendFullHeartbeat(target: MemberInfo): void {
    const { isLocal, intervalMs } = this.#groupOf(target);
    this.#send(target, {
      ...this.#commonFields(intervalMs),
      load: toLoadEntries(this.#loadForGroup(isLocal)),
      draining: isLocal ? this.#options.heartbeat.draining() : [],
      leaving: isLocal ? this.#options.heartbeat.leaving?.() : undefined,
      members: this.#aliveInfos(),
    });
  }

  #commonFields(everyMs: number) {
    this.#sequence += 1;
    const configVersion = this.#options.heartbeat.configVersion();
    const type = PeerMessageType.Heartbeat as const;
    return { type, sequence: this.#sequence, configVersion, everyMs };
  }

  /** Load to report to a group; other zones only need services whose requests they may forward. */
  #loadForGroup(isLocal: boolean): ServiceLoad[] {
    const { load, spills } = this.#options.heartbeat;
    return load().filter(({ service }) => isLocal || (spills?.(service) ?? true));
  }

  #send(target: MemberInfo, message: HeartbeatMessage): void {
    const hears = this.#hears(target);
    const sent = this.#options.network.send(
      target.name,
      hears ? { ...message } : { ...message, hears },
    );
    this.#counters.heartbeats.inc({ result: sent.isOk ? 'sent' : 'refused' });
  }

  /** Whether this process heard a member recently. */
  #hears({ name }: MemberInfo): boolean {
    const entry = this.#table.get(name);
    if (!entry) return false;
    const silence = this.#options.clock.now() - entry.lastHeardAt;
    return silence < suspectTimeoutMs(entry, this.#options.settings);
  }

  /** A random sample of live members; the full list is sent only when a link comes up. */
  #digest(): MemberInfo[] {
    const alive = this.#aliveInfos();
    const { digestSize } = this.#options.settings;
    if (alive.length <= digestSize) return alive;
    return Array.from({ length: digestSize }, () => this.#options.random.pick(alive));
  }

  #aliveInfos(): MemberInfo[] {
    return this.#table
      .entries()
      .filter(({ state }) => state === MemberState.Alive)
      .map(({ info }) => info);
  }

  #onHeartbeat(from: MemberInfo, message: HeartbeatMessage): void {
    const entry = this.#recordContact(from);
    if (!entry || !this.#table.applyHeartbeat(entry, message)) return;
    if (this.#isInResumeGracePeriod(entry)) entry.hearsUs = true;
    this.#options.network.setIdleTimeout?.(
      from.name,
      removalTimeoutMs(entry, this.#options.settings),
    );
    this.#addCandidates(message.members ?? []);
    this.#publishLiveMembers();
    for (const listener of this.#listeners) listener(entry, message);
  }

  /** Whether this process resumed so recently that a member may not have heard it again yet. */
  #isInResumeGracePeriod(entry: MemberEntry): boolean {
    const { clock, settings } = this.#options;
    return clock.now() - this.#resumedAt < suspectTimeoutMs(entry, settings);
  }

  #onLinkUp(member: MemberInfo): void {
    if (!this.#recordContact(member)) return;
    this.#options.network.addMember(member);
    this.#publishLiveMembers();
    if (!this.#hasLeft) this.#sendFullHeartbeat(member);
  }

  /**
   * A member that is shutting down receives no new work, but the link stays up until that member
   * closes it, because it still carries answers to requests in flight in both directions.
   */
  #onLeave({ name }: MemberInfo): void {
    const { network, logger } = this.#options;
    this.#table.retire(name);
    this.#leavingMembers.add(name);
    network.setIdleTimeout?.(name, LEAVE_SILENCE_MS);
    logger.info({ event: 'member_left', member: name });
    this.#publishLiveMembers();
  }

  #recordContact(info: MemberInfo) {
    const isNew = this.#table.get(info.name)?.info.incarnation !== info.incarnation;
    const entry = this.#table.recordContact(info, this.#options.clock.now());
    if (!entry) this.#counters.refused.inc();
    if (!entry || !isNew) return entry;
    this.#options.logger.info({ event: 'member_joined', member: info.name, zone: info.zone });
    for (const former of this.#table.othersAtAddressOf(info)) {
      this.#table.retire(former.name);
      this.#options.network.removeMember(former.name);
      this.#options.logger.info({ event: 'member_replaced', member: former.name, by: info.name });
    }
    return entry;
  }

  #addCandidates(members: readonly MemberInfo[]): void {
    const { clock, network } = this.#options;
    for (const info of members) {
      if (info.name === this.self.name) continue;
      if (this.#table.addCandidate(info, clock.now())) network.addMember(info);
    }
  }

  /** Publishes the live members if they have changed. */
  #publishLiveMembers(): void {
    if (this.#lastPublishedRevision === this.#table.revision) return;
    this.#lastPublishedRevision = this.#table.revision;
    const alive = this.#aliveInfos();
    const key = alive.map(({ name, incarnation }) => `${name}/${incarnation}`).join() || 'none';
    if (key === this.#liveKey) return;
    this.#liveKey = key;
    const live = this.#hasLeft ? alive : [this.self, ...alive];
    this.#liveByZone = groupByZone(live);
    this.#counters.live.set(live.length);
    void this.#options.events.emit(EventName.MembersChanged, { live: live.length });
  }

  async #registrationLoop(signal: AbortSignal): Promise<void> {
    const { table, clock, random, settings, logger } = this.#options;
    if (!table) return;
    while (!signal.aborted && !this.#hasLeft) {
      const registered = await registerMember(table, this.self);
      if (registered.isErr) {
        logger.warn({ event: 'member_register_failed', error: registered.error.message });
      }
      const maxWaitMs = registered.isOk ? settings.registrationMs : settings.tableFallbackMaxMs;
      await clock.sleep((0.5 + random.next() / 2) * maxWaitMs, signal);
    }
  }

  /** Reads member rows while no link is up, with exponential backoff and jitter. */
  async #discoveryLoop(signal: AbortSignal): Promise<void> {
    const { table, clock, random, settings, network } = this.#options;
    if (!table) return;
    let waitMs = settings.tableFallbackMs;
    while (!signal.aborted) {
      await clock.sleep((0.5 + random.next() / 2) * waitMs, signal);
      if (network.connected().length > 0) {
        waitMs = settings.tableFallbackMs;
        continue;
      }
      const members = await registeredMembers(table, settings.maxMembers);
      if (members.isOk) this.#addCandidates(members.value);
      waitMs = Math.min(settings.tableFallbackMaxMs, waitMs * 2);
    }
  }
}

function groupByZone(members: readonly MemberInfo[]): Map<string, readonly MemberInfo[]> {
  const zones = new Map<string, MemberInfo[]>();
  for (const member of members) {
    const zone = zones.get(member.zone);
    if (zone) zone.push(member);
    else zones.set(member.zone, [member]);
  }
  return zones;
}

function createCounters(metrics: Metrics) {
  return {
    live: metrics.gauge('members_live', 'Live members, including this process'),
    removed: metrics.counter('members_removed_total', 'Members removed because they were silent'),
    refused: metrics.counter(
      'members_refused_total',
      'Heartbeats and new links ignored because the incarnation is retired or the member limit is reached',
    ),
    pauses: metrics.counter('process_pauses_total', 'Detected pauses of this process'),
    heartbeats: metrics.counter('heartbeats_total', 'Heartbeats by result', ['result']),
  };
}
