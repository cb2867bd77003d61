import { VmState, type ListedVm } from './ports.js';
import type { ServiceLoad } from './serviceLoad.js';

/** Room wanted beside the present need, as a factor, so that the next tasks find some. */
const HEADROOM_FACTOR = 1.15;
/** Workers that a service keeps in any case, so that the first jobs of a turn start at once. */
const MIN_WORKERS = 2;
/**
 * A VM must have been empty for this long before it leaves its pool: longer than the gaps between
 * jobs within a turn, and short against the ten seconds and more between two turns of a service.
 */
const MIN_EMPTY_MS = 1_200;

/** A service as the policy sees it. */
export interface BalancedService {
  name: string;
  isStandby: boolean;
  /** Missing when the holder did not answer; such a service neither lends nor borrows. */
  load?: ServiceLoad;
  /** VMs that are on their way to it. */
  arriving: number;
}

/** A VM that may move. */
export interface BalancedVm extends ListedVm {
  /** Milliseconds for which nothing has run on it; undefined when something runs or it is unknown. */
  emptyForMs?: number;
}

/** A move to order. */
export interface PlannedMove {
  vm: string;
  from: string;
  to: string;
  worker?: string;
}

/** Workers that a service needs for what runs and waits. */
export function wantedWorkers(load: ServiceLoad, cpuPerWorker: number): number {
  const present = load.usedCpu + load.backlogCpu;
  const expected = load.expectedCpu + load.lastingCpu;
  const need = Math.max(present, expected) * HEADROOM_FACTOR;
  const byCpu = cpuPerWorker > 0 ? Math.ceil(need / cpuPerWorker) : 0;
  return Math.max(MIN_WORKERS, load.spreadNeed, byCpu);
}

/**
 * Moves empty VMs to the services whose tasks wait, and idle ones to the pool that is switched
 * off. Pattern: demand that goes by turns, each service in its time asking for more than its pool
 * holds and the others for a fraction.
 *
 * @param services - all services
 * @param vms - VMs that are not under planned work
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
    const available = own.length + arriving;
    const wanted = wantedWorkers(load, averageCpu(own.length > 0 ? own : vms));
    const hasDemand = load.waitingCpu > 0 || load.expectedCpu > 0;
    if (wanted > available && hasDemand) deficits.push({ name, missing: wanted - available });
    const empty = own
      .filter(({ state, emptyForMs }) => state === VmState.Up && emptyForMs !== undefined)
      .sort((a, b) => (b.emptyForMs ?? 0) - (a.emptyForMs ?? 0));
    surplusByService.set(name, empty.slice(0, Math.max(0, available - wanted)));
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

function toMove({ vm, pool, worker }: ListedVm, to: string): PlannedMove {
  return { vm, from: pool, to, worker };
}

/** Takes an empty VM from the service that has the most of them. */
function takeFromLargest(surplus: ReadonlyMap<string, BalancedVm[]>): BalancedVm | undefined {
  const lists = [...surplus.values()].sort((a, b) => b.length - a.length);
  return lists[0]?.shift();
}

function averageCpu(vms: readonly ListedVm[]): number {
  if (vms.length === 0) return 0;
  return vms.reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0) / vms.length;
}
