import { Result } from 'true-myth';
import {
  EntityKind,
  MoveState,
  VmState,
  type ConfigView,
  type Pool,
  type Service,
  type Vm,
} from '../configuration/index.js';
import { BaseError } from '../errors/index.js';

/**
 * Why a VM counts as away, that is, as unavailable to its pool. A VM with several reasons is
 * counted once, under the first of them in this order.
 */
export enum AwayReason {
  Failed = 'failed',
  Leaving = 'leaving',
  Unreachable = 'unreachable',
  Stop = 'stop',
  Move = 'move',
  /** The controller of the VM's zone has not renewed its lease for too long. */
  SilentZone = 'silent_zone',
}

/** Rules that a permit must satisfy. */
export enum BudgetRule {
  /** The VM or its pool is not in the inventory. */
  Unknown = 'unknown',
  /** The VM is already away. */
  AlreadyAway = 'already_away',
  MinAvailable = 'min_available',
  MaxAway = 'max_away',
  MaxAwayPerRack = 'max_away_per_rack',
  MaxAwayPerZone = 'max_away_per_zone',
  /** Minimum number of available slots of a service. */
  MinAvailableSlots = 'min_available_slots',
}

/** A permit was refused, or a budget is violated. */
export class BudgetError extends BaseError<BudgetRule> {
  /** Pool, rack, zone, service or VM that the rule applies to. */
  readonly scope: string;
  /** Current count, or the count that the permit would lead to, in VMs or slots. */
  readonly found: number;
  /** Limit of the rule, in VMs or slots. */
  readonly allowed: number;

  constructor(rule: BudgetRule, scope: string, found: number, allowed: number) {
    super(rule, `${rule} of ${scope}: found ${found}, limit ${allowed}`);
    this.scope = scope;
    this.found = found;
    this.allowed = allowed;
  }
}

/** Inputs of a {@link Budget} besides the configuration. */
export interface BudgetOptions {
  /** Zones whose controller has not renewed its lease for too long. */
  silentZones: ReadonlySet<string>;
  /** VMs of each pool held in reserve below its pool-wide limits; 0 by default. */
  reserve?: number;
}

/** VM and slot counts of one pool at one version. */
export interface PoolCount {
  total: number;
  away: number;
  slots: number;
  slotsAway: number;
  byReason: Map<AwayReason, number>;
  /** VMs away by {@link rackKey}. */
  byRack: Map<string, number>;
  byZone: Map<string, number>;
}

/** Key of a VM's rack. It includes the zone, since rack names are unique only within one. */
export function rackKey(vm: Vm): string {
  return `${vm.zone}/${vm.rack}`;
}

/** Slots of the VM's backend server; 0 when it runs none. */
export function slotsOf(vm: Vm): number {
  return vm.executor?.slots ?? 0;
}

/** Why a VM is away at the view's version; undefined when it is available. */
export function awayReason(
  view: ConfigView,
  vm: Vm,
  silentZones: ReadonlySet<string>,
): AwayReason | undefined {
  const state = view.get(EntityKind.VmStatus, vm.id)?.state;
  if (state === VmState.Failed) return AwayReason.Failed;
  if (state === VmState.Leaving) return AwayReason.Leaving;
  if (state === VmState.Unreachable) return AwayReason.Unreachable;
  if (view.get(EntityKind.Stop, vm.id)) return AwayReason.Stop;
  const move = view.get(EntityKind.Move, vm.id);
  // A requested move has no permit yet, and its VM is still in service.
  if (move && move.state !== MoveState.Requested) return AwayReason.Move;
  if (silentZones.has(vm.zone)) return AwayReason.SilentZone;
  return undefined;
}

/** Counts the VMs and slots of one pool. Linear in the number of its VMs. */
export function countPool(
  view: ConfigView,
  pool: string,
  silentZones: ReadonlySet<string>,
): PoolCount {
  const count: PoolCount = {
    total: 0,
    away: 0,
    slots: 0,
    slotsAway: 0,
    byReason: new Map(),
    byRack: new Map(),
    byZone: new Map(),
  };
  for (const vm of view.vmsOfPool(pool)) {
    count.total += 1;
    count.slots += slotsOf(vm);
    const reason = awayReason(view, vm, silentZones);
    if (reason) addAway(count, vm, reason);
  }
  return count;
}

