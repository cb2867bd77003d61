import {
  EntityKind,
  StopState,
  VmState,
  WaveState,
  type ConfigView,
  type EntityChange,
  type Stop,
} from '../configuration/index.js';
import { DrainState, type PlatformResult } from '../platform/index.js';
import { AwayReason, Budget, BudgetRule, type BudgetError } from './budget.js';
import { commitDecision, type DecisionFunction } from './commit.js';
import { awaitDrained, DrainOutcome } from './confirmation.js';
import { ProbeResult, type ControllerContext } from './types.js';

/** Outcome of a planned stop. */
export enum StopOutcome {
  /** The VM was rebooted and is back in service. */
  Done = 'done',
  /** The VM was put back in service without a reboot. */
  Cancelled = 'cancelled',
  /** The VM was rebooted and did not return; it is recorded as failed. */
  NotReturned = 'not_returned',
  /** The lease was lost or the process shuts down; the next holder continues the stop. */
  Interrupted = 'interrupted',
}

/** A request for a planned stop. */
export interface StopRequest {
  vm: string;
  /** Id of the wave. */
  wave: string;
}

/** Options of {@link grantStops}. */
export interface GrantOptions {
  /** VMs of each pool held in reserve below its pool-wide limits; 0 by default. */
  reserve?: number;
  /** Maximum number of stops to grant; unlimited by default. */
  limit?: number;
}

/** States from which a stop can still be cancelled. */
const CANCELLABLE_STATES: ReadonlySet<StopState> = new Set([
  StopState.Granted,
  StopState.Draining,
  StopState.Drained,
]);

/**
 * Grants the stops that every budget allows, in the given order and in the same transaction in
 * which the budgets are evaluated. VMs that are done in their wave, or whose wave is not running,
 * are skipped.
 *
 * @returns the VMs whose stop was granted; empty when the lease was lost
 */
export async function grantStops(
  ctx: ControllerContext,
  requests: readonly StopRequest[],
  { reserve = 0, limit = Infinity }: GrantOptions = {},
): Promise<string[]> {
  let result = { granted: [] as string[], refusals: [] as BudgetError[] };
  const decided = await commitDecision(ctx, 'stop_grant', (view) => {
    const options = { silentZones: ctx.silentZones(), reserve };
    const pending = ctx.mayGrant() ? requests.filter((request) => isPending(view, request)) : [];
    result = grantPermits(view, new Budget(view, options), pending, limit);
    const waveOf = new Map(pending.map(({ vm, wave }) => [vm, wave]));
    return result.granted.map((id): EntityChange => {
      const value: Stop = { id, wave: waveOf.get(id) ?? '', state: StopState.Granted };
      return { kind: EntityKind.Stop, id, value };
    });
  });
  countRefusals(ctx, 'stop', result.refusals);
  if (decided.isErr) return [];
  ctx.metrics.permits.inc({ kind: 'stop' }, result.granted.length);
  return result.granted;
}

function isPending(view: ConfigView, { vm, wave: id }: StopRequest): boolean {
  const wave = view.get(EntityKind.Wave, id);
  if (!wave) return true;
  return wave.state === WaveState.Running && !wave.done.includes(vm);
}

/** Rules that apply to the whole pool; a refusal by one of them ends the grants for the pool. */
const POOL_WIDE_RULES: ReadonlySet<BudgetRule> = new Set([
  BudgetRule.MaxAway,
  BudgetRule.MinAvailable,
  BudgetRule.MinAvailableSlots,
]);

function grantPermits(
  view: ConfigView,
  budget: Budget,
  requests: readonly StopRequest[],
  limit: number,
) {
  const granted: string[] = [];
  const refusals: BudgetError[] = [];
  const exhaustedPools = new Set<string | undefined>();
  for (const { vm } of requests) {
    if (granted.length >= limit) break;
    const pool = view.poolOf(vm);
    if (exhaustedPools.has(pool)) continue;
    const permit = budget.grant(vm, AwayReason.Stop);
    if (permit.isOk) {
      granted.push(vm);
    } else {
      refusals.push(permit.error);
      if (POOL_WIDE_RULES.has(permit.error.code)) exhaustedPools.add(pool);
    }
  }
  return { granted, refusals };
}

/** Counts refused permits by rule in the metrics. */
export function countRefusals(
  ctx: Pick<ControllerContext, 'metrics'>,
  kind: 'stop' | 'move',
  refusals: readonly BudgetError[],
): void {
  for (const { code } of refusals) ctx.metrics.permitRefusals.inc({ kind, rule: code });
}

/**
 * Performs a planned stop from its current state until the VM is back in service. The next holder
 * of the lease may call it again at any step.
 */
