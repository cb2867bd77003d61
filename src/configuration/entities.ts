import {
  EntityKind,
  type ChangeSet,
  type ConfigSnapshot,
  type ConfigView,
  type EntityChange,
  type EntityOfKind,
  type Vm,
} from './types.js';

/** All kinds of entities, in the order in which snapshots list them. */
export const entityKinds: readonly EntityKind[] = Object.values(EntityKind);

type EntityMaps = { [K in EntityKind]: Map<string, EntityOfKind[K]> };

/** A configuration view with an index of VMs by zone. */
export interface IndexedConfigView extends ConfigView {
  /** VMs located in an availability zone. */
  vmsOfZone(zone: string): readonly Vm[];
  /** Ids of the availability zones that have VMs. */
  zones(): readonly string[];
}

/**
 * Entities at one version, with indexes of VMs by pool and zone that are updated by each change.
 */
export class EntityState implements IndexedConfigView {
  #version = 0;
  readonly #maps: EntityMaps = emptyMaps();
  readonly #vmsByPool = new Map<string, Map<string, Vm>>();
  readonly #vmsByZone = new Map<string, Map<string, Vm>>();
  /** Results of list, vmsOfPool and vmsOfZone, cached until the next change. */
  readonly #lists = new Map<string, readonly unknown[]>();

  get version(): number {
    return this.#version;
  }

  get<K extends EntityKind>(kind: K, id: string): EntityOfKind[K] | undefined {
    return this.#maps[kind].get(id);
  }

  list<K extends EntityKind>(kind: K): readonly EntityOfKind[K][] {
    return this.#cachedList<EntityOfKind[K]>(`kind/${kind}`, this.#maps[kind]);
  }

  poolOf(vm: string): string | undefined {
    return this.#maps.assignment.get(vm)?.pool ?? this.#maps.vm.get(vm)?.pool;
  }

  vmsOfPool(pool: string): readonly Vm[] {
    return this.#cachedList(`pool/${pool}`, this.#vmsByPool.get(pool));
  }

  vmsOfZone(zone: string): readonly Vm[] {
    return this.#cachedList(`zone/${zone}`, this.#vmsByZone.get(zone));
  }

  zones(): readonly string[] {
    return [...this.#vmsByZone.keys()];
  }

  /** Applies a change set and sets the version. */
  apply(changeSet: ChangeSet, version: number): void {
    for (const change of changeSet.changes) this.#applyChange(change);
    this.#version = version;
    this.#lists.clear();
  }

  /** Replaces all entities and the version with those of a snapshot. */
  reset(snapshot: ConfigSnapshot): void {
    for (const kind of entityKinds) this.#maps[kind].clear();
    this.#vmsByPool.clear();
    this.#vmsByZone.clear();
    this.#lists.clear();
    for (const kind of entityKinds) {
      const map = this.#maps[kind] as Map<string, { id: string }>;
      for (const entity of snapshot.entities[kind]) map.set(entity.id, entity);
    }
    for (const vm of this.#maps.vm.values()) this.#addToIndexes(vm);
    this.#version = snapshot.version;
  }

  /** Returns a snapshot; its entities are shared with this state and must not be modified. */
  snapshot(): ConfigSnapshot {
    const entities = emptyEntities();
    for (const kind of entityKinds) {
      (entities as Record<EntityKind, unknown[]>)[kind] = [...this.#maps[kind].values()];
    }
    return { version: this.#version, entities };
  }

  #applyChange(change: EntityChange): void {
    const { kind, id, value } = change;
    const before = this.#maps.vm.get(id);
    const affectsIndexes = kind === EntityKind.Vm || kind === EntityKind.Assignment;
    if (affectsIndexes && before) this.#removeFromIndexes(before);
    if (value) (this.#maps[kind] as Map<string, unknown>).set(id, value);
    else this.#maps[kind].delete(id);
    if (kind === EntityKind.Vm && !value) {
      // If a VM is added again under the same id, it starts in its home pool and counts as Up.
      this.#maps.assignment.delete(id);
      this.#maps.vmStatus.delete(id);
    }
    const after = this.#maps.vm.get(id);
    if (affectsIndexes && after) this.#addToIndexes(after);
  }

  #addToIndexes(vm: Vm): void {
    getOrCreateBucket(this.#vmsByPool, this.poolOf(vm.id) ?? vm.pool).set(vm.id, vm);
    getOrCreateBucket(this.#vmsByZone, vm.zone).set(vm.id, vm);
  }

  #removeFromIndexes(vm: Vm): void {
    removeFromBucket(this.#vmsByPool, this.poolOf(vm.id) ?? vm.pool, vm.id);
    removeFromBucket(this.#vmsByZone, vm.zone, vm.id);
  }

  #cachedList<T>(key: string, source: Map<string, T> | undefined): readonly T[] {
    if (!source) return [];
    const cached = this.#lists.get(key);
    if (cached) return cached as readonly T[];
    const list = [...source.values()];
    this.#lists.set(key, list);
    return list;
  }
}

/** Empty entity lists of all kinds. */
export function emptyEntities(): ConfigSnapshot['entities'] {
  return Object.fromEntries(
    entityKinds.map((kind) => [kind, []]),
  ) as unknown as ConfigSnapshot['entities'];
}

/** The empty configuration, before the first commit. */
export function emptySnapshot(): ConfigSnapshot {
  return { version: 0, entities: emptyEntities() };
}

function emptyMaps(): EntityMaps {
  return Object.fromEntries(entityKinds.map((kind) => [kind, new Map()])) as unknown as EntityMaps;
}

function getOrCreateBucket(index: Map<string, Map<string, Vm>>, key: string): Map<string, Vm> {
  const existing = index.get(key);
  if (existing) return existing;
  const created = new Map<string, Vm>();
  index.set(key, created);
  return created;
}

function removeFromBucket(index: Map<string, Map<string, Vm>>, key: string, id: string): void {
  const bucket = index.get(key);
  bucket?.delete(id);
  if (bucket?.size === 0) index.delete(key);
}