function addAway(count: PoolCount, vm: Vm, reason: AwayReason): void {
  count.away += 1;
  count.slotsAway += slotsOf(vm);
  increment(count.byReason, reason);
  increment(count.byRack, rackKey(vm));
  increment(count.byZone, vm.zone);
}

function increment<K>(counts: Map<K, number>, key: K): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** Groups the services by the id of their pool. */
export function servicesByPool(view: ConfigView): Map<string, Service[]> {
  const services = new Map<string, Service[]>();
  for (const service of view.list(EntityKind.Service)) {
    const list = services.get(service.pool);
    if (list) list.push(service);
    else services.set(service.pool, [service]);
  }
  return services;
}

/** Read access to the budgets at one version. */
export type ReadonlyBudget = Pick<Budget, 'count' | 'firstViolation' | 'slack'>;

/**
 * Creates a cache of budgets that counts each pool of the live view once per version and set of
 * silent zones. Other views, such as one with uncommitted changes, are counted on every call.
 */
export function createBudgetCache(
  liveView: ConfigView,
  silentZones: () => ReadonlySet<string>,
): (view: ConfigView) => ReadonlyBudget {
  let cached: { version: number; silent: ReadonlySet<string>; budget: Budget } | undefined;
  return (view) => {
    const silent = silentZones();
    if (view !== liveView) return new Budget(view, { silentZones: silent });
    if (cached?.version !== view.version || cached.silent !== silent) {
      const budget = new Budget(view, { silentZones: silent });
      cached = { version: view.version, silent, budget };
    }
    return cached.budget;
  };
}

/**
 * The budgets at one version, including the permits that one decision grants. Must be used within
 * one synchronous step, since the view advances.
 */
export class Budget {
  readonly #view: ConfigView;
  readonly #silentZones: ReadonlySet<string>;
  readonly #reserve: number;
  readonly #counts = new Map<string, PoolCount>();
  readonly #granted = new Set<string>();
  /** Violation of each pool before any permit of this decision; undefined for none. */
  readonly #initialViolations = new Map<string, BudgetError | undefined>();
  #services: Map<string, Service[]> | undefined;

  constructor(view: ConfigView, options: BudgetOptions) {
    this.#view = view;
    this.#silentZones = options.silentZones;
    this.#reserve = options.reserve ?? 0;
  }

  /** Counts of a pool, including the permits of this decision. */
  count(pool: string): PoolCount {
    let count = this.#counts.get(pool);
    if (!count) {
      count = countPool(this.#view, pool, this.#silentZones);
      this.#counts.set(pool, count);
    }
    return count;
  }

  /** Checks whether a VM may be taken out of service, without granting a permit. */
  check(id: string): Result<Vm, BudgetError> {
    const vm = this.#view.get(EntityKind.Vm, id);
    const pool = this.#poolOf(id);
    if (!vm || !pool) return Result.err(new BudgetError(BudgetRule.Unknown, id, 0, 1));
    if (this.#granted.has(id) || awayReason(this.#view, vm, this.#silentZones)) {
      return Result.err(new BudgetError(BudgetRule.AlreadyAway, id, 1, 0));
    }
    const violation = this.#violationIfAway(pool, vm);
    return violation ? Result.err(violation) : Result.ok(vm);
  }

  /** Grants a permit if the VM may be taken out of service; the VM then counts as away. */
  grant(id: string, reason: AwayReason.Stop | AwayReason.Move): Result<Vm, BudgetError> {
    const checked = this.check(id);
    if (checked.isErr) return checked;
    const pool = this.#view.poolOf(id);
    if (pool !== undefined) addAway(this.count(pool), checked.value, reason);
    this.#granted.add(id);
    return checked;
  }

  /** The first rule that a pool violates now; undefined when it satisfies all. */
  firstViolation(id: string): BudgetError | undefined {
    const pool = this.#view.get(EntityKind.Pool, id);
    return pool && this.#findViolation(pool, this.count(id), 0);
  }

  /**
   * Number of VMs of a pool that may still be taken out of service under the rules for the whole
   * pool and its services, less the reserve. Limits per rack and zone are not considered.
   */
  slack(id: string): number {
    const pool = this.#view.get(EntityKind.Pool, id);
    if (!pool) return 0;
    const count = this.count(id);
    const byCount = Math.min(
      pool.maxAway - count.away,
      count.total - count.away - pool.minAvailable,
    );
    // A pool without backend servers has no slots, so they do not limit it.
    if (count.slots === 0) return Math.max(0, byCount - this.#reserve);
    const slotsPerVm = count.slots / count.total;
    const bySlots = this.#servicesOf(id).map((service) =>
      Math.floor((count.slots - count.slotsAway - service.minAvailableSlots) / slotsPerVm),
    );
    return Math.max(0, Math.min(byCount, ...bySlots) - this.#reserve);
  }

  #poolOf(id: string): Pool | undefined {
    const pool = this.#view.poolOf(id);
    return pool === undefined ? undefined : this.#view.get(EntityKind.Pool, pool);
  }

  #servicesOf(pool: string): Service[] {
    this.#services ??= servicesByPool(this.#view);
    return this.#services.get(pool) ?? [];
  }

