import { ChangedView } from './changedView.js';
import { EntityState, entityKinds } from './entities.js';
import { ConfigProblemCode, type ConfigProblem } from './problems.js';
import { entitySchemas } from './schema.js';
import {
  EntityKind,
  WaveState,
  type ChangeSet,
  type ConfigSnapshot,
  type ConfigView,
  type EntityChange,
  type EntityOfKind,
  type Vm,
} from './types.js';

/** Maximum number of changes in one change set; 10,000 VMs take about 2 MB in the version row. */
export const MAX_CHANGES = 10_000;

interface Rule {
  /** Kinds of entities whose changes can violate the rule. */
  kinds: readonly EntityKind[];
  check: (view: ConfigView) => ConfigProblem[];
}

const { Service, Pool, Vm: VmKind, Assignment, VmStatus, Stop, Move, Wave } = EntityKind;

/** Rules between entities, in the order in which their problems are reported. */
const rules: readonly Rule[] = [
  { kinds: [Service, Pool, VmKind, Assignment], check: checkServices },
  { kinds: [Pool, VmKind, Assignment], check: checkPoolRules },
  { kinds: [Pool, VmKind], check: checkVms },
  { kinds: [VmKind], check: checkExecutors },
  { kinds: [VmKind, Assignment, VmStatus, Stop, Move], check: checkVmReferences },
  { kinds: [Pool, Assignment, Move], check: checkPoolReferences },
  { kinds: [Stop, Wave], check: checkStops },
];

/**
 * Checks a whole configuration: the schema of each entity and the rules between entities.
 *
 * @returns the problems found; empty if the configuration is valid
 */
export function checkConfiguration(snapshot: ConfigSnapshot): ConfigProblem[] {
  const problems = [...checkEntities(snapshot), ...checkDuplicates(snapshot)];
  const state = new EntityState();
  state.reset(snapshot);
  return [...problems, ...rules.flatMap(({ check }) => check(state))];
}

/**
 * Checks a change set against the configuration to which it would be applied. Existing problems
 * that the change set does not alter are not reported.
 *
 * @returns the problems that the change set would cause; empty if it may be committed
 */
export function checkChangeSet(view: ConfigView, changeSet: ChangeSet): ConfigProblem[] {
  const { changes } = changeSet;
  if (changes.length > MAX_CHANGES) {
    const message = `change set ${changeSet.changeId} has ${changes.length} changes, at most ${MAX_CHANGES} are allowed`;
    return changes
      .slice(0, 1)
      .map(({ kind, id }) => createProblem(ConfigProblemCode.TooManyChanges, kind, id, message));
  }
  const changeProblems = [...changes.flatMap(checkChange), ...checkRepeatedChanges(changes)];
  if (changeProblems.length > 0) return changeProblems;
  const affected = rules.filter((rule) => changes.some(({ kind }) => rule.kinds.includes(kind)));
  const problemsOf = (state: ConfigView) => affected.flatMap(({ check }) => check(state));
  const after = new ChangedView(view, changeSet);
  const found = problemsOf(after);
  const knownKeys = new Set(found.length > 0 ? problemsOf(view).map(problemKey) : []);
  const newProblems = found.filter((each) => !knownKeys.has(problemKey(each)));
  return [...newProblems, ...changes.flatMap((change) => checkPlannedWave(after, change))];
}

function checkEntities(snapshot: ConfigSnapshot): ConfigProblem[] {
  return entityKinds.flatMap((kind) =>
    snapshot.entities[kind].flatMap((entity) => checkEntity(kind, entity.id, entity)),
  );
}

function checkEntity(kind: EntityKind, id: string, value: unknown): ConfigProblem[] {
  const parsed = entitySchemas[kind].safeParse(value);
  if (parsed.success) return [];
  return parsed.error.issues.map(({ path, message }) => {
    const text = `${kind} ${id}: ${path.join('.')}: ${message}`;
    return createProblem(ConfigProblemCode.InvalidEntity, kind, id, text);
  });
}

function checkChange({ kind, id, value }: EntityChange): ConfigProblem[] {
  if (!value) return [];
  if (value.id !== id) {
    const message = `change of ${kind} ${id} contains an entity with id ${value.id}`;
    return [createProblem(ConfigProblemCode.IdMismatch, kind, id, message)];
  }
  return checkEntity(kind, id, value);
}

