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
import { unwrapCommit } from './responses.js';
import type { OperatorDeps } from './deps.js';
import { OperatorError, OperatorErrorCode, type ChangeRequest, type WaveRequest } from './types.js';

/** Entity kinds that operators may change directly. */
const OPERATOR_KINDS: ReadonlySet<EntityKind> = new Set([
  EntityKind.Service,
  EntityKind.Pool,
  EntityKind.Team,
  EntityKind.Vm,
]);

/** Maximum number of attempts to commit a change that conflicts with other commits. */
const MAX_COMMIT_ATTEMPTS = 5;

/**
 * Commits a change set from an operator. It conflicts only with changes by other operators;
 * versions that controllers committed after the base are ignored. A new home pool of an existing VM
 * also requests a move, so that the VM is drained before it changes pools.
 *
 * @throws OperatorError when the change is rejected; nothing was applied unless the code is
 * OutcomeUnknown
 */
export async function applyChanges(deps: OperatorDeps, body: ChangeRequest): Promise<Commit> {
  for (const { kind, id } of body.changes) {
    if (OPERATOR_KINDS.has(kind)) continue;
    const message = `${kind} ${id} is managed by the system and cannot be changed by operators`;
    throw new OperatorError(OperatorErrorCode.Invalid, message);
  }
  const { author, changeId } = body;
  const changes = body.changes as EntityChange[];
  const version = await committedVersion(deps, changeId);
  if (version !== undefined) return { version, alreadyApplied: true };
  if (changes.length === 0) return { version: deps.view.version, alreadyApplied: true };
  return commitWithRetry(deps, author, changeId, () => {
    const winner = conflictingOperatorChange(deps, body.base);
    if (winner) throw conflictError(winner);
    const poolChanges = changes.flatMap((change) => homePoolChanges(deps, change));
    return [...changes, ...poolChanges, createOperatorChange(deps, changeId, author)];
  });
}

/** Version of a change that was already committed, for example if its response was lost. */
async function committedVersion(deps: OperatorDeps, changeId: string): Promise<number | undefined> {
  const found = await deps.committedVersion(changeId);
  if (found.isOk) return found.value;
  throw new OperatorError(
    OperatorErrorCode.PlatformUnavailable,
    `cannot look up change ${changeId}: ${found.error.message}; nothing was applied by this call`,
  );
}

/** Returns the last operator change if it was committed after `base`. */
function conflictingOperatorChange(deps: OperatorDeps, base: number): OperatorChange | undefined {
  const last = deps.view.get(EntityKind.OperatorChange, LAST_OPERATOR_CHANGE);
  return last && last.version > base ? last : undefined;
}

function conflictError(winner: OperatorChange): OperatorError {
  const { version, author, changeId } = winner;
  const message = `version ${version} by ${author} was applied first; nothing was changed`;
  return new OperatorError(OperatorErrorCode.Conflict, message, {
    winner: { version, author, changeId },
  });
}

function createOperatorChange(deps: OperatorDeps, changeId: string, author: string): EntityChange {
  const version = deps.view.version + 1;
  const value: OperatorChange = { id: LAST_OPERATOR_CHANGE, version, changeId, author };
  return { kind: EntityKind.OperatorChange, id: LAST_OPERATOR_CHANGE, value };
}

/**
 * Returns the changes that accompany a new home pool of a VM. A VM that was never moved has no
 * assignment and serves its home pool. Its assignment to the current pool is therefore written with
 * the requested move, so that the new home pool does not take it out of the current pool at once.
 */
function homePoolChanges(deps: OperatorDeps, change: EntityChange): EntityChange[] {
  if (change.kind !== EntityKind.Vm || !change.value) return [];
  const { id } = change;
  const current = deps.view.poolOf(id);
  const existing = deps.view.get(EntityKind.Vm, id);
  if (!existing || current === undefined || existing.pool === change.value.pool) return [];
  const changes: EntityChange[] = [];
  if (!deps.view.get(EntityKind.Assignment, id)) {
    changes.push({ kind: EntityKind.Assignment, id, value: { id, pool: current } });
  }
  if (current !== change.value.pool) changes.push(createMoveChange(id, current, change.value.pool));
  return changes;
}

function createMoveChange(vm: string, from: string, to: string): EntityChange {
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
  return commitWithRetry(deps, author, randomUUID(), () => {
    const from = deps.view.poolOf(vm);
    if (from === undefined) throw new OperatorError(OperatorErrorCode.NotFound, `unknown VM ${vm}`);
    if (!deps.view.get(EntityKind.Pool, pool)) {
      throw new OperatorError(OperatorErrorCode.NotFound, `unknown pool ${pool}`);
    }
    if (from === pool) {
      throw new OperatorError(OperatorErrorCode.Invalid, `VM ${vm} is already in pool ${pool}`);
    }
    if (deps.view.get(EntityKind.Move, vm)) {
      throw new OperatorError(OperatorErrorCode.Conflict, `VM ${vm} is already being moved`);
    }
    if (deps.view.get(EntityKind.Stop, vm)) {
      throw new OperatorError(OperatorErrorCode.Conflict, `VM ${vm} is being stopped`);
    }
    return [createMoveChange(vm, from, pool)];
  });
}

/** Plans maintenance and starts its waves; `body.id` is the prefix of their ids. */
export function startWaves(deps: OperatorDeps, body: WaveRequest): Promise<Commit> {
  return commitWithRetry(deps, body.author, randomUUID(), () => {
    const { waves, impossible } = deps.planWaves(body.id, body.selection);
    if (impossible !== undefined) {
      throw new OperatorError(
        OperatorErrorCode.Invalid,
        `no maintenance plan is possible: ${impossible}`,
      );
    }
    if (waves.length === 0) {
      throw new OperatorError(OperatorErrorCode.Invalid, 'the selection matches no VM');
    }
    const existing = waves.find(({ id }) => deps.view.get(EntityKind.Wave, id));
    if (existing) {
      throw new OperatorError(OperatorErrorCode.Conflict, `wave ${existing.id} already exists`);
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
  return commitWithRetry(deps, author, randomUUID(), () => {
    const wave = deps.view.get(EntityKind.Wave, id);
    if (!wave) throw new OperatorError(OperatorErrorCode.NotFound, `unknown wave ${id}`);
    if (wave.state === WaveState.Finished) {
      throw new OperatorError(OperatorErrorCode.Invalid, `wave ${id} is already finished`);
    }
    return [state === WaveState.Paused ? pauseWave(wave, `paused by ${author}`) : startWave(wave)];
  });
}

/** Creates changes against the current version and commits them; repeats both after a conflict. */
async function commitWithRetry(
  deps: OperatorDeps,
  author: string,
  changeId: string,
  createChanges: () => EntityChange[],
): Promise<Commit> {
  for (let attempt = 1; ; attempt++) {
    const base = deps.view.version;
    const result = await deps.commit(base, { changeId, author, changes: createChanges() });
    const isConflict = result.isErr && result.error.code === ConfigErrorCode.Conflict;
    if (!isConflict || attempt === MAX_COMMIT_ATTEMPTS) return unwrapCommit(result);
    await deps.clock.sleep(50 * attempt);
  }
}