  /**
   * The first rule that is violated when the VM is away too. While a pool violates any rule, none
   * of its VMs may be taken out of service, not even in another rack.
   */
  #violationIfAway(pool: Pool, vm: Vm): BudgetError | undefined {
    const count = this.count(pool.id);
    if (!this.#initialViolations.has(pool.id)) {
      this.#initialViolations.set(pool.id, this.#findViolation(pool, count, 0));
    }
    const initial = this.#initialViolations.get(pool.id);
    if (initial) return initial;
    const poolViolation = this.#findPoolViolation(pool, count, 1 + this.#reserve, slotsOf(vm));
    if (poolViolation) return poolViolation;
    const rack = rackKey(vm);
    const inRack = (count.byRack.get(rack) ?? 0) + 1;
    if (inRack > pool.maxAwayPerRack) {
      return new BudgetError(BudgetRule.MaxAwayPerRack, rack, inRack, pool.maxAwayPerRack);
    }
    const inZone = (count.byZone.get(vm.zone) ?? 0) + 1;
    if (inZone > pool.maxAwayPerZone) {
      return new BudgetError(BudgetRule.MaxAwayPerZone, vm.zone, inZone, pool.maxAwayPerZone);
    }
    return undefined;
  }

  #findViolation(pool: Pool, count: PoolCount, extraVms: number): BudgetError | undefined {
    const poolViolation = this.#findPoolViolation(pool, count, extraVms, 0);
    if (poolViolation) return poolViolation;
    for (const [rack, away] of count.byRack) {
      if (away > pool.maxAwayPerRack) {
        return new BudgetError(BudgetRule.MaxAwayPerRack, rack, away, pool.maxAwayPerRack);
      }
    }
    for (const [zone, away] of count.byZone) {
      if (away > pool.maxAwayPerZone) {
        return new BudgetError(BudgetRule.MaxAwayPerZone, zone, away, pool.maxAwayPerZone);
      }
    }
    return undefined;
  }

  #findPoolViolation(
    pool: Pool,
    count: PoolCount,
    extraVms: number,
    extraSlots: number,
  ): BudgetError | undefined {
    const away = count.away + extraVms;
    if (away > pool.maxAway) {
      return new BudgetError(BudgetRule.MaxAway, pool.id, away, pool.maxAway);
    }
    const available = count.total - away;
    if (available < pool.minAvailable) {
      return new BudgetError(BudgetRule.MinAvailable, pool.id, available, pool.minAvailable);
    }
    // Each reserved VM is assumed to have as many slots as the one that is taken out of service.
    const slots = count.slots - count.slotsAway - extraSlots * Math.max(1, extraVms);
    for (const service of this.#servicesOf(pool.id)) {
      if (slots >= service.minAvailableSlots) continue;
      return new BudgetError(
        BudgetRule.MinAvailableSlots,
        service.id,
        slots,
        service.minAvailableSlots,
      );
    }
    return undefined;
  }
}
