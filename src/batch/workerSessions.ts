import type { Clock } from '../clock/index.js';
import type { LoadPacing } from '../loadPacing/index.js';
import { WorkerEnvelope } from '../pools/index.js';
import { declaredMs, type PredictMs } from '../runTimes/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { isAborted } from './follow.js';
import type { Job } from './job.js';
import { isStepReady } from './job.js';
import { EntryOutcome, type Journal, type JournalEntry } from './journal.js';
import { OrderAnswer, type HoldReply, type ListedEnd, type WorkerClient } from './ports.js';
import type { LeaseBounds } from './recovery.js';
import { rosterKey } from './rows.js';
import { LEASE_MS, MAX_WORKER_LEASE_LIFE_MS, type RunControl } from './runControl.js';
import type { ServiceLoad } from './serviceLoad.js';
import type { WorkerRecord } from './types.js';
import { Worker } from './worker.js';

/** Long-poll time of a hold call. Leases are renewed several times within LEASE_MS. */
const HOLD_WAIT_MS = 1_000;
/** Long-poll time for workers with best-effort tasks, whose pace follows changing latencies. */
const PACING_HOLD_WAIT_MS = 400;
/** Interval at which sessions are synchronized with the worker registry. */
const SYNC_INTERVAL_MS = 100;
/** Delay after a failed call, while leases may not be renewed, and while ends are not durable. */
const RETRY_MS = 150;
/** Maximum delay of the exponential backoff for a worker without runs that does not answer. */
const IDLE_RETRY_MAX_MS = 1_000;
/** Added to the lease expiry to allow for an order that is still in transit. */
const LEASE_EXPIRY_SLACK_MS = 250;
/** Target time for working off a backlog. */
const BACKLOG_TARGET_MS = 1_000;
/** Time after which a worker without runs and without a registration is removed. */
const REMOVE_MISSING_AFTER_MS = 6_000;
/** How long the registration of a worker that left is ignored; longer than registrations remain. */
const DEPARTED_TTL_MS = 6_000;

/** Dependencies of {@link WorkerSessions}. */
export interface WorkerSessionsDeps {
  service: string;
  epoch: number;
  workers: WorkerClient;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  journal: Journal;
  runs: RunControl;
  /** Records the leases that are granted, and knows those that earlier holders may have granted. */
  leases: Pick<LeaseBounds, 'grant' | 'endOf'>;
  /** Registered workers of all services. */
  registered: () => Iterable<WorkerRecord>;
  /** Whether leases may be renewed. */
  canExtend: () => boolean;
  pacing: Pick<LoadPacing, 'listPauseMs'>;
  /** Requests a placement round. */
  place: () => void;
}

interface DepartedWorker {
  /** Start time of the process that left; see {@link WorkerRecord}. */
  bornMs: number;
  /** Monotonic time until which its registration is ignored, in milliseconds. */
  ignoredUntil: number;
}

interface Session {
  worker: Worker;
  /** Ends the wait for the answer to the call that is outstanding, if there is one. */
  interruptHold?: () => void;
  /** Whether the worker may delay its answer to the call that is outstanding. */
  mayWait: boolean;
  /** Whether the next call is to be answered at once. */
  isAnswerNeeded: boolean;
  /** Monotonic time since which the registration has been missing, in milliseconds. */
  missingSince?: number;
}

/** Runs one session for each worker of the service: renews its leases and tracks its runs. */
export class WorkerSessions {
  readonly #deps: WorkerSessionsDeps;
  readonly #sessions = new Map<string, Session>();
  /**
   * Addresses by id of the workers in the stored roster, from which a later holder learns where runs
   * may be.
   */
  readonly #roster = new Map<string, string>();
  /** Workers that left and may still be registered, by id. */
  readonly #departed = new Map<string, DepartedWorker>();
  #envelope = new WorkerEnvelope();
  #lastAddedAt = -Infinity;
  /** Called with each new worker, before it can get any runs. */
  onAdded: (worker: Worker) => void = () => undefined;
  #signal: AbortSignal | undefined;

  constructor(deps: WorkerSessionsDeps) {
    this.#deps = deps;
  }

  /** What the registered workers of all services offer. */
  get envelope(): WorkerEnvelope {
    return this.#envelope;
  }

