import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import express, {
  type ErrorRequestHandler,
  type Express,
  type Request,
  type Response,
  type Router,
} from 'express';
import { Result } from 'true-myth';
import { z } from 'zod';
import type { Clock } from '../clock/index.js';
import { BaseError, toError } from '../errors/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import { Outcome } from '../peers/index.js';
import { AnswerWriter } from './answerWriter.js';
import { BodyReader } from './bodyReader.js';
import { CALLER_METHODS, readAttemptIdentity, parseHead, parseTeam } from './callerRequest.js';
import { renderRawRefusal, sendRefusal } from './callerResponse.js';
import type { RequestsSettings } from './defaults.js';
import { CallerHeader } from './headers.js';
import { RequestReason } from './reasons.js';
import { refuseBeforeLookup } from './refusals.js';
import { createRequestMetrics } from './requestMetrics.js';
import { RequestError, type RequestRouter } from './types.js';

/** Codes of {@link ListenerError}. */
export enum ListenerErrorCode {
  /** The address is in use or not available. */
  CannotListen = 'cannot_listen',
}

/** The caller listener could not be started. */
export class ListenerError extends BaseError<ListenerErrorCode> {}

/** Parameters of {@link createCallerListener}. */
export interface CallerListenerDeps {
  router: RequestRouter;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Owns the listener; closing it first waits for the requests in progress. */
  lifecycle: Lifecycle;
  settings: RequestsSettings;
  host: string;
  /** 0 selects a free port. */
  port: number;
  /** Additional routes for callers, such as those for jobs. */
  routes?: Router;
}

/** HTTP listener for callers. */
export interface CallerListener {
  readonly port: number;
  /** Stops accepting connections and resolves when the requests in progress have ended. */
  close(): Promise<void>;
}

const idsRequestSchema = z.strictObject({ count: z.number().int().min(1).default(1) });

/** Number of checks for timed-out connections during the header timeout, the shortest timeout. */
const CHECKS_PER_TIMEOUT = 4;

/**
 * Starts the HTTP listener for callers.
 *
 * @returns an error if the address cannot be used
 */
export async function createCallerListener(
  deps: CallerListenerDeps,
): Promise<Result<CallerListener, ListenerError>> {
  const listener = new HttpListener(deps);
  const started = await listener.listen();
  if (started.isErr) return Result.err(started.error);
  deps.lifecycle.own('caller listener', () => listener.close());
  return Result.ok(listener);
}

class HttpListener implements CallerListener {
  readonly #deps: CallerListenerDeps;
  readonly #server: Server;
  readonly #bodyReader: BodyReader;
  readonly #answerWriter: AnswerWriter;
  readonly #countRefusal: (reason: RequestReason, outcome: string) => void;
  /** Responses that are not yet completely written, with their connections. */
  readonly #active = new Map<ServerResponse, Duplex>();
  #closing: Promise<void> | undefined;
  #onIdle: () => void = () => undefined;

