import { EntityKind, type ConfigView } from '../configuration/index.js';
import { slotsOf } from '../controller/index.js';
import { loanBenefit, returnThreshold } from './costs.js';
import type { CapacitySettings } from './defaults.js';
import type { PoolLoad } from './types.js';

/** Smoothed load of one pool, in slots. */
interface PoolAverages {
  /** Waiting work that one more VM would serve. */
  gain: number;
  /** Work served by the last VM of the pool, that is, the first one to be given up. */
  use: number;
  updatedAt: number;
}

interface TrackedVm {
  pool: string | undefined;
  /** Last time at which the VM moved or had a pending move. */
  movedAt: number;
  /** Time since which a lent VM has been unneeded; undefined while it is needed. */
  unneededSince: number | undefined;
}

/**
 * State that the policy keeps between rounds: smoothed load by pool, and the last move of each VM
 * of the spare pools. It starts empty with each term of the lease. A VM that is first seen outside
 * its home pool counts as just moved, so that a change of the lease holder returns no VM early.
 */
export class DemandHistory {
  readonly #averages = new Map<string, PoolAverages>();
  readonly #vms = new Map<string, TrackedVm>();

  /** Adds one observation. Linear in the number of pools and of their VMs. */
  observe(
    now: number,
    view: ConfigView,
    loads: ReadonlyMap<string, PoolLoad>,
    settings: CapacitySettings,
  ): void {
    const pools = new Set(view.list(EntityKind.Pool).map(({ id }) => id));
    for (const id of this.#averages.keys()) if (!pools.has(id)) this.#averages.delete(id);
    for (const load of loads.values()) this.#updateAverages(now, view, load, settings.smoothingMs);
    this.#trackMoves(now, view);
    this.#trackNeed(now, view, settings);
  }

  /** Average waiting work that one more VM would serve, in slots; 0 without observations. */
  marginalGain(pool: string): number {
    return this.#averages.get(pool)?.gain ?? 0;
  }

  /** Average work that the last VM of the pool serves, in slots; 0 without observations. */
  marginalUse(pool: string): number {
    return this.#averages.get(pool)?.use ?? 0;
  }

  /** Whether the VM moved, or had a pending move, less than `periodMs` ago. */
  movedWithin(vm: string, now: number, periodMs: number): boolean {
    const tracked = this.#vms.get(vm);
    return tracked !== undefined && now - tracked.movedAt < periodMs;
  }

  /** Time for which a lent VM has been unneeded, in milliseconds; 0 while it is needed. */
  unneededForMs(vm: string, now: number): number {
    const since = this.#vms.get(vm)?.unneededSince;
    return since === undefined ? 0 : now - since;
  }

  #updateAverages(now: number, view: ConfigView, load: PoolLoad, smoothingMs: number): void {
    const vms = view.vmsOfPool(load.pool);
    const vmSlots = Math.max(0, ...vms.map(slotsOf));
    const gain = Math.min(vmSlots, load.queued);
    const use = Math.min(vmSlots, Math.max(0, vmSlots - load.freeSlots) + load.queued);
    const previous = this.#averages.get(load.pool);
    // Averages start at no gain and full use, so that a peak in the first observation does not
    // count as sustained load.
    const before = previous ?? { gain: 0, use: vmSlots, updatedAt: now };
    const share = 1 - Math.exp(-(now - before.updatedAt) / smoothingMs);
    this.#averages.set(load.pool, {
      gain: before.gain + (gain - before.gain) * share,
      use: before.use + (use - before.use) * share,
      updatedAt: now,
    });
  }

  #trackMoves(now: number, view: ConfigView): void {
    const spare = view.list(EntityKind.Pool).filter(({ isSpare }) => isSpare);
    const isSpare = new Set(spare.map(({ id }) => id));
    const lent = view.list(EntityKind.Assignment).map(({ id }) => id);
    const current = new Set([
      ...spare.flatMap(({ id }) => view.vmsOfPool(id).map((vm) => vm.id)),
      ...lent,
    ]);
    for (const id of this.#vms.keys()) if (!current.has(id)) this.#vms.delete(id);
    for (const id of current) {
      const pool = view.poolOf(id);
      const home = view.get(EntityKind.Vm, id)?.pool;
      if (home === undefined || !isSpare.has(home)) continue;
      const tracked = this.#vms.get(id) ?? {
        pool: home,
        movedAt: -Infinity,
        unneededSince: undefined,
      };
      if (tracked.pool !== pool || view.get(EntityKind.Move, id)) tracked.movedAt = now;
      if (tracked.pool !== pool) tracked.unneededSince = undefined;
      tracked.pool = pool;
      this.#vms.set(id, tracked);
    }
  }

  #trackNeed(now: number, view: ConfigView, settings: CapacitySettings): void {
    for (const [id, tracked] of this.#vms) {
      const vm = view.get(EntityKind.Vm, id);
      const isLent = vm !== undefined && tracked.pool !== undefined && tracked.pool !== vm.pool;
      const isNeeded =
        !isLent ||
        loanBenefit(this, tracked.pool ?? '', vm.pool) >= returnThreshold(slotsOf(vm), settings);
      tracked.unneededSince = isNeeded ? undefined : (tracked.unneededSince ?? now);
    }
  }
}
