import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { messageOf } from '../../src/errors/index.js';
import { FaultKind, FaultPlan, type Fault } from './faults.js';

/** Response of a handler. */
export interface HttpResponse {
  status: number;
  headers?: Record<string, string>;
  /** A value that is sent as JSON, or raw bytes. */
  body?: unknown;
}

/** An HTTP request whose body has been read completely. */
export interface Call {
  method: string;
  path: string;
  /** Path segments, percent-decoded. */
  segments: string[];
  query: URLSearchParams;
  header(name: string): string | undefined;
  body: Buffer;
  json(): unknown;
  /** Aborted when the response has been sent or the connection has closed. */
  signal: AbortSignal;
}

/** Handles a call; undefined closes the connection without a response. */
export type Handler = (call: Call) => HttpResponse | undefined | Promise<HttpResponse | undefined>;

interface HeldResponse {
  res: ServerResponse;
  response: HttpResponse;
}

/** Starts a server, prints `{"port": <port>}` on one line and exits on SIGTERM. */
export async function runStandin(handler: Handler): Promise<void> {
  const { port, close } = await startStandin(handler);
  process.stdout.write(`${JSON.stringify({ port })}\n`);
  process.once('SIGTERM', () => {
    void close().then(() => process.exit(0));
  });
}

/** Starts a server on a free loopback port; it handles `/control/faults` itself. */
export async function startStandin(
  handler: Handler,
): Promise<{ port: number; close: () => Promise<void> }> {
  const faults = new FaultPlan();
  const held: HeldResponse[] = [];
  const server = createServer((req, res) => {
    // An error in one call must not terminate the process.
    serve(req, res, handler, faults, held).catch(() => res.destroy());
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
  handler: Handler,
  faults: FaultPlan,
  held: HeldResponse[],
): Promise<void> {
  const call = await readCall(req, res);
  if (call.path === '/control/faults') {
    writeResponse(res, handleFaultControl(call, faults));
    return;
  }
  const fault = call.path.startsWith('/control/') ? undefined : faults.take(call.method, call.path);
  if (!(await applyFaultBeforeHandler(fault, faults))) {
    res.destroy();
    return;
  }
  const response =
    fault?.kind === FaultKind.Fail
      ? { status: 500, body: { message: 'injected failure' } }
      : await invokeHandler(handler, call);
  const id = call.header('request-id');
  if (!response) {
    res.destroy();
    return;
  }
  if (id !== undefined) response.headers = { 'request-id': id, ...response.headers };
  await sendResponse(res, response, fault, held);
}

async function invokeHandler(handler: Handler, call: Call): Promise<HttpResponse | undefined> {
  try {
    return await handler(call);
  } catch (err) {
    return { status: 400, body: { message: messageOf(err) } };
  }
}

async function applyFaultBeforeHandler(
  fault: Fault | undefined,
  faults: FaultPlan,
): Promise<boolean> {
  if (fault?.kind === FaultKind.Crash) process.exit(1);
  if (fault?.kind === FaultKind.Delay) await delay(fault.ms ?? 0);
  if (fault?.kind === FaultKind.Freeze) {
    await faults.whenCleared();
    return false;
  }
  return true;
}

async function sendResponse(
  res: ServerResponse,
  response: HttpResponse,
  fault: Fault | undefined,
  held: HeldResponse[],
): Promise<void> {
  if (fault?.kind === FaultKind.DelayResponse) await delay(fault.ms ?? 0);
  if (fault?.kind === FaultKind.DropResponse) {
    res.destroy();
    return;
  }
  if (fault?.kind === FaultKind.SwapResponses) {
    const other = held.pop();
    if (!other) {
      held.push({ res, response });
      return;
    }
    writeResponse(other.res, response);
    writeResponse(res, other.response);
    return;
  }
  writeResponse(res, response, fault?.kind === FaultKind.TruncateBody);
}

function writeResponse(res: ServerResponse, response: HttpResponse, isTruncated = false): void {
  if (res.destroyed) return;
  const isBytes = response.body instanceof Uint8Array;
  const body = isBytes
    ? Buffer.from(response.body as Uint8Array)
    : Buffer.from(JSON.stringify(response.body ?? {}));
  res.writeHead(response.status, {
    'content-type': isBytes ? 'application/octet-stream' : 'application/json',
    'content-length': body.length,
    ...response.headers,
  });
  if (!isTruncated) {
    res.end(body);
    return;
  }
  res.write(body.subarray(0, Math.floor(body.length / 2)), () => res.destroy());
}

function handleFaultControl(call: Call, faults: FaultPlan): HttpResponse {
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
  const closeController = new AbortController();
  res.once('close', () => {
    closeController.abort();
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
    signal: closeController.signal,
  };
}
