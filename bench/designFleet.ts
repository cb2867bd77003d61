import {
  EntityKind,
  emptyEntities,
  type ConfigSnapshot,
  type EntityChange,
  type Vm,
} from '../src/configuration/index.js';
import { silentLogger } from '../src/logger/index.js';
import { Metrics } from '../src/metrics/index.js';
import { createEventBus } from '../src/events/index.js';
import { createRandom } from '../src/random/index.js';
import type { MemberInfo } from '../src/peers/index.js';

/** Numbers of entities in a configuration. */
export interface FleetSize {
  vms: number;
  pools: number;
  teams: number;
  zones: number;
}

/** Fleet size that the system is designed for. */
export const DESIGN_SIZE: FleetSize = { vms: 21_000, pools: 92, teams: 490, zones: 13 };

/** Number of VMs in a rack. */
const VMS_PER_RACK = 4;

/** Creates the dependencies that most measured components need. */
export function commonDeps() {
  return {
    random: createRandom(1),
    logger: silentLogger,
    metrics: new Metrics(),
    events: createEventBus(),
  };
}

/**
 * Creates a configuration of the given size. It is parsed from JSON, so that no two strings share
 * memory, as after receipt over the network.
 */
export function designSnapshot(size: Partial<FleetSize>, version = 1): ConfigSnapshot {
  const { vms, pools, teams, zones } = { ...DESIGN_SIZE, ...size };
  const entities = emptyEntities();
  for (let i = 0; i < pools; i++) {
    const id = `pool-${i}`;
    const limits = { minAvailable: 2, maxAway: 40, maxAwayPerRack: 2, maxAwayPerZone: 20 };
    entities.pool.push({ id, ...limits, isSpare: i === 0, mayBorrow: true });
    const service = { id: `service-${i}`, pool: id, maxQueued: 200, spill: true };
    entities.service.push({ ...service, minAvailableSlots: 8 });
  }
  for (let i = 0; i < teams; i++) {
    const quota = { weight: 1, maxQueued: 100, maxRunning: 32, maxUrgent: 8, maxJobs: 50 };
    entities.team.push({ id: `team-${i}`, ...quota });
  }
  for (let i = 0; i < vms; i++) entities.vm.push(designVm(i, pools, zones));
  return JSON.parse(JSON.stringify({ version, entities })) as ConfigSnapshot;
}

function designVm(index: number, pools: number, zones: number): Vm {
  const zone = `zone-${index % zones}`;
  const inZone = Math.floor(index / zones);
  return {
    id: vmId(index),
    zone,
    rack: `${zone}-rack-${Math.floor(inZone / VMS_PER_RACK)}`,
    pool: `pool-${inZone % pools}`,
    cores: 64,
    memoryMib: 262_144,
    accelerators: 0,
    executor: {
      host: `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${(index % 250) + 1}`,
      port: 8_080,
      slots: 8,
      connections: 64,
    },
  };
}

/** Returns the id of the VM at an index. */
export function vmId(index: number): string {
  return `vm-${String(index).padStart(5, '0')}`;
}

/** Creates a change that assigns a VM to a pool. */
export function assignmentChange(index: number, pool: number): EntityChange {
  const id = vmId(index);
  return { kind: EntityKind.Assignment, id, value: { id, pool: `pool-${pool}` } };
}

/** Creates members spread evenly over zones. */
export function designMembers(count: number, zones = DESIGN_SIZE.zones): MemberInfo[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `entry-${index % zones}-${Math.floor(index / zones)}`,
    incarnation: index.toString(16).padStart(16, '0'),
    zone: `zone-${index % zones}`,
    host: `10.100.${index % zones}.${Math.floor(index / zones) + 1}`,
    port: 7_400,
    startedAt: 1_700_000_000_000,
  }));
}
