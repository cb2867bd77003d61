import type { IncomingMessage, ServerResponse } from 'node:http';
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
import { BaseError, messageOf, toError } from '../errors/index.js';
import {
  BodyErrorCode,
  CloseReason,
  EarlyRefusal,
  HttpListener,
  readBody,
  type ListenerLimits,
} from '../httpListener/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import { Outcome } from '../peers/index.js';
import { AnswerWriter } from './answerWriter.js';
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

const bodyErrorReasons: Record<BodyErrorCode, RequestReason> = {
  [BodyErrorCode.TooLarge]: RequestReason.BodyTooLarge,
  [BodyErrorCode.NoMemory]: RequestReason.Overloaded,
  [BodyErrorCode.Incomplete]: RequestReason.ReceiveTimeout,
};

const earlyRefusalReasons: Record<EarlyRefusal, RequestReason> = {
  [EarlyRefusal.Overloaded]: RequestReason.Overloaded,
  [EarlyRefusal.MissingHost]: RequestReason.BadRequest,
  [EarlyRefusal.ExpectationFailed]: RequestReason.BadRequest,
};

/** What is wrong with a request that is refused before its handler runs. */
const earlyRefusalMessages: Record<EarlyRefusal, string> = {
  [EarlyRefusal.Overloaded]: 'too many requests are in progress',
  [EarlyRefusal.MissingHost]: 'header host: found nothing, expected a host',
  [EarlyRefusal.ExpectationFailed]: 'header expect: expected 100-continue or nothing',
};

/**
 * Starts the HTTP listener for callers.
 *
 * @returns an error if the address cannot be used
 */
export async function createCallerListener(
  deps: CallerListenerDeps,
): Promise<Result<CallerListener, ListenerError>> {
  const listener = new ExpressListener(deps);
  const started = await listener.listen();
  if (started.isErr) return Result.err(started.error);
  deps.lifecycle.own('caller listener', () => listener.close());
  return Result.ok(listener);
}

class ExpressListener implements CallerListener {
  readonly #deps: CallerListenerDeps;
  readonly #listener: HttpListener;
  readonly #limits: ListenerLimits;
  readonly #answerWriter: AnswerWriter;
  readonly #countRefusal: (reason: RequestReason, outcome: string) => void;
  /** Responses that are not yet completely written. */
  readonly #active = new Set<ServerResponse>();
  /** The handlers that go on after their caller has disconnected. */
  readonly #handlers = new WeakMap<ServerResponse, Promise<void>>();
  #closing: Promise<void> | undefined;

  constructor(deps: CallerListenerDeps) {
    this.#deps = deps;
    this.#limits = limitsOf(deps.settings);
    this.#answerWriter = new AnswerWriter(deps.settings);
    const metrics = createRequestMetrics(deps.metrics);
    this.#countRefusal = (reason, outcome) => {
      metrics.countRefusal(reason, outcome);
    };
    this.#listener = this.#createListener();
  }

  get port(): number {
    return this.#listener.port;
  }

  async listen(): Promise<Result<void, ListenerError>> {
    const { host, port } = this.#deps;
    try {
      await this.#listener.listen(host, port);
      return Result.ok(undefined);
    } catch (err) {
      const message = `cannot listen on ${host}:${port}: ${messageOf(err)}`;
      return Result.err(new ListenerError(ListenerErrorCode.CannotListen, message, err));
    }
  }

  close(): Promise<void> {
    this.#closing ??= this.#drain();
    return this.#closing;
  }

  async #drain(): Promise<void> {
    const drained = this.#listener.drain();
    for (const res of this.#active) {
      if (!res.headersSent) res.setHeader('Connection', 'close');
    }
    await drained;
    this.#listener.close();
  }

  #createListener(): HttpListener {
    const { clock, logger, metrics } = this.#deps;
    const dropped = metrics.counter(
      'caller_connections_dropped_total',
      'Connections dropped because of the connection limit.',
    );
    const closed = metrics.counter(
      'caller_connections_closed_total',
      'Connections closed because of a bound.',
      ['reason'],
    );
    const app = this.#createApp();
    return new HttpListener({
      clock,
      limits: () => this.#limits,
      handle: async (req, res) => {
        this.#track(res);
        app(req, res);
        await this.#handlers.get(res);
      },
      refuse: (req, res, refusal) => {
        const reason = earlyRefusalReasons[refusal];
        const message = earlyRefusalMessages[refusal];
        res.setHeader('Connection', 'close');
        this.#refuse(res, refuseBeforeLookup(readAttemptIdentity(req), reason, message));
      },
      renderParseError: (err) => this.#renderParseError(err),
      onClosed: (reason) => {
        closed.inc({ reason });
        if (reason === CloseReason.ConnectionRefused) dropped.inc();
      },
      onReport: ({ openConnections, requestsInProgress, closed: reasons }) => {
        const counts = Object.fromEntries(reasons);
        logger.warn({
          event: 'connections_closed',
          open: openConnections,
          inProgress: requestsInProgress,
          ...counts,
        });
      },
    });
  }

  #track(res: ServerResponse): void {
    this.#active.add(res);
    if (this.#closing) res.setHeader('Connection', 'close');
    res.once('close', () => {
      this.#active.delete(res);
    });
  }

  #createApp(): Express {
    const app = express();
    app.disable('x-powered-by');
    app.disable('etag');
    app.set('query parser', false);
    app.post('/v1/request-ids', (req, res) => this.#await(res, this.#issueIds(req, res)));
    app.use('/v1/services/:service', (req, res) => this.#await(res, this.#serve(req, res)));
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

  /** Keeps a request in progress until its handler has ended. */
  #await(res: ServerResponse, handler: Promise<void>): Promise<void> {
    this.#handlers.set(
      res,
      handler.catch(() => undefined),
    );
    return handler;
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
    const body = await readBody(req, { clock: this.#deps.clock, limits: this.#limits });
    if (body.isOk) return body.value;
    const { code, message } = body.error;
    res.setHeader('Connection', 'close');
    const reason = bodyErrorReasons[code];
    const refusal =
      code === BodyErrorCode.TooLarge
        ? new RequestError(reason, message)
        : refuseBeforeLookup(readAttemptIdentity(req), reason, message);
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

  #renderParseError(err: NodeJS.ErrnoException): string {
    const refusal = new RequestError(reasonOfClientError(err), err.message);
    this.#countRefusal(refusal.code, refusal.outcome);
    return renderRawRefusal(refusal, this.#deps.router.newRequestId());
  }
}

function limitsOf(settings: RequestsSettings): ListenerLimits {
  return { ...settings, maxTotalBodyBytes: settings.maxBufferedBytes, memoryPerBodyByte: 1 };
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