/**
 * A change set may list each entity only once, so that the order of its changes does not matter.
 */
function checkRepeatedChanges(changes: readonly EntityChange[]): ConfigProblem[] {
  const seen = new Map<string, EntityChange>();
  return changes.flatMap((change) => {
    const key = `${change.kind}/${change.id}`;
    const first = seen.get(key);
    seen.set(key, change);
    return first
      ? [
          createDuplicateProblem(
            change.kind,
            change.id,
            poolOfEntity(first.value),
            poolOfEntity(change.value),
          ),
        ]
      : [];
  });
}

function checkDuplicates(snapshot: ConfigSnapshot): ConfigProblem[] {
  return entityKinds.flatMap((kind) => {
    const seen = new Map<string, EntityOfKind[EntityKind]>();
    return snapshot.entities[kind].flatMap((entity) => {
      const first = seen.get(entity.id);
      seen.set(entity.id, entity);
      return first
        ? [createDuplicateProblem(kind, entity.id, poolOfEntity(first), poolOfEntity(entity))]
        : [];
    });
  });
}

function poolOfEntity(entity: EntityOfKind[EntityKind] | undefined): string | undefined {
  return entity && 'pool' in entity ? entity.pool : undefined;
}

function createDuplicateProblem(
  kind: EntityKind,
  id: string,
  first: string | undefined,
  second: string | undefined,
): ConfigProblem {
  const placesVm = kind === EntityKind.Vm || kind === EntityKind.Assignment;
  if (placesVm && first && second && first !== second) {
    const message = `VM ${id} is in pools ${first} and ${second}, but a VM belongs to exactly one pool`;
    return createProblem(ConfigProblemCode.VmInTwoPools, kind, id, message);
  }
  const message = `${kind} ${id} is listed more than once`;
  return createProblem(ConfigProblemCode.DuplicateId, kind, id, message);
}

function checkServices(view: ConfigView): ConfigProblem[] {
  const serviceOfPool = new Map<string, string>();
  return view.list(EntityKind.Service).flatMap((service) => {
    const { id, pool } = service;
    const report = (code: ConfigProblemCode, message: string) =>
      createProblem(code, EntityKind.Service, id, `service ${id}: ${message}`);
    if (!view.get(EntityKind.Pool, pool)) {
      return [report(ConfigProblemCode.UnknownPool, `pool ${pool} does not exist`)];
    }
    const problems: ConfigProblem[] = [];
    const other = serviceOfPool.get(pool);
    serviceOfPool.set(pool, id);
    if (other) {
      const message = `pool ${pool} already serves service ${other}`;
      problems.push(report(ConfigProblemCode.PoolServesTwoServices, message));
    }
    const executors = view.vmsOfPool(pool).flatMap((vm) => vm.executor ?? []);
    const slots = executors.reduce((sum, executor) => sum + executor.slots, 0);
    if (executors.length === 0) {
      const message = `pool ${pool} has no VM with an executor`;
      problems.push(report(ConfigProblemCode.ServiceWithoutVms, message));
    } else if (slots < service.minAvailableSlots) {
      const message = `minAvailableSlots is ${service.minAvailableSlots}, but pool ${pool} has ${slots} slots`;
      problems.push(report(ConfigProblemCode.UnsatisfiableRule, message));
    }
    return problems;
  });
}

function checkPoolRules(view: ConfigView): ConfigProblem[] {
  return view.list(EntityKind.Pool).flatMap(({ id, minAvailable }) => {
    const size = view.vmsOfPool(id).length;
    if (minAvailable <= size) return [];
    const message = `pool ${id}: minAvailable is ${minAvailable}, the pool has ${size} VMs`;
    return [createProblem(ConfigProblemCode.UnsatisfiableRule, EntityKind.Pool, id, message)];
  });
}

function checkVms(view: ConfigView): ConfigProblem[] {
  return view
    .list(EntityKind.Vm)
    .flatMap(({ id, pool }) => checkPoolExists(view, EntityKind.Vm, id, pool));
}

