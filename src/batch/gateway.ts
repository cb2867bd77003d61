import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import type { HolderDirectory } from './holderDirectory.js';
import { encodeJob } from './jobCodec.js';
import { NodeCallKind } from './nodeCalls.js';
import type { MonitoredStore } from './monitoredStore.js';
import { StoreErrorCode, type RowKey } from './ports.js';
import { cancellationId, endedKey, inboxKey, jobKey, progressKey } from './rows.js';
import { JobState, RefusalReason, type BatchConfig, type JobSpec, type Queue } from './types.js';

/** Wait for one call to a holder, so that there is time for the way through the store. */
const HOLDER_TIMEOUT_MS = 700;
/** Wait for a holder that is asked whether it knows a job, before the job is refused. */
const LOOKUP_TIMEOUT_MS = 60;
/** Time left below which nothing more is tried, so that the caller gets its answer. */
const LAST_TRY_MS = 150;
/** Pause between tries. */
const RETRY_MS = 60;
/** When callers are to come back after a refusal for want of a dependency. */
const UNAVAILABLE_RETRY_MS = 1_000;

/** How a call of a caller ended. */
export enum CallOutcome {
  /** Done as asked, or the state is known. */
  Ok = 'ok',
  /** Nothing was done; come back later. */
  Refused = 'refused',
  /** It may have been done; the same call can be made again. */
  Unknown = 'unknown',
  NotFound = 'not_found',
}

/** Answer to a caller. */
export interface CallAnswer {
  outcome: CallOutcome;
  state?: JobState;
  pending?: number;
  /** Milliseconds after which to come back. */
  retryAfterMs?: number;
  /** Why, for logs and counters. */
  reason?: RefusalReason | StoreErrorCode;
}

/** Needs of a {@link Gateway}. */
export interface GatewayDeps {
  store: MonitoredStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  config: () => BatchConfig | undefined;
  holders: HolderDirectory;
}

/**
 * Answers callers on any node: asks the holder of the queue's service, and goes through the store
 * when the holder cannot be reached.
 */
export class Gateway {
  readonly #deps: GatewayDeps;

  constructor(deps: GatewayDeps) {
    this.#deps = deps;
  }

  /** The queue of a host with the longest prefix of a path, and the rest of the path. */
  match(host: string, path: string): { queue: Queue; rest: string } | undefined {
    let best: Queue | undefined;
    for (const queue of this.#deps.config()?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
      if (!best || queue.pathPrefix.length > best.pathPrefix.length) best = queue;
    }
    return best && { queue: best, rest: path.slice(best.pathPrefix.length) };
  }

  /** Hands a job in; accepted only once it is durable. */
  async submit(queue: Queue, spec: JobSpec, timeoutMs: number): Promise<CallAnswer> {
    const { clock, holders, counters } = this.#deps;
    const startedAt = clock.now();
    const left = () => timeoutMs - (clock.now() - startedAt);
    // A node without the store has likely lost the holder as well. Nothing was sent yet, so the
    // caller can be told to come back, and finds another node.
    if (this.#deps.store.isSuspect()) {
      const status = { kind: NodeCallKind.Status, service: queue.service, job: spec.id } as const;
      const known = await holders.call(status, LOOKUP_TIMEOUT_MS);
      if (known.isOk && known.value.state)
        return this.#accepted(spec, 'earlier', clock.now() - startedAt);
      return this.#refused(spec, RefusalReason.StoreSuspect, UNAVAILABLE_RETRY_MS);
    }
    let mayBeAccepted = false;
    do {
      const call = { kind: NodeCallKind.Submit, service: queue.service, spec } as const;
      const res = await holders.call(call, Math.min(HOLDER_TIMEOUT_MS, left() - LAST_TRY_MS));
      const submitted = res.isOk ? res.value.submitted : undefined;
      if (submitted?.isAccepted) return this.#accepted(spec, 'holder', clock.now() - startedAt);
      if (submitted?.reason === RefusalReason.Full && !mayBeAccepted) {
        return this.#refused(spec, submitted.reason, submitted.retryAfterMs);
      }
      if (res.isErr ? res.error.mayHaveRun : submitted?.reason === RefusalReason.Unresolved) {
        mayBeAccepted = true;
      }
      const direct = await this.#submitThroughStore(queue.service, spec);
      if (direct === CallOutcome.Ok) {
        counters.count(
          'accepted_through_store',
          res.isErr ? res.error.code : RefusalReason.NotHolder,
        );
        return this.#accepted(spec, 'store', clock.now() - startedAt);
      }
      if (direct === CallOutcome.Unknown) mayBeAccepted = true;
      // With the store away nothing can be accepted; the caller does better to come back.
      if (this.#deps.store.isSuspect() && !mayBeAccepted) break;
      await clock.sleep(RETRY_MS);
    } while (left() > LAST_TRY_MS);
    if (!mayBeAccepted)
      return this.#refused(spec, RefusalReason.StoreUnavailable, UNAVAILABLE_RETRY_MS);
    counters.count('unknown_outcomes', 'submit');
    this.#deps.log.warn('submit_unknown', { job: spec.id, queue: queue.name });
    return { outcome: CallOutcome.Unknown, reason: RefusalReason.StoreUnavailable };
  }

  #accepted(spec: JobSpec, through: string, tookMs: number): CallAnswer {
    this.#deps.counters.observe('submit_ms', tookMs);
    const took_ms = Math.round(tookMs);
    this.#deps.log.detail('submit', { job: spec.id, queue: spec.queue, through, took_ms });
    return { outcome: CallOutcome.Ok };
  }

