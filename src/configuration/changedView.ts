import {
  EntityKind,
  type ChangeSet,
  type ConfigView,
  type EntityChange,
  type EntityOfKind,
  type Vm,
} from './types.js';

/**
 * A view with a change set applied on top of a base view. Nothing is copied: unchanged entities are
 * read from the base. It must be used within one synchronous block, because the base view advances.
 */
export class ChangedView implements ConfigView {
  readonly version: number;
  readonly #base: ConfigView;
  /** Changed entities by kind and id; undefined for deleted ones. */
  readonly #changed = new Map<EntityKind, Map<string, unknown>>();
  readonly #lists = new Map<EntityKind, readonly unknown[]>();
  /** Ids of VMs whose entity or assignment is changed. */
  readonly #changedVms = new Set<string>();
  /** Pools of the changed VMs before and after the change set. */
  readonly #affectedPools = new Set<string | undefined>();

  constructor(base: ConfigView, changeSet: ChangeSet) {
    this.#base = base;
    this.version = base.version + 1;
    for (const change of changeSet.changes) this.#apply(change);
    for (const id of this.#changedVms) {
      this.#affectedPools.add(base.poolOf(id)).add(this.poolOf(id));
    }
  }

  get<K extends EntityKind>(kind: K, id: string): EntityOfKind[K] | undefined {
    const changed = this.#changed.get(kind);
    if (changed?.has(id)) return changed.get(id) as EntityOfKind[K] | undefined;
    return this.#base.get(kind, id);
  }

  list<K extends EntityKind>(kind: K): readonly EntityOfKind[K][] {
    const changed = this.#changed.get(kind);
    if (!changed) return this.#base.list(kind);
    const entities = this.#lists.get(kind) ?? this.#merge(kind, changed);
    this.#lists.set(kind, entities);
    return entities as readonly EntityOfKind[K][];
  }

  poolOf(vm: string): string | undefined {
    return this.get(EntityKind.Assignment, vm)?.pool ?? this.get(EntityKind.Vm, vm)?.pool;
  }

  vmsOfPool(pool: string): readonly Vm[] {
    const baseVms = this.#base.vmsOfPool(pool);
    if (!this.#affectedPools.has(pool)) return baseVms;
    const joined = [...this.#changedVms]
      .filter((id) => this.poolOf(id) === pool)
      .flatMap((id) => this.get(EntityKind.Vm, id) ?? []);
    return [...baseVms.filter(({ id }) => !this.#changedVms.has(id)), ...joined];
  }

  #apply({ kind, id, value }: EntityChange): void {
    this.#set(kind, id, value);
    const isVm = kind === EntityKind.Vm;
    if (isVm || kind === EntityKind.Assignment) this.#changedVms.add(id);
    if (!isVm || value) return;
    // Deleting a VM also deletes its assignment and its recorded availability.
    this.#set(EntityKind.Assignment, id, undefined);
    this.#set(EntityKind.VmStatus, id, undefined);
  }

  #set(kind: EntityKind, id: string, value: unknown): void {
    const changed = this.#changed.get(kind) ?? new Map<string, unknown>();
    this.#changed.set(kind, changed.set(id, value));
  }

  #merge(kind: EntityKind, changed: ReadonlyMap<string, unknown>): unknown[] {
    const baseEntities: readonly { id: string }[] = this.#base.list(kind);
    const kept = baseEntities.filter(({ id }) => !changed.has(id));
    return [...kept, ...[...changed.values()].filter((value) => value !== undefined)];
  }
}
