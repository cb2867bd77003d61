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
import { commitDecision, type Decide } from './commit.js';
import { awaitDrained, DrainEnd } from './confirmation.js';
import { ProbeResult, type ControllerContext } from './types.js';

/** How a planned stop ended. */
export enum StopEnd {
  /** The VM was rebooted and is back in service. */
  Done = 'done',
  /** The VM was put back in service without a reboot. */
  Cancelled = 'cancelled',
  /** The VM was rebooted and did not return; it is recorded as failed. */
  NotReturned = 'not_returned',
  /** The lease was lost or the process shuts down; the next holder goes on. */
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
  /** VMs that are kept unused of the limits of each pool; 0 by default. */
  reserve?: number;
  /** Most stops to grant; unlimited by default. */
  limit?: number;
}

/** States from which a stop can still be cancelled. */
const CANCELLABLE: ReadonlySet<StopState> = new Set([
  StopState.Granted,
  StopState.Draining,
  StopState.Drained,
]);

/**
 * Grants the stops that every budget allows, in the given order and as one transaction with the
 * counting. VMs that are done in their wave, or whose wave does not run, are passed over.
 *
 * @returns the VMs that were granted; empty when the lease was lost
 */
export async function grantStops(
  ctx: ControllerContext,
  requests: readonly StopRequest[],
  { reserve = 0, limit = Infinity }: GrantOptions = {},
): Promise<string[]> {
  let round = { granted: [] as string[], refusals: [] as BudgetError[] };
  const decided = await commitDecision(ctx, 'stop_grant', (view) => {
    const options = { silentZones: ctx.silentZones(), reserve };
    const open = ctx.mayGrant() ? requests.filter((request) => isOpen(view, request)) : [];
    round = countPermits(view, new Budget(view, options), open, limit);
    const waveOf = new Map(open.map(({ vm, wave }) => [vm, wave]));
    return round.granted.map((id): EntityChange => {
      const value: Stop = { id, wave: waveOf.get(id) ?? '', state: StopState.Granted };
      return { kind: EntityKind.Stop, id, value };
    });
  });
  countRefusals(ctx, 'stop', round.refusals);
  if (decided.isErr) return [];
  ctx.metrics.permits.inc({ kind: 'stop' }, round.granted.length);
  return round.granted;
}

function isOpen(view: ConfigView, { vm, wave: id }: StopRequest): boolean {
  const wave = view.get(EntityKind.Wave, id);
  if (!wave) return true;
  return wave.state === WaveState.Running && !wave.done.includes(vm);
}

/** Rules that refuse every further VM of the pool too. */
const POOL_RULES: ReadonlySet<BudgetRule> = new Set([
  BudgetRule.MaxAway,
  BudgetRule.MinAvailable,
  BudgetRule.MinAvailableSlots,
]);

function countPermits(
  view: ConfigView,
  budget: Budget,
  requests: readonly StopRequest[],
  limit: number,
) {
  const granted: string[] = [];
  const refusals: BudgetError[] = [];
  const exhausted = new Set<string | undefined>();
  for (const { vm } of requests) {
    if (granted.length >= limit) break;
    const pool = view.poolOf(vm);
    if (exhausted.has(pool)) continue;
    const permit = budget.grant(vm, AwayReason.Stop);
    if (permit.isOk) {
      granted.push(vm);
    } else {
      refusals.push(permit.error);
      if (POOL_RULES.has(permit.error.code)) exhausted.add(pool);
    }
  }
  return { granted, refusals };
}

/** Counts refused permits by rule. */
export function countRefusals(
  ctx: Pick<ControllerContext, 'metrics'>,
  kind: 'stop' | 'move',
  refusals: readonly BudgetError[],
): void {
  for (const { code } of refusals) ctx.metrics.permitRefusals.inc({ kind, rule: code });
}

/**
 * Performs a planned stop from whatever state it is in until the VM is back in service. May be
 * called again by the next holder of the lease at any step.
 */
