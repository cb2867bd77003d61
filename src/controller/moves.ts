import {
  EntityKind,
  MoveState,
  VmState,
  type Assignment,
  type ConfigView,
  type EntityChange,
  type Move,
} from '../configuration/index.js';
import { AwayReason, Budget, type BudgetError } from './budget.js';
import { commitDecision } from './commit.js';
import { awaitDrained, DrainOutcome } from './confirmation.js';
import { countRefusals, cancelDrain, memoizeBudgetCheck } from './stops.js';
import type { ControllerContext } from './types.js';

/** Outcome of a move. */
export enum MoveOutcome {
  Moved = 'moved',
  /** The VM was put back in service in its source pool. */
  Undone = 'undone',
  /** The lease was lost or the process shuts down; the next holder continues the move. */
  Interrupted = 'interrupted',
}

/** Why a move is not started or is undone. */
export enum UndoReason {
  /** The target pool does not exist. */
  NoTarget = 'no_target',
  /** The VM is not in the source pool, or the source and target pools are the same. */
  WrongSource = 'wrong_source',
  /** The target pool may not borrow from a spare pool. */
  MayNotBorrow = 'may_not_borrow',
  /** The VM is not up: it failed, is unreachable or is being drained by the vendor. */
  NotUp = 'not_up',
  /** The source pool violates its budget, and the target pool satisfies its own without the VM. */
  SourceAtRisk = 'source_at_risk',
}

/**
 * Starts requested moves of the zone as far as the budgets of their source pools allow, in the same
 * transaction in which the budgets are evaluated. Requests that the rules of the target pool do not
 * allow are deleted.
 *
 * @param limit - maximum number of moves to start
 */
export async function startMoves(ctx: ControllerContext, limit: number): Promise<void> {
  const hasRequests = requestedMoves(ctx, ctx.config.view).length > 0;
  if (!hasRequests || !ctx.mayGrant()) return;
  let refusals: BudgetError[] = [];
  let started = 0;
  const decided = await commitDecision(ctx, 'move_start', (view) => {
    const budget = new Budget(view, { silentZones: ctx.silentZones() });
    refusals = [];
    started = 0;
    return requestedMoves(ctx, view).flatMap((move): EntityChange[] => {
      if (refusalReason(view, move)) return [{ kind: EntityKind.Move, id: move.id }];
      if (started >= limit) return [];
      const permit = budget.grant(move.id, AwayReason.Move);
      if (permit.isErr) {
        refusals.push(permit.error);
        return [];
      }
      started += 1;
      return [drainingChange(view, move)];
    });
  });
  countRefusals(ctx, 'move', refusals);
  if (decided.isOk) ctx.metrics.permits.inc({ kind: 'move' }, started);
}

function requestedMoves(ctx: ControllerContext, view: ConfigView): Move[] {
  return view
    .list(EntityKind.Move)
    .filter(({ state }) => state === MoveState.Requested)
    .filter(({ id }) => view.get(EntityKind.Vm, id)?.zone === ctx.zone);
}

/** The change that sets a move to Draining; `drainVersion` is the version of its own commit. */
export function drainingChange(view: ConfigView, move: Move): EntityChange {
  const value = { ...move, state: MoveState.Draining, drainVersion: view.version + 1 };
  return { kind: EntityKind.Move, id: move.id, value };
}

/** Why the rules of the configuration do not allow a move; undefined when they do. */
function refusalReason(view: ConfigView, move: Move): UndoReason | undefined {
  const target = view.get(EntityKind.Pool, move.to);
  if (!target) return UndoReason.NoTarget;
  if (view.poolOf(move.id) !== move.from || move.from === move.to) return UndoReason.WrongSource;
  const isHome = view.get(EntityKind.Vm, move.id)?.pool === move.to;
  const isLoan = view.get(EntityKind.Pool, move.from)?.isSpare === true && !isHome;
  return isLoan && !target.mayBorrow ? UndoReason.MayNotBorrow : undefined;
}

