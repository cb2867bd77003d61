import { connect } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Result } from 'true-myth';
import { request } from 'undici';
import { systemClock } from '../clock/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import { Outcome } from '../peers/index.js';
import { waitFor } from '../testing/waitFor.js';
import {
  createCallerListener,
  RequestError,
  RequestReason,
  requestsSchema,
  type CallerRequest,
  type RefusalBody,
  type RequestResult,
  type RequestRouter,
  type RequestsSettings,
} from './index.js';

type Handle = (req: CallerRequest) => RequestResult | Promise<RequestResult>;

const echo: Handle = ({ method, path, body }) =>
  Result.ok({
    requestId: 'p.0000000000000001.7',
    status: 200,
    headers: { 'content-type': 'text/plain', connection: 'x-hop', 'x-hop': '1', 'x-own': '2' },
    body: Buffer.from(`${method} ${path} ${Buffer.from(body).toString()}`),
  });

async function startListener(
  t: ExecutionContext,
  handle: Handle,
  values: Partial<RequestsSettings> = {},
) {
  const lifecycle = new Lifecycle('test');
  t.teardown(() => lifecycle.close());
  const metrics = new Metrics();
  const router: RequestRouter = {
    handle: (req) => Promise.resolve(handle(req)),
    issueIds: (_team, count) => Result.ok(Array.from({ length: count }, (_, i) => `id${i}`)),
    newRequestId: () => 'p.0000000000000001.1',
    inFlight: () => 0,
    close: () => Promise.resolve(),
  };
  const listener = await createCallerListener({
    ...{ router, clock: systemClock, logger: silentLogger, metrics, lifecycle },
    ...{ settings: requestsSchema.parse(values), host: '127.0.0.1', port: 0 },
  });
  if (listener.isErr) throw listener.error;
  return { listener: listener.value, lifecycle, metrics };
}

/** Writes bytes on a new connection and returns everything received until it closes. */
function exchange(port: number, bytes: string): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
    socket.on('data', (chunk) => (received += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(received);
    });
  });
}

interface RefusalCase {
  title: string;
  path?: string;
  method?: 'GET' | 'POST' | 'PATCH';
  headers?: Record<string, string>;
  body?: string;
  settings?: Partial<RequestsSettings>;
  status: number;
  reason: RequestReason;
  outcome?: Outcome;
}

const SERVICE_PATH = '/v1/services/matching/work';
const badRequest = { status: 400, reason: RequestReason.BadRequest };

const refusalCases: RefusalCase[] = [
  { title: 'a missing team', headers: { team: '' }, ...badRequest },
  { title: 'an unknown request class', headers: { 'request-class': 'vip' }, ...badRequest },
  { title: 'a malformed timeout', headers: { 'request-timeout-ms': '1s' }, ...badRequest },
  {
    title: 'a timeout over the limit',
    headers: { 'request-timeout-ms': '9000000' },
    ...badRequest,
  },
  { title: 'a malformed Idempotent header', headers: { idempotent: 'yes' }, ...badRequest },
  { title: 'a malformed Attempt header', headers: { attempt: '0' }, ...badRequest },
  {
    title: 'an idempotency key that is too long',
    headers: { 'idempotency-key': 'k'.repeat(201) },
    ...badRequest,
  },
  { title: 'a malformed path', path: '/v1/services/%ff/x', ...badRequest },
  { title: 'an unknown route', path: '/v2', status: 404, reason: RequestReason.UnknownRoute },
  {
    title: 'a method that is not supported',
    method: 'PATCH',
    ...{ status: 405, reason: RequestReason.MethodNotAllowed },
  },
  {
    title: 'a body that is too large',
    body: 'x'.repeat(11),
    settings: { maxBodyBytes: 10 },
    ...{ status: 413, reason: RequestReason.BodyTooLarge },
  },
  {
    title: 'a body that exceeds the total size of buffered bodies',
    body: 'x'.repeat(11),
    settings: { maxBufferedBytes: 10 },
    ...{ status: 503, reason: RequestReason.Overloaded },
  },
  {
    title: 'a body that exceeds the total size of buffered bodies, on a later attempt',
    body: 'x'.repeat(11),
    headers: { 'idempotency-key': 'k' },
    settings: { maxBufferedBytes: 10 },
    ...{ status: 503, reason: RequestReason.Overloaded, outcome: Outcome.Unknown },
  },
  {
    title: 'a malformed number of ids',
    path: '/v1/request-ids',
    body: '{"count":"many"}',
    ...badRequest,
  },
];

