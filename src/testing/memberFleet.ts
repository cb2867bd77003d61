import { InvariantError } from '../errors/index.js';
import { EventName, createEventBus } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import {
  createMembership,
  membershipSchema,
  type HeartbeatSources,
  type MembershipSettings,
  type RunningMembership,
} from '../membership/index.js';
import { Metrics } from '../metrics/index.js';
import type { MemberInfo, PeerNetwork } from '../peers/index.js';
import { createRandom } from '../random/index.js';
import { FakePeerHub } from './fakePeers.js';
import { FakePlatform } from './fakePlatform.js';
import { createPausableProcess } from './pausableProcess.js';
import { createVirtualClock, type VirtualClock } from './virtualClock.js';

/** One member that can be paused and stopped. */
export interface MemberProcess {
  network: PeerNetwork;
  membership: RunningMembership;
  /** Number of live members in each `MembersChanged` event, in order. */
  liveMemberCounts: number[];
  pause: () => void;
  resume: () => void;
  /** Ends the process without announcing its departure. */
  stop: () => Promise<void>;
}

/** Members that run the real membership on virtual time, a fake network and a fake platform. */
export interface MemberFleet {
  clock: VirtualClock;
  hub: FakePeerHub;
  platform: FakePlatform;
  nodes: Map<string, MemberProcess>;
  join: (
    info: MemberInfo,
    overrides?: Partial<MembershipSettings>,
    sources?: Partial<HeartbeatSources>,
  ) => MemberProcess;
  node: (name: string) => MemberProcess;
}

/** Creates a fleet without members. Heartbeats report version 7 and a fixed load by default. */
export function createMemberFleet(): MemberFleet {
  const clock = createVirtualClock();
  const hub = new FakePeerHub(clock, () => 1);
  const platform = new FakePlatform(clock);
  const nodes = new Map<string, MemberProcess>();
  const join: MemberFleet['join'] = (self, overrides = {}, sources = {}) => {
    const process = createPausableProcess(clock);
    const events = createEventBus();
    const liveMemberCounts: number[] = [];
    events.on(EventName.MembersChanged, ({ live }) => void liveMemberCounts.push(live));
    const network = process.wrap(hub.join(self));
    const membership = createMembership({
      network,
      settings: { ...membershipSchema.parse({}), ...overrides },
      heartbeat: {
        configVersion: () => 7,
        load: () => [{ service: 's', slots: 8, freeSlots: 3, queued: 1 }],
        draining: () => [{ vm: 'v', inFlight: 2 }],
        leaving: () => ['w'],
        ...sources,
      },
      table: platform.client().table,
      clock: process.clock,
      random: createRandom(nodes.size + 1),
      events,
      logger: silentLogger,
      metrics: new Metrics(),
    });
    const lifecycle = new Lifecycle(self.name);
    const task = membership.run(lifecycle);
    const stop = async () => {
      hub.leave(self.name);
      await lifecycle.close();
      await task;
    };
    const node = { ...process, network, membership, liveMemberCounts, stop };
    nodes.set(self.name, node);
    return node;
  };
  const node = (name: string) => {
    const found = nodes.get(name);
    if (!found) throw new InvariantError(`member ${name} was not started`);
    return found;
  };
  return { clock, hub, platform, nodes, join, node };
}
