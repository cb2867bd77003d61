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
  linkEvents: string[];
  receivedJobIds: string[];
  refusals: (reason: RefusalReason) => Promise<number>;
}

let incarnationCount = 0;

async function startNode(
  t: ExecutionContext,
  name: string,
  overrides: Partial<PeersSettings> = {},
): Promise<Node> {
  const lifecycle = new Lifecycle(name);
  const metrics = new Metrics();
  incarnationCount += 1;
  const incarnation = String(incarnationCount).padStart(16, '0');
  const self = {
    name,
    incarnation,
    zone: `z-${name}`,
    host: '',
    port: 0,
    startedAt: incarnationCount,
  };
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
      random: createRandom(incarnationCount),
      logger: silentLogger,
      metrics,
    },
    lifecycle,
  );
  if (created.isErr) throw created.error;
  const network = created.value;
  const linkEvents: string[] = [];
  const receivedJobIds: string[] = [];
  network.onLink((member, up) => linkEvents.push(`${member.incarnation} ${up ? 'up' : 'down'}`));
  network.handle(PeerMessageType.JobNotice, (_from, { jobId }) => receivedJobIds.push(jobId));
  t.teardown(() => lifecycle.close());
  const counter = metrics.counter('peer_refusals_total', '');
  const refusals = async (reason: RefusalReason) =>
    (await counter.get()).values.find(({ labels }) => labels.reason === reason)?.value ?? 0;
  return { network, lifecycle, linkEvents, receivedJobIds, refusals };
}

function jobNotice(jobId: string) {
  return { type: PeerMessageType.JobNotice as const, zone: 'z', jobId, urgent: false };
}

const isLinked = (node: Node, other: Node) =>
  node.network
    .connected()
    .some(({ incarnation }) => incarnation === other.network.self.incarnation);

async function waitUntilLinked(a: Node, b: Node): Promise<void> {
  await waitFor('a link', () => isLinked(a, b) && isLinked(b, a));
}

// Guards against lost or duplicated messages caused by two links between the same members.
test('members that dial each other simultaneously end up with one link', async (t) => {
  const nodes = await Promise.all(['a', 'b', 'c'].map((name) => startNode(t, name)));
  for (const node of nodes) for (const other of nodes) node.network.addMember(other.network.self);
  for (const node of nodes)
    for (const other of nodes) if (node !== other) await waitUntilLinked(node, other);
  const [a, b] = nodes as [Node, Node];
  await waitFor('messages from both sides', () => {
    a.network.send('b', jobNotice('from a'));
    b.network.send('a', jobNotice('from b'));
    return a.receivedJobIds.length > 0 && b.receivedJobIds.length > 0;
  });
  for (const node of nodes) t.is(node.network.connected().length, 2);
});

test('a member is linked to the member at a seed address', async (t) => {
  const [a, b] = [await startNode(t, 'a'), await startNode(t, 'b')];
  b.network.addSeed('127.0.0.1', a.network.self.port);
  b.network.addSeed('127.0.0.1', b.network.self.port);
  await waitUntilLinked(a, b);
  t.is(a.network.connected()[0]?.zone, 'z-b');
});

// Guards against links to processes outside the deployment.
test('a member with another secret is refused', async (t) => {
  const [a, b] = [
    await startNode(t, 'a'),
    await startNode(t, 'b', { secret: 'some other shared secret' }),
  ];
  b.network.addMember(a.network.self);
  a.network.addMember(b.network.self);
  await waitFor('refusals', async () => (await a.refusals(RefusalReason.Handshake)) >= 3);
  t.deepEqual([a.linkEvents, b.linkEvents], [[], []]);
  const sent = a.network.send('b', jobNotice('x'));
  t.is(sent.isErr && sent.error.code, PeerErrorCode.NotConnected);
});

test('creating the network fails without a secret', async (t) => {
  const err = await t.throwsAsync(() => startNode(t, 'a', { secret: '' }));
  t.is((err as unknown as { code: string }).code, PeerErrorCode.WeakSecret);
});

