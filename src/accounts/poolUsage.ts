import type { Counters } from '../batch/counters.js';
import type { Task } from '../batch/job.js';
import type { Resources } from '../batch/types.js';
import type { Worker } from '../batch/worker.js';
import type { AccountControl } from './accountControl.js';
import { AccountUsage } from './accountUsage.js';

/**
 * Share of its CPU or memory that a pool has in use at least while tasks wait for capacity. Tasks
 * that fit on no worker wait in an empty pool, too.
 */
const SATURATED_SHARE = 0.5;

/** Dependencies of {@link PoolUsage}. */
export interface PoolUsageDeps {
  control: AccountControl;
  counters: Counters;
}

/** Capacity of the pool of one service, and what each account holds of it in a placement round. */
export class PoolUsage {
  readonly #deps: PoolUsageDeps;
  #pool: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  #usage: AccountUsage | undefined;

  constructor(deps: PoolUsageDeps) {
    this.#deps = deps;
  }

  /** Capacity of the pool when it was last measured. */
  get pool(): Resources {
    return this.#pool;
  }

  /** Measures capacity and usage for a round; undefined if the configuration has no accounts. */
  measure(workers: readonly Worker[]): AccountUsage | undefined {
    this.#usage = this.preview(workers);
    if (this.#usage) this.#pool = this.#usage.pool;
    return this.#usage;
  }

  /** Measures as {@link measure} does, but keeps nothing. */
  preview(workers: readonly Worker[]): AccountUsage | undefined {
    const { control } = this.#deps;
    if (!control.isActive) return undefined;
    const usage = new AccountUsage(capacityOf(workers), (account) => control.weightOf(account));
    for (const { runs } of workers) for (const { task } of runs.values()) addToUsage(usage, task);
    return usage;
  }

  /** Adds a started task to what its account holds. */
  add(task: Task): void {
    if (this.#usage) addToUsage(this.#usage, task);
  }

  /**
   * Records after a round whether the pool is in use while tasks wait.
   *
   * @param unplacedCount - number of tasks for which the round found no worker
   * @param now - start of the round, in milliseconds
   */
  updateSaturation(workers: readonly Worker[], unplacedCount: number, now: number): void {
    const { control } = this.#deps;
    if (!control.isActive) return;
    control.updateSaturation(unplacedCount > 0 && isInUse(workers, this.#pool), now);
  }

  /** Counts the share of each account over an interval in milliseconds. */
  countShares(intervalMs: number): void {
    for (const [account, share] of this.#usage?.shares() ?? [])
      this.#deps.counters.count('account_share_ms', account, share * intervalMs);
  }
}

/** Adds a task to what its account holds. */
export function addToUsage(usage: AccountUsage, { step }: Task): void {
  const { account } = step.job.spec;
  if (account !== undefined) usage.add(account, step.spec, !step.spec.fillsSpare);
}

/** Capacity of the workers that are admitted and not gone. */
function capacityOf(workers: readonly Worker[]): Resources {
  const pool = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  for (const { record, isAdmitted, isGone } of workers) {
    if (!isAdmitted || isGone) continue;
    pool.cpuMillis += record.capacity.cpuMillis;
    pool.memoryMb += record.capacity.memoryMb;
    pool.accelerators += record.capacity.accelerators;
  }
  return pool;
}

/** Whether much of the pool's CPU or memory is in use. */
function isInUse(workers: readonly Worker[], pool: Resources): boolean {
  let cpuMillis = 0;
  let memoryMb = 0;
  for (const worker of workers) {
    cpuMillis += worker.cpuUsed;
    memoryMb += worker.memoryUsed;
  }
  return (
    cpuMillis >= pool.cpuMillis * SATURATED_SHARE || memoryMb >= pool.memoryMb * SATURATED_SHARE
  );
}

/** Free resources of the workers that accept runs. */
export function freeResources(workers: readonly Worker[], now: number): Resources {
  const free = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  for (const worker of workers) {
    if (!worker.acceptsRuns(now)) continue;
    const { capacity } = worker.record;
    free.cpuMillis += Math.max(0, capacity.cpuMillis - worker.cpuUsed);
    free.memoryMb += Math.max(0, capacity.memoryMb - worker.memoryUsed);
    free.accelerators += Math.max(0, capacity.accelerators - worker.acceleratorsUsed);
  }
  return free;
}
