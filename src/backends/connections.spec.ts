import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Result } from 'true-myth';
import { request } from 'undici';
import { Lifecycle } from '../lifecycle/index.js';
import { Metrics } from '../metrics/index.js';
import { createVirtualClock, type VirtualClock } from '../testing/index.js';
import {
  BackendError,
  BackendErrorCode,
  backendsSchema,
  createBackendConnections,
  createHttpProbe,
  type BackendConnections,
  type BackendRequest,
} from './index.js';

const MAX_ANSWER_BYTES = 1_000;
const DEADLINE_MS = 5_000;
const CHUNKED = 'transfer-encoding: chunked';

/** What a backend server does with a request; `requestId` is the id it was sent. */
type Behaviour = (socket: Socket, requestId: string) => void;

interface Rig {
  clock: VirtualClock;
  connections: BackendConnections;
  server: Server;
  port: number;
  /** Ids of requests that arrived. */
  seen: string[];
  caller: AbortController;
  request: (change?: Partial<BackendRequest>) => BackendRequest;
}

async function createRig(t: ExecutionContext, behave: Behaviour): Promise<Rig> {
  const seen: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const requestId = /^request-id: (.*)\r$/im.exec(data.toString())?.[1] ?? '';
      seen.push(requestId);
      behave(socket, requestId);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const clock = createVirtualClock();
  const lifecycle = new Lifecycle('test');
  const settings = backendsSchema.parse({ maxAnswerBytes: MAX_ANSWER_BYTES });
  const metrics = new Metrics();
  const connections = createBackendConnections({ clock, metrics, settings, lifecycle });
  const executor = { host: '127.0.0.1', port, slots: 2, connections: 2 };
  connections.setExecutors(new Map([['vm1', executor]]));
  t.teardown(async () => {
    for (const socket of sockets) socket.destroy();
    await lifecycle.close();
    server.close();
  });
  const caller = new AbortController();
  const request = (change: Partial<BackendRequest> = {}): BackendRequest => ({
    requestId: 'r1',
    incarnation: 'i1',
    pool: 'draws',
    method: 'POST',
    path: '/draw',
    headers: { 'x-round': '3', connection: 'close' },
    body: Buffer.from('body'),
    deadline: clock.now() + DEADLINE_MS,
    signal: caller.signal,
    ...change,
  });
  return { clock, connections, server, port, seen, caller, request };
}

/** Waits for a condition on the outside world. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

/** A rig whose server answers each request when the test says so. */
async function createHoldingRig(t: ExecutionContext) {
  const answers: (() => void)[] = [];
  const rig = await createRig(t, (socket, id) => {
    answers.push(() => {
      echo(socket, id);
    });
  });
  return { rig, answers };
}

function answer(lines: string[], body = ''): string {
  return `HTTP/1.1 ${lines.join('\r\n')}\r\n\r\n${body}`;
}

const echo: Behaviour = (socket, id) => {
  socket.write(answer(['200 OK', `request-id: ${id}`, 'content-length: 2'], 'ok'));
};

/** Writes an answer in which ID stands for the request's id. */
const replies =
  (lines: string[], body = ''): Behaviour =>
  (socket, id) => {
    socket.write(answer(lines, body).replaceAll('ID', id));
  };

/** As {@link replies}, and closes the connection. */
const repliesAndCloses =
  (lines: string[], body = ''): Behaviour =>
  (socket, id) => {
    socket.end(answer(lines, body).replaceAll('ID', id));
  };

const closes: Behaviour = (socket) => {
  socket.destroy();
};

const isSilent: Behaviour = () => undefined;

interface FaultCase {
  name: string;
  behave: Behaviour;
  change?: (rig: Rig) => Partial<BackendRequest>;
  /** What happens after the request arrived. */
  then?: (rig: Rig) => unknown;
  code: BackendErrorCode | undefined;
  mayHaveRun?: boolean;
}

