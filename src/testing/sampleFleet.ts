import {
  EntityKind,
  emptyEntities,
  type ChangeSet,
  type ConfigSnapshot,
  type EntityChange,
  type Vm,
} from '../configuration/index.js';

/** Size of a sample fleet. */
export interface SampleFleetSize {
  zones: number;
  services: number;
  /** VMs in the pool of each service, spread over the zones. */
  vmsPerPool: number;
}

/** Consecutive VM numbers per rack id; a rack id also contains the zone. */
const VMS_PER_RACK = 4;

/** Creates a valid configuration: service `s0` with pool `p0` and VMs `p0-v0`, and so on. */
export function sampleFleet(
  size: SampleFleetSize = { zones: 3, services: 2, vmsPerPool: 6 },
): ConfigSnapshot {
  const entities = emptyEntities();
  for (let service = 0; service < size.services; service++) {
    const pool = `p${service}`;
    entities.service.push({
      id: `s${service}`,
      pool,
      maxQueued: 100,
      spill: true,
      minAvailableSlots: 8,
    });
    entities.pool.push({
      id: pool,
      minAvailable: 2,
      maxAway: 2,
      maxAwayPerRack: 2,
      maxAwayPerZone: 2,
      isSpare: service === size.services - 1,
      mayBorrow: true,
    });
    for (let index = 0; index < size.vmsPerPool; index++) {
      entities.vm.push(sampleVm(`${pool}-v${index}`, pool, index % size.zones, index, service));
    }
  }
  return { version: 0, entities };
}

/** Creates a change set that adds every entity of a snapshot. */
export function changeSetOf(snapshot: ConfigSnapshot, changeId: string): ChangeSet {
  const changes = Object.values(EntityKind).flatMap((kind) =>
    snapshot.entities[kind].map((value) => ({ kind, id: value.id, value }) as EntityChange),
  );
  return { changeId, author: 'operator', changes };
}

function sampleVm(id: string, pool: string, zone: number, index: number, service: number): Vm {
  const rack = Math.floor(index / VMS_PER_RACK);
  return {
    id,
    zone: `z${zone}`,
    rack: `z${zone}-${pool}-r${rack}`,
    pool,
    cores: 16,
    memoryMib: 65_536,
    accelerators: 0,
    executor: {
      host: `10.${service}.${Math.floor(index / 250)}.${(index % 250) + 1}`,
      port: 8000,
      slots: 8,
      connections: 64,
    },
  };
}
