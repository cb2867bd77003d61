import { randomUUID } from 'node:crypto';
import {
  ConfigErrorCode,
  EntityKind,
  LAST_OPERATOR_CHANGE,
  MoveState,
  WaveState,
  type Commit,
  type EntityChange,
  type OperatorChange,
} from '../configuration/index.js';
import { pauseWave, startWave } from '../controller/index.js';
import { commitOrThrow } from './answers.js';
import type { OperatorDeps } from './deps.js';
import { OperatorError, OperatorErrorCode, type ChangeRequest, type WaveRequest } from './types.js';

/** Kinds that operators may change directly. */
const OPERATOR_KINDS: ReadonlySet<EntityKind> = new Set([
  EntityKind.Service,
  EntityKind.Pool,
  EntityKind.Team,
  EntityKind.Vm,
]);

/** How often a change decided by this process is decided again after a conflict. */
const MAX_DECISIONS = 5;

/**
 * Commits a change set from an operator. It conflicts only with other operators: versions that
 * controllers committed after the base do not matter. A changed home pool of a known VM becomes a
 * requested move, so that the VM is drained before it changes pools.
 *
 * @throws OperatorError when the change is refused; nothing was applied then, except for
 *   OutcomeUnknown
 */
export async function applyChanges(deps: OperatorDeps, body: ChangeRequest): Promise<Commit> {
  for (const { kind, id } of body.changes) {
    if (OPERATOR_KINDS.has(kind)) continue;
    const message = `${kind} ${id} belongs to the system and cannot be applied`;
    throw new OperatorError(OperatorErrorCode.Invalid, message);
  }
  const { author, changeId } = body;
  const changes = body.changes as EntityChange[];
  const version = await committedVersion(deps, changeId);
  if (version !== undefined) return { version, alreadyApplied: true };
  if (changes.length === 0) return { version: deps.view.version, alreadyApplied: true };
  return decide(deps, author, changeId, () => {
    const won = operatorWinner(deps, body.base);
    if (won) throw conflict(won);
    const moves = changes.flatMap((change) => requestedMove(deps, change));
    return [...changes, ...moves, operatorChange(deps, changeId, author)];
  });
}

/** Version of a change that was committed before, such as one whose answer was lost. */
async function committedVersion(deps: OperatorDeps, changeId: string): Promise<number | undefined> {
  const found = await deps.committedVersion(changeId);
  if (found.isOk) return found.value;
  throw new OperatorError(
    OperatorErrorCode.PlatformUnavailable,
    `cannot look up change ${changeId}: ${found.error.message}; nothing was applied by this call`,
  );
}

/** The operator change that came after `base`, if any. */
function operatorWinner(deps: OperatorDeps, base: number): OperatorChange | undefined {
  const last = deps.view.get(EntityKind.OperatorChange, LAST_OPERATOR_CHANGE);
  return last && last.version > base ? last : undefined;
}

function conflict(won: OperatorChange): OperatorError {
  const { version, author, changeId } = won;
  const message = `version ${version} by ${author} was applied first; nothing was changed`;
  return new OperatorError(OperatorErrorCode.Conflict, message, {
    winner: { version, author, changeId },
  });
}

function operatorChange(deps: OperatorDeps, changeId: string, author: string): EntityChange {
  const version = deps.view.version + 1;
  const value: OperatorChange = { id: LAST_OPERATOR_CHANGE, version, changeId, author };
  return { kind: EntityKind.OperatorChange, id: LAST_OPERATOR_CHANGE, value };
}

/**
 * A VM that was never moved is in its home pool without an assignment. Changing its home pool must
 * not take it out of the pool that it serves, so the assignment is written with the requested move.
 */