export async function runStop(ctx: ControllerContext, vm: string): Promise<StopEnd> {
  const end = await performStop(ctx, vm);
  if (end !== StopEnd.Interrupted) {
    ctx.metrics.stopsEnded.inc({ result: end });
    ctx.logger.info({ event: 'stop_ended', vm, result: end });
  }
  return end;
}

async function performStop(ctx: ControllerContext, vm: string): Promise<StopEnd> {
  await advance(ctx, vm, StopState.Granted, StopState.Draining);
  if (stateOf(ctx, vm) === StopState.Draining) {
    const end = await drainForStop(ctx, vm);
    if (end === DrainEnd.Closed) return StopEnd.Interrupted;
    if (end !== DrainEnd.Drained) return cancelStop(ctx, vm);
    await advance(ctx, vm, StopState.Draining, StopState.Drained);
  }
  if (stateOf(ctx, vm) === StopState.Drained) {
    // The last count before the point of no return is one transaction with it.
    await advance(ctx, vm, StopState.Drained, StopState.Stopping);
    if (stateOf(ctx, vm) === StopState.Drained) return cancelStop(ctx, vm);
  }
  if (stateOf(ctx, vm) === StopState.Stopping) {
    if (!(await reboot(ctx, vm))) return StopEnd.Interrupted;
    await advance(ctx, vm, StopState.Stopping, StopState.Returning);
  }
  if (stateOf(ctx, vm) === StopState.Returning) return finishStop(ctx, vm);
  const left = stateOf(ctx, vm);
  if (left !== undefined && !CANCELLABLE.has(left)) return StopEnd.Interrupted;
  return cancelStop(ctx, vm);
}

function stateOf(ctx: ControllerContext, vm: string): StopState | undefined {
  return ctx.config.view.get(EntityKind.Stop, vm)?.state;
}

function mayAct(ctx: ControllerContext): boolean {
  return !ctx.signal.aborted && ctx.lease.isHeld;
}

/**
 * Commits the next state, unless the stop is in another state or should be cancelled. A stop that
 * has reached Stopping always goes on.
 */
async function advance(
  ctx: ControllerContext,
  vm: string,
  from: StopState,
  to: StopState,
): Promise<void> {
  await commitDecision(ctx, `stop_${to}`, (view) => {
    const stop = view.get(EntityKind.Stop, vm);
    if (stop?.state !== from) return [];
    if (CANCELLABLE.has(from) && whyCancel(ctx, view, vm)) return [];
    // The change takes effect as the version after the one that it is decided on.
    const drainVersion = to === StopState.Draining ? view.version + 1 : stop.drainVersion;
    return [{ kind: EntityKind.Stop, id: vm, value: { ...stop, state: to, drainVersion } }];
  });
}

/** Why a stop that has not reached Stopping is to be cancelled. */
export function whyCancel(
  ctx: Pick<ControllerContext, 'budgetAt'>,
  view: ConfigView,
  vm: string,
): BudgetError | VmState | undefined {
  const state = view.get(EntityKind.VmStatus, vm)?.state;
  // The vendor drains the VM too, and would stop it a second time.
  if (state === VmState.Leaving) return state;
  const pool = view.poolOf(vm);
  if (pool === undefined) return undefined;
  return ctx.budgetAt(view).broken(pool);
}

async function drainForStop(ctx: ControllerContext, vm: string): Promise<DrainEnd> {
  const { view } = ctx.config;
  const version = view.get(EntityKind.Stop, vm)?.drainVersion ?? view.version;
  const isCancelled = whenCountsChange(ctx, () => {
    return stateOf(ctx, vm) === undefined || whyCancel(ctx, view, vm) !== undefined;
  });
  const end = await awaitDrained(ctx, { vm, version, giveUp: isCancelled });
  ctx.metrics.drains.inc({ kind: 'stop', result: end });
  return end;
}

/**
 * Counting is linear in the pool, so a check that depends only on the view and the silent zones is
 * made again only when one of them has changed.
 */
