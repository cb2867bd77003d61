import {
  EntityKind,
  type ConfigDelta,
  type ConfigView,
  type EntityChange,
  type EntityOfKind,
  type Vm,
} from '../configuration/index.js';

/** An in-memory configuration view that applies deltas, for tests and benchmarks. */
export class MemoryView implements ConfigView {
  version = 0;
  readonly #entities = new Map<EntityKind, Map<string, unknown>>();
  readonly #vmsByPool = new Map<string, Set<string>>();

  get<K extends EntityKind>(kind: K, id: string): EntityOfKind[K] | undefined {
    return this.#entitiesOf(kind).get(id);
  }

  list<K extends EntityKind>(kind: K): readonly EntityOfKind[K][] {
    return [...this.#entitiesOf(kind).values()];
  }

  poolOf(vm: string): string | undefined {
    const assigned = this.get(EntityKind.Assignment, vm);
    return assigned?.pool ?? this.get(EntityKind.Vm, vm)?.pool;
  }

  vmsOfPool(pool: string): readonly Vm[] {
    const ids = this.#vmsByPool.get(pool) ?? [];
    return [...ids].flatMap((id) => this.get(EntityKind.Vm, id) ?? []);
  }

  /** Applies deltas that continue the current version in order; ignores all others. */
  readonly adopt = (deltas: readonly ConfigDelta[]): void => {
    for (const delta of deltas) {
      if (delta.version !== this.version + 1) continue;
      this.apply(delta.changes);
      this.version = delta.version;
    }
  };

  /** Applies changes without a new version. */
  apply(changes: readonly EntityChange[]): void {
    for (const { kind, id, value } of changes) {
      const poolBefore = this.poolOf(id);
      const entities: Map<string, unknown> = this.#entitiesOf(kind);
      if (value === undefined) entities.delete(id);
      else entities.set(id, structuredClone(value));
      if (kind === EntityKind.Vm || kind === EntityKind.Assignment)
        this.#updatePoolIndex(id, poolBefore);
    }
  }

  #updatePoolIndex(id: string, poolBefore: string | undefined): void {
    if (poolBefore !== undefined) this.#vmsByPool.get(poolBefore)?.delete(id);
    const pool = this.poolOf(id);
    if (pool === undefined) return;
    const vms = this.#vmsByPool.get(pool) ?? new Set();
    this.#vmsByPool.set(pool, vms.add(id));
  }

  #entitiesOf<K extends EntityKind>(kind: K): Map<string, EntityOfKind[K]> {
    let entities = this.#entities.get(kind);
    if (!entities) {
      entities = new Map();
      this.#entities.set(kind, entities);
    }
    return entities as Map<string, EntityOfKind[K]>;
  }
}