function requestedMove(deps: OperatorDeps, change: EntityChange): EntityChange[] {
  if (change.kind !== EntityKind.Vm || !change.value) return [];
  const { id } = change;
  const current = deps.view.poolOf(id);
  const known = deps.view.get(EntityKind.Vm, id);
  if (!known || current === undefined || known.pool === change.value.pool) return [];
  const changes: EntityChange[] = [];
  if (!deps.view.get(EntityKind.Assignment, id)) {
    changes.push({ kind: EntityKind.Assignment, id, value: { id, pool: current } });
  }
  if (current !== change.value.pool) changes.push(moveChange(id, current, change.value.pool));
  return changes;
}

function moveChange(vm: string, from: string, to: string): EntityChange {
  return {
    kind: EntityKind.Move,
    id: vm,
    value: { id: vm, from, to, state: MoveState.Requested },
  };
}

/** Requests the move of one VM to another pool. */
export function requestMove(
  deps: OperatorDeps,
  vm: string,
  pool: string,
  author: string,
): Promise<Commit> {
  return decide(deps, author, randomUUID(), () => {
    const from = deps.view.poolOf(vm);
    if (from === undefined) throw new OperatorError(OperatorErrorCode.NotFound, `no VM ${vm}`);
    if (!deps.view.get(EntityKind.Pool, pool)) {
      throw new OperatorError(OperatorErrorCode.NotFound, `no pool ${pool}`);
    }
    if (from === pool) {
      throw new OperatorError(OperatorErrorCode.Invalid, `VM ${vm} is in pool ${pool} already`);
    }
    if (deps.view.get(EntityKind.Move, vm)) {
      throw new OperatorError(OperatorErrorCode.Conflict, `VM ${vm} is being moved already`);
    }
    if (deps.view.get(EntityKind.Stop, vm)) {
      throw new OperatorError(OperatorErrorCode.Conflict, `VM ${vm} is being stopped`);
    }
    return [moveChange(vm, from, pool)];
  });
}

/** Plans maintenance and starts its waves; their ids start with the given one. */
export function startWaves(deps: OperatorDeps, body: WaveRequest): Promise<Commit> {
  return decide(deps, body.author, randomUUID(), () => {
    const { waves, impossible } = deps.planWaves(body.id, body.selection);
    if (impossible !== undefined) {
      throw new OperatorError(OperatorErrorCode.Invalid, `there is no plan: ${impossible}`);
    }
    if (waves.length === 0) {
      throw new OperatorError(OperatorErrorCode.Invalid, 'the selection names no VM');
    }
    const taken = waves.find(({ id }) => deps.view.get(EntityKind.Wave, id));
    if (taken) {
      throw new OperatorError(OperatorErrorCode.Conflict, `wave ${taken.id} exists already`);
    }
    return waves.map(startWave);
  });
}

/** Pauses or resumes a wave. */
export function setWaveState(
  deps: OperatorDeps,
  id: string,
  state: WaveState,
  author: string,
): Promise<Commit> {
  return decide(deps, author, randomUUID(), () => {
    const wave = deps.view.get(EntityKind.Wave, id);
    if (!wave) throw new OperatorError(OperatorErrorCode.NotFound, `no wave ${id}`);
    if (wave.state === WaveState.Finished) {
      throw new OperatorError(OperatorErrorCode.Invalid, `wave ${id} is finished`);
    }
    return [state === WaveState.Paused ? pauseWave(wave, `paused by ${author}`) : startWave(wave)];
  });
}

/** Decides against the version in force and commits; decides again after a conflict. */
async function decide(
  deps: OperatorDeps,
  author: string,
  changeId: string,
  changesNow: () => EntityChange[],
): Promise<Commit> {
  for (let decision = 1; ; decision++) {
    const base = deps.view.version;
    const result = await deps.commit(base, { changeId, author, changes: changesNow() });
    const isConflict = result.isErr && result.error.code === ConfigErrorCode.Conflict;
    if (!isConflict || decision === MAX_DECISIONS) return commitOrThrow(result);
    await deps.clock.sleep(50 * decision);
  }
}
