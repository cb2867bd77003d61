import { randomUUID } from 'node:crypto';
import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { messageOf } from '../errors/index.js';
import { EventName, type EventBus } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Random } from '../random/index.js';
import type { PlatformSettings } from './defaults.js';
import { TokenBucket } from './tokenBucket.js';
import { Reachability } from './reachability.js';
import { openTransport, type HttpResponse, type HttpCall, type Send } from './transport.js';
import {
  CallKind,
  CallPurpose,
  PlatformError,
  PlatformErrorCode,
  type MeteredPlatformClient,
  type PlatformClient,
  type PlatformResult,
  type Row,
  type RowPage,
} from './types.js';

/** Header that matches a response to its call; a response with another id or none is rejected. */
const REQUEST_ID_HEADER = 'request-id';
/** Response header by which the platform confirms that a refused call had no effect. */
const REFUSED_HEADER = 'refused';

/** Dependencies of {@link createPlatformClient}. */
export interface PlatformClientDeps {
  settings: PlatformSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  events: EventBus;
  lifecycle: Lifecycle;
}

/** Why the client refused a call without sending it. */
export enum CallRefusalReason {
  /** The rate limit of this process for reads is exceeded; likewise for writes and control. */
  ReadShare = 'read_share',
  WriteShare = 'write_share',
  ControlShare = 'control_share',
  TooManyCalls = 'too_many_calls',
  Unreachable = 'unreachable',
  Closed = 'closed',
}

type Decode<T> = (res: HttpResponse) => T;

/** A call with the data for rate limits and decoding. */
interface Call<T> extends Omit<HttpCall, 'headers'> {
  kind: CallKind;
  decode: Decode<T>;
  /** Whether status 404 is decoded as a result instead of being treated as a refusal. */
  allowsNotFound?: boolean;
  headers?: Record<string, string>;
}

/**
 * Creates the HTTP client of the platform. It is closed with the given lifecycle.
 *
 * A call fails with Unreachable or RateLimited only if no byte of it was sent. The client never
 * retries writes.
 */
export function createPlatformClient(deps: PlatformClientDeps): MeteredPlatformClient {
  const caller = new MeteredCaller(deps);
  return {
    ...clientFor(caller, CallPurpose.Other),
    forPurpose: (purpose) => clientFor(caller, purpose),
  };
}

/** Applies rate limits, the reachability check, retries and counters to calls. */
class MeteredCaller {
  readonly #deps: PlatformClientDeps;
  readonly #buckets: Record<CallKind, TokenBucket>;
  readonly #send: Send;
  /** Separate connection for lease renewals and probes, so that slow calls do not delay them. */
  readonly #sendLease: Send;
  readonly #reachability: Reachability;
  readonly #calls;
  readonly #refusals;
  readonly #retries;
  readonly #errors;
  #inFlight = 0;

