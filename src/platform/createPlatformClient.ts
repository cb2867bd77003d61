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
import { TokenBucket } from './rateShare.js';
import { Reachability } from './reachability.js';
import { openTransport, type HttpAnswer, type HttpCall, type Send } from './transport.js';
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

/** Header that ties an answer to its call; an answer that lacks it is not believed. */
const REQUEST_ID = 'request-id';
/** Answer header by which the platform states that it refused a call without effect. */
const REFUSED = 'refused';

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
  ReadShare = 'read_share',
  WriteShare = 'write_share',
  ControlShare = 'control_share',
  TooManyCalls = 'too_many_calls',
  Unreachable = 'unreachable',
  Closed = 'closed',
}

type Decode<T> = (answer: HttpAnswer) => T;

/** One metered call. */
interface Call<T> extends Omit<HttpCall, 'headers'> {
  kind: CallKind;
  decode: Decode<T>;
  /** Whether status 404 is an answer to decode instead of a refusal. */
  mayBeAbsent?: boolean;
  headers?: Record<string, string>;
}

/**
 * Creates the HTTP client of the platform. It is closed with the given life cycle.
 *
 * An error is Unreachable or RateLimited only if no byte of the call was sent. Writes are never
 * repeated by the client.
 */
export function createPlatformClient(deps: PlatformClientDeps): MeteredPlatformClient {
  const caller = new MeteredCaller(deps);
  return {
    ...clientFor(caller, CallPurpose.Other),
    forPurpose: (purpose) => clientFor(caller, purpose),
  };
}

/** Applies rate share, reachability, retries and counters to calls. */
class MeteredCaller {
  readonly #deps: PlatformClientDeps;
  readonly #shares: Record<CallKind, TokenBucket>;
  readonly #send: Send;
  /** Lease renewals have a connection of their own, so that slow calls do not delay them. */
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
    const share = (perSecond: number) =>
      new TokenBucket(clock, {
        perSecond,
        burstMs: settings.burstMs,
        reserve: settings.leaseReserve,
      });
    this.#shares = {
      [CallKind.Read]: share(settings.readsPerSecond),
      [CallKind.Write]: share(settings.writesPerSecond),
      [CallKind.Control]: share(settings.controlPerSecond),
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
        this.#announce(reachable);
      },
    });
    this.#calls = metrics.counter('platform_calls_total', 'Platform calls sent', [
      'kind',
      'purpose',
    ]);
    this.#refusals = metrics.counter(
      'platform_refusals_total',
      'Platform calls refused by this process without being sent',
      ['reason'],
    );
    this.#retries = metrics.counter('platform_retries_total', 'Repeated platform reads', [
      'reason',
    ]);
    this.#errors = metrics.counter('platform_errors_total', 'Platform calls that failed', ['code']);
  }

  /** Makes one call; reads are repeated when their answer is missing or damaged. */
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
    const result = await send({ ...call, headers: { ...call.headers, [REQUEST_ID]: id } });
    if (!isLease) this.#inFlight -= 1;
    if (result.isErr) {
      const { code, cause } = result.error;
      // A call that waited too long for a connection has no cause; only a refused one has.
      const connectFailed = code === PlatformErrorCode.Unreachable && cause !== undefined;
      this.#reachability.unanswered(!connectFailed);
      return Result.err(result.error);
    }
    this.#reachability.answered();
    return readAnswer(call, id, result.value);
  }

  #admit(purpose: CallPurpose, kind: CallKind): PlatformError | undefined {
    const { settings, lifecycle } = this.#deps;
    const isLease = purpose === CallPurpose.Lease;
    if (lifecycle.isClosed) {
      return this.#refuse(
        CallRefusalReason.Closed,
        PlatformErrorCode.Unreachable,
        'the client is closed',
      );
    }
    if (!this.#reachability.allowsCalls) {
      return this.#refuse(
        CallRefusalReason.Unreachable,
        PlatformErrorCode.Unreachable,
        'the platform does not answer',
      );
    }
    const limit = settings.maxConcurrent + settings.maxWaiting;
    if (!isLease && this.#inFlight >= limit) {
      const message = `${limit} calls are already under way`;
      return this.#refuse(CallRefusalReason.TooManyCalls, PlatformErrorCode.RateLimited, message);
    }
    if (!this.#shares[kind].take(isLease)) {
      const message = `the share of ${kind} calls per second is spent`;
      return this.#refuse(shareReasons[kind], PlatformErrorCode.RateLimited, message);
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
      headers: { [REQUEST_ID]: id },
    });
    this.#retries.inc({ reason: 'reconnection' });
    return result.isOk && result.value.status === 200 && result.value.headers[REQUEST_ID] === id;
  }

  #announce(reachable: boolean): void {
    const { events, logger } = this.#deps;
    logger.info({ event: EventName.PlatformReachability, reachable });
    events.emit(EventName.PlatformReachability, { reachable }).catch((err: unknown) => {
      logger.warn({ event: 'listener_failed', error: messageOf(err) });
    });
  }
}

const shareReasons: Record<CallKind, CallRefusalReason> = {
  [CallKind.Read]: CallRefusalReason.ReadShare,
  [CallKind.Write]: CallRefusalReason.WriteShare,
  [CallKind.Control]: CallRefusalReason.ControlShare,
};

function readAnswer<T>(call: Call<T>, id: string, answer: HttpAnswer): Result<T, PlatformError> {
  const failure = (code: PlatformErrorCode, text: string, key?: string) =>
    Result.err<T, PlatformError>(
      new PlatformError(code, `${call.method} ${call.path}: ${text}`, undefined, key),
    );
  if (answer.headers[REQUEST_ID] !== id) {
    return failure(PlatformErrorCode.BadAnswer, 'the answer belongs to another call');
  }
  const { status } = answer;
  try {
    if (status === 409) {
      const { failedKey, message } = parseJson(answer) as { failedKey: string; message: string };
      return failure(PlatformErrorCode.ConditionFailed, message, failedKey);
    }
    if (status < 300 || (status === 404 && call.mayBeAbsent)) {
      return Result.ok(call.decode(answer));
    }
  } catch (err) {
    return failure(PlatformErrorCode.BadAnswer, messageOf(err));
  }
  if (status === 421) {
    return failure(PlatformErrorCode.OtherIncarnation, answer.body.toString());
  }
  if (status < 500 || answer.headers[REFUSED] === id) {
    return failure(PlatformErrorCode.Refused, `status ${status}: ${answer.body.toString()}`);
  }
  return failure(PlatformErrorCode.OutcomeUnknown, `status ${status}`);
}

function parseJson(answer: HttpAnswer): unknown {
  return JSON.parse(answer.body.toString('utf8'));
}

function jsonField<T>(name: string): Decode<T> {
  return (answer) => {
    const value = parseJson(answer);
    if (typeof value !== 'object' || value === null || !(name in value)) {
      throw new SyntaxError(`the answer has no field ${name}`);
    }
    return (value as Record<string, T>)[name] as T;
  };
}

function ignoreBody(): void {
  return undefined;
}

function decodeObject(answer: HttpAnswer): Uint8Array | undefined {
  if (answer.status === 404) return undefined;
  return new Uint8Array(answer.body);
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
        const found = await read<Row | null>(
          `/v1/table/row?${new URLSearchParams({ key }).toString()}`,
          jsonField('row'),
        );
        return found.map((row) => row ?? undefined);
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
          mayBeAbsent: true,
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
