import type { Job } from '../batch/job.js';
import type { Worker } from '../batch/worker.js';
import type { Clock } from '../clock/index.js';
import { messageOf, toError } from '../errors/index.js';
import { OpinionLink, type OpinionLinkDeps } from './opinionLink.js';
import { poolNeeds } from './poolNeeds.js';
import type { JudgedWorker } from './types.js';
import { WorkerHealth } from './workerHealth.js';

/** Dependencies of a {@link Judgement}. */
export interface JudgementDeps extends Pick<OpinionLinkDeps, 'log' | 'read' | 'write'> {
  service: string;
  clock: Clock;
  counters: { count(name: string, reason: string): void };
  /** Whether workers are judged at all. */
  isEnabled: boolean;
  /** The open jobs of the service. */
  jobs: () => Iterable<Job>;
  /** The workers that can run tasks. */
  pool: () => readonly Worker[];
  judgedWorker: (worker: Worker) => JudgedWorker;
}

/** Judges the workers of one service regularly, and passes the opinion on to the next holder. */
export class Judgement {
  readonly health: WorkerHealth;
  readonly #deps: JudgementDeps;
  readonly #link: OpinionLink;

  constructor(deps: JudgementDeps) {
    const { service, clock, log, counters, read, write } = deps;
    this.#deps = deps;
    this.health = new WorkerHealth({ service, clock, log, counters });
    this.#link = new OpinionLink({
      service,
      clock,
      log,
      counters,
      health: this.health,
      read,
      write,
    });
  }

  /** Takes over the opinion of the earlier holder. */
  async load(signal: AbortSignal): Promise<void> {
    if (this.#deps.isEnabled) await this.#link.load(signal);
  }

  /** Judges the workers; must not end the process, because all starts depend on the tick. */
  update(): void {
    const { service, log, counters, isEnabled, jobs, pool, judgedWorker } = this.#deps;
    if (!isEnabled) return;
    try {
      this.health.judge(
        () => pool().map(judgedWorker),
        () => poolNeeds(jobs(), pool()),
      );
      this.#link.store();
    } catch (err) {
      counters.count('judgement_failures', toError(err).name);
      log.warn('judgement_failed', { service, error: messageOf(err) });
    }
  }

  /** Sets whether each worker gets new runs. */
  applyTo(workers: Iterable<Worker>): void {
    for (const worker of workers) worker.setStanding(this.health.standing(worker.record.id));
  }
}
