import type { Clock } from '../clock/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import {
  PeerMessageType,
  type ConfigDeltaMessage,
  type ConfigSnapshotMessage,
  type MemberInfo,
  type PeerNetwork,
} from '../peers/index.js';
import type { Random } from '../random/index.js';
import type { ConfigurationSettings } from './defaults.js';
import { disseminationMethods, type Disseminator } from './dissemination.js';
import { joinSnapshot, splitSnapshot } from './snapshotParts.js';
import { AdoptionResult, AdoptionSource, type ConfigStore } from './store.js';
import type { ConfigDelta, ConfigHistory, ConfigSnapshot } from './types.js';

/** Cap on the backoff in milliseconds between attempts to load the configuration. */
const START_BACKOFF_MAX_MS = 5_000;

/** Dependencies of {@link runConfigSync}. */
export interface ConfigSyncDeps {
  store: ConfigStore;
  history: ConfigHistory;
  network: PeerNetwork;
  /** Members that count as live, excluding this process. */
  peers: () => readonly MemberInfo[];
  /**
   * Registers a listener that is called for each heartbeat with the version that the sender has in
   * force. Returns a function that removes the listener.
   */
  onPeerVersion: (listener: (member: MemberInfo, version: number) => void) => () => void;
  /** Whether this process holds the controller lease of its availability zone. */
  isLeaseHolder: () => boolean;
  settings: ConfigurationSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
}

/**
 * Keeps the configuration of this process up to date. It loads the configuration from the platform
 * or, failing that, from a peer of the zone, disseminates versions committed here, requests missing
 * versions from peers and polls the head row. Runs until the lifecycle is closed.
 */
export async function runConfigSync(deps: ConfigSyncDeps, lifecycle: Lifecycle): Promise<void> {
  const sync = new ConfigSync(deps, lifecycle);
  await sync.run();
}

/** A request for versions that is being answered by a peer. */
interface PendingRequest {
  peer: string;
  /** Version of the peer; the request is repeated until this version is adopted. */
  targetVersion: number;
  /** Parts of a snapshot received so far. */
  parts: ConfigSnapshot[];
  /** Restarts the timeout, for the next snapshot part or batch of deltas. */
  restartTimeout: () => void;
  /** Ends the request before the timeout. */
  finish: () => void;
}

class ConfigSync {
  readonly #deps: ConfigSyncDeps;
  readonly #lifecycle: Lifecycle;
  readonly #disseminator: Disseminator;
  readonly #counters: ReturnType<typeof createCounters>;
  #pendingRequest: PendingRequest | undefined;
  #isRequestScheduled = false;