/** Cases that end with a code after the request was sent, or with an answer. */
const sentCases: [string, BackendErrorCode | undefined, Behaviour, FaultCase['then']?][] = [
  ['a whole answer', undefined, echo],
  [
    'a whole answer in chunks',
    undefined,
    replies(['200 OK', 'request-id: ID', CHUNKED], '2\r\nok\r\n0\r\n\r\n'),
  ],
  [
    'a refusal that proves nothing about this request',
    undefined,
    replies(['503 No', 'request-id: ID', 'not-started: other', 'content-length: 0']),
  ],
  [
    'a body cut short of its length',
    BackendErrorCode.Truncated,
    repliesAndCloses(['200 OK', 'request-id: ID', 'content-length: 5'], 'ok'),
  ],
  [
    'chunks cut before the last one',
    BackendErrorCode.Truncated,
    repliesAndCloses(['200 OK', 'request-id: ID', CHUNKED], '2\r\nok\r\n'),
  ],
  [
    'a body that only the end of the connection delimits',
    BackendErrorCode.Truncated,
    repliesAndCloses(['200 OK', 'request-id: ID'], 'ok'),
  ],
  [
    'a declared length above the limit',
    BackendErrorCode.Oversize,
    replies(['200 OK', 'request-id: ID', 'content-length: 1001']),
  ],
  [
    'chunks above the limit',
    BackendErrorCode.Oversize,
    replies(['200 OK', 'request-id: ID', CHUNKED], `3e9\r\n${'x'.repeat(1_001)}\r\n`),
  ],
  [
    'the answer to another request',
    BackendErrorCode.ResponseMismatch,
    replies(['200 OK', 'request-id: other', 'content-length: 2'], 'ok'),
  ],
  [
    'an answer without an id',
    BackendErrorCode.ResponseMismatch,
    replies(['200 OK', 'content-length: 2'], 'ok'),
  ],
  ['a connection closed after sending', BackendErrorCode.ConnectionLost, closes],
  [
    'no answer before the deadline',
    BackendErrorCode.Timeout,
    isSilent,
    (rig) => rig.clock.advance(DEADLINE_MS),
  ],
  [
    'the caller going away after sending',
    BackendErrorCode.Cancelled,
    isSilent,
    (rig) => {
      rig.caller.abort();
    },
  ],
];

/** Cases in which the request certainly did not run. */
const notRunCases: [string, BackendErrorCode, Behaviour, FaultCase['change']?][] = [
  [
    'a proven refusal while busy',
    BackendErrorCode.NotStarted,
    replies(['503 Busy', 'not-started: ID', 'retry-after: 1', 'content-length: 0']),
  ],
  [
    'a proven refusal while leaving',
    BackendErrorCode.Leaving,
    repliesAndCloses(['503 Leaving', 'not-started: ID', 'content-length: 0']),
  ],
  [
    'a proven refusal of another pool, cut after its headers',
    BackendErrorCode.Leaving,
    repliesAndCloses(['421 Misdirected', 'not-started: ID', 'content-length: 9']),
  ],
  [
    'a header that cannot be written',
    BackendErrorCode.InvalidRequest,
    echo,
    () => ({ headers: { 'x-bad': 'a\r\nb' } }),
  ],
  [
    'a deadline that passed before sending',
    BackendErrorCode.DeadlineBeforeSend,
    echo,
    () => ({ deadline: 0 }),
  ],
  [
    'a deadline that passes while connecting',
    BackendErrorCode.DeadlineBeforeSend,
    echo,
    // The deadline is in the future when sending starts, and past once the connection is open.
    (rig) => ({
      deadline: 1,
      get method() {
        void rig.clock.advance(2);
        return 'POST';
      },
    }),
  ],
  [
    'a caller that went away before sending',
    BackendErrorCode.Cancelled,
    echo,
    () => ({ signal: AbortSignal.abort() }),
  ],
];

const cases: FaultCase[] = [
  ...sentCases.map(([name, code, behave, then]) => ({ name, code, behave, then })),
  ...notRunCases.map(([name, code, behave, change]) => {
    return { name, code, behave, change, mayHaveRun: false };
  }),
];

type Send = BackendConnections['send'];

/** Runs a case and names what differs from its expectation. */
async function findFault(
  t: ExecutionContext,
  fault: FaultCase,
  sendOf: (rig: Rig) => Send,
): Promise<string | undefined> {
  const { code, mayHaveRun = true } = fault;
  const rig = await createRig(t, fault.behave);
  const result = sendOf(rig)('vm1', rig.request(fault.change?.(rig)));
  if (fault.then) {
    await until(() => rig.seen.length > 0);
    await fault.then(rig);
  }
  const ended = await result;
  const found = ended.isErr ? ended.error.code : undefined;
  if (found !== code) return `ended with ${String(found)}, expected ${String(code)}`;
  if (ended.isErr && ended.error.mayHaveRun !== mayHaveRun) return 'mayHaveRun is wrong';
  const isProven = code === BackendErrorCode.NotStarted || code === BackendErrorCode.Leaving;
  if (!mayHaveRun && !isProven) {
    // A request that was written after all arrives before the answer to a later one.
    const later = rig.request({ requestId: 'later', deadline: rig.clock.now() + DEADLINE_MS });
    await rig.connections.send('vm1', later);
    if (rig.seen.some((id) => id !== 'later')) return 'the request arrived';
  }
  return rig.connections.inFlight('vm1') === 0 ? undefined : 'a request is in flight at the end';
}

