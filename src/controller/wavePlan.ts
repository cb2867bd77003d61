import { Result } from 'true-myth';
import {
  EntityKind,
  WaveState,
  type ConfigView,
  type Pool,
  type Vm,
  type Wave,
} from '../configuration/index.js';
import { BudgetError, BudgetRule, rackKey, servicesByPool, slotsOf } from './budget.js';

/** Options of {@link planWave}. */
export interface WavePlanOptions {
  /** Prefix of the wave ids. */
  id: string;
  /** VMs to maintain; all by default. */
  vms?: readonly string[];
  /** VMs of each pool held in reserve below its pool-wide limits. */
  reserve: number;
  /** Expected time from the permit of a stop until the VM is back in service, in milliseconds. */
  stopMs: number;
  /** Maximum number of VMs in one wave entity. */
  maxWaveVms: number;
}

/** Size of the plan of one pool. */
export interface PoolPlan {
  pool: string;
  vms: number;
  /** Minimum number of batches of any plan under the rules of the pool and its services. */
  lowerBound: number;
  /** Number of batches of this plan. */
  batches: number;
}

/** A maintenance plan. */
export interface WavePlan {
  waves: Wave[];
  vms: number;
  lowerBound: number;
  batches: number;
  /** Expected duration of the maintenance, in milliseconds. */
  expectedMs: number;
  pools: PoolPlan[];
}

/**
 * Plans the maintenance of VMs in batches that each satisfy every budget. The number of batches is
 * the lower bound, unless VMs of one pool differ in slots. Whether a VM is away now is ignored,
 * since the permits account for it.
 *
 * @returns the plan, or the rule that never allows a stop of any VM of a pool
 */
export function planWave(
  view: ConfigView,
  options: WavePlanOptions,
): Result<WavePlan, BudgetError> {
  const pools: PoolPlan[] = [];
  const mergedBatches: string[][] = [];
  for (const [pool, vms] of vmsByPool(view, options.vms)) {
    const planned = planPool(view, pool, vms, options.reserve);
    if (planned.isErr) return Result.err(planned.error);
    const { batches, lowerBound } = planned.value;
    pools.push({ pool: pool.id, vms: vms.length, lowerBound, batches: batches.length });
    batches.forEach((batch, i) => (mergedBatches[i] ??= []).push(...batch.map(({ id }) => id)));
  }
  return Result.ok({
    waves: toWaves(mergedBatches, options),
    vms: pools.reduce((sum, { vms }) => sum + vms, 0),
    lowerBound: Math.max(0, ...pools.map(({ lowerBound }) => lowerBound)),
    batches: mergedBatches.length,
    expectedMs: mergedBatches.length * options.stopMs,
    pools,
  });
}

function vmsByPool(view: ConfigView, ids: readonly string[] | undefined): Map<Pool, Vm[]> {
  const wanted = ids && new Set(ids);
  const pools = new Map<Pool, Vm[]>();
  for (const pool of view.list(EntityKind.Pool)) {
    const vms = view.vmsOfPool(pool.id).filter(({ id }) => wanted?.has(id) ?? true);
    if (vms.length > 0) pools.set(pool, vms);
  }
  return pools;
}

/** Maximum numbers of VMs and slots of a pool that may be away at the same time. */
interface PoolLimits {
  vms: number;
  vmsRule: BudgetRule;
  slots: number;
  perRack: number;
  perZone: number;
}

function limitsOf(view: ConfigView, pool: Pool, reserve: number): PoolLimits {
  const all = view.vmsOfPool(pool.id);
  const slots = all.reduce((sum, vm) => sum + slotsOf(vm), 0);
  const largest = Math.max(0, ...all.map(slotsOf));
  const services = servicesByPool(view).get(pool.id) ?? [];
  const neededSlots = Math.max(0, ...services.map(({ minAvailableSlots }) => minAvailableSlots));
  const surplus = all.length - pool.minAvailable;
  return {
    vms: Math.min(pool.maxAway, surplus) - reserve,
    vmsRule: surplus < pool.maxAway ? BudgetRule.MinAvailable : BudgetRule.MaxAway,
    slots: slots - neededSlots - reserve * largest,
    perRack: pool.maxAwayPerRack,
    perZone: pool.maxAwayPerZone,
  };
}