// Guards against sending work to a process that has been replaced.
test('the link to a newer incarnation replaces the link to the older one', async (t) => {
  const a = await startNode(t, 'a');
  const old = await startNode(t, 'b');
  old.network.addMember(a.network.self);
  await waitUntilLinked(a, old);
  const restarted = await startNode(t, 'b');
  restarted.network.addMember(a.network.self);
  await waitUntilLinked(a, restarted);
  t.false(isLinked(a, old));
  const [first, second] = [old, restarted].map(({ network }) => network.self.incarnation);
  t.deepEqual(a.linkEvents.slice(0, 3), [`${first} up`, `${first} down`, `${second} up`]);
});

// Guards against members that do not reconnect after a partition heals.
test('a partitioned link closes after the idle timeout and recovers after healing', async (t) => {
  const settings = { idleTimeoutMs: 200 };
  const [a, b] = [await startNode(t, 'a', settings), await startNode(t, 'b', settings)];
  a.network.addMember(b.network.self);
  await waitUntilLinked(a, b);
  a.network.setPartition('z-b', PartitionDirection.Both, true);
  await waitFor('link down', () => !isLinked(a, b) && !isLinked(b, a));
  a.network.setPartition('z-b', PartitionDirection.Both, false);
  await waitUntilLinked(a, b);
  a.network.removeMember('b');
  await waitFor('link removed', () => !isLinked(a, b) && !isLinked(b, a));
  t.is(a.network.connected().length, 0);
});

// Guards against a one-way partition that drops messages in the wrong direction.
test('a one-way partition drops only messages in its direction', async (t) => {
  const [a, b] = [await startNode(t, 'a'), await startNode(t, 'b')];
  a.network.addMember(b.network.self);
  await waitUntilLinked(a, b);
  a.network.setPartition('b', PartitionDirection.Outbound, true);
  t.true(a.network.send('b', jobNotice('lost')).isOk);
  b.network.send('a', jobNotice('arrives'));
  await waitFor('message from b', () => a.receivedJobIds.length === 1);
  a.network.setPartition('b', PartitionDirection.Outbound, false);
  a.network.send('b', jobNotice('after'));
  await waitFor('message from a', () => b.receivedJobIds.length === 1);
  t.deepEqual(b.receivedJobIds, ['after']);
});

// Guards against unbounded memory use caused by slow readers, many connections or many members.
test('the send buffer, inbound connections and members are bounded', async (t) => {
  const limits = { maxBufferedBytes: 262_144, maxInbound: 2, maxMembers: 2 };
  const [a, b] = [await startNode(t, 'a', limits), await startNode(t, 'b')];
  a.network.addMember(b.network.self);
  await waitUntilLinked(a, b);
  const results = Array.from({ length: 300 }, () =>
    // The total size exceeds what the kernel buffers for one connection.
    a.network.send('b', jobNotice('x'.repeat(100_000))),
  );
  const refused = results.filter((sent) => sent.isErr);
  t.true(refused.length > 0);
  t.true(refused.every(({ error }) => error.code === PeerErrorCode.Overloaded));
  t.is(await a.refusals(RefusalReason.Overloaded), refused.length);
  await waitFor('accepted messages', () => b.receivedJobIds.length === 300 - refused.length);

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

// Guards against connections that are opened but never start the handshake.
test('a connection without a handshake is closed after the handshake timeout', async (t) => {
  const a = await startNode(t, 'a', { handshakeTimeoutMs: 50 });
  const socket = connect(a.network.self.port, '127.0.0.1');
  const closed: string[] = [];
  socket.on('error', () => undefined).on('close', () => closed.push('closed'));
  await waitFor('the connection to be closed', () => closed.length === 1);
  t.is(await a.refusals(RefusalReason.Handshake), 1);
});

function fakeMember(name: string): MemberInfo {
  return { name, incarnation: 'x', zone: 'z', host: '127.0.0.1', port: 1, startedAt: 0 };
}
