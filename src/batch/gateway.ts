import { Result } from 'true-myth';
import {
  compareOwner,
  JobOwner,
  mayAccessJob,
  RecentIds,
  RefusalLog,
  UNSTORABLE_RETRY_MS,
  type KeyRefusal,
  type KeyRegistry,
} from '../accounts/index.js';
import { QueueIndex, type QueueMatch } from '../routing/index.js';
import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import type { HolderDirectory } from './holderDirectory.js';
import {
  decodeEndedJob,
  decodeJob,
  decodeStoredAccount,
  encodeJob,
  isClosedId,
  pathOf,
  termsOf,
  type EndedJobRow,
} from './jobCodec.js';
import { IdState, type JobIds } from './jobIds.js';
import { NodeCallKind, type NodeAnswer } from './nodeCalls.js';
import type { MonitoredStore } from './monitoredStore.js';
import { StoreErrorCode, type Row, type RowKey } from './ports.js';
import type { QueueAssignments } from './queueAssignments.js';
import {
  acceptanceConditions,
  acceptanceRemoves,
  cancellationId,
  endedKey,
  inboxKey,
  jobKey,
  progressKey,
} from './rows.js';
import {
  JobState,
  RefusalReason,
  type BatchConfig,
  type JobSpec,
  type Queue,
  type QueuePath,
  type SubmitOutcome,
} from './types.js';

/** Timeout of one call to a holder; short, so that there is time left to go through the store. */
const HOLDER_TIMEOUT_MS = 700;
/** Timeout for asking the holder whether it already knows a job that is about to be refused. */
const LOOKUP_TIMEOUT_MS = 60;
/** Time reserved for answering the caller; no further attempt is made below it. */
const ANSWER_RESERVE_MS = 150;
/** Delay between attempts. */
const RETRY_MS = 60;
/** Retry delay for callers that are refused because the store is unavailable. */
const UNAVAILABLE_RETRY_MS = 1_000;

/** Refusals by the holder that going through the store would not avoid. */
const FINAL_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.Full,
  RefusalReason.Unstorable,
  RefusalReason.Hopeless,
  RefusalReason.AccountShare,
]);
/** Refusals after which no earlier attempt of the same submission can be accepted either. */
const DEFINITE_REFUSALS: ReadonlySet<RefusalReason> = new Set([RefusalReason.IdInUse]);

/** Refusals after which this or another service may have the job. */
const OPEN_REFUSALS: ReadonlySet<unknown> = new Set([
  RefusalReason.Unresolved,
  RefusalReason.IdClosed,
]);

/** Refusals under load, which depend on the account's work; callers get another status for them. */
export const LOAD_REFUSALS: ReadonlySet<unknown> = new Set([
  RefusalReason.Hopeless,
  RefusalReason.AccountShare,
]);

/** Outcome of a caller's request. */
export enum CallOutcome {
  /** The request was carried out, or the state of the job is known. */
  Ok = 'ok',
  /** Nothing was done; the caller should retry later. */
  Refused = 'refused',
  /** The request may have been carried out; it is safe to repeat. */
  Unknown = 'unknown',
  NotFound = 'not_found',
}

/** Answer to a caller. */
export interface CallAnswer {
  outcome: CallOutcome;
  state?: JobState;
  pending?: number;
  /** Milliseconds after which the caller should retry. */
  retryAfterMs?: number;
  /** Reason for logs and counters. */
  reason?: RefusalReason | StoreErrorCode;
}

/** Dependencies of a {@link Gateway}. */
export interface GatewayDeps {
  store: MonitoredStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  config: () => BatchConfig | undefined;
  holders: HolderDirectory;
  keys: KeyRegistry;
  ids: JobIds;
  assignments: Pick<QueueAssignments, 'known'>;
}

/** Outcomes of a submission whose id another service has, or may have. */
const claimOutcomes: Record<Exclude<IdState, IdState.Free>, CallOutcome | RefusalReason.IdInUse> = {
  [IdState.Taken]: CallOutcome.Ok,
  [IdState.InUse]: RefusalReason.IdInUse,
  [IdState.Unresolved]: CallOutcome.Unknown,
  [IdState.Unknown]: CallOutcome.Refused,
};

/**
 * Handles callers' requests on any node: forwards them to the holder of the queue's service, and
 * falls back to the store when the holder cannot be reached.
 */
export class Gateway {
  readonly #deps: GatewayDeps;
  #indexedConfig: BatchConfig | undefined;
  #queueIndex = new QueueIndex([]);
  readonly #refusalLog: RefusalLog;
  /** Ids of jobs whose write was sent and may still be applied. */
  readonly #unresolved: RecentIds;