  constructor(deps: ConfigSyncDeps, lifecycle: Lifecycle) {
    this.#deps = deps;
    this.#lifecycle = lifecycle;
    this.#counters = createCounters(deps.metrics);
    this.#disseminator = disseminationMethods[deps.settings.dissemination].start({
      ...deps,
      peers: () => ownZoneFirst(deps.peers(), deps.network.self.zone),
      push: (name, deltas, delegate) => this.#push(name, deltas, delegate),
      signal: lifecycle.signal,
    });
  }

  async run(): Promise<void> {
    this.#listen();
    await this.#load();
    await this.#pollLoop();
  }

  #listen(): void {
    const { network, store, onPeerVersion } = this.#deps;
    network.handle(PeerMessageType.ConfigDelta, (from, message) => {
      this.#onDelta(from, message);
    });
    network.handle(PeerMessageType.ConfigRequest, (from, { afterVersion }) => {
      this.#onRequest(from, afterVersion);
    });
    network.handle(PeerMessageType.ConfigSnapshot, (from, message) => {
      this.#onSnapshot(from, message);
    });
    network.handle(PeerMessageType.ConfigAck, (from, { version }) => {
      this.#disseminator.onAcknowledged(from.name, version);
    });
    const removeAdoptionListener = store.onAdopted((deltas, source) => {
      const shouldDisseminate =
        source === AdoptionSource.Local || source === AdoptionSource.Platform;
      if (shouldDisseminate && deltas.length > 0) this.#disseminator.onCommitted(deltas);
    });
    this.#lifecycle.own('adoption listener', removeAdoptionListener);
    const removeVersionListener = onPeerVersion((member, version) => {
      this.#onPeerVersion(member, version);
    });
    this.#lifecycle.own('version listener', removeVersionListener);
  }

  /** Loads the configuration from the platform, else from a peer of the zone, with retries. */
  async #load(): Promise<void> {
    const { clock, random, settings } = this.#deps;
    let ceiling = settings.startBackoffMs;
    while (!this.#lifecycle.isClosed && !(await this.#tryLoad())) {
      await clock.sleep(random.next() * ceiling, this.#lifecycle.signal);
      ceiling = Math.min(START_BACKOFF_MAX_MS, ceiling * 2);
    }
  }

  async #tryLoad(): Promise<boolean> {
    const { store, history, logger } = this.#deps;
    if (store.isReady) return true;
    const loaded = await history.load();
    if (loaded.isOk) {
      store.adoptSnapshot(loaded.value, AdoptionSource.Platform);
      return true;
    }
    logger.warn({ event: 'config_load_failed', error: loaded.error.message });
    const peer = this.#pickZonePeer();
    if (peer) await this.#requestVersions(peer, 0);
    return store.isReady;
  }

  #pickZonePeer(): MemberInfo | undefined {
    const { peers, network, random } = this.#deps;
    const zonePeers = peers().filter(({ zone }) => zone === network.self.zone);
    return zonePeers.length > 0 ? random.pick(zonePeers) : undefined;
  }

  async #pollLoop(): Promise<void> {
    const { settings, clock, random, isLeaseHolder } = this.#deps;
    const method = disseminationMethods[settings.dissemination];
    const sharedPollMs = method.pollMs?.(settings);
    const intervalMs = sharedPollMs ?? settings.headPollMs;
    // The random first delay keeps processes that started together from polling simultaneously.
    let waitMs = random.next() * intervalMs;
    while (await clock.sleep(waitMs, this.#lifecycle.signal)) {
      waitMs = intervalMs;
      if (sharedPollMs !== undefined || isLeaseHolder()) await this.#pollHead();
    }
  }

  async #pollHead(): Promise<void> {
    const { history, store, settings, logger } = this.#deps;
    const head = await history.head();
    if (head.isErr || head.value.version <= store.view.version) return;
    const after = store.view.version;
    const deltas = await history.deltasAfter(after, settings.maxDeltasPerMessage);
    if (deltas.isErr) {
      logger.warn({ event: 'config_poll_failed', error: deltas.error.message });
      return;
    }
    store.adoptDeltas(deltas.value, AdoptionSource.Platform);
  }

  #push(name: string, deltas: readonly ConfigDelta[], delegate?: string[]): boolean {
    if (countChanges(deltas) > this.#deps.settings.maxChangesPerMessage) return false;
    const sent = this.#deps.network.send(name, {
      type: PeerMessageType.ConfigDelta,
      deltas: [...deltas],
      delegate,
    });
    this.#counters.messages.inc({ kind: 'push', result: sent.isOk ? 'sent' : 'refused' });
    return sent.isOk;
  }

  #onDelta(from: MemberInfo, { deltas, delegate }: ConfigDeltaMessage): void {
    const { store, network } = this.#deps;
    const before = store.view.version;
    const adoption = store.adoptDeltas(deltas, AdoptionSource.Peer);
    const version = deltas.at(-1)?.version ?? 0;
    if (delegate?.length) network.send(from.name, { type: PeerMessageType.ConfigAck, version });
    const isNew = store.view.version > before;
    this.#disseminator.onReceived({ from: from.name, deltas, delegate: delegate ?? [], isNew });
    if (adoption === AdoptionResult.Gap) this.#onPeerVersion(from, version);
    this.#continueRequest(from, isNew);
  }

  #onSnapshot(from: MemberInfo, { snapshot, part }: ConfigSnapshotMessage): void {
    const request = this.#pendingRequest;
    if (request?.peer !== from.name) return;
    const { index, count } = part ?? { index: 0, count: 1 };
    // Parts are sent in order on one link; an out-of-order part belongs to an earlier response.
    if (index !== request.parts.length) return;
    const parts = [...request.parts, snapshot];
    request.restartTimeout();
    request.parts = index + 1 < count ? parts : [];
    if (index + 1 < count) return;
    if (parts.some(({ version }) => version !== snapshot.version)) return;
    const joined = joinSnapshot(snapshot.version, parts);
    const adoption = this.#deps.store.adoptSnapshot(joined, AdoptionSource.Peer);
    this.#continueRequest(from, adoption === AdoptionResult.Adopted);
  }

  /** Requests the version of a member unless it is pushed within the anti-entropy delay. */
  #onPeerVersion(member: MemberInfo, version: number): void {
    const { store, clock, settings } = this.#deps;
    if (!store.isReady || version <= store.view.version) return;
    if (this.#isRequestScheduled || this.#pendingRequest) return;
    this.#isRequestScheduled = true;
    clock.setTimer(settings.antiEntropyDelayMs, () => {
      this.#isRequestScheduled = false;
      const isBehind = version > store.view.version && !this.#pendingRequest;
      if (isBehind && !this.#lifecycle.isClosed) void this.#requestVersions(member, version);
    });
  }

  /** Requests missing versions from a member. Resolves once they are received or on timeout. */
  async #requestVersions(member: MemberInfo, targetVersion: number): Promise<void> {
    const { clock, settings } = this.#deps;
    if (!this.#sendRequest(member.name)) return;
    await new Promise<void>((resolve) => {
      let timer = clock.setTimer(settings.requestTimeoutMs, resolve);
      const restartTimeout = () => {
        timer.cancel();
        timer = clock.setTimer(settings.requestTimeoutMs, resolve);
      };
      const finish = () => {
        timer.cancel();
        resolve();
      };
      this.#pendingRequest = {
        peer: member.name,
        targetVersion,
        parts: [],
        restartTimeout,
        finish,
      };
    });
    this.#pendingRequest = undefined;
  }

  #sendRequest(name: string): boolean {
    const { network, store } = this.#deps;
    const afterVersion = store.view.version;
    const sent = network.send(name, { type: PeerMessageType.ConfigRequest, afterVersion });
    this.#counters.messages.inc({ kind: 'request', result: sent.isOk ? 'sent' : 'refused' });
    return sent.isOk;
  }

  /** Ends the pending request if it is satisfied, or requests the remainder after progress. */
  #continueRequest(from: MemberInfo, hasProgress: boolean): void {
    const request = this.#pendingRequest;
    if (request?.peer !== from.name) return;
    if (this.#deps.store.isReady && this.#deps.store.view.version >= request.targetVersion) {
      request.finish();
    } else if (hasProgress) {
      request.restartTimeout();
      this.#sendRequest(request.peer);
    }
  }

  #onRequest(from: MemberInfo, afterVersion: number): void {
    const { store, settings, network } = this.#deps;
    if (!store.isReady) return;
    const recentDeltas = store.deltasAfter(afterVersion, settings.maxDeltasPerMessage);
    const deltas = recentDeltas && takeWithinLimit(recentDeltas, settings.maxChangesPerMessage);
    if (deltas && deltas.length > 0) {
      const sent = network.send(from.name, { type: PeerMessageType.ConfigDelta, deltas });
      this.#counters.messages.inc({ kind: 'answer', result: sent.isOk ? 'sent' : 'refused' });
      return;
    }
    // A process without any configuration needs a response even if the configuration is empty.
    if (store.view.version > afterVersion || afterVersion === 0) this.#sendSnapshot(from);
  }

  #sendSnapshot(to: MemberInfo): void {
    const parts = splitSnapshot(this.#deps.store.snapshot());
    for (const [index, snapshot] of parts.entries()) {
      const part = parts.length > 1 ? { index, count: parts.length } : undefined;
      const type = PeerMessageType.ConfigSnapshot as const;
      const sent = this.#deps.network.send(to.name, { type, snapshot, part });
      this.#counters.messages.inc({ kind: 'snapshot', result: sent.isOk ? 'sent' : 'refused' });
      if (sent.isErr) return;
    }
  }
}

/** Names of members, those of the own zone first because its time bound is the tightest. */
function ownZoneFirst(members: readonly MemberInfo[], zone: string): string[] {
  const sameZone = members.filter((member) => member.zone === zone);
  const otherZones = members.filter((member) => member.zone !== zone);
  return [...sameZone, ...otherZones].map(({ name }) => name);
}

/** Returns the leading deltas that fit into one message; empty if even the first is too large. */
function takeWithinLimit(deltas: readonly ConfigDelta[], maxChanges: number): ConfigDelta[] {
  let changes = 0;
  const end = deltas.findIndex((delta) => (changes += delta.changes.length) > maxChanges);
  return deltas.slice(0, end < 0 ? deltas.length : end);
}

function countChanges(deltas: readonly ConfigDelta[]): number {
  return deltas.reduce((sum, { changes }) => sum + changes.length, 0);
}

function createCounters(metrics: Metrics) {
  return {
    messages: metrics.counter(
      'config_sync_messages_total',
      'Configuration messages sent to peers',
      ['kind', 'result'],
    ),
  };
}
