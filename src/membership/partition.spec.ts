import test, { type ExecutionContext } from 'ava';
import { systemClock } from '../clock/index.js';
import { createEventBus } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import {
  PartitionDirection,
  createPeerNetwork,
  peersSchema,
  type TcpPeerNetwork,
} from '../peers/index.js';
import { createRandom } from '../random/index.js';
import { waitFor } from '../testing/waitFor.js';
import { createMembership, membershipSchema, type RunningMembership } from './index.js';

interface Node {
  network: TcpPeerNetwork;
  membership: RunningMembership;
}

const peersSettings = peersSchema.parse({
  listenHost: '127.0.0.1',
  port: 0,
  secret: 'a secret of the deployment',
  idleTimeoutMs: 500,
  backoffBaseMs: 10,
  backoffMaxMs: 100,
});

/** Starts a member on a TCP network; its intervals and timeouts are a tenth of the defaults. */
async function startNode(t: ExecutionContext, name: string, seedPorts: number[]): Promise<Node> {
  const lifecycle = new Lifecycle(name);
  const zone = `z${name.charAt(0)}`;
  const common = {
    clock: systemClock,
    random: createRandom(name.charCodeAt(1)),
    logger: silentLogger,
    metrics: new Metrics(),
  };
  const self = { name, incarnation: name, zone, host: '', port: 0, startedAt: 0 };
  const created = await createPeerNetwork({ ...common, self, settings: peersSettings }, lifecycle);
  if (created.isErr) throw created.error;
  const network = created.value;
  const membership = createMembership({
    ...common,
    network,
    settings: membershipSchema.parse({
      seeds: seedPorts.map((port) => ({ host: '127.0.0.1', port })),
      zoneHeartbeatMs: 50,
      remoteHeartbeatMs: 100,
      suspectAfterMs: 300,
      removeAfterMs: 1_000,
      sweepIntervalMs: 25,
    }),
    heartbeat: { configVersion: () => 0, load: () => [], draining: () => [] },
    events: createEventBus(),
  });
  const task = membership.run(lifecycle);
  lifecycle.own('membership', () => task);
  t.teardown(() => lifecycle.close());
  return { network, membership };
}

// Guards against members that never discover each other, or that stay apart after a partition,
// over real TCP connections.
test('members discover each other through a seed and reconnect after a partition between zones', async (t) => {
  const first = await startNode(t, 'a0', []);
  const nodes = [first];
  for (const name of ['a1', 'b0', 'b1']) {
    nodes.push(await startNode(t, name, [first.network.self.port]));
  }
  const isLiveEverywhere = (zone: string, count: number) =>
    nodes.every(({ membership }) => membership.liveMembers(zone).length === count);
  const isConverged = () => isLiveEverywhere('za', 2) && isLiveEverywhere('zb', 2);
  await waitFor('all members to be live', isConverged);

  const setPartition = (isCut: boolean) => {
    for (const { network } of nodes) {
      network.setPartition(
        network.self.zone === 'za' ? 'zb' : 'za',
        PartitionDirection.Both,
        isCut,
      );
    }
  };
  setPartition(true);
  await waitFor('members of the other zone to be removed', () =>
    nodes.every(({ membership }) => membership.members().length === 1),
  );
  setPartition(false);
  await waitFor('all members to be live again', isConverged);
  t.pass();
});
