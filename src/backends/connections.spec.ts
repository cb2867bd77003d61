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

function answer(lines: string[], body = ''): string {
  return `HTTP/1.1 ${lines.join('\r\n')}\r\n\r\n${body}`;
}

const echo: Behaviour = (socket, id) => {
  socket.write(answer(['200 OK', `request-id: ${id}`, 'content-length: 2'], 'ok'));
};

interface FaultCase {
  name: string;
  behave: Behaviour;
  change?: (rig: Rig) => Partial<BackendRequest>;
  /** What happens after the request arrived. */
  then?: (rig: Rig) => unknown;
  code: BackendErrorCode | undefined;
  mayHaveRun?: boolean;
}

const cases: FaultCase[] = [
  { name: 'a whole answer', behave: echo, code: undefined },
  {
    name: 'a whole answer in chunks',
    behave: (socket, id) => {
      const lines = ['200 OK', `request-id: ${id}`, 'transfer-encoding: chunked'];
      socket.write(answer(lines, '2\r\nok\r\n0\r\n\r\n'));
    },
    code: undefined,
  },
  {
    name: 'a body cut short of its length',
    behave: (socket, id) => {
      socket.end(answer(['200 OK', `request-id: ${id}`, 'content-length: 5'], 'ok'));
    },
    code: BackendErrorCode.Truncated,
    mayHaveRun: true,
  },
  {
    name: 'chunks cut before the last one',
    behave: (socket, id) => {
      const lines = ['200 OK', `request-id: ${id}`, 'transfer-encoding: chunked'];
      socket.end(answer(lines, '2\r\nok\r\n'));
    },
    code: BackendErrorCode.Truncated,
    mayHaveRun: true,
  },
  {
    name: 'a body that only the end of the connection delimits',
    behave: (socket, id) => {
      socket.end(answer(['200 OK', `request-id: ${id}`], 'ok'));
    },
    code: BackendErrorCode.Truncated,
    mayHaveRun: true,
  },
  {
    name: 'a declared length above the limit',
    behave: (socket, id) => {
      socket.write(answer(['200 OK', `request-id: ${id}`, 'content-length: 1001']));
    },
    code: BackendErrorCode.Oversize,
    mayHaveRun: true,
  },
  {
    name: 'chunks above the limit',
    behave: (socket, id) => {
      const lines = ['200 OK', `request-id: ${id}`, 'transfer-encoding: chunked'];
      socket.write(answer(lines, `3e9\r\n${'x'.repeat(1_001)}\r\n`));
    },
    code: BackendErrorCode.Oversize,
    mayHaveRun: true,
  },
  {
    name: 'the answer to another request',
    behave: (socket) => {
      echo(socket, 'other');
    },
    code: BackendErrorCode.Crossed,
    mayHaveRun: true,
  },
  {
    name: 'an answer without an id',
    behave: (socket) => {
      socket.write(answer(['200 OK', 'content-length: 2'], 'ok'));
    },
    code: BackendErrorCode.Crossed,
    mayHaveRun: true,
  },
  {
    name: 'a connection closed after sending',
    behave: (socket) => {
      socket.destroy();
    },
    code: BackendErrorCode.ConnectionLost,
    mayHaveRun: true,
  },
  {
    name: 'no answer before the deadline',
    behave: () => undefined,
    then: (rig) => rig.clock.advance(DEADLINE_MS),
    code: BackendErrorCode.Timeout,
    mayHaveRun: true,
  },
  {
    name: 'the caller going away after sending',
    behave: () => undefined,
    then: (rig) => {
      rig.caller.abort();
    },
    code: BackendErrorCode.Cancelled,
    mayHaveRun: true,
  },
  {
    name: 'a proven refusal while busy',
    behave: (socket, id) => {
      const lines = ['503 Busy', `not-started: ${id}`, 'retry-after: 1', 'content-length: 0'];
      socket.write(answer(lines));
    },
    code: BackendErrorCode.NotStarted,
    mayHaveRun: false,
  },
  {
    name: 'a proven refusal while leaving',
    behave: (socket, id) => {
      socket.end(answer(['503 Leaving', `not-started: ${id}`, 'content-length: 0']));
    },
    code: BackendErrorCode.Leaving,
    mayHaveRun: false,
  },
  {
    name: 'a proven refusal of another pool, cut after its headers',
    behave: (socket, id) => {
      socket.end(answer(['421 Misdirected', `not-started: ${id}`, 'content-length: 9']));
    },
    code: BackendErrorCode.Leaving,
    mayHaveRun: false,
  },
  {
    name: 'a refusal that proves nothing about this request',
    behave: (socket, id) => {
      const lines = ['503 No', `request-id: ${id}`, 'not-started: other', 'content-length: 0'];
      socket.write(answer(lines));
    },
    code: undefined,
  },
  {
    name: 'a header that cannot be written',
    behave: echo,
    change: () => ({ headers: { 'x-bad': 'a\r\nb' } }),
    code: BackendErrorCode.InvalidRequest,
    mayHaveRun: false,
  },
  {
    name: 'a deadline that passed before sending',
    behave: echo,
    change: () => ({ deadline: 0 }),
    code: BackendErrorCode.DeadlineBeforeSend,
    mayHaveRun: false,
  },
  {
    name: 'a deadline that passes while connecting',
    behave: echo,
    // The deadline is in the future when sending starts, and past once the connection is open.
    change: (rig) => ({
      deadline: 1,
      get method() {
        void rig.clock.advance(2);
        return 'POST';
      },
    }),
    code: BackendErrorCode.DeadlineBeforeSend,
    mayHaveRun: false,
  },
  {
    name: 'a caller that went away before sending',
    behave: echo,
    change: () => ({ signal: AbortSignal.abort() }),
    code: BackendErrorCode.Cancelled,
    mayHaveRun: false,
  },
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
  if (!mayHaveRun && !isProven && rig.seen.length > 0) return 'the request arrived';
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
  {
    name: 'a server error',
    behave: (socket) => {
      socket.write(answer(['500 Failed', 'content-length: 0']));
    },
    isHealthy: false,
  },
  {
    name: 'a closed connection',
    behave: (socket) => {
      socket.destroy();
    },
    isHealthy: false,
  },
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
  const answers: (() => void)[] = [];
  const rig = await createRig(t, (socket, id) => {
    answers.push(() => {
      echo(socket, id);
    });
  });
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
  const answers: (() => void)[] = [];
  const rig = await createRig(t, (socket, id) => {
    answers.push(() => {
      echo(socket, id);
    });
  });
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