  /** All workers that may have runs. */
  *all(): Generator<Worker> {
    for (const { worker } of this.#sessions.values()) yield worker;
  }

  get(id: string): Worker | undefined {
    return this.#sessions.get(id)?.worker;
  }

  /** Monotonic time at which the newest worker was added, in milliseconds. */
  get lastAddedAt(): number {
    return this.#lastAddedAt;
  }

  /** Asks a worker that may be waiting with its answer to answer at once, to learn whether it runs. */
  requestAnswer(id: string): void {
    const session = this.#sessions.get(id);
    if (!session) return;
    session.isAnswerNeeded = true;
    if (session.mayWait) session.interruptHold?.();
  }

  /** Whether some worker may still run tasks that this holder does not track. */
  hasOrphans(): boolean {
    const now = this.#deps.clock.now();
    for (const worker of this.all()) {
      const { hasOrphans, isGone, unansweredCalls, leasesExpireBy } = worker;
      const isLive = unansweredCalls === 0 || now <= leasesExpireBy + LEASE_EXPIRY_SLACK_MS;
      if (hasOrphans && !isGone && isLive) return true;
    }
    return false;
  }

  /**
   * Handles the notice that no VM runs a worker any more. It may be late, and the worker may have
   * started again under its id since.
   *
   * @param bornMs - start time of the process that has ended
   */
  handleGone(id: string, bornMs: number): void {
    const session = this.#sessions.get(id);
    if (session?.worker.record.bornMs !== bornMs || session.worker.unansweredCalls === 0) return;
    this.#deps.counters.count('workers_lost', 'not_listed');
    this.#deps.runs.handleGone(session.worker, 'not_listed');
    this.#removeIfGone(id, session, this.#deps.clock.now());
    this.#deps.place();
  }

  /** Runs the sessions until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    // The registrations come first, because the addresses in the roster may be out of date.
    this.#syncWithRegistry();
    this.#signal = signal;
    for (const session of this.#sessions.values()) void this.#runSession(session, signal);
    while (await clock.sleep(SYNC_INTERVAL_MS, signal)) this.#syncWithRegistry();
  }

  /** Adds a worker of an earlier holder's roster. */
  addFromRoster(record: WorkerRecord): void {
    this.#roster.set(record.id, record.address);
    if (!this.#sessions.has(record.id)) this.#add(record);
  }

  /** Adds, updates and removes workers to match the registry. */
  #syncWithRegistry(): void {
    const { clock, service, registered, place, log } = this.#deps;
    const now = clock.now();
    const present = new Set<string>();
    this.#envelope = new WorkerEnvelope(registered());
    for (const record of registered()) {
      if (record.service !== service) continue;
      present.add(record.id);
      if (this.#hasDeparted(record, now)) continue;
      const session = this.#sessions.get(record.id);
      if (!session) {
        this.#add(record);
        continue;
      }
      const { worker } = session;
      if (worker.isGone) continue;
      delete session.missingSince;
      if (record.isDraining && !worker.record.isDraining) {
        log.info('worker_draining', { worker: record.id, runs: worker.runs.size });
      }
      const bornMs = Math.max(record.bornMs, worker.record.bornMs);
      if (record.bornMs > worker.record.bornMs) {
        this.#handleRestart(worker, record.bornMs);
        // The call may wait for the process that has ended.
        session.interruptHold?.();
      }
      worker.record = { ...record, bornMs };
    }
    for (const id of this.#departed.keys()) if (!present.has(id)) this.#departed.delete(id);
    for (const [id, session] of this.#sessions) {
      if (present.has(id) && !session.worker.isGone) continue;
      session.missingSince ??= now;
      this.#removeIfGone(id, session, now);
    }
    place();
  }

  #hasDeparted({ id, bornMs }: WorkerRecord, now: number): boolean {
    const departed = this.#departed.get(id);
    return departed?.bornMs === bornMs && now < departed.ignoredUntil;
  }

  #add(record: WorkerRecord): void {
    const { leases, clock } = this.#deps;
    const worker = new Worker(record, (id, expiresBy) => leases.grant(id, expiresBy));
    worker.addedAt = clock.now();
    // A worker that is cut off from this holder may still have runs under leases of an earlier one.
    worker.leasesExpireBy = leases.endOf(record.id);
    const session: Session = { worker, mayWait: false, isAnswerNeeded: false };
    this.#lastAddedAt = worker.addedAt;
    this.#sessions.set(record.id, session);
    this.onAdded(worker);
    if (this.#signal) void this.#runSession(session, this.#signal);
  }

  #removeIfGone(id: string, { worker, missingSince }: Session, now: number): void {
    const { service } = this.#deps;
    if (worker.isGone) {
      const { bornMs } = worker.record;
      this.#departed.set(id, { bornMs, ignoredUntil: now + DEPARTED_TTL_MS });
    }
    const haveLeasesExpired = now > worker.leasesExpireBy + LEASE_EXPIRY_SLACK_MS;
    const isLongMissing =
      missingSince !== undefined && now - missingSince > REMOVE_MISSING_AFTER_MS;
    if (!worker.isGone && !(haveLeasesExpired && isLongMissing && worker.runs.size === 0)) return;
    const reason = worker.isGone ? 'left' : 'registration_gone';
    if (!worker.isGone) this.#deps.runs.handleCrash(worker, reason);
    worker.isGone = true;
    this.#sessions.delete(id);
    // A later holder would wait for the worker to respond.
    if (this.#roster.delete(id)) void this.#writeRoster({ removes: [rosterKey(service, id)] });
    this.#deps.log.info('worker_removed', { worker: id, reason });
  }

  /**
   * Handles the restart of a worker under its id. Its runs stay as they are until the first list of the
   * new process tells which of them it has, see {@link RunControl.handleRestart}: an order is not bound
   * to a process, so the new one may have carried out some of them before the restart became known.
   */
  #handleRestart(worker: Worker, bornMs: number): void {
    this.#deps.log.warn('worker_restarted', { worker: worker.record.id, runs: worker.runs.size });
    this.#deps.counters.count('workers_lost', 'restarted');
    worker.record = { ...worker.record, bornMs };
    // It has forgotten the fencing token, and gets no orders until it has answered again.
    worker.isAdmitted = false;
    worker.hasRestarted = true;
    worker.processedUpto = 0;
    worker.durableUpto = 0;
    // The ends of leases in orders sent until now are on the clock of the earlier process, and until it
    // has seen a fencing token, the new one also accepts orders of earlier holders.
    const { clock, leases } = this.#deps;
    const latestLeaseEnd = clock.now() + MAX_WORKER_LEASE_LIFE_MS;
    const earlierLeaseEnd = leases.endOf(worker.record.id);
    worker.leasesExpireBy = Math.max(worker.leasesExpireBy, latestLeaseEnd, earlierLeaseEnd);
  }

  /** Renews the leases of a worker and processes its reports until it is gone. */
  async #runSession(session: Session, signal: AbortSignal): Promise<void> {
    const { clock, workers, epoch, canExtend } = this.#deps;
    const { worker } = session;
    while (!signal.aborted && !worker.isGone) {
      this.#dropExpiredRuns(worker);
      if (!canExtend()) {
        await clock.sleep(RETRY_MS, signal);
        continue;
      }
      const hasUnacknowledged = worker.processedUpto > worker.durableUpto;
      const isResponsive = worker.isAdmitted && worker.unansweredCalls === 0;
      const leaseEndMs = isResponsive ? worker.lease(LEASE_MS, clock.now()) : undefined;
      session.mayWait = isResponsive && !hasUnacknowledged && !session.isAnswerNeeded;
      session.isAnswerNeeded = false;
      const waitMs = session.mayWait ? holdWaitMs(worker) : 0;
      // After a call without an answer, the ends may be those of a new process, which start anew.
      const lastAcknowledgedEnd = worker.unansweredCalls > 0 ? 0 : worker.durableUpto;
      const order = { fencingToken: epoch, lastAcknowledgedEnd, leaseEndMs, waitMs };
      const { bornMs } = worker.record;
      const requestedAt = clock.now();
      const reply = await new Promise<HoldReply | undefined>((resolve) => {
        session.interruptHold = () => {
          resolve(undefined);
        };
        void workers.hold(worker.record, order).then(resolve);
      });
      // Once the worker has left or restarted, an earlier answer no longer says anything about it.
      if (isAborted(signal) || hasLeft(worker)) return;
      if (!reply) continue;
      const hasRestarted = worker.record.bornMs !== bornMs;
      const isCurrent = reply.isListed && reply.bornMs === worker.record.bornMs;
      if (hasRestarted && !isCurrent) continue;
      if (!reply.isListed) await this.#handleHoldFailure(worker, reply.answer, signal);
      else await this.#handleHoldReply(worker, { ...reply, requestedAt }, signal);
    }
  }

