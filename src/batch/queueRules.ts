import type { Job } from './job.js';
import type { BatchConfig, QueueTerms } from './types.js';

/** Dependencies of {@link QueueRules}. */
export interface QueueRulesDeps {
  config: () => BatchConfig | undefined;
  /** Open jobs of the service. */
  openJobs: () => Iterable<Job>;
}

/**
 * Terms of the queues by which open jobs are scheduled. A configuration may remove a queue whose jobs
 * are still open; its terms then stay those of the last configuration that had it, or those under which
 * its jobs were accepted.
 */
export class QueueRules {
  readonly #deps: QueueRulesDeps;
  #config: BatchConfig | undefined;
  #byName = new Map<string, QueueTerms>();

  constructor(deps: QueueRulesDeps) {
    this.#deps = deps;
  }

  /** Terms by the name of the queue. Those of a job that an earlier version accepted may be missing. */
  byName(): ReadonlyMap<string, QueueTerms> {
    const config = this.#deps.config();
    if (config !== this.#config) {
      this.#config = config;
      this.#byName = this.#collect(config);
    }
    return this.#byName;
  }

  /** Takes over the terms under which a job was accepted, if its queue is not known otherwise. */
  handleAdded({ spec: { queue, terms } }: Job): void {
    if (terms && !this.byName().has(queue)) this.#byName.set(queue, terms);
  }

  #collect(config: BatchConfig | undefined): Map<string, QueueTerms> {
    const collected = new Map<string, QueueTerms>();
    for (const { spec } of this.#deps.openJobs()) {
      const terms = this.#byName.get(spec.queue) ?? spec.terms;
      if (terms) collected.set(spec.queue, terms);
    }
    for (const queue of config?.queues ?? []) collected.set(queue.name, queue);
    return collected;
  }
}