  constructor(deps: GatewayDeps) {
    this.#deps = deps;
    this.#refusalLog = new RefusalLog(deps.clock);
    this.#unresolved = new RecentIds(deps.clock);
  }

  /**
   * Checks the key of a request.
   *
   * @param key - the key as sent by the caller; undefined if there is none
   * @returns the account of the caller; undefined if the queue needs no key
   */
  authorize(
    queue: Queue,
    key: string | Uint8Array | undefined,
  ): Result<string | undefined, KeyRefusal> {
    const { keys, counters, log, config } = this.#deps;
    const res = keys.check(key, queue.isPublic === true);
    if (res.isOk) return res;
    const reason = res.error.code;
    counters.count('unauthorized_requests', reason);
    const suppressed = this.#refusalLog.record(queue.name, reason);
    if (suppressed !== undefined) {
      log.detail('request_unauthorized', {
        queue: queue.name,
        reason,
        config: config()?.version,
        age_ms: Math.round(keys.ageMs()),
        others: suppressed > 0 ? suppressed : undefined,
      });
    }
    return res;
  }

  /** Finds the queue with the longest matching path prefix on a host, and the rest of the path. */
  matchQueue(host: string, path: string): QueueMatch | undefined {
    const config = this.#deps.config();
    if (config !== this.#indexedConfig) {
      this.#indexedConfig = config;
      this.#queueIndex = new QueueIndex(config?.queues ?? []);
    }
    return this.#queueIndex.match(host, path);
  }

