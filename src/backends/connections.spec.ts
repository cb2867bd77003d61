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

const MAX_RESPONSE_BYTES = 1_000;
const DEADLINE_MS = 5_000;
const CHUNKED = 'transfer-encoding: chunked';

/** How the test server handles a request; `requestId` is the id in the request. */
type ServerBehaviour = (socket: Socket, requestId: string) => void;

interface Rig {
  clock: VirtualClock;
  connections: BackendConnections;
  server: Server;
  port: number;
  /** Ids of the requests that arrived at the server. */
  receivedIds: string[];
  caller: AbortController;
  request: (change?: Partial<BackendRequest>) => BackendRequest;
}

async function createRig(t: ExecutionContext, behave: ServerBehaviour): Promise<Rig> {
  const receivedIds: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const requestId = /^request-id: (.*)\r$/im.exec(data.toString())?.[1] ?? '';
      receivedIds.push(requestId);
      behave(socket, requestId);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const clock = createVirtualClock();
  const lifecycle = new Lifecycle('test');
  const settings = backendsSchema.parse({ maxAnswerBytes: MAX_RESPONSE_BYTES });
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
  return { clock, connections, server, port, receivedIds, caller, request };
}

/** Waits for a condition that depends on real sockets rather than on the virtual clock. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

/** Creates a rig whose server holds each response until the test releases it. */
async function createRigWithHeldResponses(t: ExecutionContext) {
  const heldResponses: (() => void)[] = [];
  const rig = await createRig(t, (socket, id) => {
    heldResponses.push(() => {
      respondOk(socket, id);
    });
  });
  return { rig, heldResponses };
}

function formatResponse(lines: string[], body = ''): string {
  return `HTTP/1.1 ${lines.join('\r\n')}\r\n\r\n${body}`;
}

const respondOk: ServerBehaviour = (socket, id) => {
  socket.write(formatResponse(['200 OK', `request-id: ${id}`, 'content-length: 2'], 'ok'));
};

/** Writes a response in which `ID` is replaced by the request id. */
const respond =
  (lines: string[], body = ''): ServerBehaviour =>
  (socket, id) => {
    socket.write(formatResponse(lines, body).replaceAll('ID', id));
  };

/** Like {@link respond}, but then closes the connection. */
const respondAndClose =
  (lines: string[], body = ''): ServerBehaviour =>
  (socket, id) => {
    socket.end(formatResponse(lines, body).replaceAll('ID', id));
  };

const closeConnection: ServerBehaviour = (socket) => {
  socket.destroy();
};

const neverRespond: ServerBehaviour = () => undefined;

interface AttemptCase {
  name: string;
  behave: ServerBehaviour;
  change?: (rig: Rig) => Partial<BackendRequest>;
  /** Runs after the request has arrived at the server. */
  afterArrival?: (rig: Rig) => unknown;
  code: BackendErrorCode | undefined;
  mayHaveRun?: boolean;
}

/** Cases that end with an error code after the request was sent, or with a response. */
const sentCases: [
  string,
  BackendErrorCode | undefined,
  ServerBehaviour,
  AttemptCase['afterArrival']?,
][] = [
  ['a complete response', undefined, respondOk],
  [
    'a complete chunked response',
    undefined,
    respond(['200 OK', 'request-id: ID', CHUNKED], '2\r\nok\r\n0\r\n\r\n'),
  ],
  [
    'a refusal that names another request',
    undefined,
    respond(['503 No', 'request-id: ID', 'not-started: other', 'content-length: 0']),
  ],
  [
    'a body shorter than its declared length',
    BackendErrorCode.Truncated,
    respondAndClose(['200 OK', 'request-id: ID', 'content-length: 5'], 'ok'),
  ],
  [
    'a chunked body cut off before the last chunk',
    BackendErrorCode.Truncated,
    respondAndClose(['200 OK', 'request-id: ID', CHUNKED], '2\r\nok\r\n'),
  ],
  [
    'a body that is delimited only by the end of the connection',
    BackendErrorCode.Truncated,
    respondAndClose(['200 OK', 'request-id: ID'], 'ok'),
  ],
  [
    'a declared length above the limit',
    BackendErrorCode.Oversize,
    respond(['200 OK', 'request-id: ID', 'content-length: 1001']),
  ],
  [
    'a chunked body above the limit',
    BackendErrorCode.Oversize,
    respond(['200 OK', 'request-id: ID', CHUNKED], `3e9\r\n${'x'.repeat(1_001)}\r\n`),
  ],
  [
    'a response to another request',
    BackendErrorCode.ResponseMismatch,
    respond(['200 OK', 'request-id: other', 'content-length: 2'], 'ok'),
  ],
  [
    'a response without a request id',
    BackendErrorCode.ResponseMismatch,
    respond(['200 OK', 'content-length: 2'], 'ok'),
  ],
  ['a connection closed after sending', BackendErrorCode.ConnectionLost, closeConnection],
  [
    'no response before the deadline',
    BackendErrorCode.Timeout,
    neverRespond,
    (rig) => rig.clock.advance(DEADLINE_MS),
  ],
  [
    'cancellation by the caller after sending',
    BackendErrorCode.Cancelled,
    neverRespond,
    (rig) => {
      rig.caller.abort();
    },
  ],
];

