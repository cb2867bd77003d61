import {
  configurationDefaults,
  createCommitter,
  createConfigHistory,
  createConfigStore,
  runConfigSync,
  type CommitAndAdopt,
  type ConfigStore,
  type ConfigurationSettings,
} from '../configuration/index.js';
import { createEventBus } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import { PeerMessageType, type MemberInfo, type PeerNetwork } from '../peers/index.js';
import { createRandom, type Random } from '../random/index.js';
import { FakePeerHub } from './fakePeers.js';
import { FakePlatform, type PlatformFaults } from './fakePlatform.js';
import { createVirtualClock, type VirtualClock } from './virtualClock.js';

/** One process that synchronizes the configuration. */
export interface ConfigProcess {
  info: MemberInfo;
  store: ConfigStore;
  network: PeerNetwork;
  commit: CommitAndAdopt;
  /** Faults of the platform calls of this process. */
  faults: PlatformFaults;
}

/** Options for {@link createConfigFleet}. */
export interface ConfigFleetOptions {
  delayMs: (from: MemberInfo, to: MemberInfo) => number;
  seed: number;
  heartbeatMs: number;
  /** Heartbeats that a process sends per round at most; with more peers it picks them at random. */
  maxHeartbeats: number;
  /** Duration of a platform call in milliseconds. */
  platformDelayMs: number;
  settings: Partial<ConfigurationSettings>;
  isLeaseHolder: (name: string) => boolean;
  /** Whether processes use the configuration versions in received heartbeats. */
  readsHeartbeatVersions: boolean;
  /** Whether processes know the other live members. */
  hasLivePeers: boolean;
}

/** Processes that run the real configuration sync on virtual time, a fake network and platform. */
export interface ConfigFleet {
  clock: VirtualClock;
  hub: FakePeerHub;
  platform: FakePlatform;
  processes: Map<string, ConfigProcess>;
  start: (info: MemberInfo, faults?: Partial<PlatformFaults>) => ConfigProcess;
  /** Stops all processes. */
  close: () => Promise<void>;
}

/** Creates a fleet without processes. */
export function createConfigFleet(options: ConfigFleetOptions): ConfigFleet {
  const clock = createVirtualClock();
  const hub = new FakePeerHub(clock, options.delayMs);
  const platform = new FakePlatform(clock);
  const lifecycle = new Lifecycle('fleet');
  const processes = new Map<string, ConfigProcess>();

  const start: ConfigFleet['start'] = (info, faults = {}) => {
    const settings = { ...configurationDefaults, ...options.settings };
    const delayMs = options.platformDelayMs;
    const client = platform.client({ down: false, loseAnswers: 0, delayMs, ...faults });
    const random = createRandom(options.seed * 10_007 + processes.size);
    const common = { clock, random, logger: silentLogger, metrics: new Metrics() };
    const store = createConfigStore({ ...settings, ...common, events: createEventBus() });
    const history = createConfigHistory(client.table, { ...settings, ...common });
    const network = hub.join(info);
    const processLifecycle = lifecycle.child(info.name);
    const peers = () => (options.hasLivePeers ? network.connected() : []);
    const isLeaseHolder = () => options.isLeaseHolder(info.name);
    const onPeerVersion = (listener: (member: MemberInfo, version: number) => void) => {
      network.handle(PeerMessageType.Heartbeat, (from, { configVersion }) => {
        if (options.readsHeartbeatVersions) listener(from, configVersion);
      });
      return () => undefined;
    };
    const sync = runConfigSync(
      { ...common, store, history, network, peers, onPeerVersion, isLeaseHolder, settings },
      processLifecycle,
    );
    const heartbeats = sendHeartbeats(
      { network, store },
      random,
      clock,
      options,
      processLifecycle.signal,
    );
    processLifecycle.own('tasks', async () => {
      await Promise.all([sync, heartbeats]);
    });
    const commit = createCommitter(history, store);
    const process = { info, store, network, commit, faults: client.faults };
    processes.set(info.name, process);
    return process;
  };

  const close = async () => {
    const progress = { isClosed: false };
    const closing = lifecycle.close().then(() => (progress.isClosed = true));
    // Pending platform calls need virtual time to complete.
    while (!progress.isClosed) await clock.advance(1);
    await closing;
  };
  return { clock, hub, platform, processes, start, close };
}

async function sendHeartbeats(
  { network, store }: Pick<ConfigProcess, 'network' | 'store'>,
  random: Random,
  clock: VirtualClock,
  { heartbeatMs, maxHeartbeats }: ConfigFleetOptions,
  signal: AbortSignal,
): Promise<void> {
  const type = PeerMessageType.Heartbeat as const;
  const common = { type, load: [] };
  await clock.sleep(random.next() * heartbeatMs, signal);
  for (let sequence = 1; !signal.aborted; sequence++) {
    const heartbeat = { ...common, sequence, configVersion: store.view.version };
    const peers = network.connected();
    const targets =
      peers.length <= maxHeartbeats
        ? peers
        : Array.from({ length: maxHeartbeats }, () => random.pick(peers));
    for (const peer of targets) network.send(peer.name, heartbeat);
    await clock.sleep(heartbeatMs, signal);
  }
}