function planPool(
  view: ConfigView,
  pool: Pool,
  vms: readonly Vm[],
  reserve: number,
): Result<{ batches: Vm[][]; lowerBound: number }, BudgetError> {
  const limits = limitsOf(view, pool, reserve);
  const infeasible = findInfeasibleRule(pool, vms, limits);
  if (infeasible) return Result.err(infeasible);
  const lowerBound = lowerBoundOf(vms, limits);
  const ordered = [...vms].sort((a, b) => compare(rackKey(a), rackKey(b)) || compare(a.id, b.id));
  // Distributing the VMs in order of zone and rack spreads each rack, each zone and the pool evenly
  // over the batches, which meets the lower bound unless the VMs of the pool differ in slots.
  for (let batchCount = lowerBound; ; batchCount += 1) {
    const batches = distribute(ordered, batchCount);
    if (batches.every((batch) => slotsIn(batch) <= limits.slots)) {
      return Result.ok({ batches, lowerBound });
    }
  }
}

function compare(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** The rule that never allows a stop of any VM of the pool; undefined when there is none. */
function findInfeasibleRule(
  pool: Pool,
  vms: readonly Vm[],
  limits: PoolLimits,
): BudgetError | undefined {
  const largest = Math.max(...vms.map(slotsOf));
  if (limits.vms < 1) return new BudgetError(limits.vmsRule, pool.id, 1, limits.vms);
  if (limits.perRack < 1) return new BudgetError(BudgetRule.MaxAwayPerRack, pool.id, 1, 0);
  if (limits.perZone < 1) return new BudgetError(BudgetRule.MaxAwayPerZone, pool.id, 1, 0);
  if (limits.slots < largest) {
    return new BudgetError(BudgetRule.MinAvailableSlots, pool.id, largest, limits.slots);
  }
  return undefined;
}

function lowerBoundOf(vms: readonly Vm[], limits: PoolLimits): number {
  return Math.max(
    Math.ceil(vms.length / Math.min(limits.vms, maxVmsBySlots(vms, limits.slots))),
    Math.ceil(largestGroup(vms, rackKey) / limits.perRack),
    Math.ceil(largestGroup(vms, ({ zone }) => zone) / limits.perZone),
    limits.slots > 0 ? Math.ceil(slotsIn(vms) / limits.slots) : 0,
  );
}

/** Maximum number of VMs that together have at most `slots` slots; at least 1. */
function maxVmsBySlots(vms: readonly Vm[], slots: number): number {
  const smallestFirst = vms.map(slotsOf).sort((a, b) => a - b);
  let sum = 0;
  const fitting = smallestFirst.findIndex((size) => (sum += size) > slots);
  return fitting < 0 ? vms.length : Math.max(1, fitting);
}

function largestGroup(vms: readonly Vm[], keyOf: (vm: Vm) => string): number {
  const sizes = new Map<string, number>();
  for (const vm of vms) sizes.set(keyOf(vm), (sizes.get(keyOf(vm)) ?? 0) + 1);
  return Math.max(...sizes.values());
}

function slotsIn(vms: readonly Vm[]): number {
  return vms.reduce((sum, vm) => sum + slotsOf(vm), 0);
}

/** Distributes VMs over batches round-robin. */
function distribute(vms: readonly Vm[], batchCount: number): Vm[][] {
  const distributed: Vm[][] = Array.from({ length: Math.min(batchCount, vms.length) }, () => []);
  vms.forEach((vm, i) => distributed[i % batchCount]?.push(vm));
  return distributed;
}

/** Groups batches into wave entities of bounded size, in order; a batch may be split. */
function toWaves(batches: readonly string[][], options: WavePlanOptions): Wave[] {
  const waves: Wave[] = [];
  let currentBatches: string[][] = [];
  let size = 0;

  const closeWave = () => {
    const number = String(waves.length + 1).padStart(5, '0');
    waves.push({
      id: `${options.id}-${number}`,
      state: WaveState.Planned,
      batches: currentBatches,
      done: [],
    });
    currentBatches = [];
    size = 0;
  };

  for (const batch of batches) {
    let remaining = batch;
    while (remaining.length > 0) {
      const chunk = remaining.slice(0, options.maxWaveVms - size);
      remaining = remaining.slice(chunk.length);
      currentBatches.push(chunk);
      size += chunk.length;
      if (size === options.maxWaveVms) closeWave();
    }
  }
  if (size > 0) closeWave();
  return waves;
}