  constructor(deps: PlatformClientDeps) {
    this.#deps = deps;
    const { settings, clock, random, lifecycle, metrics } = deps;
    const createBucket = (perSecond: number) =>
      new TokenBucket(clock, {
        perSecond,
        burstMs: settings.burstMs,
        reserve: settings.leaseReserve,
      });
    this.#buckets = {
      [CallKind.Read]: createBucket(settings.readsPerSecond),
      [CallKind.Write]: createBucket(settings.writesPerSecond),
      [CallKind.Control]: createBucket(settings.controlPerSecond),
    };
    this.#send = openTransport(settings, clock, lifecycle, settings.maxConcurrent);
    this.#sendLease = openTransport(settings, clock, lifecycle, 1);
    this.#reachability = new Reachability({
      clock,
      random,
      lifecycle,
      settings,
      probe: () => this.#probe(),
      onChange: (reachable) => {
        this.#publishReachability(reachable);
      },
    });
    this.#calls = metrics.counter('platform_calls_total', 'Platform calls sent', [
      'kind',
      'purpose',
    ]);
    this.#refusals = metrics.counter(
      'platform_refusals_total',
      'Platform calls that this process refused without sending them',
      ['reason'],
    );
    this.#retries = metrics.counter(
      'platform_retries_total',
      'Retried platform reads and reconnection probes',
      ['reason'],
    );
    this.#errors = metrics.counter('platform_errors_total', 'Platform calls that failed', ['code']);
  }

  /** Makes one call. Reads are retried when their response is missing or invalid. */
  async call<T>(purpose: CallPurpose, call: Call<T>): PlatformResult<T> {
    const { settings, clock, random, lifecycle } = this.#deps;
    const retries = call.kind === CallKind.Read ? settings.readRetries : 0;
    for (let attempt = 0; ; attempt += 1) {
      const result = await this.#attempt(purpose, call);
      if (result.isOk) return result;
      this.#errors.inc({ code: result.error.code });
      if (!result.error.mayHaveTakenEffect || attempt >= retries) return result;
      const delayMs = random.next() * settings.backoffBaseMs * 2 ** attempt;
      if (!(await clock.sleep(delayMs, lifecycle.signal))) return result;
      this.#retries.inc({ reason: result.error.code });
    }
  }

  async #attempt<T>(purpose: CallPurpose, call: Call<T>): PlatformResult<T> {
    const refusal = this.#admit(purpose, call.kind);
    if (refusal) return Result.err(refusal);
    this.#calls.inc({ kind: call.kind, purpose });
    const id = randomUUID();
    const isLease = purpose === CallPurpose.Lease;
    if (!isLease) this.#inFlight += 1;
    const send = isLease ? this.#sendLease : this.#send;
    const result = await send({ ...call, headers: { ...call.headers, [REQUEST_ID_HEADER]: id } });
    if (!isLease) this.#inFlight -= 1;
    if (result.isErr) {
      const { code, cause } = result.error;
      // A timeout while waiting for a connection has no cause; a failed connection attempt has one.
      const connectFailed = code === PlatformErrorCode.Unreachable && cause !== undefined;
      this.#reachability.recordFailure(!connectFailed);
      return Result.err(result.error);
    }
    this.#reachability.recordResponse();
    return parseResponse(call, id, result.value);
  }

  #admit(purpose: CallPurpose, kind: CallKind): PlatformError | undefined {
    const { settings, lifecycle } = this.#deps;
    const isLease = purpose === CallPurpose.Lease;
    if (lifecycle.isClosed) {
      return this.#refuse(
        CallRefusalReason.Closed,
        PlatformErrorCode.Unreachable,
        'the platform client is closed',
      );
    }
    if (!this.#reachability.allowsCalls) {
      return this.#refuse(
        CallRefusalReason.Unreachable,
        PlatformErrorCode.Unreachable,
        'the platform is unreachable',
      );
    }
    const limit = settings.maxConcurrent + settings.maxWaiting;
    if (!isLease && this.#inFlight >= limit) {
      const message = `${limit} calls are already in progress`;
      return this.#refuse(CallRefusalReason.TooManyCalls, PlatformErrorCode.RateLimited, message);
    }
    if (!this.#buckets[kind].take(isLease)) {
      const message = `the rate limit of this process for ${kind} calls is exceeded`;
      return this.#refuse(RATE_LIMIT_REASONS[kind], PlatformErrorCode.RateLimited, message);
    }
    return undefined;
  }

  #refuse(reason: CallRefusalReason, code: PlatformErrorCode, message: string): PlatformError {
    this.#refusals.inc({ reason });
    return new PlatformError(code, message);
  }

  async #probe(): Promise<boolean> {
    const id = randomUUID();
    const result = await this.#sendLease({
      method: 'GET',
      path: '/v1/health',
      headers: { [REQUEST_ID_HEADER]: id },
    });
    this.#retries.inc({ reason: 'reconnection' });
    return (
      result.isOk && result.value.status === 200 && result.value.headers[REQUEST_ID_HEADER] === id
    );
  }

  #publishReachability(reachable: boolean): void {
    const { events, logger } = this.#deps;
    logger.info({ event: EventName.PlatformReachability, reachable });
    events.emit(EventName.PlatformReachability, { reachable }).catch((err: unknown) => {
      logger.warn({ event: 'event_handler_failed', error: messageOf(err) });
    });
  }
}

const RATE_LIMIT_REASONS: Record<CallKind, CallRefusalReason> = {
  [CallKind.Read]: CallRefusalReason.ReadShare,
  [CallKind.Write]: CallRefusalReason.WriteShare,
  [CallKind.Control]: CallRefusalReason.ControlShare,
};