function checkExecutors(view: ConfigView): ConfigProblem[] {
  const vmOfAddress = new Map<string, Vm>();
  return view.list(EntityKind.Vm).flatMap((vm) => {
    if (!vm.executor) return [];
    const address = `${vm.executor.host}:${vm.executor.port}`;
    const other = vmOfAddress.get(address);
    vmOfAddress.set(address, vm);
    if (!other) return [];
    const message = `VM ${vm.id}: executor address ${address} is already used by VM ${other.id}`;
    return [createProblem(ConfigProblemCode.DuplicateExecutor, EntityKind.Vm, vm.id, message)];
  });
}

const vmReferenceKinds = [
  EntityKind.Assignment,
  EntityKind.VmStatus,
  EntityKind.Stop,
  EntityKind.Move,
] as const;

function checkVmReferences(view: ConfigView): ConfigProblem[] {
  return vmReferenceKinds.flatMap((kind) =>
    view.list(kind).flatMap(({ id }) => {
      if (view.get(EntityKind.Vm, id)) return [];
      const message = `${kind} ${id}: VM ${id} does not exist`;
      return [createProblem(ConfigProblemCode.UnknownVm, kind, id, message)];
    }),
  );
}

function checkPoolReferences(view: ConfigView): ConfigProblem[] {
  const assignmentProblems = view
    .list(EntityKind.Assignment)
    .flatMap(({ id, pool }) => checkPoolExists(view, EntityKind.Assignment, id, pool));
  const moveProblems = view.list(EntityKind.Move).flatMap(({ id, from, to }) => {
    const unknownPools = [from, to].flatMap((pool) =>
      checkPoolExists(view, EntityKind.Move, id, pool),
    );
    if (from !== to) return unknownPools;
    const message = `move of VM ${id}: source and target are the same pool ${to}`;
    return [
      ...unknownPools,
      createProblem(ConfigProblemCode.MoveToSamePool, EntityKind.Move, id, message),
    ];
  });
  return [...assignmentProblems, ...moveProblems];
}

function checkPoolExists(
  view: ConfigView,
  kind: EntityKind,
  id: string,
  pool: string,
): ConfigProblem[] {
  if (view.get(EntityKind.Pool, pool)) return [];
  const message = `${kind} ${id}: pool ${pool} does not exist`;
  return [createProblem(ConfigProblemCode.UnknownPool, kind, id, message)];
}

function checkStops(view: ConfigView): ConfigProblem[] {
  return view.list(EntityKind.Stop).flatMap(({ id, wave }) => {
    if (view.get(EntityKind.Wave, wave)) return [];
    const message = `stop of VM ${id}: wave ${wave} does not exist`;
    return [createProblem(ConfigProblemCode.UnknownWave, EntityKind.Stop, id, message)];
  });
}

/**
 * The VMs of a wave are checked only while the wave is planned: VMs that are replaced later remain
 * in its batches and are skipped.
 */
function checkPlannedWave(view: ConfigView, change: EntityChange): ConfigProblem[] {
  if (change.kind !== EntityKind.Wave || change.value?.state !== WaveState.Planned) return [];
  const { id, batches } = change.value;
  const vms = batches.flat();
  const unknownVms = vms.filter((vm) => !view.get(EntityKind.Vm, vm));
  const seen = new Set<string>();
  const repeatedVms = vms.filter((vm) => seen.size === seen.add(vm).size);
  return [
    ...unknownVms.map((vm) =>
      createProblem(
        ConfigProblemCode.UnknownVm,
        EntityKind.Wave,
        id,
        `wave ${id}: VM ${vm} does not exist`,
      ),
    ),
    ...repeatedVms.map((vm) =>
      createProblem(
        ConfigProblemCode.DuplicateId,
        EntityKind.Wave,
        id,
        `wave ${id}: VM ${vm} is listed more than once`,
      ),
    ),
  ];
}

function createProblem(
  code: ConfigProblemCode,
  kind: EntityKind,
  id: string,
  message: string,
): ConfigProblem {
  return { code, kind, id, message };
}

function problemKey({ code, kind, id, message }: ConfigProblem): string {
  return `${code}/${kind}/${id}/${message}`;
}
