import { EntityKind, type ConfigView } from '../configuration/index.js';
import { slotsOf } from '../controller/index.js';
import { keepValue, returnThreshold } from './costs.js';
import type { CapacitySettings } from './defaults.js';
import type { PoolLoad } from './types.js';

/** Averages of one pool, in slots. */
interface PoolAverages {
  /** Work that waits and that one more VM would serve. */
  gain: number;
  /** Work that the last VM of the pool serves. */
  use: number;
  at: number;
}

interface SeenVm {
  pool: string | undefined;
  /** Last time at which the VM moved or was to move. */
  movedAt: number;
  /** Time since when a lent VM has been unneeded. */
  unneededSince: number | undefined;
}

/**
 * What the policy remembers between rounds: averages of the load by pool, and when each VM of the
 * spare pools moved. It starts empty with each term of the lease; a VM that is first seen away from
 * home counts as just moved, so that a change of the lease holder sends nothing back early.
 */
export class DemandHistory {
  readonly #averages = new Map<string, PoolAverages>();
  readonly #vms = new Map<string, SeenVm>();

  /** Takes over one observation. Linear in the VMs of the spare pools and the lent ones. */
  observe(
    now: number,
    view: ConfigView,
    loads: ReadonlyMap<string, PoolLoad>,
    settings: CapacitySettings,
  ): void {
    const pools = new Set(view.list(EntityKind.Pool).map(({ id }) => id));
    for (const id of this.#averages.keys()) if (!pools.has(id)) this.#averages.delete(id);
    for (const load of loads.values()) this.#average(now, view, load, settings.smoothingMs);
    this.#followMoves(now, view);
    this.#followNeed(now, view, settings);
  }

  /** Average work that one more VM of the pool would serve, in slots; 0 without observations. */
  marginalGain(pool: string): number {
    return this.#averages.get(pool)?.gain ?? 0;
  }

  /** Average work that the last VM of the pool serves, in slots. */
  marginalUse(pool: string): number {
    return this.#averages.get(pool)?.use ?? 0;
  }

  /** Whether the VM moved, or was to move, less than the given time ago. */
  movedWithin(vm: string, now: number, periodMs: number): boolean {
    const seen = this.#vms.get(vm);
    return seen !== undefined && now - seen.movedAt < periodMs;
  }

  /** For how long a lent VM has been unneeded, in milliseconds; 0 when it is needed. */
  unneededForMs(vm: string, now: number): number {
    const since = this.#vms.get(vm)?.unneededSince;
    return since === undefined ? 0 : now - since;
  }

  #average(now: number, view: ConfigView, load: PoolLoad, smoothingMs: number): void {
    const vms = view.vmsOfPool(load.pool);
    const vmSlots = Math.max(0, ...vms.map(slotsOf));
    const gain = Math.min(vmSlots, load.queued);
    const use = Math.min(vmSlots, Math.max(0, vmSlots - load.freeSlots) + load.queued);
    const known = this.#averages.get(load.pool);
    // Starting from nothing keeps one peak at the start from counting as a lasting load.
    const before = known ?? { gain: 0, use: vmSlots, at: now };
    const share = 1 - Math.exp(-(now - before.at) / smoothingMs);
    this.#averages.set(load.pool, {
      gain: before.gain + (gain - before.gain) * share,
      use: before.use + (use - before.use) * share,
      at: now,
    });
  }

  #followMoves(now: number, view: ConfigView): void {
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
      const seen = this.#vms.get(id) ?? {
        pool: home,
        movedAt: -Infinity,
        unneededSince: undefined,
      };
      if (seen.pool !== pool || view.get(EntityKind.Move, id)) seen.movedAt = now;
      if (seen.pool !== pool) seen.unneededSince = undefined;
      seen.pool = pool;
      this.#vms.set(id, seen);
    }
  }

  #followNeed(now: number, view: ConfigView, settings: CapacitySettings): void {
    for (const [id, seen] of this.#vms) {
      const vm = view.get(EntityKind.Vm, id);
      const isLent = vm !== undefined && seen.pool !== undefined && seen.pool !== vm.pool;
      const isNeeded =
        !isLent ||
        keepValue(this, seen.pool ?? '', vm.pool) >= returnThreshold(slotsOf(vm), settings);
      seen.unneededSince = isNeeded ? undefined : (seen.unneededSince ?? now);
    }
  }
}
