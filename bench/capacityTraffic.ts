import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { Result } from 'true-myth';
import { backendsSchema } from '../src/backends/index.js';
import { createHttpProbe } from '../src/backends/createHttpProbe.js';
import { DisseminationMethodName } from '../src/configuration/index.js';
import { Lifecycle } from '../src/lifecycle/index.js';
import { createMembership, membershipSchema } from '../src/membership/index.js';
import {
  decodeBody,
  encodeFrame,
  type MemberInfo,
  type PeerMessage,
  type PeerMessageHandler,
  type PeerNetwork,
  type ServiceLoad,
} from '../src/peers/index.js';
import { createVirtualClock } from '../src/testing/index.js';
import { startProcess } from '../testbed/processes.js';
import { commonDeps, designMembers } from './designFleet.js';
import { run as runDissemination } from './dissemination.js';
import { measureSlope, type Slope } from './slopes.js';

/** Numbers of members, the measured one included; each zone has seven. */
const MEMBER_SIZES = [14, 49, 91, 182];
const MEMBERS_PER_ZONE = 7;

/** Number of measurements at each size. */
const REPEATS = 3;

/** Ethernet, IP and TCP headers of one segment in bytes. */
const SEGMENT_BYTES = 66;

const MAX_FRAME_BYTES = 2_097_152;

/** Duration of one measurement in virtual seconds. */
const MEASURED_S = 60;

/** Network traffic and CPU time of the heartbeats of one member. */
interface HeartbeatCost {
  sentBytesPerS: number;
  sentPerS: number;
  sendCpuUsPerS: number;
  receiveCpuUsPerMessage: number;
}

/** Peer network that encodes each message as a real link does, and keeps the first frames. */
class CountingNetwork implements PeerNetwork {
  readonly self: MemberInfo;
  readonly #others: readonly MemberInfo[];
  readonly handlers = new Map<string, PeerMessageHandler>();
  readonly frames: Buffer[] = [];
  bytes = 0;
  messages = 0;

  constructor(self: MemberInfo, others: readonly MemberInfo[]) {
    this.self = self;
    this.#others = others;
  }

  connected = () => this.#others;
  addMember = () => undefined;
  removeMember = () => undefined;
  onLink = () => undefined;

  handle: PeerNetwork['handle'] = (type, handler) => {
    this.handlers.set(type, handler as PeerMessageHandler);
  };

  send(_name: string, message: PeerMessage): Result<void, never> {
    const frame = encodeFrame(message, MAX_FRAME_BYTES).unwrapOr(Buffer.alloc(0));
    this.bytes += frame.length + SEGMENT_BYTES;
    this.messages += 1;
    if (this.frames.length < 500) this.frames.push(frame);
    return Result.ok(undefined);
  }
}

/** Creates the load of 92 services, one in eight of which changes with each call. */
function createChangingLoad(): () => ServiceLoad[] {
  let calls = 0;
  return () => {
    calls += 1;
    return Array.from({ length: 92 }, (_, i) => {
      const queued = (i + calls) % 8 === 0 ? calls : 0;
      return { service: `service-${i}`, slots: 16, freeSlots: 5, queued };
    });
  };
}

async function heartbeatCost(size: number): Promise<HeartbeatCost> {
  const members = designMembers(size, size / MEMBERS_PER_ZONE);
  const [self, ...others] = members;
  if (!self) throw new RangeError('a fleet has at least one member');
  const clock = createVirtualClock();
  const network = new CountingNetwork(self, others);
  const membership = createMembership({
    ...{ ...commonDeps(), clock, network, settings: membershipSchema.parse({}) },
    heartbeat: { configVersion: () => 38_000_000, load: createChangingLoad(), draining: () => [] },
  });
  const lifecycle = new Lifecycle('member');
  const task = membership.run(lifecycle);
  const start = process.cpuUsage();
  await clock.advance(MEASURED_S * 1_000);
  const cpuTime = process.cpuUsage(start);
  await lifecycle.close();
  await task;
  const { bytes, messages } = network;
  return {
    sentBytesPerS: bytes / MEASURED_S,
    sentPerS: messages / MEASURED_S,
    sendCpuUsPerS: (cpuTime.user + cpuTime.system) / MEASURED_S,
    receiveCpuUsPerMessage: receiveCpuUs(network, others),
  };
}

