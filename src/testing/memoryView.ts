import {
  EntityKind,
  type ConfigDelta,
  type ConfigView,
  type EntityChange,
  type EntityOfKind,
  type Vm,
} from '../configuration/index.js';

/** A configuration in memory that deltas are applied to, for tests and computations. */
export class MemoryView implements ConfigView {
  version = 0;
  readonly #entities = new Map<EntityKind, Map<string, unknown>>();
  readonly #vmsByPool = new Map<string, Set<string>>();

  get<K extends EntityKind>(kind: K, id: string): EntityOfKind[K] | undefined {
    return this.#ofKind(kind).get(id);
  }

  list<K extends EntityKind>(kind: K): readonly EntityOfKind[K][] {
    return [...this.#ofKind(kind).values()];
  }

  poolOf(vm: string): string | undefined {
    const assigned = this.get(EntityKind.Assignment, vm);
    return assigned?.pool ?? this.get(EntityKind.Vm, vm)?.pool;
  }

  vmsOfPool(pool: string): readonly Vm[] {
    const ids = this.#vmsByPool.get(pool) ?? [];
    return [...ids].flatMap((id) => this.get(EntityKind.Vm, id) ?? []);
  }

  /** Applies the versions that follow this one; others are ignored. */
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
      const before = this.poolOf(id);
      const entities: Map<string, unknown> = this.#ofKind(kind);
      if (value === undefined) entities.delete(id);
      else entities.set(id, structuredClone(value));
      if (kind === EntityKind.Vm || kind === EntityKind.Assignment) this.#regroup(id, before);
    }
  }

  #regroup(id: string, before: string | undefined): void {
    if (before !== undefined) this.#vmsByPool.get(before)?.delete(id);
    const pool = this.poolOf(id);
    if (pool === undefined) return;
    const vms = this.#vmsByPool.get(pool) ?? new Set();
    this.#vmsByPool.set(pool, vms.add(id));
  }

  #ofKind<K extends EntityKind>(kind: K): Map<string, EntityOfKind[K]> {
    let entities = this.#entities.get(kind);
    if (!entities) {
      entities = new Map();
      this.#entities.set(kind, entities);
    }
    return entities as Map<string, EntityOfKind[K]>;
  }
}