export function whenCountsChange(
  ctx: Pick<ControllerContext, 'config' | 'silentZones'>,
  check: () => boolean,
): () => boolean {
  let checked: { version: number; silentZones: ReadonlySet<string> } | undefined;
  let result = false;
  return () => {
    const { version } = ctx.config.view;
    const silentZones = ctx.silentZones();
    if (checked?.version !== version || checked.silentZones !== silentZones) {
      checked = { version, silentZones };
      result = check();
    }
    return result;
  };
}

/**
 * Puts the VM back in service and deletes the stop, in this order: while the stop exists, nothing
 * is sent to the VM, and the next holder of the lease sees that the drain is to be undone.
 */
async function cancelStop(ctx: ControllerContext, vm: string): Promise<StopEnd> {
  const isUndone = await undoDrain(ctx, vm);
  if (!isUndone) return StopEnd.Interrupted;
  const ended = await commitDecision(ctx, 'stop_cancel', (view) => {
    const stop = view.get(EntityKind.Stop, vm);
    return stop && CANCELLABLE.has(stop.state) ? [{ kind: EntityKind.Stop, id: vm }] : [];
  });
  return ended.isOk ? StopEnd.Cancelled : StopEnd.Interrupted;
}

/**
 * Takes back the drain order of this controller, again until the platform has answered. The drain
 * of the vendor is left alone.
 */
export async function undoDrain(ctx: ControllerContext, vm: string): Promise<boolean> {
  while (mayAct(ctx)) {
    const state = ctx.config.view.get(EntityKind.VmStatus, vm)?.state;
    if (state === VmState.Leaving) return true;
    const undone = await ctx.platform.pools.cancelDrain(vm);
    if (undone.isOk) return true;
    await ctx.clock.sleep(ctx.settings.confirmIntervalMs, ctx.signal);
  }
  return false;
}

/**
 * Reboots the VM, which refuses new work and has nothing active. A VM that is found rebooting or
 * in service was rebooted by a call whose answer was lost, or by the last holder of the lease.
 */
async function reboot(ctx: ControllerContext, vm: string): Promise<boolean> {
  while (mayAct(ctx)) {
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

/** Makes a call that no transaction guards only while the lease is held by the clock. */
async function callWhileHeld(
  ctx: ControllerContext,
  call: () => PlatformResult<void>,
): Promise<boolean> {
  if (!mayAct(ctx)) return false;
  return (await call()).isOk;
}

/** Waits until the VM is healthy in service, and ends the stop. */
async function finishStop(ctx: ControllerContext, vm: string): Promise<StopEnd> {
  const deadline = ctx.clock.now() + ctx.settings.returnTimeoutMs;
  let hasReturned = await isBack(ctx, vm);
  while (!hasReturned && mayAct(ctx) && ctx.clock.now() < deadline) {
    await ctx.clock.sleep(ctx.settings.confirmIntervalMs, ctx.signal);
    hasReturned = await isBack(ctx, vm);
  }
  if (!mayAct(ctx)) return StopEnd.Interrupted;
  const ended = await commitDecision(ctx, 'stop_done', endOfStop(vm, hasReturned));
  if (ended.isErr) return StopEnd.Interrupted;
  return hasReturned ? StopEnd.Done : StopEnd.NotReturned;
}

async function isBack(ctx: ControllerContext, vm: string): Promise<boolean> {
  const status = await ctx.platform.pools.drainStatus(vm);
  if (status.isErr || status.value.state === DrainState.Rebooting) return false;
  if (status.value.state !== DrainState.InService) {
    await ctx.platform.pools.cancelDrain(vm);
    return false;
  }
  // A VM without an executor has nothing to probe.
  if (!ctx.config.view.get(EntityKind.Vm, vm)?.executor) return true;
  return (await ctx.probe(vm)) === ProbeResult.Healthy;
}

/** Deletes the stop and records the VM in its wave; a VM that did not return stays away. */
function endOfStop(vm: string, hasReturned: boolean): Decide {
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
