import type { CapacitySettings } from '../src/capacity/index.js';
import { EntityKind, type EntityChange, type Vm } from '../src/configuration/index.js';

/** Ids of the deployments. */
export enum DeploymentId {
  First = 'first',
  Second = 'second',
  /** The first deployment, with a sustained load on one service for the whole run. */
  SustainedLoad = 'lasting',
}

/** A deployment of the buffer benchmark. */
export interface BufferDeployment {
  id: DeploymentId;
  zones: number;
  /** Number of VMs in the pool of each service. The pool of the last service is the spare pool. */
  services: Readonly<Record<string, number>>;
  /** Cores and memory in MiB of a VM. */
  cores: number;
  memoryMib: number;
  /** Weights and other settings that differ from the defaults. */
  settings: Partial<CapacitySettings>;
  /** VMs that the wave leaves unused of a pool's away limits; a larger buffer takes precedence. */
  waveReserve: number;
  /** A service with constant demand; `load` is a multiple of the slots of its pool. */
  sustainedLoad?: { service: string; load: number };
}

/** Number of slots of each executor. */
export const SLOTS_PER_EXECUTOR = 8;

/** Number of VMs in a rack. */
export const VMS_PER_RACK = 4;

/** Maximum VMs of a pool that may be away at once: one rack, and two for maintenance and moves. */
const MAX_AWAY = VMS_PER_RACK + 2;

/**
 * Time settings scaled to a run of minutes: a run has six demand cycles, and averages cover two.
 */
const SCALED_SETTINGS: Partial<CapacitySettings> = {
  intervalMs: 1_000,
  smoothingMs: 80_000,
  hysteresisMs: 80_000,
  drainMs: 14_000,
  horizonMs: 160_000,
  requestTtlMs: 10_000,
  maxMovesPerRound: 4,
};

const firstDeployment: BufferDeployment = {
  id: DeploymentId.First,
  zones: 3,
  services: { motions: 9, tabroom: 8, breakdesk: 7, standings: 6, portal: 9 },
  cores: 64,
  memoryMib: 262_144,
  settings: { ...SCALED_SETTINGS, waitingWeight: 2, moveWeight: 1, bufferWeight: 0.25 },
  waveReserve: 4,
};

/** The two deployments of the design, and a variant with a sustained load. */
export const deployments: Record<DeploymentId, BufferDeployment> = {
  [DeploymentId.First]: firstDeployment,
  [DeploymentId.SustainedLoad]: {
    ...firstDeployment,
    id: DeploymentId.SustainedLoad,
    sustainedLoad: { service: 'tabroom', load: 1.05 },
  },
  [DeploymentId.Second]: {
    id: DeploymentId.Second,
    zones: 4,
    services: { rostering: 8, matching: 8, boarding: 8, coverage: 8, 'admin-tools': 8 },
    cores: 16,
    memoryMib: 65_536,
    settings: { ...SCALED_SETTINGS, waitingWeight: 1, moveWeight: 2, bufferWeight: 0.5 },
    waveReserve: 3,
  },
};

/** Creates the inventory of a deployment. Racks of a zone are filled one pool after the other. */
export function inventoryOf(deployment: BufferDeployment): EntityChange[] {
  const { services, zones } = deployment;
  const serviceNames = Object.keys(services);
  const changes: EntityChange[] = [];
  const vmsInZone = new Array<number>(zones).fill(0);
  let vmCount = 0;
  for (const [service, size] of Object.entries(services)) {
    const minAvailable = Math.max(1, size - MAX_AWAY);
    const isSpare = service === serviceNames.at(-1);
    const rules = { maxAway: MAX_AWAY, maxAwayPerRack: VMS_PER_RACK, maxAwayPerZone: MAX_AWAY };
    const pool = { id: service, minAvailable, ...rules, isSpare, mayBorrow: !isSpare };
    const minAvailableSlots = minAvailable * SLOTS_PER_EXECUTOR;
    const limits = { maxQueued: 20_000, spill: true, minAvailableSlots };
    changes.push({ kind: EntityKind.Pool, id: service, value: pool });
    changes.push({
      kind: EntityKind.Service,
      id: service,
      value: { id: service, pool: service, ...limits },
    });
    for (let i = 0; i < size; i++) {
      const zone = vmCount % zones;
      const indexInZone = vmsInZone[zone] ?? 0;
      vmsInZone[zone] = indexInZone + 1;
      vmCount += 1;
      const value = createVm(deployment, `${service}-${i}`, service, zone, indexInZone);
      changes.push({ kind: EntityKind.Vm, id: value.id, value });
    }
  }
  return changes;
}

function createVm(
  { cores, memoryMib }: BufferDeployment,
  id: string,
  pool: string,
  zone: number,
  indexInZone: number,
): Vm {
  const executor = {
    host: `10.${zone}.0.${indexInZone + 1}`,
    port: 8_000,
    slots: SLOTS_PER_EXECUTOR,
    connections: 64,
  };
  const rack = `r${Math.floor(indexInZone / VMS_PER_RACK)}`;
  return { id, zone: `z${zone}`, rack, pool, cores, memoryMib, accelerators: 0, executor };
}
