import type { StepSpec } from './types.js';
import type { Worker } from './worker.js';

/** Score against a worker that fails what it starts, above any difference in free room. */
export const FAILURE_SCORE = -8;

/** Share of a worker's processor that is reserved, from 0 to 1. */
export function usedShare({ record, cpuUsed }: Worker): number {
  const { cpuMillis } = record.capacity;
  return cpuMillis > 0 ? cpuUsed / cpuMillis : 1;
}

/**
 * Workers in the order in which tasks go to them to which any worker is as good: the fullest
 * first, so that others stay empty for large tasks and for planned work, and failing ones last.
 * Pattern: thousands of waiting tasks on hundreds of empty workers, of which each task would look
 * at all.
 */
export class BestFitIndex {
  readonly #sorted: Worker[];
  /** Position in the given order, which decides between equals. */
  readonly #originalPositions: ReadonlyMap<Worker, number>;
  readonly #scores: Map<Worker, number>;
  /** Workers before this position have no room for a task of the latest step. */
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

  /** First worker with room for a task of a step; undefined when there is none. */
  find(spec: StepSpec): Worker | undefined {
    if (this.#lastSpec !== spec) this.#firstCandidate = 0;
    this.#lastSpec = spec;
    for (; this.#firstCandidate < this.#sorted.length; this.#firstCandidate++) {
      const worker = this.#sorted[this.#firstCandidate];
      if (worker?.hasCapacityFor(spec, spec.fillsSpare)) return worker;
    }
    return undefined;
  }

  /** Puts a worker that got a task in its new place. */
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