export async function runStop(ctx: ControllerContext, vm: string): Promise<StopOutcome> {
  const outcome = await performStop(ctx, vm);
  if (outcome !== StopOutcome.Interrupted) {
    ctx.metrics.stopsEnded.inc({ result: outcome });
    ctx.logger.info({ event: 'stop_ended', vm, result: outcome });
  }
  return outcome;
}

async function performStop(ctx: ControllerContext, vm: string): Promise<StopOutcome> {
  await advanceStop(ctx, vm, StopState.Granted, StopState.Draining);
  if (stateOf(ctx, vm) === StopState.Draining) {
    const outcome = await drainForStop(ctx, vm);
    if (outcome === DrainOutcome.Closed) return StopOutcome.Interrupted;
    if (outcome !== DrainOutcome.Drained) return cancelStop(ctx, vm);
    await advanceStop(ctx, vm, StopState.Draining, StopState.Drained);
  }
  if (stateOf(ctx, vm) === StopState.Drained) {
    // The budgets are checked a last time in the transaction that makes the stop irreversible.
    await advanceStop(ctx, vm, StopState.Drained, StopState.Stopping);
    if (stateOf(ctx, vm) === StopState.Drained) return cancelStop(ctx, vm);
  }
  if (stateOf(ctx, vm) === StopState.Stopping) {
    if (!(await reboot(ctx, vm))) return StopOutcome.Interrupted;
    await advanceStop(ctx, vm, StopState.Stopping, StopState.Returning);
  }
  if (stateOf(ctx, vm) === StopState.Returning) return finishStop(ctx, vm);
  const state = stateOf(ctx, vm);
  if (state !== undefined && !CANCELLABLE_STATES.has(state)) return StopOutcome.Interrupted;
  return cancelStop(ctx, vm);
}

function stateOf(ctx: ControllerContext, vm: string): StopState | undefined {
  return ctx.config.view.get(EntityKind.Stop, vm)?.state;
}

function isActive(ctx: ControllerContext): boolean {
  return !ctx.signal.aborted && ctx.lease.isHeld;
}

/**
 * Commits the next state, unless the stop is in another state or must be cancelled. A stop that has
 * reached Stopping can no longer be cancelled.
 */
async function advanceStop(
  ctx: ControllerContext,
  vm: string,
  from: StopState,
  to: StopState,
): Promise<void> {
  await commitDecision(ctx, `stop_${to}`, (view) => {
    const stop = view.get(EntityKind.Stop, vm);
    if (stop?.state !== from) return [];
    if (CANCELLABLE_STATES.has(from) && cancelReason(ctx, view, vm)) return [];
    // The change is committed as the version that follows the evaluated one.
    const drainVersion = to === StopState.Draining ? view.version + 1 : stop.drainVersion;
    return [{ kind: EntityKind.Stop, id: vm, value: { ...stop, state: to, drainVersion } }];
  });
}

/** Why a stop that has not reached Stopping must be cancelled; undefined when it may continue. */
export function cancelReason(
  ctx: Pick<ControllerContext, 'budgetAt'>,
  view: ConfigView,
  vm: string,
): BudgetError | VmState | undefined {
  const state = view.get(EntityKind.VmStatus, vm)?.state;
  // The vendor is draining the VM as well and would stop it a second time.
  if (state === VmState.Leaving) return state;
  const pool = view.poolOf(vm);
  if (pool === undefined) return undefined;
  return ctx.budgetAt(view).firstViolation(pool);
}

async function drainForStop(ctx: ControllerContext, vm: string): Promise<DrainOutcome> {
  const { view } = ctx.config;
  const version = view.get(EntityKind.Stop, vm)?.drainVersion ?? view.version;
  const isCancelled = memoizeBudgetCheck(ctx, () => {
    return stateOf(ctx, vm) === undefined || cancelReason(ctx, view, vm) !== undefined;
  });
  const outcome = await awaitDrained(ctx, { vm, version, isCancelled });
  ctx.metrics.drains.inc({ kind: 'stop', result: outcome });
  return outcome;
}

/**
 * Memoizes a check that depends only on the view and the silent zones. Counting a budget is linear
 * in the size of the pool, so the check is repeated only when one of the two has changed.
 */
export function memoizeBudgetCheck(
  ctx: Pick<ControllerContext, 'config' | 'silentZones'>,
  check: () => boolean,
): () => boolean {
  let lastInputs: { version: number; silentZones: ReadonlySet<string> } | undefined;
  let result = false;
  return () => {
    const { version } = ctx.config.view;
    const silentZones = ctx.silentZones();
    if (lastInputs?.version !== version || lastInputs.silentZones !== silentZones) {
      lastInputs = { version, silentZones };
      result = check();
    }
    return result;
  };
}

/**
 * Puts the VM back in service and then deletes the stop. While the stop exists, nothing is sent to
 * the VM, and the next holder of the lease can see that the drain must be cancelled.
 */