  constructor(deps: CallerListenerDeps) {
    this.#deps = deps;
    this.#bodyReader = new BodyReader(deps.clock, deps.settings);
    this.#answerWriter = new AnswerWriter(deps.clock, deps.settings);
    const metrics = createRequestMetrics(deps.metrics);
    this.#countRefusal = (reason, outcome) => {
      metrics.countRefusal(reason, outcome);
    };
    this.#server = this.#createServer();
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  listen(): Promise<Result<void, ListenerError>> {
    const { host, port } = this.#deps;
    return new Promise((resolve) => {
      this.#server.once('error', (err) => {
        const message = `cannot listen on ${host}:${port}: ${err.message}`;
        resolve(Result.err(new ListenerError(ListenerErrorCode.CannotListen, message, err)));
      });
      this.#server.listen(port, host, () => {
        resolve(Result.ok(undefined));
      });
    });
  }

  close(): Promise<void> {
    this.#closing ??= this.#drain();
    return this.#closing;
  }

  async #drain(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
    for (const res of this.#active.keys()) {
      if (!res.headersSent) res.setHeader('Connection', 'close');
    }
    if (this.#active.size > 0) {
      await new Promise<void>((resolve) => {
        this.#onIdle = resolve;
      });
    }
    this.#server.closeAllConnections();
    await closed;
  }

  #createServer(): Server {
    const { settings, metrics } = this.#deps;
    const { headerTimeoutMs, bodyTimeoutMs, idleTimeoutMs } = settings;
    const server = createServer(
      {
        maxHeaderSize: settings.maxHeaderBytes,
        headersTimeout: headerTimeoutMs,
        requestTimeout: headerTimeoutMs + bodyTimeoutMs,
        keepAliveTimeout: idleTimeoutMs,
        connectionsCheckingInterval: Math.ceil(headerTimeoutMs / CHECKS_PER_TIMEOUT),
      },
      this.#createApp(),
    );
    server.maxConnections = settings.maxConnections;
    const dropped = metrics.counter(
      'caller_connections_dropped_total',
      'Connections dropped because of the connection limit.',
    );
    server.on('drop', () => {
      dropped.inc();
    });
    server.prependListener('request', (req, res) => {
      this.#track(req.socket, res);
    });
    server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.#onClientError(err, socket);
    });
    return server;
  }

  #track(socket: Socket, res: ServerResponse): void {
    this.#active.set(res, socket);
    if (this.#closing) res.setHeader('Connection', 'close');
    res.once('close', () => {
      this.#active.delete(res);
      if (this.#active.size === 0) this.#onIdle();
    });
  }

  #createApp(): Express {
    const app = express();
    app.disable('x-powered-by');
    app.disable('etag');
    app.set('query parser', false);
    app.post('/v1/request-ids', (req, res) => this.#issueIds(req, res));
    app.use('/v1/services/:service', (req, res) => this.#serve(req, res));
    if (this.#deps.routes) app.use(this.#deps.routes);
    app.use((req, res) => {
      const message = `no route for ${req.method} ${req.path}`;
      this.#refuse(res, new RequestError(RequestReason.UnknownRoute, message));
    });
    const onError: ErrorRequestHandler = (thrown, req, res, _next) => {
      this.#onError(thrown, req, res);
    };
    app.use(onError);
    return app;
  }

  async #serve(req: Request<{ service: string }>, res: Response): Promise<void> {
    const { router, clock, settings } = this.#deps;
    const arrivedAt = clock.now();
    if (!(CALLER_METHODS as readonly string[]).includes(req.method)) {
      res.setHeader('Allow', CALLER_METHODS.join(', '));
      const message = `method ${req.method} is not supported`;
      this.#refuse(res, new RequestError(RequestReason.MethodNotAllowed, message));
      return;
    }
    const head = parseHead(req, settings, arrivedAt, req.params.service, req.url);
    if (head.isErr) {
      this.#refuse(res, head.error);
      return;
    }
    const body = await this.#receiveBody(req, res);
    if (!body) return;
    const signal = abortOnDisconnect(res);
    const result = await router.handle({ ...head.value, body, signal });
    this.#bodyReader.release(body);
    // The router has counted the result, including that of a request whose caller disconnected.
    if (res.destroyed) return;
    if (result.isErr) {
      sendRefusal(res, result.error, head.value.requestId ?? router.newRequestId());
      return;
    }
    const rejected = this.#answerWriter.write(res, req.method, result.value);
    if (rejected) this.#refuse(res, rejected);
  }

  async #issueIds(req: Request, res: Response): Promise<void> {
    const { router, settings } = this.#deps;
    const team = parseTeam(req);
    if (team.isErr) {
      this.#refuse(res, team.error);
      return;
    }
    const body = await this.#receiveBody(req, res);
    if (!body) return;
    this.#bodyReader.release(body);
    const count = parseIdCount(body);
    if (count.isErr) {
      this.#refuse(res, count.error);
      return;
    }
    const issued = router.issueIds(team.value, count.value);
    if (issued.isErr) {
      sendRefusal(res, issued.error, router.newRequestId());
      return;
    }
    const [requestId = ''] = issued.value;
    const usableForMs = settings.ledgerRetentionMs;
    res.set({ [CallerHeader.RequestId]: requestId, [CallerHeader.Outcome]: Outcome.Answered });
    res.status(201).json({ requestIds: issued.value, usableForMs });
  }

  /** Receives the body; refuses the request and returns undefined on failure. */
  async #receiveBody(req: IncomingMessage, res: ServerResponse): Promise<Uint8Array | undefined> {
    const body = await this.#bodyReader.read(req);
    if (body.isOk) return body.value;
    const { code, message } = body.error;
    res.setHeader('Connection', 'close');
    const isTooLarge = code === RequestReason.BodyTooLarge;
    const refusal = isTooLarge
      ? body.error
      : refuseBeforeLookup(readAttemptIdentity(req), code, message);
    this.#refuse(res, refusal);
    return undefined;
  }

  /** Counts and sends a refusal that the router has not counted. */
  #refuse(res: ServerResponse, err: RequestError): void {
    this.#countRefusal(err.code, err.outcome);
    if (res.destroyed) return;
    const requestIdHeader = res.req.headers[CallerHeader.RequestId];
    const id =
      typeof requestIdHeader === 'string' ? requestIdHeader : this.#deps.router.newRequestId();
    sendRefusal(res, err, id);
  }

  #onError(thrown: unknown, req: Request, res: Response): void {
    const err = toError(thrown);
    this.#deps.logger.error({ event: 'caller_request_failed', error: err.message });
    if (res.headersSent) {
      req.socket.destroy();
      return;
    }
    const isBadPath = err instanceof URIError;
    const reason = isBadPath ? RequestReason.BadRequest : RequestReason.InternalError;
    this.#refuse(res, new RequestError(reason, err.message, { cause: err }));
  }

  #onClientError(err: NodeJS.ErrnoException, socket: Duplex): void {
    // The caller would take a refusal for the response to the request in progress.
    const hasActiveRequest = [...this.#active.values()].includes(socket);
    if (hasActiveRequest || !socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const refusal = new RequestError(reasonOfClientError(err), err.message);
    this.#countRefusal(refusal.code, refusal.outcome);
    socket.end(renderRawRefusal(refusal, this.#deps.router.newRequestId()));
  }
}

function reasonOfClientError(err: NodeJS.ErrnoException): RequestReason {
  if (err.code === 'HPE_HEADER_OVERFLOW') return RequestReason.HeaderTooLarge;
  if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') return RequestReason.ReceiveTimeout;
  return RequestReason.BadRequest;
}

/** Creates a signal that is aborted if the connection closes before the response is written. */
function abortOnDisconnect(res: ServerResponse): AbortSignal {
  const controller = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) controller.abort();
  });
  if (res.destroyed) controller.abort();
  return controller.signal;
}

function parseIdCount(body: Uint8Array): Result<number, RequestError> {
  const refuse = (found: string) => {
    const message = `invalid body: found ${found}, expected {"count": <number of ids>} or no body`;
    return Result.err<number, RequestError>(new RequestError(RequestReason.BadRequest, message));
  };
  if (body.byteLength === 0) return Result.ok(1);
  try {
    const json: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
    const parsed = idsRequestSchema.safeParse(json);
    return parsed.success ? Result.ok(parsed.data.count) : refuse('unexpected JSON');
  } catch {
    return refuse('text that is not JSON');
  }
}
