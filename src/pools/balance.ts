import { VmState, type ListedVm } from '../batch/ports.js';
import type { ServiceLoad } from '../batch/serviceLoad.js';
import { clamp } from '../validation/index.js';

/** Factor on the required CPU, so that the next tasks find free capacity. */
const HEADROOM_FACTOR = 1.15;
/** Minimum number of workers of a service, so that the first jobs of a phase start at once. */
const MIN_WORKERS = 2;
/**
 * A VM must have been empty for this long before it moves to standby. Longer than the gaps between
 * jobs within a demand phase, and short compared with the ten seconds or more between two phases.
 */
const MIN_EMPTY_MS = 1_200;

/** Ratio to the median CPU of a pool's VMs from which on the CPU of a VM is not taken as it is. */
const MAX_CPU_RATIO = 2;

/** Input for one service. */
export interface BalancedService {
  name: string;
  isStandby: boolean;
  /** Missing if the holder did not respond; such a service neither gives nor receives VMs. */
  load?: ServiceLoad;
  /** Number of VMs that are being moved to it. */
  arriving: number;
}

/** Input for one VM. */
export interface BalancedVm extends ListedVm {
  /** How long it has had no runs, in milliseconds; undefined if it has runs or this is unknown. */
  emptyForMs?: number;
  /** Number of its runs if they can be moved to other workers of the pool; otherwise undefined. */
  movableRuns?: number;
}

/** A move of a VM between pools that is to be carried out. */
export interface PlannedMove {
  vm: string;
  from: string;
  to: string;
  worker?: string;
  /** Whether its worker has runs that must end or be moved first. */
  hasRuns: boolean;
}

/** Number of workers that a service needs for its running, waiting and expected tasks. */
export function wantedWorkers(load: ServiceLoad, cpuPerWorker: number): number {
  const present = load.usedCpu + load.backlogCpu;
  const expected = load.expectedCpu + load.lastingCpu;
  const need = Math.max(present, expected) * HEADROOM_FACTOR;
  const byCpu = cpuPerWorker > 0 ? Math.ceil(need / cpuPerWorker) : 0;
  return Math.max(MIN_WORKERS, load.spreadNeed, byCpu);
}

/**
 * Plans moves of VMs to services that need more workers, from the standby pool first and then from
 * the empty VMs of other services. Surplus VMs that have been empty for long enough move to the
 * standby pool. Designed for demand that alternates between services: in its phase, a service needs
 * more than its pool holds, while the others need only a fraction of theirs.
 *
 * @param services - all services
 * @param vms - VMs that are neither under maintenance nor being moved
 */
export function planMoves(
  services: readonly BalancedService[],
  vms: readonly BalancedVm[],
): PlannedMove[] {
  const standby = services.find(({ isStandby }) => isStandby);
  const active = services.filter(({ isStandby, load }) => !isStandby && load);
  const standbyVms = vms.filter(
    ({ pool, state }) => pool === standby?.name && state === VmState.Up,
  );
  const surplusByService = new Map<string, BalancedVm[]>();
  const deficits: { name: string; missing: number }[] = [];
  for (const { name, load, arriving } of active) {
    if (!load) continue;
    const own = vms.filter(({ pool }) => pool === name);
    // A VM that is down may be lost; one under maintenance or in a move returns with a new worker.
    const available = own.filter(({ state }) => state !== VmState.Down).length + arriving;
    const wanted = wantedWorkers(load, typicalCpu(own.length > 0 ? own : vms));
    const hasDemand = load.waitingCpu > 0 || load.expectedCpu > 0;
    if (wanted > available && hasDemand) deficits.push({ name, missing: wanted - available });
    const empty = own
      .filter(({ state, emptyForMs }) => state === VmState.Up && emptyForMs !== undefined)
      .sort((a, b) => (b.emptyForMs ?? 0) - (a.emptyForMs ?? 0));
    // At the end of a turn, each VM still has some runs; those with the fewest are emptied for the next.
    const occupied = own
      .filter(({ state, movableRuns }) => state === VmState.Up && movableRuns !== undefined)
      .sort((a, b) => (a.movableRuns ?? 0) - (b.movableRuns ?? 0));
    const surplus = [...empty, ...occupied].slice(0, Math.max(0, available - wanted));
    surplusByService.set(name, surplus);
  }
  const moves: PlannedMove[] = [];
  deficits.sort((a, b) => b.missing - a.missing);
  for (const { name, missing } of deficits) {
    for (let left = missing; left > 0; left--) {
      const vm = standbyVms.shift() ?? takeFromLargest(surplusByService);
      if (!vm) break;
      moves.push(toMove(vm, name));
    }
  }
  if (!standby) return moves;
  for (const idle of surplusByService.values()) {
    const leaving = idle.filter(({ emptyForMs = 0 }) => emptyForMs >= MIN_EMPTY_MS);
    for (const vm of leaving) moves.push(toMove(vm, standby.name));
  }
  return moves;
}

function toMove({ vm, pool, worker, movableRuns }: BalancedVm, to: string): PlannedMove {
  return { vm, from: pool, to, worker, hasRuns: movableRuns !== undefined };
}

/** Takes a VM from the service with the largest surplus, an empty one if it has any. */
function takeFromLargest(surplus: ReadonlyMap<string, BalancedVm[]>): BalancedVm | undefined {
  const lists = [...surplus.values()].sort((a, b) => b.length - a.length);
  return lists[0]?.shift();
}

/**
 * Mean CPU of a VM, in thousandths of a core. Values far from the median count as the nearest plausible
 * one: a single malformed entry of the VM list would otherwise change the number of VMs of a pool.
 */
export function typicalCpu(vms: readonly Pick<ListedVm, 'capacity'>[]): number {
  const amounts = vms.map(({ capacity }) => capacity.cpuMillis).sort((a, b) => a - b);
  const median = amounts[Math.floor(amounts.length / 2)];
  if (median === undefined) return 0;
  const plausible = { min: median / MAX_CPU_RATIO, max: median * MAX_CPU_RATIO };
  return amounts.reduce((sum, cpu) => sum + clamp(cpu, plausible), 0) / amounts.length;
}