/** Cases in which the request certainly did not run. */
const notRunCases: [string, BackendErrorCode, ServerBehaviour, AttemptCase['change']?][] = [
  [
    'a confirmed refusal while busy',
    BackendErrorCode.NotStarted,
    respond(['503 Busy', 'not-started: ID', 'retry-after: 1', 'content-length: 0']),
  ],
  [
    'a confirmed refusal while leaving',
    BackendErrorCode.Leaving,
    respondAndClose(['503 Leaving', 'not-started: ID', 'content-length: 0']),
  ],
  [
    'a confirmed refusal for another pool, cut off after its headers',
    BackendErrorCode.Leaving,
    respondAndClose(['421 Misdirected', 'not-started: ID', 'content-length: 9']),
  ],
  [
    'a header that cannot be written',
    BackendErrorCode.InvalidRequest,
    respondOk,
    () => ({ headers: { 'x-bad': 'a\r\nb' } }),
  ],
  [
    'a deadline that passed before sending',
    BackendErrorCode.DeadlineBeforeSend,
    respondOk,
    () => ({ deadline: 0 }),
  ],
  [
    'a deadline that passes while connecting',
    BackendErrorCode.DeadlineBeforeSend,
    respondOk,
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
    'cancellation by the caller before sending',
    BackendErrorCode.Cancelled,
    respondOk,
    () => ({ signal: AbortSignal.abort() }),
  ],
];

const cases: AttemptCase[] = [
  ...sentCases.map(([name, code, behave, afterArrival]) => ({ name, code, behave, afterArrival })),
  ...notRunCases.map(([name, code, behave, change]) => {
    return { name, code, behave, change, mayHaveRun: false };
  }),
];

type Send = BackendConnections['send'];

/** Runs a case and describes the first difference from its expectation, if any. */
async function findMismatch(
  t: ExecutionContext,
  attemptCase: AttemptCase,
  sendOf: (rig: Rig) => Send,
): Promise<string | undefined> {
  const { code, mayHaveRun = true } = attemptCase;
  const rig = await createRig(t, attemptCase.behave);
  const result = sendOf(rig)('vm1', rig.request(attemptCase.change?.(rig)));
  if (attemptCase.afterArrival) {
    await waitUntil(() => rig.receivedIds.length > 0);
    await attemptCase.afterArrival(rig);
  }
  const settled = await result;
  const actualCode = settled.isErr ? settled.error.code : undefined;
  if (actualCode !== code) return `ended with ${String(actualCode)}, expected ${String(code)}`;
  if (settled.isErr && settled.error.mayHaveRun !== mayHaveRun) return 'mayHaveRun is wrong';
  const isRefusal = code === BackendErrorCode.NotStarted || code === BackendErrorCode.Leaving;
  if (!mayHaveRun && !isRefusal) {
    // If the request was written nevertheless, it arrives before the response to a later one.
    const later = rig.request({ requestId: 'later', deadline: rig.clock.now() + DEADLINE_MS });
    await rig.connections.send('vm1', later);
    if (rig.receivedIds.some((id) => id !== 'later')) return 'the request arrived';
  }
  return rig.connections.inFlight('vm1') === 0
    ? undefined
    : 'a request is still in flight at the end';
}