function parseResponse<T>(call: Call<T>, id: string, res: HttpResponse): Result<T, PlatformError> {
  const failure = (code: PlatformErrorCode, text: string, key?: string) =>
    Result.err<T, PlatformError>(
      new PlatformError(code, `${call.method} ${call.path}: ${text}`, undefined, key),
    );
  if (res.headers[REQUEST_ID_HEADER] !== id) {
    return failure(
      PlatformErrorCode.BadAnswer,
      'the response carries no request id or that of another call',
    );
  }
  const { status } = res;
  try {
    if (status === 409) {
      const { failedKey, message } = parseJson(res) as { failedKey: string; message: string };
      return failure(PlatformErrorCode.ConditionFailed, message, failedKey);
    }
    if (status < 300 || (status === 404 && call.allowsNotFound)) {
      return Result.ok(call.decode(res));
    }
  } catch (err) {
    return failure(PlatformErrorCode.BadAnswer, messageOf(err));
  }
  if (status === 421) {
    return failure(PlatformErrorCode.OtherIncarnation, res.body.toString());
  }
  if (status < 500 || res.headers[REFUSED_HEADER] === id) {
    return failure(PlatformErrorCode.Refused, `status ${status}: ${res.body.toString()}`);
  }
  return failure(PlatformErrorCode.OutcomeUnknown, `status ${status}`);
}

function parseJson(res: HttpResponse): unknown {
  return JSON.parse(res.body.toString('utf8'));
}

function jsonField<T>(name: string): Decode<T> {
  return (res) => {
    const value = parseJson(res);
    if (typeof value !== 'object' || value === null || !(name in value)) {
      throw new SyntaxError(`the response has no field ${name}`);
    }
    return (value as Record<string, T>)[name] as T;
  };
}

function ignoreBody(): void {
  return undefined;
}

function decodeObject(res: HttpResponse): Uint8Array | undefined {
  if (res.status === 404) return undefined;
  return new Uint8Array(res.body);
}

function clientFor(caller: MeteredCaller, purpose: CallPurpose): PlatformClient {
  const read = <T>(path: string, decode: Decode<T>, kind = CallKind.Read) =>
    caller.call(purpose, { method: 'GET', path, kind, decode });
  const post = (path: string, kind: CallKind, body: unknown = {}) =>
    caller.call(purpose, {
      method: 'POST',
      path,
      kind,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      decode: ignoreBody,
    });
  const control = (path: string, body?: unknown) => post(path, CallKind.Control, body);
  const vmPath = (vm: string) => `/v1/vms/${encodeURIComponent(vm)}`;
  const taskPath = (vm: string, taskId: string) =>
    `${vmPath(vm)}/tasks/${encodeURIComponent(taskId)}`;
  const objectPath = (key: string) => `/v1/objects/${encodeURIComponent(key)}`;
  return {
    table: {
      get: async (key) => {
        const result = await read<Row | null>(
          `/v1/table/row?${new URLSearchParams({ key }).toString()}`,
          jsonField('row'),
        );
        return result.map((row) => row ?? undefined);
      },
      scan: (prefix, limit, after) => {
        const query = new URLSearchParams({ prefix, limit: `${limit}` });
        if (after !== undefined) query.set('after', after);
        return read<RowPage>(`/v1/table/rows?${query.toString()}`, jsonField('page'));
      },
      transact: (conditions, writes) =>
        post('/v1/table/transactions', CallKind.Write, { conditions, writes }),
    },
    objects: {
      put: (key, body) =>
        caller.call(purpose, {
          method: 'PUT',
          path: objectPath(key),
          kind: CallKind.Write,
          body,
          decode: ignoreBody,
        }),
      get: (key) =>
        caller.call(purpose, {
          method: 'GET',
          path: objectPath(key),
          kind: CallKind.Read,
          allowsNotFound: true,
          decode: decodeObject,
        }),
    },
    vmList: {
      list: (zone) => read(`/v1/vms?${new URLSearchParams({ zone }).toString()}`, jsonField('vms')),
    },
    pools: {
      drain: (vm) => control(`${vmPath(vm)}/drain`),
      cancelDrain: (vm) => control(`${vmPath(vm)}/cancel-drain`),
      drainStatus: (vm) => read(`${vmPath(vm)}/drain`, jsonField('status'), CallKind.Control),
      reboot: (vm) => control(`${vmPath(vm)}/reboot`),
    },
    workers: {
      start: (vm, task) => control(`${vmPath(vm)}/tasks`, task),
      renew: (vm, taskId, epoch, leaseMs) =>
        control(`${taskPath(vm, taskId)}/renew`, { epoch, leaseMs }),
      checkpoint: (vm, taskId) => control(`${taskPath(vm, taskId)}/checkpoint`),
      throttle: (vm, taskId, share) => control(`${taskPath(vm, taskId)}/throttle`, { share }),
      stop: (vm, taskId) => control(`${taskPath(vm, taskId)}/stop`),
      report: (vm) => read(`${vmPath(vm)}/tasks`, jsonField('report'), CallKind.Control),
    },
  };
}