for (const { title, path, method, headers, body, settings, ...expected } of refusalCases) {
  test(`the listener refuses ${title} with a reason and an outcome`, async (t) => {
    const { listener } = await startListener(t, echo, settings);
    const res = await request(`http://127.0.0.1:${listener.port}${path ?? SERVICE_PATH}`, {
      method: method ?? 'POST',
      headers: { team: 'team', ...headers },
      body: body ?? null,
    });
    const refusal = (await res.body.json()) as RefusalBody;
    const outcome = expected.outcome ?? Outcome.NotRun;
    t.is(res.statusCode, expected.status);
    t.is(refusal.reason, expected.reason);
    t.is(refusal.outcome, outcome);
    t.is(res.headers.outcome, outcome);
    t.truthy(res.headers['request-id']);
    t.is(res.headers['retry-after'] !== undefined, refusal.retryAfterMs > 0);
  });
}

const rawCases = [
  { title: 'headers that are too large', bytes: `GET ${SERVICE_PATH} HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`, status: 431 }, // prettier-ignore
  { title: 'a malformed request line', bytes: 'NONSENSE\r\n\r\n', status: 400 },
  { title: 'incomplete headers', bytes: 'GET / HTTP/1.1\r\nx', status: 408 },
  {
    title: 'an incomplete body',
    bytes: `POST ${SERVICE_PATH} HTTP/1.1\r\nhost: a\r\nteam: team\r\ncontent-length: 5\r\n\r\nx`,
    status: 408,
  },
];

for (const { title, bytes, status } of rawCases) {
  test(`the listener refuses ${title} on a raw connection`, async (t) => {
    const { listener } = await startListener(t, echo, {
      headerTimeoutMs: 200,
      bodyIdleTimeoutMs: 100,
    });
    const received = await exchange(listener.port, bytes);
    t.regex(received, new RegExp(`^HTTP/1.1 ${status} `));
    t.regex(received, /^Outcome: not-run\r$/im);
    t.regex(received, /^Request-Id: p\.0000000000000001\.1\r$/im);
    t.true(received.includes('"outcome":"not-run"'));
  });
}

test('a response is returned complete and without hop-by-hop headers', async (t) => {
  const seen: CallerRequest[] = [];
  const { listener } = await startListener(t, (req) => {
    seen.push(req);
    return echo(req);
  });
  const res = await request(`http://127.0.0.1:${listener.port}${SERVICE_PATH}?q=%20`, {
    method: 'PUT',
    headers: { team: 'team', 'request-class': 'urgent', connection: 'keep-alive', pool: 'x' },
    body: 'text',
  });
  t.is(await res.body.text(), 'PUT /work?q=%20 text');
  t.is(res.headers['content-length'], String('PUT /work?q=%20 text'.length));
  t.is(res.headers.outcome, Outcome.Answered);
  t.is(res.headers['request-id'], 'p.0000000000000001.7');
  t.is(res.headers['x-own'], '2');
  t.is(res.headers['x-hop'], undefined);
  const [req] = seen;
  t.deepEqual([req?.urgent, req?.idempotent, req?.team], [true, true, 'team']);
  t.deepEqual(Object.keys(req?.headers ?? {}).sort(), ['team']);
});

test('the requested number of request ids is issued', async (t) => {
  const { listener } = await startListener(t, echo);
  const url = `http://127.0.0.1:${listener.port}/v1/request-ids`;
  const headers = { team: 'team' };
  const res = await request(url, { method: 'POST', headers, body: '{"count":2}' });
  t.is(res.statusCode, 201);
  t.deepEqual(await res.body.json(), { requestIds: ['id0', 'id1'], usableForMs: 600_000 });
});

test('a caller that disconnects aborts its request', async (t) => {
  const aborted = new Promise<void>((resolve, reject) => {
    void startListener(t, async (req) => {
      socket?.destroy();
      await new Promise((stop) => {
        req.signal.addEventListener('abort', stop);
      });
      resolve();
      return Result.err(new RequestError(RequestReason.Cancelled, 'gone'));
    }).then(({ listener }) => {
      socket = connect(listener.port, '127.0.0.1');
      socket.write(`GET ${SERVICE_PATH} HTTP/1.1\r\nhost: a\r\nteam: team\r\n\r\n`);
    }, reject);
    let socket: ReturnType<typeof connect> | undefined;
  });
  await t.notThrowsAsync(aborted);
});

test('closing waits for the request in progress and then refuses connections', async (t) => {
  let answer: (() => void) | undefined;
  const started = new Promise<void>((resolve) => {
    void startListener(t, async (req) => {
      resolve();
      await new Promise<void>((go) => (answer = go));
      return echo(req);
    }).then(({ listener }) => (startedListener = listener));
  });
  let startedListener: { port: number; close(): Promise<void> } | undefined;
  while (!startedListener) await new Promise((next) => setImmediate(next));
  const { port } = startedListener;
  const call = request(`http://127.0.0.1:${port}${SERVICE_PATH}`, { headers: { team: 'team' } });
  await started;
  const closed = startedListener.close();
  answer?.();
  const res = await call;
  t.is(await res.body.text(), 'GET /work ');
  t.is(res.headers.connection, 'close');
  await closed;
  await t.throwsAsync(request(`http://127.0.0.1:${port}${SERVICE_PATH}`));
});

