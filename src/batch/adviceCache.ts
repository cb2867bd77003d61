import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import type { Step } from './job.js';
import { canHoldTask } from './placement.js';
import type { AdviceClient } from './ports.js';
import type { QueueTerms } from './types.js';
import type { Worker } from './worker.js';

/** Maximum number of workers per call; each one costs processing time at the advice service. */
const WORKERS_PER_CALL = 30;
/** Share of a ticket's validity for which it is used, so that start orders arrive in time. */
const USABLE_LIFE_SHARE = 0.8;
/** Delay before a call that failed, or that returned a ticket which was refused, is repeated. */
const RETRY_MS = 200;
/** Minimum time between two checks whether a step needs further tickets. */
const CHECK_INTERVAL_MS = 250;

/** Answers of the advice service for one step. */
interface Advice {
  /** Ids of the workers that the service was asked about. */
  asked: Set<string>;
  tickets: Map<string, string>;
  /** Monotonic time until which the tickets are used, in milliseconds. */
  usableUntil: number;
}

/** Dependencies of an {@link AdviceCache}. */
export interface AdviceCacheDeps {
  advice: AdviceClient;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  /** Requests a placement round. */
  place: () => void;
}

/** Caches tickets for steps that may run only on workers approved by the advice service. */
export class AdviceCache {
  readonly #deps: AdviceCacheDeps;
  readonly #adviceByStep = new WeakMap<Step, Advice>();
  readonly #pendingSteps = new WeakSet<Step>();
  readonly #nextChecks = new WeakMap<Step, number>();

  constructor(deps: AdviceCacheDeps) {
    this.#deps = deps;
  }

  /**
   * Whether a step may be placed now. Requests tickets if they are missing or have expired, and
   * further ones if none of the approved workers can be used.
   */
  isPlaceable(
    step: Step,
    queues: ReadonlyMap<string, QueueTerms>,
    workers: { all(): Iterable<Worker> },
  ): boolean {
    const policy = queues.get(step.job.spec.queue)?.advice;
    if (!policy) return true;
    const now = this.#deps.clock.now();
    const advice = this.#adviceByStep.get(step);
    const isUsable = this.hasTickets(step, queues);
    if (this.#pendingSteps.has(step) || (this.#nextChecks.get(step) ?? 0) > now) return isUsable;
    this.#nextChecks.set(step, now + CHECK_INTERVAL_MS);
    const usable = [...workers.all()].filter((worker) => worker.acceptsRuns(now));
    const candidates =
      isUsable && advice ? furtherCandidates(step, usable, advice) : firstCandidates(step, usable);
    if (candidates.length > 0) {
      this.#pendingSteps.add(step);
      const asked = candidates.slice(0, WORKERS_PER_CALL);
      void this.#requestAdvice(step, asked, policy.ticketLifeMs * USABLE_LIFE_SHARE);
    }
    return isUsable;
  }

  /** Whether a step needs no tickets, or has usable ones; requests none. */
  hasTickets(step: Step, queues: ReadonlyMap<string, QueueTerms>): boolean {
    if (!queues.get(step.job.spec.queue)?.advice) return true;
    const advice = this.#adviceByStep.get(step);
    return advice !== undefined && advice.usableUntil > this.#deps.clock.now();
  }

  /** Ticket for running a step on a worker; undefined if there is none. */
  ticketOf(step: Step, worker: Worker): string | undefined {
    return this.#adviceByStep.get(step)?.tickets.get(worker.record.id);
  }

  /** Discards a ticket that was refused. New ones for its step are requested after a pause. */
  discard(step: Step, workerId: string, ticket: string): void {
    const { clock, counters, place } = this.#deps;
    const advice = this.#adviceByStep.get(step);
    // Another order with the same ticket may have been refused before.
    if (advice?.tickets.get(workerId) !== ticket || this.#pendingSteps.has(step)) return;
    counters.count('advice_failures', 'ticket_refused');
    advice.usableUntil = 0;
    this.#pendingSteps.add(step);
    void clock.sleep(RETRY_MS).then(() => {
      this.#pendingSteps.delete(step);
      place();
    });
  }

  async #requestAdvice(step: Step, workers: readonly Worker[], usableMs: number): Promise<void> {
    const { advice, clock, log, counters, place } = this.#deps;
    const name = `${step.job.spec.id}.${step.occurrence.number}.${step.number}`;
    const sentAt = clock.now();
    const ids = workers.map(({ record }) => record.id);
    const res = await advice.advise(name, ids);
    if (res.isOk) {
      const { tickets } = res.value;
      this.#addTickets(step, ids, tickets, sentAt + usableMs);
      log.info('advice_received', { step: name, asked: ids.length, allowed: tickets.size });
    } else {
      counters.count('advice_failures', res.error.code);
      log.warn('advice_failed', { step: name, reason: res.error.code });
      await clock.sleep(RETRY_MS);
    }
    this.#pendingSteps.delete(step);
    place();
  }

  /** Adds tickets to those of the step that are still usable. */
  #addTickets(
    step: Step,
    asked: readonly string[],
    tickets: ReadonlyMap<string, string>,
    usableUntil: number,
  ): void {
    const now = this.#deps.clock.now();
    const known = this.#adviceByStep.get(step);
    const earlier = known && known.usableUntil > now ? known : undefined;
    const advice: Advice = {
      asked: new Set([...(earlier?.asked ?? []), ...asked]),
      tickets: new Map([...(earlier?.tickets ?? []), ...tickets]),
      usableUntil: Math.min(earlier?.usableUntil ?? Infinity, usableUntil),
    };
    this.#adviceByStep.set(step, advice);
    step.allowedWorkers = new Set(advice.tickets.keys());
    // The tasks of a gang may find enough workers in the placement round that follows.
    if (!step.spec.isGang) this.#nextChecks.delete(step);
  }
}

/** Workers to ask about first: those approved before, then those with free resources. */
function firstCandidates(step: Step, usable: readonly Worker[]): Worker[] {
  const rank = (worker: Worker) => {
    if (step.allowedWorkers?.has(worker.record.id) === true) return 0;
    return canHoldTask(step, worker) ? 1 : 2;
  };
  return usable
    .map((worker) => ({ worker, rank: rank(worker) }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ worker }) => worker);
}

/** Further workers to ask about, as long as the step cannot run on those approved. */
function furtherCandidates(step: Step, usable: readonly Worker[], advice: Advice): Worker[] {
  const free = usable.filter((worker) => canHoldTask(step, worker));
  const isApproved = ({ record }: Worker) => advice.tickets.has(record.id);
  if (!step.spec.isGang && free.some(isApproved)) return [];
  return free.filter(({ record }) => !advice.asked.has(record.id));
}
