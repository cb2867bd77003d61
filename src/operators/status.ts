import { EntityKind, VmState, type ConfigView, type Pool } from '../configuration/index.js';
import { countPool } from '../controller/index.js';
import type { OperatorDeps } from './deps.js';
import type { PoolStatus, StatusResponse, VmSummary } from './types.js';

/** Returns the status of this process and of the members it knows. */
export function processStatus(deps: OperatorDeps): StatusResponse {
  const { self, view, membership, clock } = deps;
  const { ready, reason, configAgeMs, platformReachable, holdsZoneLease } = deps.readiness();
  return {
    member: self.name,
    zone: self.zone,
    incarnation: self.incarnation,
    ready,
    notReadyReason: reason,
    configVersion: view.version,
    configAgeMs: Math.round(configAgeMs),
    platformReachable,
    holdsZoneLease,
    members: membership.members().map((member) => ({
      name: member.info.name,
      zone: member.info.zone,
      state: member.state,
      configVersion: member.configVersion,
      silentMs: Math.round(clock.now() - member.lastHeardAt),
    })),
  };
}

/**
 * Only lease holders know which zones have silent controllers, so no zone counts as silent here.
 */
const NO_SILENT_ZONES: ReadonlySet<string> = new Set();

/** Returns all pools with their limits and the number of VMs that are away. */
export function poolStatuses(view: ConfigView): PoolStatus[] {
  return view.list(EntityKind.Pool).map((pool) => poolStatus(view, pool));
}

function poolStatus(view: ConfigView, pool: Pool): PoolStatus {
  const { total, away } = countPool(view, pool.id, NO_SILENT_ZONES);
  const services = view.list(EntityKind.Service).filter((service) => service.pool === pool.id);
  return {
    pool: pool.id,
    vms: total,
    away,
    minAvailable: pool.minAvailable,
    maxAway: pool.maxAway,
    isSpare: pool.isSpare,
    services: services.map((service) => service.id),
  };
}

/** Returns VMs with their current pool and state, optionally limited to one pool or zone. */
export function vmSummaries(view: ConfigView, pool?: string, zone?: string): VmSummary[] {
  const vms = pool === undefined ? view.list(EntityKind.Vm) : view.vmsOfPool(pool);
  return vms
    .filter((vm) => zone === undefined || vm.zone === zone)
    .map((vm) => ({
      vm: vm.id,
      zone: vm.zone,
      rack: vm.rack,
      pool: view.poolOf(vm.id) ?? vm.pool,
      homePool: vm.pool,
      state: view.get(EntityKind.VmStatus, vm.id)?.state ?? VmState.Up,
      stop: view.get(EntityKind.Stop, vm.id)?.state,
      move: view.get(EntityKind.Move, vm.id)?.to,
    }));
}
