import type { StepSpec } from './types.js';
import type { Worker } from './worker.js';

/**
 * Score for a worker with repeated failures, or on which the task failed last; outweighs any
 * difference in utilization.
 */
export const FAILURE_SCORE = -8;

/** Utilization of a worker: the reserved share of its CPU, from 0 to 1. */
export function usedShare({ record, cpuUsed }: Worker): number {
  const { cpuMillis } = record.capacity;
  return cpuMillis > 0 ? cpuUsed / cpuMillis : 1;
}

/**
 * Orders workers for tasks without a preference: the most utilized first (best fit), so that others
 * stay empty for large tasks and for planned work, and those with repeated failures last. Avoids a
 * scan of all workers for each task when thousands of tasks wait and hundreds of workers are empty.
 */
export class BestFitIndex {
  readonly #sorted: Worker[];
  /** Position in the constructor's order, which breaks ties. */
  readonly #originalPositions: ReadonlyMap<Worker, number>;
  readonly #scores: Map<Worker, number>;
  /** Workers before this position have no capacity for a task of the spec looked up last. */
  #firstCandidate = 0;
  #lastSpec: StepSpec | undefined;

  constructor(workers: readonly Worker[]) {
    this.#originalPositions = new Map(workers.map((worker, index) => [worker, index]));
    this.#scores = new Map(workers.map((worker) => [worker, scoreOf(worker)]));
    this.#sorted = [...workers].sort((a, b) => this.#compare(a, b));
  }

  #compare(a: Worker, b: Worker): number {
    const byScore = (this.#scores.get(b) ?? 0) - (this.#scores.get(a) ?? 0);
    return byScore || (this.#originalPositions.get(a) ?? 0) - (this.#originalPositions.get(b) ?? 0);
  }

  /** Best worker with capacity for a task of a step; undefined if there is none. */
  find(spec: StepSpec): Worker | undefined {
    if (this.#lastSpec !== spec) this.#firstCandidate = 0;
    this.#lastSpec = spec;
    for (; this.#firstCandidate < this.#sorted.length; this.#firstCandidate++) {
      const worker = this.#sorted[this.#firstCandidate];
      if (worker?.hasCapacityFor(spec, spec.fillsSpare)) return worker;
    }
    return undefined;
  }

  /** Updates the position of a worker that was assigned a task. */
  update(worker: Worker): void {
    let position = this.#sorted.indexOf(worker);
    if (position < 0) return;
    this.#scores.set(worker, scoreOf(worker));
    for (; position > 0; position--) {
      const before = this.#sorted[position - 1];
      if (!before || this.#compare(before, worker) < 0) break;
      this.#sorted[position] = before;
      this.#sorted[position - 1] = worker;
    }
    this.#firstCandidate = Math.min(this.#firstCandidate, position);
  }
}

function scoreOf(worker: Worker): number {
  return usedShare(worker) + (worker.consecutiveFailures > 1 ? FAILURE_SCORE : 0);
}