test('unread responses are bounded, and the connection of a slow caller is closed', async (t) => {
  const size = 8 * 1024 * 1024;
  const body = Buffer.alloc(size);
  const big: Handle = () => Result.ok({ requestId: 'x', status: 200, headers: {}, body });
  const { listener } = await startListener(t, big, {
    maxUnreadAnswerBytes: size,
    answerTimeoutMs: 300,
  });
  const slow = connect(listener.port, '127.0.0.1');
  slow.on('error', () => undefined);
  slow.write(`GET ${SERVICE_PATH} HTTP/1.1\r\nhost: a\r\nteam: team\r\n\r\n`);
  await new Promise((readable) => slow.once('readable', readable));
  const get = async () => {
    const url = `http://127.0.0.1:${listener.port}${SERVICE_PATH}`;
    const res = await request(url, { headers: { team: 'team' } });
    return { status: res.statusCode, text: await res.body.text() };
  };
  const first = await get();
  const refusal = JSON.parse(first.text) as RefusalBody;
  t.is(refusal.reason, RequestReason.Overloaded);
  t.is(refusal.outcome, Outcome.Unknown);
  let next = first;
  while (next.status !== 200) next = await get();
  t.is(next.text.length, size);
  let received = 0;
  const closed = new Promise((done) => slow.once('close', done));
  slow.on('data', (chunk) => (received += chunk.byteLength));
  await closed;
  t.true(received < size);
});

test('a malformed request is not answered in place of the request before it', async (t) => {
  let answer: (() => void) | undefined;
  const { listener } = await startListener(t, async (req) => {
    await new Promise<void>((go) => (answer = go));
    return echo(req);
  });
  const head = `GET ${SERVICE_PATH} HTTP/1.1\r\nhost: a\r\nteam: team\r\n\r\n`;
  const received = exchange(listener.port, `${head}NONSENSE\r\n\r\n`);
  await waitFor('the request is handled', () => answer !== undefined);
  answer?.();
  const statuses = [...(await received).matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => status);
  t.deepEqual(statuses, ['200', '400']);
});

test('a refused body no longer counts as buffered', async (t) => {
  const { listener } = await startListener(t, echo, { maxBufferedBytes: 10 });
  const url = `http://127.0.0.1:${listener.port}${SERVICE_PATH}`;
  const statuses: number[] = [];
  for (const size of [11, 10, 11, 10]) {
    const headers = { team: 'team' };
    const res = await request(url, { method: 'POST', headers, body: 'x'.repeat(size) });
    statuses.push(res.statusCode);
    await res.body.dump();
  }
  t.deepEqual(statuses, [503, 200, 503, 200]);
});

test('an invalid HTTP status is not returned to the caller', async (t) => {
  const answer = { requestId: 'x', status: 1000, headers: {}, body: Buffer.alloc(0) };
  const { listener } = await startListener(t, () => Result.ok(answer));
  const res = await request(`http://127.0.0.1:${listener.port}${SERVICE_PATH}`, {
    headers: { team: 'team' },
  });
  t.is(((await res.body.json()) as RefusalBody).reason, RequestReason.AnswerRejected);
});

test('connections over the limit are dropped and counted', async (t) => {
  let hasRequest = false;
  const neverAnswer: Handle = () => {
    hasRequest = true;
    return new Promise(() => undefined);
  };
  const { listener, metrics } = await startListener(t, neverAnswer, { maxConnections: 1 });
  const first = connect(listener.port, '127.0.0.1');
  first.write(`GET ${SERVICE_PATH} HTTP/1.1\r\nhost: a\r\nteam: team\r\n\r\n`);
  await waitFor('the request is handled', () => hasRequest);
  t.is(await exchange(listener.port, 'GET / HTTP/1.1\r\n\r\n'), '');
  const text = await metrics.registry.metrics();
  t.true(text.includes('burdocknotch_caller_connections_dropped_total 1'));
  first.destroy();
});

test('a connection without a request is closed for one over the limit, and counted', async (t) => {
  const { listener, metrics } = await startListener(t, echo, { maxConnections: 1 });
  const idle = connect(listener.port, '127.0.0.1');
  const closed = new Promise((done) => idle.once('close', done));
  await new Promise((done) => idle.once('connect', done));
  const bytes = `GET ${SERVICE_PATH} HTTP/1.1\r\nhost: a\r\nteam: team\r\nconnection: close\r\n\r\n`;
  t.regex(await exchange(listener.port, bytes), /^HTTP\/1.1 200 /);
  await closed;
  const text = await metrics.registry.metrics();
  t.true(text.includes('caller_connections_closed_total{reason="connection_limit"} 1'));
});