/** Why a started move must be undone; undefined when it may continue. */
export function undoReason(
  ctx: Pick<ControllerContext, 'budgetAt'>,
  view: ConfigView,
  move: Move,
): UndoReason | undefined {
  const reason = refusalReason(view, move);
  if (reason) return reason;
  if ((view.get(EntityKind.VmStatus, move.id)?.state ?? VmState.Up) !== VmState.Up) {
    return UndoReason.NotUp;
  }
  const budget = ctx.budgetAt(view);
  const isSourceAtRisk = budget.firstViolation(move.from) && !budget.firstViolation(move.to);
  return isSourceAtRisk ? UndoReason.SourceAtRisk : undefined;
}

/**
 * Performs a started move from its current state until the assignment is written, or undoes it. The
 * next holder of the lease may call it again at any step.
 */
export async function runMove(ctx: ControllerContext, vm: string): Promise<MoveOutcome> {
  const outcome = await performMove(ctx, vm);
  if (outcome !== MoveOutcome.Interrupted) {
    ctx.metrics.movesEnded.inc({ result: outcome });
    ctx.logger.info({ event: 'move_ended', vm, result: outcome });
  }
  return outcome;
}

async function performMove(ctx: ControllerContext, vm: string): Promise<MoveOutcome> {
  if (moveOf(ctx, vm)?.state === MoveState.Draining) {
    const outcome = await drainForMove(ctx, vm);
    if (outcome === DrainOutcome.Closed) return MoveOutcome.Interrupted;
    if (outcome !== DrainOutcome.Drained) return undoMove(ctx, vm);
    await recordDrained(ctx, vm);
  }
  // While the move exists, no entry process sends requests to the VM, so it can be put back in
  // service before the assignment is written. In the opposite order, a crash between the two steps
  // would leave the VM drained without a record of it.
  if (!(await cancelDrain(ctx, vm))) return MoveOutcome.Interrupted;
  const isMoved = await writeAssignment(ctx, vm);
  return isMoved ? MoveOutcome.Moved : undoMove(ctx, vm);
}

function moveOf(ctx: ControllerContext, vm: string): Move | undefined {
  return ctx.config.view.get(EntityKind.Move, vm);
}

async function drainForMove(ctx: ControllerContext, vm: string): Promise<DrainOutcome> {
  const { view } = ctx.config;
  const version = moveOf(ctx, vm)?.drainVersion ?? view.version;
  const isCancelled = memoizeBudgetCheck(ctx, () => {
    const move = moveOf(ctx, vm);
    return move === undefined || undoReason(ctx, view, move) !== undefined;
  });
  const outcome = await awaitDrained(ctx, { vm, version, isCancelled });
  ctx.metrics.drains.inc({ kind: 'move', result: outcome });
  return outcome;
}

async function recordDrained(ctx: ControllerContext, vm: string): Promise<void> {
  await commitDecision(ctx, 'move_drained', (view) => {
    const move = view.get(EntityKind.Move, vm);
    if (move?.state !== MoveState.Draining || undoReason(ctx, view, move)) return [];
    return [{ kind: EntityKind.Move, id: vm, value: { ...move, state: MoveState.Drained } }];
  });
}

async function writeAssignment(ctx: ControllerContext, vm: string): Promise<boolean> {
  const decided = await commitDecision(ctx, 'move_assigned', (view) => {
    const move = view.get(EntityKind.Move, vm);
    if (move?.state !== MoveState.Drained || undoReason(ctx, view, move)) return [];
    const value: Assignment = { id: vm, pool: move.to };
    if (move.lentForBudget) value.lentForBudget = true;
    return [
      { kind: EntityKind.Assignment, id: vm, value },
      { kind: EntityKind.Move, id: vm },
    ];
  });
  return decided.isOk && decided.value.applied;
}

/** Puts the VM back in service and then deletes the move, for the same reason as `cancelStop`. */
async function undoMove(ctx: ControllerContext, vm: string): Promise<MoveOutcome> {
  if (!(await cancelDrain(ctx, vm))) return MoveOutcome.Interrupted;
  const ended = await commitDecision(ctx, 'move_undo', (view) => {
    const move = view.get(EntityKind.Move, vm);
    const isStarted = move !== undefined && move.state !== MoveState.Requested;
    return isStarted ? [{ kind: EntityKind.Move, id: vm }] : [];
  });
  return ended.isOk ? MoveOutcome.Undone : MoveOutcome.Interrupted;
}
