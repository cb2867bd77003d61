import { connect } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { systemClock } from '../clock/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import { createRandom } from '../random/index.js';
import { waitFor } from '../testing/waitFor.js';
import {
  PartitionDirection,
  PeerErrorCode,
  PeerMessageType,
  RefusalReason,
  createPeerNetwork,
  peersSchema,
  type MemberInfo,
  type PeersSettings,
  type TcpPeerNetwork,
} from './index.js';

const SECRET = 'a secret of the deployment';

interface Node {
  network: TcpPeerNetwork;
  lifecycle: Lifecycle;
  links: string[];
  received: string[];
  refusals: (reason: RefusalReason) => Promise<number>;
}

let incarnations = 0;

async function start(
  t: ExecutionContext,
  name: string,
  overrides: Partial<PeersSettings> = {},
): Promise<Node> {
  const lifecycle = new Lifecycle(name);
  const metrics = new Metrics();
  incarnations += 1;
  const incarnation = String(incarnations).padStart(16, '0');
  const self = { name, incarnation, zone: `z-${name}`, host: '', port: 0, startedAt: incarnations };
  const settings = peersSchema.parse({
    listenHost: '127.0.0.1',
    port: 0,
    secret: SECRET,
    backoffBaseMs: 5,
    backoffMaxMs: 20,
    ...overrides,
  });
  const created = await createPeerNetwork(
    {
      self,
      settings,
      clock: systemClock,
      random: createRandom(incarnations),
      logger: silentLogger,
      metrics,
    },
    lifecycle,
  );
  if (created.isErr) throw created.error;
  const network = created.value;
  const links: string[] = [];
  const received: string[] = [];
  network.onLink((member, up) => links.push(`${member.incarnation} ${up ? 'up' : 'down'}`));
  network.handle(PeerMessageType.JobNotice, (_from, { jobId }) => received.push(jobId));
  t.teardown(() => lifecycle.close());
  const counter = metrics.counter('peer_refusals_total', '');
  const refusals = async (reason: RefusalReason) =>
    (await counter.get()).values.find(({ labels }) => labels.reason === reason)?.value ?? 0;
  return { network, lifecycle, links, received, refusals };
}

function notice(jobId: string) {
  return { type: PeerMessageType.JobNotice as const, zone: 'z', jobId, urgent: false };
}

const isLinked = (node: Node, other: Node) =>
  node.network
    .connected()
    .some(({ incarnation }) => incarnation === other.network.self.incarnation);

async function linked(a: Node, b: Node): Promise<void> {
  await waitFor('a link', () => isLinked(a, b) && isLinked(b, a));
}

// Guards against messages that are lost or doubled because two links exist for one pair.
test('members that dial each other at once end up with one link', async (t) => {
  const nodes = await Promise.all(['a', 'b', 'c'].map((name) => start(t, name)));
  for (const node of nodes) for (const other of nodes) node.network.addMember(other.network.self);
  for (const node of nodes)
    for (const other of nodes) if (node !== other) await linked(node, other);
  const [a, b] = nodes as [Node, Node];
  await waitFor('messages from both sides', () => {
    a.network.send('b', notice('from a'));
    b.network.send('a', notice('from b'));
    return a.received.length > 0 && b.received.length > 0;
  });
  for (const node of nodes) t.is(node.network.connected().length, 2);
});

test('a seed address is enough to be linked', async (t) => {
  const [a, b] = [await start(t, 'a'), await start(t, 'b')];
  b.network.addSeed('127.0.0.1', a.network.self.port);
  b.network.addSeed('127.0.0.1', b.network.self.port);
  await linked(a, b);
  t.is(a.network.connected()[0]?.zone, 'z-b');
});

// Guards against processes outside the deployment.
test('a member with another secret is refused', async (t) => {
  const [a, b] = [await start(t, 'a'), await start(t, 'b', { secret: 'some other shared secret' })];
  b.network.addMember(a.network.self);
  a.network.addMember(b.network.self);
  await waitFor('refusals', async () => (await a.refusals(RefusalReason.Handshake)) >= 3);
  t.deepEqual([a.links, b.links], [[], []]);
  const sent = a.network.send('b', notice('x'));
  t.is(sent.isErr && sent.error.code, PeerErrorCode.NotConnected);
});