  #refused(spec: JobSpec, reason: RefusalReason, retryAfterMs: number): CallAnswer {
    this.#deps.counters.count('refusals', reason);
    this.#deps.log.warn('submit_refused', { job: spec.id, queue: spec.queue, reason });
    return { outcome: CallOutcome.Refused, reason, retryAfterMs };
  }

  async #submitThroughStore(service: string, spec: JobSpec): Promise<CallOutcome> {
    if (this.#deps.store.isSuspect()) return CallOutcome.Refused;
    const inbox = inboxKey(service, spec.id);
    const absent = [inbox, jobKey(service, spec.id), endedKey(service, spec.id)];
    const res = await this.#deps.store.transact({
      conditions: absent.map((key) => ({ ...key, version: 0 })),
      writes: [{ ...inbox, value: encodeJob(spec) }],
      removes: [],
    });
    // A conflict means that the job was accepted before.
    if (res.isOk) return CallOutcome.Ok;
    return res.error.code === StoreErrorCode.NoAnswer ? CallOutcome.Unknown : CallOutcome.Refused;
  }

  /** State of a job. */
  async status(queue: Queue, job: string): Promise<CallAnswer> {
    for (const service of this.#servicesFor(queue)) {
      const call = { kind: NodeCallKind.Status, service, job } as const;
      const res = await this.#deps.holders.call(call, HOLDER_TIMEOUT_MS);
      const state = res.isOk ? res.value.state : undefined;
      if (state) return { outcome: CallOutcome.Ok, state };
      const stored = await this.#storedState(service, job);
      if (stored.outcome !== CallOutcome.NotFound) return stored;
    }
    this.#deps.log.info('status_not_found', { job, queue: queue.name });
    return { outcome: CallOutcome.NotFound };
  }

  /** The service of a queue first, then the others, for jobs accepted before it changed. */
  #servicesFor(queue: Queue): string[] {
    const names = this.#deps.config()?.services.map(({ name }) => name) ?? [];
    return [queue.service, ...names.filter((name) => name !== queue.service)];
  }

  /** State of a job as the store has it. */
  async #storedState(service: string, job: string): Promise<CallAnswer> {
    const found: [key: RowKey, state: (value: string) => JobState | undefined][] = [
      [endedKey(service, job), (value) => statesByText.get(value)],
      [progressKey(service, job), () => JobState.Running],
      [jobKey(service, job), () => JobState.Queued],
      [inboxKey(service, job), () => JobState.Queued],
      // It may have ended between the reads.
      [endedKey(service, job), (value) => statesByText.get(value)],
    ];
    for (const [key, state] of found) {
      const res = await this.#deps.store.readRow(key);
      if (res.isErr) {
        this.#deps.counters.count('unknown_outcomes', 'status');
        return { outcome: CallOutcome.Unknown, reason: res.error.code };
      }
      if (!res.value) continue;
      const stored = state(res.value.value);
      if (stored) return { outcome: CallOutcome.Ok, state: stored };
      return { outcome: CallOutcome.Unknown, reason: RefusalReason.BadRow };
    }
    return { outcome: CallOutcome.NotFound };
  }

  /** Cancels a job; the answer comes once that is durable. */
  async cancel(queue: Queue, job: string): Promise<CallAnswer> {
    const { holders, log } = this.#deps;
    for (const service of this.#servicesFor(queue)) {
      const call = { kind: NodeCallKind.Cancel, service, job } as const;
      const res = await holders.call(call, HOLDER_TIMEOUT_MS);
      if (res.isOk && res.value.isCancelled) {
        log.info('cancel', { job, queue: queue.name, through: 'holder' });
        return { outcome: CallOutcome.Ok };
      }
      const stored = await this.#storedState(service, job);
      if (stored.outcome === CallOutcome.NotFound) continue;
      if (stored.outcome !== CallOutcome.Ok) return stored;
      if (stored.state !== JobState.Queued && stored.state !== JobState.Running) return stored;
      return this.#cancelThroughStore(service, job);
    }
    return { outcome: CallOutcome.NotFound };
  }

  async #cancelThroughStore(service: string, job: string): Promise<CallAnswer> {
    const res = await this.#deps.store.transact({
      conditions: [],
      writes: [{ ...inboxKey(service, cancellationId(job)), value: job }],
      removes: [],
    });
    if (res.isErr) return { outcome: CallOutcome.Unknown, reason: res.error.code };
    this.#deps.log.info('cancel', { job, service, through: 'store' });
    return { outcome: CallOutcome.Ok };
  }

  /** Accepted jobs of a queue of which nothing has started. */
  async pending(queue: Queue): Promise<CallAnswer> {
    const { service, name } = queue;
    const call = { kind: NodeCallKind.Pending, service, queue: name } as const;
    const res = await this.#deps.holders.call(call, HOLDER_TIMEOUT_MS);
    const pending = res.isOk ? res.value.pending : undefined;
    if (pending !== undefined) return { outcome: CallOutcome.Ok, pending };
    return { outcome: CallOutcome.Refused, reason: RefusalReason.HolderUnreachable };
  }
}

/** States by their text in the row of an ended job. */
const statesByText = new Map<string, JobState>(
  Object.values(JobState).map((state) => [state, state]),
);
