import {
  EntityKind,
  type ConfigView,
  type EntityChange,
  type EntityOfKind,
  type Vm,
} from '../configuration/index.js';

/** A view with uncommitted changes applied on top. */
export class OverlayView implements ConfigView {
  readonly version: number;
  readonly #base: ConfigView;
  readonly #changed = new Map<EntityKind, Map<string, EntityChange>>();

  constructor(base: ConfigView) {
    this.#base = base;
    this.version = base.version;
  }

  get isEmpty(): boolean {
    return this.#changed.size === 0;
  }

  /** The latest change of each entity. */
  get changes(): EntityChange[] {
    return [...this.#changed.values()].flatMap((changes) => [...changes.values()]);
  }

  apply(changes: readonly EntityChange[]): void {
    for (const change of changes) {
      const ofKind = this.#changed.get(change.kind) ?? new Map<string, EntityChange>();
      this.#changed.set(change.kind, ofKind.set(change.id, change));
    }
  }

  get<K extends EntityKind>(kind: K, id: string): EntityOfKind[K] | undefined {
    const change = this.#changed.get(kind)?.get(id);
    if (!change) return this.#base.get(kind, id);
    return change.value as EntityOfKind[K] | undefined;
  }

  list<K extends EntityKind>(kind: K): readonly EntityOfKind[K][] {
    const changed = this.#changed.get(kind);
    const listed = this.#base.list(kind);
    if (!changed) return listed;
    const kept = listed.filter(({ id }) => !changed.has(id));
    const values = [...changed.values()].flatMap(({ value }) => value ?? []);
    return [...kept, ...(values as EntityOfKind[K][])];
  }

  poolOf(vm: string): string | undefined {
    const assigned = this.get(EntityKind.Assignment, vm);
    return assigned?.pool ?? this.get(EntityKind.Vm, vm)?.pool;
  }

  vmsOfPool(pool: string): readonly Vm[] {
    const affected = new Set([
      ...(this.#changed.get(EntityKind.Assignment)?.keys() ?? []),
      ...(this.#changed.get(EntityKind.Vm)?.keys() ?? []),
    ]);
    const listed = this.#base.vmsOfPool(pool);
    if (affected.size === 0) return listed;
    const kept = listed.filter(({ id }) => !affected.has(id));
    const joined = [...affected].filter((id) => this.poolOf(id) === pool);
    return [...kept, ...joined.flatMap((id) => this.get(EntityKind.Vm, id) ?? [])];
  }
}