  #dropExpiredRuns(worker: Worker): void {
    if (worker.runs.size === 0 || worker.unansweredCalls === 0) return;
    if (this.#deps.clock.now() <= worker.leasesExpireBy + LEASE_EXPIRY_SLACK_MS) return;
    this.#deps.counters.count('workers_lost', 'lease_lapsed');
    worker.lapsedRuns.push(...worker.runs.values());
    this.#deps.runs.dropRuns(worker, 'lease_lapsed');
  }

  async #handleHoldFailure(
    worker: Worker,
    answer: OrderAnswer,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, log, counters, runs } = this.#deps;
    counters.count('hold_failures', answer);
    if (answer === OrderAnswer.Fenced) {
      runs.handleFenced(worker);
      return;
    }
    if (answer === OrderAnswer.OtherInstance) {
      log.warn('worker_replaced', { worker: worker.record.id, address: worker.record.address });
      runs.handleGone(worker, 'address_reused');
      return;
    }
    if (worker.unansweredCalls === 0) {
      log.warn('worker_silent', {
        worker: worker.record.id,
        answer,
        runs: worker.runs.size,
        lease_ms: Math.round(worker.leasesExpireBy - clock.now()),
      });
    }
    const delayMs = retryDelayMs(worker);
    worker.unansweredCalls++;
    if (worker.unansweredCalls === 1) runs.handleSilence(worker);
    await clock.sleep(delayMs, signal);
  }

  async #handleHoldReply(
    worker: Worker,
    reply: HoldReply & { isListed: true; requestedAt: number },
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, log, runs, place } = this.#deps;
    if (reply.bornMs > worker.record.bornMs) this.#handleRestart(worker, reply.bornMs);
    worker.aliveAt = reply.requestedAt;
    const hasNewEnds = this.#applyEnds(worker, reply.ended);
    if (worker.hasRestarted && !reply.hasMoreEnds) runs.handleRestart(worker, reply);
    worker.recordClock(reply.workerTimeMs, clock.now());
    if (!worker.hasRestarted) worker.lapsedRuns = [];
    if (!worker.isAdmitted) {
      // It has seen this holder's fencing token and accepts no more leases of earlier holders.
      const latestLeaseEnd = clock.now() + MAX_WORKER_LEASE_LIFE_MS;
      worker.leasesExpireBy = Math.min(worker.leasesExpireBy, latestLeaseEnd);
    }
    if (worker.unansweredCalls > 0) {
      log.info('worker_recovered', {
        worker: worker.record.id,
        unanswered_calls: worker.unansweredCalls,
      });
      worker.unansweredCalls = 0;
      worker.recoveredAt = clock.now();
      place();
    }
    runs.reconcile(worker, reply);
    if (!worker.isAdmitted && !reply.hasMoreEnds) await this.#admit(worker);
    if (hasNewEnds) {
      const processed = worker.processedUpto;
      const { bornMs } = worker.record;
      const durable = this.#deps.journal.barrier().then(async (isDurable) => {
        while (isDurable && !runs.mayAcknowledge(worker)) {
          if (!(await clock.sleep(RETRY_MS, signal))) return;
        }
        if (isDurable && worker.record.bornMs === bornMs) {
          worker.durableUpto = Math.max(worker.durableUpto, processed);
        }
      });
      await Promise.race([durable, clock.sleep(RETRY_MS, signal)]);
      const { listPauseMs } = this.#deps.pacing;
      if (listPauseMs > 0) await clock.sleep(listPauseMs, signal);
    } else if (worker.processedUpto > worker.durableUpto) await clock.sleep(RETRY_MS, signal);
  }

  /** Applies the ends that were not processed before; returns whether there are any. */
  #applyEnds(worker: Worker, ended: readonly ListedEnd[]): boolean {
    let hasNewEnds = false;
    for (const end of ended) {
      if (end.number <= worker.processedUpto) continue;
      worker.processedUpto = end.number;
      this.#deps.runs.applyEnd(worker, end);
      hasNewEnds = true;
    }
    return hasNewEnds;
  }

  /** Lets a worker receive runs once it is in the stored roster. */
  async #admit(worker: Worker): Promise<void> {
    const { service, place, log, epoch } = this.#deps;
    const { record } = worker;
    // At an address that is out of date, a later holder would find another worker, and treat this one
    // as ended.
    if (this.#roster.get(record.id) !== record.address) {
      const value = JSON.stringify(record);
      const writes = [{ ...rosterKey(service, record.id), value }];
      if ((await this.#writeRoster({ writes })) !== EntryOutcome.Applied) return;
      // A worker that left while it was being added has no session that would remove it.
      if (hasLeft(worker)) {
        void this.#writeRoster({ removes: [rosterKey(service, record.id)] });
        return;
      }
      this.#roster.set(record.id, record.address);
    }
    worker.isAdmitted = true;
    log.info('worker_admitted', {
      worker: record.id,
      service,
      fence: epoch,
      runs: worker.runs.size,
    });
    place();
  }

  #writeRoster(rows: Partial<Pick<JournalEntry, 'writes' | 'removes'>>): Promise<EntryOutcome> {
    const { journal } = this.#deps;
    return new Promise((settle) => {
      journal.append({ conditions: [], writes: [], removes: [], ...rows, settle });
    });
  }

  /**
   * Load of the service, for pool balancing and maintenance. Tasks that no registered worker can hold
   * are not part of it.
   */
  load(jobs: readonly Job[], expectedCpu: number, predictMs: PredictMs = declaredMs): ServiceLoad {
    const { envelope } = this;
    let waitingCpu = 0;
    let backlogCpu = 0;
    let spreadNeed = 0;
    for (const job of jobs) {
      for (const { steps } of job.occurrences.values()) {
        for (const step of steps) {
          const { spec } = step;
          if (spec.maxPerWorker > 0 && spec.isLasting) {
            spreadNeed = Math.max(spreadNeed, Math.ceil(spec.count / spec.maxPerWorker));
          }
          if (spec.fillsSpare || !isStepReady(step) || !envelope.mayHold(spec)) continue;
          const waiting = step.idleCount * spec.cpuMillis;
          waitingCpu += waiting;
          if (waiting === 0) continue;
          const runMs = predictMs(spec, job.spec.queue);
          const isShort = !spec.isLasting && runMs < BACKLOG_TARGET_MS;
          backlogCpu += isShort ? (waiting * runMs) / BACKLOG_TARGET_MS : waiting;
        }
      }
    }
    const workers = [...this.all()];
    const lasting = workers.flatMap(({ runs }) =>
      [...runs.values()].filter(({ task }) => task.step.spec.isLasting),
    );
    return {
      waitingCpu,
      backlogCpu,
      expectedCpu,
      lastingCpu: lasting.reduce((sum, { task }) => sum + task.step.spec.cpuMillis, 0),
      spreadNeed,
      usedCpu: workers.reduce((sum, { cpuUsed }) => sum + cpuUsed, 0),
      capacityCpu: workers
        .filter(({ isAdmitted, isVacating }) => isAdmitted && !isVacating)
        .reduce((sum, { record }) => sum + record.capacity.cpuMillis, 0),
      workers: workers.map(({ record, runs, unansweredCalls }) => ({
        id: record.id,
        runs: runs.size,
        ...(unansweredCalls > 0 && { silentBornMs: record.bornMs }),
        lastingRuns: [...runs.values()].filter(({ task }) => task.step.spec.isLasting).length,
      })),
    };
  }
}

/** Reads `isGone` again after an await; the compiler assumes that it has not changed. */
function hasLeft(worker: Worker): boolean {
  return worker.isGone;
}

/** Retries a worker with runs quickly, so that their leases are renewed in time. */
function retryDelayMs({ runs, unansweredCalls }: Worker): number {
  if (runs.size > 0) return RETRY_MS;
  return Math.min(IDLE_RETRY_MAX_MS, RETRY_MS * 2 ** unansweredCalls);
}

function holdWaitMs(worker: Worker): number {
  const runs = [...worker.runs.values()];
  const hasBestEffortRuns = runs.some(({ task }) => task.step.spec.fillsSpare);
  return hasBestEffortRuns ? PACING_HOLD_WAIT_MS : HOLD_WAIT_MS;
}