for (const fault of cases) {
  test(`one attempt: ${fault.name}`, async (t) => {
    t.is(await findFault(t, fault, (rig) => (vm, req) => rig.connections.send(vm, req)), undefined);
  });
}

/** Passes on whatever arrives and takes any failure for a request that did not run. */
const sendUnchecked =
  (rig: Rig): Send =>
  async (_vm, { requestId, method, path, signal, body }) => {
    try {
      const headers = { 'request-id': requestId };
      const url = `http://127.0.0.1:${rig.port}${path}`;
      const timeout = AbortSignal.any([signal, AbortSignal.timeout(100)]);
      const res = await request(url, { method, headers, body, reset: true, signal: timeout });
      const bytes = new Uint8Array(await res.body.arrayBuffer());
      return Result.ok({ status: res.statusCode, headers: {}, body: bytes });
    } catch {
      return Result.err(new BackendError(BackendErrorCode.ConnectionLost, 'failed', false));
    }
  };

test('a variant without checks fails every case that has a fault', async (t) => {
  for (const fault of cases.filter(({ code }) => code !== undefined)) {
    t.not(await findFault(t, fault, sendUnchecked), undefined, fault.name);
  }
});

test('a refused connection leaves the request certainly not run', async (t) => {
  const rig = await createRig(t, echo);
  await new Promise((resolve) => rig.server.close(resolve));
  const result = await rig.connections.send('vm1', rig.request());
  t.true(result.isErr && result.error.code === BackendErrorCode.ConnectFailed);
  t.true(result.isErr && !result.error.mayHaveRun);
});

const probes: { name: string; behave: Behaviour; isHealthy: boolean }[] = [
  { name: 'any answer without a server error', behave: echo, isHealthy: true },
  { name: 'a server error', behave: replies(['500 No', 'content-length: 0']), isHealthy: false },
  { name: 'a closed connection', behave: closes, isHealthy: false },
];

for (const { name, behave, isHealthy } of probes) {
  test(`a probe that meets ${name} is ${isHealthy ? 'passed' : 'failed'}`, async (t) => {
    const { port } = await createRig(t, behave);
    const executor = { host: '127.0.0.1', port, slots: 2, connections: 2 };
    const probe = createHttpProbe(backendsSchema.parse({}), () => executor);
    const isPassed = await probe('vm1', new AbortController().signal).catch(() => false);
    t.is(isPassed, isHealthy);
  });
}

test('an answer after the deadline reaches neither its own request nor the next', async (t) => {
  const held: (() => void)[] = [];
  const rig = await createRig(t, (socket, id) => {
    if (id === 'late')
      held.push(() => {
        echo(socket, 'next');
      });
    else echo(socket, id);
  });
  const late = rig.connections.send('vm1', rig.request({ requestId: 'late' }));
  await until(() => held.length > 0);
  await rig.clock.advance(DEADLINE_MS);
  t.true((await late).isErr);
  const next = rig.connections.send('vm1', rig.request({ requestId: 'next' }));
  held[0]?.();
  const result = await next;
  t.true(result.isOk && rig.seen.includes('next'));
});

test('requests beyond the connections are refused, and one connection carries one at a time', async (t) => {
  const { rig, answers } = await createHoldingRig(t);
  const sent = ['r1', 'r2'].map((requestId) =>
    rig.connections.send('vm1', rig.request({ requestId })),
  );
  const refused = await rig.connections.send('vm1', rig.request({ requestId: 'r3' }));
  t.true(refused.isErr && refused.error.code === BackendErrorCode.NoConnection);
  await until(() => answers.length === 2);
  for (const reply of answers) reply();
  t.true((await Promise.all(sent)).every((result) => result.isOk));
  t.deepEqual([...rig.seen].sort(), ['r1', 'r2']);
});

test('an executor that is removed finishes what is in flight and gets nothing new', async (t) => {
  const { rig, answers } = await createHoldingRig(t);
  const sent = rig.connections.send('vm1', rig.request());
  await until(() => answers.length === 1);
  rig.connections.setExecutors(new Map());
  t.is(rig.connections.inFlight('vm1'), 1);
  const refused = await rig.connections.send('vm1', rig.request({ requestId: 'r2' }));
  t.true(refused.isErr && refused.error.code === BackendErrorCode.UnknownVm);
  answers[0]?.();
  t.true((await sent).isOk);
  t.is(rig.connections.inFlight('vm1'), 0);
});