/** CPU time of decoding and processing one heartbeat, with all members known, in microseconds. */
function receiveCpuUs(network: CountingNetwork, others: readonly MemberInfo[]): number {
  const handler = network.handlers.get('heartbeat');
  let sequence = 1_000_000;
  const receive = () => {
    for (const from of others) {
      const frame = network.frames[sequence % network.frames.length];
      if (!frame) return;
      const message = decodeBody(frame.subarray(4)).unwrapOr(undefined) as { sequence: number };
      sequence += 1;
      message.sequence = sequence;
      handler?.(from, message as unknown as PeerMessage);
    }
  };
  for (let round = 0; round < 20; round++) receive();
  const start = process.cpuUsage();
  const rounds = Math.ceil(20_000 / others.length);
  for (let round = 0; round < rounds; round++) receive();
  const { user, system } = process.cpuUsage(start);
  return (user + system) / (rounds * others.length);
}

/** Measures heartbeats, dissemination and I/O as the number of members grows. */
export async function trafficSlopes(): Promise<Slope[]> {
  const costs = new Map<string, HeartbeatCost>();
  const costOf = async (size: number, repeat: number) => {
    const key = `${size}/${repeat}`;
    const measured = costs.get(key) ?? (await heartbeatCost(size));
    costs.set(key, measured);
    return measured;
  };
  const measureHeartbeat = (line: string, unit: string, value: (cost: HeartbeatCost) => number) => {
    const nextRepeat = new Map<number, number>();
    return measureSlope(line, unit, MEMBER_SIZES, REPEATS, async (size) => {
      const repeat = nextRepeat.get(size) ?? 0;
      nextRepeat.set(size, (repeat + 1) % REPEATS);
      return value(await costOf(size, repeat));
    });
  };
  const slopes = [
    await measureHeartbeat('heartbeats, sent', 'bytes/s per member', (c) => c.sentBytesPerS),
    await measureHeartbeat('heartbeats, sent', 'messages/s per member', (c) => c.sentPerS),
    await measureHeartbeat(
      'heartbeats, sending',
      'microseconds/s per member',
      (c) => c.sendCpuUsPerS,
    ),
    await measureHeartbeat('heartbeat, receiving one', 'microseconds per member', (c) => {
      return c.receiveCpuUsPerMessage;
    }),
  ];
  return [...slopes, ...(await disseminationSlopes()), ...(await ioSlopes())];
}

async function disseminationSlopes(): Promise<Slope[]> {
  const sizes = [26, 52, 91];
  const rowsBySize = new Map<number, Awaited<ReturnType<typeof runDissemination>>>();
  for (const size of sizes) {
    const rows = [];
    for (const seed of [1, 2, 3]) {
      rows.push(...(await runDissemination(seed, [size], [DisseminationMethodName.DirectPush])));
    }
    rowsBySize.set(size, rows);
  }
  const slope = (unit: string, column: 'messages' | 'bytes') => {
    const nextRepeat = new Map<number, number>();
    return measureSlope('one change to all members', unit, sizes, REPEATS, (size) => {
      const repeat = nextRepeat.get(size) ?? 0;
      nextRepeat.set(size, (repeat + 1) % REPEATS);
      return rowsBySize.get(size)?.[repeat]?.[column] ?? 0;
    });
  };
  return [await slope('messages per member', 'messages'), await slope('bytes per member', 'bytes')];
}

/** Measures the CPU time of a segment over a socket, and of a probe of a backend server. */
async function ioSlopes(): Promise<Slope[]> {
  const socket = await measureSlope(
    'socket, a segment sent and received',
    'microseconds per segment',
    [1_000, 3_000, 6_000],
    REPEATS,
    segmentCpuUs,
  );
  const backend = startProcess('backend', 'standins/backend/main.js', ['--pool=p']);
  try {
    const { port } = await backend.waitForLine((line) =>
      line.startsWith('{') ? (JSON.parse(line) as { port: number }) : undefined,
    );
    const executor = { host: '127.0.0.1', port, slots: 8, connections: 64 };
    const probe = createHttpProbe(backendsSchema.parse({}), () => executor);
    const { signal } = new AbortController();
    const probes = await measureSlope(
      'probe of a backend server',
      'microseconds per probe',
      [100, 300, 600],
      REPEATS,
      (count) =>
        cpuUsOf(async () => {
          for (let i = 0; i < count; i++) await probe('vm', signal);
        }),
    );
    return [socket, probes];
  } finally {
    await backend.kill();
  }
}

async function segmentCpuUs(count: number): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  client.setNoDelay(true);
  const [receiver] = await accepted;
  const frame = Buffer.alloc(200);
  const cpuUs = await cpuUsOf(async () => {
    for (let i = 0; i < count; i++) {
      const received = once(receiver, 'data');
      client.write(frame);
      await received;
    }
  });
  client.destroy();
  receiver.destroy();
  server.close();
  await once(server, 'close');
  return cpuUs;
}

async function cpuUsOf(task: () => Promise<void>): Promise<number> {
  const start = process.cpuUsage();
  await task();
  const { user, system } = process.cpuUsage(start);
  return user + system;
}
