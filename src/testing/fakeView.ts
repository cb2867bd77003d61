import {
  EntityKind,
  type ConfigView,
  type EntityOfKind,
  type Service,
  type Team,
  type Vm,
} from '../configuration/index.js';

/** A configuration view whose entities and version a test sets directly. */
export class FakeConfigView implements ConfigView {
  version = 1;
  readonly entities: { [K in EntityKind]: Map<string, EntityOfKind[K]> } = {
    [EntityKind.Service]: new Map(),
    [EntityKind.Pool]: new Map(),
    [EntityKind.Team]: new Map(),
    [EntityKind.Vm]: new Map(),
    [EntityKind.Assignment]: new Map(),
    [EntityKind.VmStatus]: new Map(),
    [EntityKind.Stop]: new Map(),
    [EntityKind.Move]: new Map(),
    [EntityKind.Wave]: new Map(),
    [EntityKind.OperatorChange]: new Map(),
  };

  get<K extends EntityKind>(kind: K, id: string): EntityOfKind[K] | undefined {
    return this.entities[kind].get(id);
  }

  list<K extends EntityKind>(kind: K): readonly EntityOfKind[K][] {
    return [...this.entities[kind].values()];
  }

  poolOf(vm: string): string | undefined {
    return this.get(EntityKind.Assignment, vm)?.pool ?? this.get(EntityKind.Vm, vm)?.pool;
  }

  vmsOfPool(pool: string): readonly Vm[] {
    return this.list(EntityKind.Vm).filter((vm) => this.poolOf(vm.id) === pool);
  }

  /** Adds a service with a pool of the same name. */
  addService(id: string, values: Partial<Service> = {}): void {
    const defaults = { maxQueued: 100, spill: true, minAvailableSlots: 0 };
    this.entities[EntityKind.Service].set(id, { id, pool: id, ...defaults, ...values });
  }

  addTeam(id: string): void {
    const team: Team = {
      ...{ id, weight: 1, maxQueued: 100, maxRunning: 100, maxUrgent: 100, maxJobs: 100 },
    };
    this.entities[EntityKind.Team].set(id, team);
  }

  addVm(id: string, pool: string, zone: string): void {
    const hardware = { cores: 16, memoryMib: 65_536, accelerators: 0 };
    this.entities[EntityKind.Vm].set(id, { id, pool, zone, rack: 'r1', ...hardware });
  }
}