async function cancelStop(ctx: ControllerContext, vm: string): Promise<StopOutcome> {
  const isDrainCancelled = await cancelDrain(ctx, vm);
  if (!isDrainCancelled) return StopOutcome.Interrupted;
  const ended = await commitDecision(ctx, 'stop_cancel', (view) => {
    const stop = view.get(EntityKind.Stop, vm);
    return stop && CANCELLABLE_STATES.has(stop.state) ? [{ kind: EntityKind.Stop, id: vm }] : [];
  });
  return ended.isOk ? StopOutcome.Cancelled : StopOutcome.Interrupted;
}

/**
 * Cancels the drain order of this controller, and retries until the platform has confirmed it. A
 * drain by the vendor stays in force.
 *
 * @returns false when the lease was lost or the process shuts down
 */
export async function cancelDrain(ctx: ControllerContext, vm: string): Promise<boolean> {
  while (isActive(ctx)) {
    const state = ctx.config.view.get(EntityKind.VmStatus, vm)?.state;
    if (state === VmState.Leaving) return true;
    const cancelled = await ctx.platform.pools.cancelDrain(vm);
    if (cancelled.isOk) return true;
    await ctx.clock.sleep(ctx.settings.confirmIntervalMs, ctx.signal);
  }
  return false;
}

/**
 * Reboots the VM once it refuses new work and has nothing active. A VM that is rebooting or in
 * service was already rebooted by a call whose response was lost, or by a previous lease holder.
 */
async function reboot(ctx: ControllerContext, vm: string): Promise<boolean> {
  while (isActive(ctx)) {
    const status = await ctx.platform.pools.drainStatus(vm);
    if (status.isOk) {
      const { state, active } = status.value;
      if (state === DrainState.Rebooting || state === DrainState.InService) return true;
      const isDrained = state === DrainState.Drained && active === 0;
      if (isDrained && (await callWhileHeld(ctx, () => ctx.platform.pools.reboot(vm)))) return true;
    }
    await ctx.clock.sleep(ctx.settings.confirmIntervalMs, ctx.signal);
  }
  return false;
}

/** Makes a call that no transaction guards, unless the lease has expired on the local clock. */
async function callWhileHeld(
  ctx: ControllerContext,
  call: () => PlatformResult<void>,
): Promise<boolean> {
  if (!isActive(ctx)) return false;
  return (await call()).isOk;
}

/** Waits until the VM is in service and healthy or the wait times out, and ends the stop. */
async function finishStop(ctx: ControllerContext, vm: string): Promise<StopOutcome> {
  const deadline = ctx.clock.now() + ctx.settings.returnTimeoutMs;
  let hasReturned = await checkReturned(ctx, vm);
  while (!hasReturned && isActive(ctx) && ctx.clock.now() < deadline) {
    await ctx.clock.sleep(ctx.settings.confirmIntervalMs, ctx.signal);
    hasReturned = await checkReturned(ctx, vm);
  }
  if (!isActive(ctx)) return StopOutcome.Interrupted;
  const ended = await commitDecision(ctx, 'stop_done', decideStopEnd(vm, hasReturned));
  if (ended.isErr) return StopOutcome.Interrupted;
  return hasReturned ? StopOutcome.Done : StopOutcome.NotReturned;
}

/** Whether the VM is back in service and healthy. Cancels a drain that keeps it out of service. */
async function checkReturned(ctx: ControllerContext, vm: string): Promise<boolean> {
  const status = await ctx.platform.pools.drainStatus(vm);
  if (status.isErr || status.value.state === DrainState.Rebooting) return false;
  if (status.value.state !== DrainState.InService) {
    await ctx.platform.pools.cancelDrain(vm);
    return false;
  }
  // A VM without a backend server has nothing to probe.
  if (!ctx.config.view.get(EntityKind.Vm, vm)?.executor) return true;
  return (await ctx.probe(vm)) === ProbeResult.Healthy;
}

/**
 * Deletes the stop and records the VM as done in its wave. A VM that did not return is recorded as
 * failed, so it stays away.
 */
function decideStopEnd(vm: string, hasReturned: boolean): DecisionFunction {
  return (view) => {
    const stop = view.get(EntityKind.Stop, vm);
    if (stop?.state !== StopState.Returning) return [];
    const changes: EntityChange[] = [{ kind: EntityKind.Stop, id: vm }];
    if (!hasReturned) {
      const value = { id: vm, state: VmState.Failed };
      changes.push({ kind: EntityKind.VmStatus, id: vm, value });
    }
    const wave = view.get(EntityKind.Wave, stop.wave);
    if (wave) {
      const value = { ...wave, done: [...new Set([...wave.done, vm])] };
      changes.push({ kind: EntityKind.Wave, id: wave.id, value });
    }
    return changes;
  };
}