for (const attemptCase of cases) {
  test(`one attempt: ${attemptCase.name}`, async (t) => {
    t.is(
      await findMismatch(t, attemptCase, (rig) => (vm, req) => rig.connections.send(vm, req)),
      undefined,
    );
  });
}

/** Returns any response unchecked and reports every failure as a request that did not run. */
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

test('a client without response checks fails every case that expects an error', async (t) => {
  for (const attemptCase of cases.filter(({ code }) => code !== undefined)) {
    t.not(await findMismatch(t, attemptCase, sendUnchecked), undefined, attemptCase.name);
  }
});

test('a request certainly did not run when the connection was refused', async (t) => {
  const rig = await createRig(t, respondOk);
  await new Promise((resolve) => rig.server.close(resolve));
  const result = await rig.connections.send('vm1', rig.request());
  t.true(result.isErr && result.error.code === BackendErrorCode.ConnectFailed);
  t.true(result.isErr && !result.error.mayHaveRun);
});

const probes: { name: string; behave: ServerBehaviour; isHealthy: boolean }[] = [
  { name: 'any response without a server error', behave: respondOk, isHealthy: true },
  { name: 'a server error', behave: respond(['500 No', 'content-length: 0']), isHealthy: false },
  { name: 'a closed connection', behave: closeConnection, isHealthy: false },
];

for (const { name, behave, isHealthy } of probes) {
  test(`a probe that meets ${name} counts as ${isHealthy ? 'passed' : 'failed'}`, async (t) => {
    const { port } = await createRig(t, behave);
    const executor = { host: '127.0.0.1', port, slots: 2, connections: 2 };
    const probe = createHttpProbe(backendsSchema.parse({}), () => executor);
    const isPassed = await probe('vm1', new AbortController().signal).catch(() => false);
    t.is(isPassed, isHealthy);
  });
}

test('a response after the deadline reaches neither its own request nor the next one', async (t) => {
  const heldResponses: (() => void)[] = [];
  const rig = await createRig(t, (socket, id) => {
    if (id === 'late')
      heldResponses.push(() => {
        respondOk(socket, 'next');
      });
    else respondOk(socket, id);
  });
  const late = rig.connections.send('vm1', rig.request({ requestId: 'late' }));
  await waitUntil(() => heldResponses.length > 0);
  await rig.clock.advance(DEADLINE_MS);
  t.true((await late).isErr);
  const next = rig.connections.send('vm1', rig.request({ requestId: 'next' }));
  heldResponses[0]?.();
  const result = await next;
  t.true(result.isOk && rig.receivedIds.includes('next'));
});

test('requests beyond the number of connections are refused, and each connection carries one at a time', async (t) => {
  const { rig, heldResponses } = await createRigWithHeldResponses(t);
  const sent = ['r1', 'r2'].map((requestId) =>
    rig.connections.send('vm1', rig.request({ requestId })),
  );
  const refused = await rig.connections.send('vm1', rig.request({ requestId: 'r3' }));
  t.true(refused.isErr && refused.error.code === BackendErrorCode.NoConnection);
  await waitUntil(() => heldResponses.length === 2);
  for (const respondNow of heldResponses) respondNow();
  t.true((await Promise.all(sent)).every((result) => result.isOk));
  t.deepEqual([...rig.receivedIds].sort(), ['r1', 'r2']);
});

test('a removed executor finishes its requests in flight and gets no new ones', async (t) => {
  const { rig, heldResponses } = await createRigWithHeldResponses(t);
  const sent = rig.connections.send('vm1', rig.request());
  await waitUntil(() => heldResponses.length === 1);
  rig.connections.setExecutors(new Map());
  t.is(rig.connections.inFlight('vm1'), 1);
  const refused = await rig.connections.send('vm1', rig.request({ requestId: 'r2' }));
  t.true(refused.isErr && refused.error.code === BackendErrorCode.UnknownVm);
  heldResponses[0]?.();
  t.true((await sent).isOk);
  t.is(rig.connections.inFlight('vm1'), 0);
});
