import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { messageOf } from '../../src/errors/index.js';
import { FaultKind, FaultPlan, type Fault } from './faults.js';

/** Answer of a handler. */
export interface Answer {
  status: number;
  headers?: Record<string, string>;
  /** JSON value, or bytes sent as they are. */
  body?: unknown;
}

/** A call whose body was read whole. */
export interface Call {
  method: string;
  path: string;
  /** Decoded segments of the path. */
  segments: string[];
  query: URLSearchParams;
  header(name: string): string | undefined;
  body: Buffer;
  json(): unknown;
  /** Aborted when the connection closes before the answer was sent. */
  signal: AbortSignal;
}

/** Answers a call; undefined destroys the connection. */
export type Handle = (call: Call) => Answer | undefined | Promise<Answer | undefined>;

interface HeldAnswer {
  res: ServerResponse;
  answer: Answer;
}

/** Starts a server, prints `{"port": <port>}` as one line and ends on SIGTERM. */
export async function runStandin(handle: Handle): Promise<void> {
  const { port, close } = await startStandin(handle);
  process.stdout.write(`${JSON.stringify({ port })}\n`);
  process.once('SIGTERM', () => {
    void close().then(() => process.exit(0));
  });
}

/** Starts a server on a port chosen by the kernel; serves `/control/faults` itself. */
export async function startStandin(
  handle: Handle,
): Promise<{ port: number; close: () => Promise<void> }> {
  const faults = new FaultPlan();
  const held: HeldAnswer[] = [];
  const server = createServer((req, res) => {
    // A failure while serving one call must not end the process.
    serve(req, res, handle, faults, held).catch(() => res.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
      server.closeAllConnections();
    });
  return { port: (server.address() as AddressInfo).port, close };
}

async function serve(
  req: IncomingMessage,
  res: ServerResponse,
  handle: Handle,
  faults: FaultPlan,
  held: HeldAnswer[],
): Promise<void> {
  const call = await readCall(req, res);
  if (call.path === '/control/faults') {
    write(res, controlFaults(call, faults));
    return;
  }
  const fault = call.path.startsWith('/control/') ? undefined : faults.take(call.method, call.path);
  if (!(await beforeEffect(fault, faults))) {
    res.destroy();
    return;
  }
  const answer =
    fault?.kind === FaultKind.Fail
      ? { status: 500, body: { message: 'injected failure' } }
      : await answerOf(handle, call);
  const id = call.header('request-id');
  if (!answer) {
    res.destroy();
    return;
  }
  if (id !== undefined) answer.headers = { 'request-id': id, ...answer.headers };
  await deliver(res, answer, fault, held);
}

async function answerOf(handle: Handle, call: Call): Promise<Answer | undefined> {
  try {
    return await handle(call);
  } catch (err) {
    return { status: 400, body: { message: messageOf(err) } };
  }
}

async function beforeEffect(fault: Fault | undefined, faults: FaultPlan): Promise<boolean> {
  if (fault?.kind === FaultKind.Crash) process.exit(1);
  if (fault?.kind === FaultKind.Delay) await delay(fault.ms ?? 0);
  if (fault?.kind === FaultKind.Freeze) {
    await faults.whenCleared();
    return false;
  }
  return true;
}

async function deliver(
  res: ServerResponse,
  answer: Answer,
  fault: Fault | undefined,
  held: HeldAnswer[],
): Promise<void> {
  if (fault?.kind === FaultKind.AnswerLate) await delay(fault.ms ?? 0);
  if (fault?.kind === FaultKind.DropAnswer) {
    res.destroy();
    return;
  }
  if (fault?.kind === FaultKind.CrossAnswers) {
    const other = held.pop();
    if (!other) {
      held.push({ res, answer });
      return;
    }
    write(other.res, answer);
    write(res, other.answer);
    return;
  }
  write(res, answer, fault?.kind === FaultKind.CutBody);
}

function write(res: ServerResponse, answer: Answer, cut = false): void {
  if (res.destroyed) return;
  const isBytes = answer.body instanceof Uint8Array;
  const body = isBytes
    ? Buffer.from(answer.body as Uint8Array)
    : Buffer.from(JSON.stringify(answer.body ?? {}));
  res.writeHead(answer.status, {
    'content-type': isBytes ? 'application/octet-stream' : 'application/json',
    'content-length': body.length,
    ...answer.headers,
  });
  if (!cut) {
    res.end(body);
    return;
  }
  res.write(body.subarray(0, Math.floor(body.length / 2)), () => res.destroy());
}

function controlFaults(call: Call, faults: FaultPlan): Answer {
  if (call.method === 'DELETE') {
    faults.clear();
    return { status: 200 };
  }
  try {
    faults.add(call.json() as Fault);
    return { status: 200 };
  } catch (err) {
    return { status: 400, body: { message: messageOf(err) } };
  }
}

async function readCall(req: IncomingMessage, res: ServerResponse): Promise<Call> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const body = Buffer.concat(chunks);
  const url = new URL(req.url ?? '/', 'http://standin');
  const gone = new AbortController();
  res.once('close', () => {
    gone.abort();
  });
  return {
    method: req.method ?? 'GET',
    path: url.pathname,
    segments: url.pathname.split('/').filter(Boolean).map(decodeURIComponent),
    query: url.searchParams,
    header: (name) => {
      const value = req.headers[name];
      return Array.isArray(value) ? value[0] : value;
    },
    body,
    json: () => JSON.parse(body.toString('utf8')) as unknown,
    signal: gone.signal,
  };
}
