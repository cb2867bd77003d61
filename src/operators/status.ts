import { EntityKind, VmState, type ConfigView, type Pool } from '../configuration/index.js';
import { countPool } from '../controller/index.js';
import type { OperatorDeps } from './deps.js';
import type { PoolStatus, StatusResponse, VmSummary } from './types.js';

/** Status of the answering process and of the members it knows. */
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

/** Zones of silent controllers are known to lease holders only, so none counts here. */
const NO_ZONES: ReadonlySet<string> = new Set();

/** Pools with their rules and how many VMs are away. */
export function poolStatuses(view: ConfigView): PoolStatus[] {
  return view.list(EntityKind.Pool).map((pool) => poolStatus(view, pool));
}

function poolStatus(view: ConfigView, pool: Pool): PoolStatus {
  const { total, away } = countPool(view, pool.id, NO_ZONES);
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

/** VMs with their current pool and state, optionally of one pool or zone. */
export function vmLines(view: ConfigView, pool?: string, zone?: string): VmSummary[] {
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