test('a missing secret is refused at start', async (t) => {
  const err = await t.throwsAsync(() => start(t, 'a', { secret: '' }));
  t.is((err as unknown as { code: string }).code, PeerErrorCode.WeakSecret);
});

// Guards against work sent to a process that was replaced.
test('a newer incarnation replaces the link of the older one', async (t) => {
  const a = await start(t, 'a');
  const old = await start(t, 'b');
  old.network.addMember(a.network.self);
  await linked(a, old);
  const renewed = await start(t, 'b');
  renewed.network.addMember(a.network.self);
  await linked(a, renewed);
  t.false(isLinked(a, old));
  const [first, second] = [old, renewed].map(({ network }) => network.self.incarnation);
  t.deepEqual(a.links.slice(0, 3), [`${first} up`, `${first} down`, `${second} up`]);
});

// Guards against members that stay apart after a partition heals.
test('a cut link closes after silence and comes back after healing', async (t) => {
  const settings = { idleTimeoutMs: 200 };
  const [a, b] = [await start(t, 'a', settings), await start(t, 'b', settings)];
  a.network.addMember(b.network.self);
  await linked(a, b);
  a.network.setPartition('z-b', PartitionDirection.Both, true);
  await waitFor('link down', () => !isLinked(a, b) && !isLinked(b, a));
  a.network.setPartition('z-b', PartitionDirection.Both, false);
  await linked(a, b);
  a.network.removeMember('b');
  await waitFor('link removed', () => !isLinked(a, b) && !isLinked(b, a));
  t.is(a.network.connected().length, 0);
});

// Guards against a cut that loses messages in the wrong direction.
test('a cut in one direction loses only messages in this direction', async (t) => {
  const [a, b] = [await start(t, 'a'), await start(t, 'b')];
  a.network.addMember(b.network.self);
  await linked(a, b);
  a.network.setPartition('b', PartitionDirection.Outbound, true);
  t.true(a.network.send('b', notice('lost')).isOk);
  b.network.send('a', notice('arrives'));
  await waitFor('message from b', () => a.received.length === 1);
  a.network.setPartition('b', PartitionDirection.Outbound, false);
  a.network.send('b', notice('after'));
  await waitFor('message from a', () => b.received.length === 1);
  t.deepEqual(b.received, ['after']);
});

// Guards against unbounded memory when a peer reads slowly.
test('the outgoing buffer, inbound connections and members are bounded', async (t) => {
  const limits = { maxBufferedBytes: 262_144, maxInbound: 2, maxMembers: 2 };
  const [a, b] = [await start(t, 'a', limits), await start(t, 'b')];
  a.network.addMember(b.network.self);
  await linked(a, b);
  const results = Array.from({ length: 300 }, () =>
    // More in total than the kernel buffers for one connection.
    a.network.send('b', notice('x'.repeat(100_000))),
  );
  const refused = results.filter((sent) => sent.isErr);
  t.true(refused.length > 0);
  t.true(refused.every(({ error }) => error.code === PeerErrorCode.Overloaded));
  t.is(await a.refusals(RefusalReason.Overloaded), refused.length);
  await waitFor('accepted messages', () => b.received.length === 300 - refused.length);

  for (const name of ['c', 'd', 'e']) a.network.addMember(fakeMember(name));
  t.is(await a.refusals(RefusalReason.MemberLimit), 2);

  const sockets = Array.from({ length: 3 }, () => connect(a.network.self.port, '127.0.0.1'));
  const closed: string[] = [];
  for (const socket of sockets)
    socket.on('error', () => undefined).on('close', () => closed.push('closed'));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
  });
  await waitFor('a refused connection', () => closed.length === 1);
  t.is(await a.refusals(RefusalReason.InboundLimit), 1);
});

// Guards against connections that are opened and never used.
test('a silent connection is closed after the handshake time', async (t) => {
  const a = await start(t, 'a', { handshakeTimeoutMs: 50 });
  const socket = connect(a.network.self.port, '127.0.0.1');
  const closed: string[] = [];
  socket.on('error', () => undefined).on('close', () => closed.push('closed'));
  await waitFor('the connection to be closed', () => closed.length === 1);
  t.is(await a.refusals(RefusalReason.Handshake), 1);
});

function fakeMember(name: string): MemberInfo {
  return { name, incarnation: 'x', zone: 'z', host: '127.0.0.1', port: 1, startedAt: 0 };
}