  /**
   * Why this node refuses a job that it does not know before its holder is asked; undefined if it does
   * not.
   */
  refusalOf(spec: JobSpec): { reason: RefusalReason; retryAfterMs: number } | undefined {
    if (Buffer.byteLength(encodeJob(spec)) > this.#deps.store.limits.rowBytes)
      return { reason: RefusalReason.Unstorable, retryAfterMs: UNSTORABLE_RETRY_MS };
    if (this.#deps.store.isSuspect())
      return { reason: RefusalReason.StoreSuspect, retryAfterMs: UNAVAILABLE_RETRY_MS };
    return undefined;
  }

  /** Submits a job. Reports it as accepted only once it is durable. */
  async submit(queue: Queue, submitted: JobSpec, timeoutMs: number): Promise<CallAnswer> {
    const { clock, holders, counters } = this.#deps;
    const spec = { ...submitted, terms: termsOf(queue), path: pathOf(queue) };
    const startedAt = clock.now();
    const remainingMs = () => timeoutMs - (clock.now() - startedAt);
    const refusal = this.refusalOf(spec);
    if (refusal?.reason === RefusalReason.Unstorable)
      return this.#reportRefused(spec, refusal.reason, refusal.retryAfterMs);
    // A node that cannot reach the store probably cannot reach the holder either. Nothing has been
    // sent yet, so the caller can safely be told to retry, and then reaches another node.
    if (refusal) {
      const existing = await this.#findAtHolders(queue, spec.id);
      if (existing) {
        if (!this.#isSameJob(existing.account, spec))
          return this.#reportRefused(spec, RefusalReason.IdInUse, UNSTORABLE_RETRY_MS);
        return this.#reportAccepted(spec, 'earlier', clock.now() - startedAt);
      }
      return this.#reportRefused(spec, refusal.reason, refusal.retryAfterMs);
    }
    let mayBeAccepted = false;
    let current = queue;
    do {
      const { service } = current;
      const call = { kind: NodeCallKind.Submit, service, spec } as const;
      const res = await holders.call(
        call,
        Math.min(HOLDER_TIMEOUT_MS, remainingMs() - ANSWER_RESERVE_MS),
      );
      const outcome = res.isOk ? res.value.submitted : undefined;
      if (outcome?.isAccepted) return this.#reportAccepted(spec, 'holder', clock.now() - startedAt);
      const isFinal =
        outcome?.reason !== undefined &&
        (DEFINITE_REFUSALS.has(outcome.reason) ||
          (FINAL_REFUSALS.has(outcome.reason) && !mayBeAccepted));
      if (isFinal) {
        const isLoadRefusal = LOAD_REFUSALS.has(outcome.reason);
        if (!isLoadRefusal || (await this.#isCertainlyUnknown(service, spec.id)))
          return this.#reportRefused(spec, outcome.reason, outcome.retryAfterMs, outcome);
      }
      if (res.isErr ? res.error.mayHaveRun : OPEN_REFUSALS.has(outcome?.reason)) {
        mayBeAccepted = true;
      }
      const storeOutcome = await this.#submitThroughStore(current, spec);
      if (storeOutcome === RefusalReason.Unstorable && !mayBeAccepted)
        return this.#reportRefused(spec, storeOutcome, UNSTORABLE_RETRY_MS);
      if (storeOutcome === RefusalReason.IdInUse)
        return this.#reportRefused(spec, storeOutcome, UNSTORABLE_RETRY_MS);
      if (storeOutcome === CallOutcome.Ok) {
        counters.count(
          'accepted_through_store',
          res.isErr ? res.error.code : RefusalReason.NotHolder,
        );
        return this.#reportAccepted(spec, 'store', clock.now() - startedAt);
      }
      if (storeOutcome === CallOutcome.Unknown) mayBeAccepted = true;
      // Nothing can be accepted while the store is unavailable, so the caller should retry later.
      if (this.#deps.store.isSuspect() && !mayBeAccepted) break;
      await clock.sleep(RETRY_MS);
      current = this.#currentQueue(queue);
    } while (remainingMs() > ANSWER_RESERVE_MS);
    if (!mayBeAccepted)
      return this.#reportRefused(spec, RefusalReason.StoreUnavailable, UNAVAILABLE_RETRY_MS);
    this.#unresolved.add(spec.id);
    counters.count('unknown_outcomes', 'submit');
    this.#deps.log.warn('submit_unknown', { job: spec.id, queue: queue.name });
    return { outcome: CallOutcome.Unknown, reason: RefusalReason.StoreUnavailable };
  }

  /**
   * The queue as the configuration in force has it, so that attempts at one submission through several
   * nodes turn to the same service as soon as these have the same configuration.
   */
  #currentQueue(queue: Queue): Queue {
    const { host, pathPrefix } = queue;
    const current = this.matchQueue(host, pathPrefix)?.queue;
    return current?.host === host && current.pathPrefix === pathPrefix ? current : queue;
  }

  #reportAccepted(spec: JobSpec, through: string, tookMs: number): CallAnswer {
    this.#deps.counters.observe('submit_ms', tookMs);
    const took_ms = Math.round(tookMs);
    const { id: job, queue, account } = spec;
    this.#deps.log.detail('submit', { job, queue, account, through, took_ms });
    return { outcome: CallOutcome.Ok };
  }

  /**
   * Whether no row shows that a job was accepted, which its holder may not know yet or no longer, or
   * which its successor accepted. A refusal under load requires this, because the caller may send the
   * same job again after a timeout.
   */
  async #isCertainlyUnknown(service: string, id: string): Promise<boolean> {
    if (this.#unresolved.has(id)) return false;
    // In the order in which the rows of a job are written, so that one that ends meanwhile is found.
    for (const key of [inboxKey, jobKey, endedKey]) {
      const res = await this.#deps.store.readRow(key(service, id));
      if (res.isErr || (res.value !== undefined && !isClosedId(res.value))) return false;
    }
    return true;
  }

  #reportRefused(
    spec: JobSpec,
    reason: RefusalReason,
    retryAfterMs: number,
    { load }: Pick<SubmitOutcome & { isAccepted: false }, 'load'> = {},
  ): CallAnswer {
    this.#deps.counters.count('refusals', reason);
    if (spec.account !== undefined)
      this.#deps.counters.count('account_refusals', `${spec.account}.${reason}`);
    this.#deps.log.warn('submit_refused', {
      job: spec.id,
      queue: spec.queue,
      reason,
      account: spec.account,
      ...(load && {
        retry_after_ms: Math.round(retryAfterMs),
        work_ahead_ms: Math.round(load.workAheadMs),
        rate: load.ratePerMs.toFixed(3),
      }),
    });
    return { outcome: CallOutcome.Refused, reason, retryAfterMs };
  }

  async #submitThroughStore(
    { service }: Queue,
    spec: JobSpec & { path: QueuePath },
  ): Promise<CallOutcome | RefusalReason.Unstorable | RefusalReason.IdInUse> {
    if (this.#deps.store.isSuspect()) return CallOutcome.Refused;
    const claim = await this.#deps.ids.claim(spec.path, service, spec);
    if (claim.state !== IdState.Free) return claimOutcomes[claim.state];
    const { closedVersion } = claim;
    const res = await this.#deps.store.transact({
      conditions: acceptanceConditions(service, spec.id, closedVersion),
      writes: [{ ...inboxKey(service, spec.id), value: encodeJob(spec) }],
      removes: acceptanceRemoves(service, spec.id, closedVersion),
    });
    if (res.isOk) {
      const outcome = res.value;
      if (outcome.isApplied) return CallOutcome.Ok;
      if (outcome.rows.some(isClosedId)) {
        this.#deps.ids.handleClosed();
        return CallOutcome.Unknown;
      }
      // The job was already accepted, or the id is that of another account's job.
      return this.#checkConflict(spec, outcome.rows);
    }
    if (res.error.code === StoreErrorCode.Invalid) return RefusalReason.Unstorable;
    // Any other failure, such as an unreadable answer, leaves open whether the job was written.
    return res.error.code === StoreErrorCode.Refused ? CallOutcome.Refused : CallOutcome.Unknown;
  }

  /** Determines whether a submission conflicts with its own earlier acceptance. */
  #checkConflict(spec: JobSpec, [row]: Row[]): CallOutcome | RefusalReason.IdInUse {
    // The row that closed the id is missing, but no row shows which job replaced it.
    if (!row) return CallOutcome.Unknown;
    if (!this.#deps.keys.isInUse) return CallOutcome.Ok;
    const owner = decodeStoredAccount(row);
    // An unreadable row may be that of the same job.
    if (!owner.isOk) return CallOutcome.Unknown;
    return this.#isSameJob(owner.value, spec) ? CallOutcome.Ok : RefusalReason.IdInUse;
  }

  #mayAccess(owner: string | undefined, account: string | undefined): boolean {
    return !this.#deps.keys.isInUse || mayAccessJob(owner, account);
  }

  #isSameJob(owner: string | undefined, { account }: JobSpec): boolean {
    return !this.#deps.keys.isInUse || compareOwner(owner, account) === JobOwner.Same;
  }

  /**
   * Looks up the state of a job, first at the holder and then in the store.
   *
   * @param account - account of the caller; undefined if the queue needs no key
   */
  async status(queue: Queue, job: string, account?: string): Promise<CallAnswer> {
    for (const service of this.#allServices(queue)) {
      const call = { kind: NodeCallKind.Status, service, job } as const;
      const res = await this.#deps.holders.call(call, HOLDER_TIMEOUT_MS);
      const { state, account: owner } = res.isOk ? res.value : {};
      if (state && this.#mayAccess(owner, account)) return { outcome: CallOutcome.Ok, state };
      const stored = await this.#readStoredState(service, job, account);
      if (stored.outcome !== CallOutcome.NotFound) return stored;
    }
    this.#deps.log.info('status_not_found', { job, queue: queue.name });
    return { outcome: CallOutcome.NotFound };
  }

  /** State and account of a job that a holder knows, of the services that may have it. */
  async #findAtHolders(queue: Queue, job: string): Promise<NodeAnswer | undefined> {
    const answers = await Promise.all(
      this.#servicesWithJobsOf(queue).map((service) => {
        const call = { kind: NodeCallKind.Status, service, job } as const;
        return this.#deps.holders.call(call, LOOKUP_TIMEOUT_MS);
      }),
    );
    const found = answers.find((res) => res.isOk && res.value.state !== undefined);
    return found?.isOk ? found.value : undefined;
  }

  /**
   * The queue's service first, then those that may have jobs of it from before it moved. These are all
   * others as long as the assignments of the queue have not been read.
   */
  #servicesWithJobsOf(queue: Queue): string[] {
    const all = this.#allServices(queue);
    const known = this.#deps.assignments.known(queue);
    return known ? all.filter((name) => name === queue.service || known.includes(name)) : all;
  }

  /**
   * The queue's service first, then all others, because the queue may have been assigned to another
   * service since the job was submitted.
   */
  #allServices(queue: Queue): string[] {
    const names = this.#deps.config()?.services.map(({ name }) => name) ?? [];
    return [queue.service, ...names.filter((name) => name !== queue.service)];
  }

  /** Reads the state of a job from the store. */
  async #readStoredState(
    service: string,
    job: string,
    account: string | undefined,
  ): Promise<CallAnswer> {
    const ended: Lookup = [endedKey(service, job), ({ value }) => decodeEndedJob(value)];
    const queued = ({ value }: Row) => {
      const spec = decodeJob(value);
      return spec.isOk ? { state: JobState.Queued, account: spec.value.account } : undefined;
    };
    const open: Lookup[] = this.#deps.keys.isInUse
      ? [
          [inboxKey(service, job), queued],
          [jobKey(service, job), queued],
        ]
      : [
          [progressKey(service, job), () => ({ state: JobState.Running })],
          [jobKey(service, job), () => ({ state: JobState.Queued })],
          [inboxKey(service, job), () => ({ state: JobState.Queued })],
        ];
    // The job may have ended between the reads, so the row of an ended job is read again.
    for (const [key, decode] of [ended, ...open, ended]) {
      const res = await this.#deps.store.readRow(key);
      if (res.isErr) {
        this.#deps.counters.count('unknown_outcomes', 'status');
        return { outcome: CallOutcome.Unknown, reason: res.error.code };
      }
      if (!res.value || isClosedId(res.value)) continue;
      const stored = decode(res.value);
      if (!stored) return { outcome: CallOutcome.Unknown, reason: RefusalReason.BadRow };
      if (!this.#mayAccess(stored.account, account)) return { outcome: CallOutcome.NotFound };
      if (stored.state === JobState.Queued && this.#deps.keys.isInUse)
        return this.#readProgress(service, job);
      return { outcome: CallOutcome.Ok, state: stored.state };
    }
    return { outcome: CallOutcome.NotFound };
  }

  /** Reads whether an open job, whose account is known, has made progress. */
  async #readProgress(service: string, job: string): Promise<CallAnswer> {
    const res = await this.#deps.store.readRow(progressKey(service, job));
    if (res.isErr) {
      this.#deps.counters.count('unknown_outcomes', 'status');
      return { outcome: CallOutcome.Unknown, reason: res.error.code };
    }
    return { outcome: CallOutcome.Ok, state: res.value ? JobState.Running : JobState.Queued };
  }

  /**
   * Cancels a job. Resolves once the cancellation is durable.
   *
   * @param account - account of the caller; undefined if the queue needs no key
   */
  async cancel(queue: Queue, job: string, account?: string): Promise<CallAnswer> {
    const { holders, log } = this.#deps;
    for (const service of this.#allServices(queue)) {
      const caller = account === undefined ? {} : { account };
      const call = { kind: NodeCallKind.Cancel, service, job, ...caller } as const;
      const res = await holders.call(call, HOLDER_TIMEOUT_MS);
      if (res.isOk && res.value.isCancelled) {
        log.info('cancel', { job, queue: queue.name, account, through: 'holder' });
        return { outcome: CallOutcome.Ok };
      }
      const stored = await this.#readStoredState(service, job, account);
      if (stored.outcome === CallOutcome.NotFound) continue;
      if (stored.outcome !== CallOutcome.Ok) return stored;
      if (stored.state !== JobState.Queued && stored.state !== JobState.Running) return stored;
      return this.#cancelThroughStore(service, job, account);
    }
    return { outcome: CallOutcome.NotFound };
  }

  async #cancelThroughStore(
    service: string,
    job: string,
    account: string | undefined,
  ): Promise<CallAnswer> {
    const res = await this.#deps.store.transact({
      conditions: [],
      writes: [{ ...inboxKey(service, cancellationId(job, account)), value: job }],
      removes: [],
    });
    if (res.isErr) return { outcome: CallOutcome.Unknown, reason: res.error.code };
    this.#deps.log.info('cancel', { job, service, account, through: 'store' });
    return { outcome: CallOutcome.Ok };
  }

  /**
   * Counts the open jobs of a queue that have not started any task, also those that were accepted before
   * it moved to its service. Refuses if a holder cannot know all of them.
   */
  async pending(queue: Queue): Promise<CallAnswer> {
    const counts = await Promise.all(
      this.#servicesWithJobsOf(queue).map((service) => this.#countPending(service, queue)),
    );
    let pending = 0;
    for (const count of counts) {
      if (count.isErr) {
        this.#deps.counters.count('refusals', count.error);
        const retryAfterMs = UNAVAILABLE_RETRY_MS;
        return { outcome: CallOutcome.Refused, reason: count.error, retryAfterMs };
      }
      pending += count.value;
    }
    return { outcome: CallOutcome.Ok, pending };
  }

  async #countPending(service: string, queue: Queue): Promise<Result<number, RefusalReason>> {
    const { name } = queue;
    const path = pathOf(queue);
    const call = { kind: NodeCallKind.Pending, service, queue: name, path } as const;
    const res = await this.#deps.holders.call(call, HOLDER_TIMEOUT_MS);
    const { count, ageMs } = (res.isOk ? res.value.pending : undefined) ?? {};
    this.#deps.log.detail('pending', {
      queue: name,
      service,
      count,
      age_ms: ageMs === undefined ? undefined : Math.round(ageMs),
      failure: res.isErr ? res.error.code : undefined,
    });
    if (count !== undefined) return Result.ok(count);
    return Result.err(res.isErr ? RefusalReason.HolderUnreachable : RefusalReason.CountUnknown);
  }
}

/** A row that a job may have, and how to decode the state and the account of the job from it. */
type Lookup = [key: RowKey, decode: (row: Row) => EndedJobRow | undefined];
