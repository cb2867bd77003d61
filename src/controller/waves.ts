import {
  EntityKind,
  WaveState,
  type ConfigView,
  type EntityChange,
  type Wave,
} from '../configuration/index.js';
import type { BudgetError, ReadonlyBudget } from './budget.js';
import { commitDecision } from './commit.js';
import { isInZone } from './context.js';
import { grantStops, type StopRequest } from './stops.js';
import type { ControllerContext } from './types.js';

/** VMs of a wave whose maintenance is not done. */
export function pendingVms(wave: Wave): string[] {
  const done = new Set(wave.done);
  return wave.batches.flat().filter((vm) => !done.has(vm));
}

/** The change by which an operator starts or resumes a wave. */
export function startWave({ id, batches, done }: Wave): EntityChange {
  return waveChange({ id, batches, done, state: WaveState.Running });
}

/** The change by which an operator pauses a wave; stops that were already granted are completed. */
export function pauseWave({ id, batches, done }: Wave, reason: string): EntityChange {
  return waveChange({ id, batches, done, state: WaveState.Paused, reason });
}

function waveChange(value: Wave): EntityChange {
  return { kind: EntityKind.Wave, id: value.id, value };
}

/** Reconciles the waves; call it periodically. */
export type ReconcileWaves = () => Promise<void>;

/**
 * Creates the function that pauses waves when a pool of their pending VMs violates a budget,
 * resumes them after the budgets were satisfied for long enough, finishes waves, and grants stops
 * of VMs of the zone in the order of the waves and their batches.
 */
export function createWaveReconciler(ctx: ControllerContext): ReconcileWaves {
  /** Time since which each paused wave could be resumed, by wave id. */
  const resumableSince = new Map<string, number>();
  return async () => {
    if (ctx.config.view.list(EntityKind.Wave).length === 0) return;
    await pauseViolatingWaves(ctx);
    await resumeWaves(ctx, resumableSince);
    await finishWaves(ctx);
    const limit = ctx.settings.maxOpenStops - countOpenStops(ctx);
    const requests = limit > 0 ? pendingRequests(ctx) : [];
    const reserve = ctx.settings.waveReserve;
    if (requests.length > 0) await grantStops(ctx, requests, { reserve, limit });
  };
}

/** The first rule that a pool of the wave's pending VMs violates. */
function violationOf(
  view: ConfigView,
  budget: ReadonlyBudget,
  wave: Wave,
): BudgetError | undefined {
  const pools = new Set(pendingVms(wave).map((vm) => view.poolOf(vm)));
  for (const pool of pools) {
    const violation = pool === undefined ? undefined : budget.firstViolation(pool);
    if (violation) return violation;
  }
  return undefined;
}

async function pauseViolatingWaves(ctx: ControllerContext): Promise<void> {
  let violations: BudgetError[] = [];
  const decided = await commitDecision(ctx, 'wave_pause', (view) => {
    const budget = ctx.budgetAt(view);
    violations = [];
    return wavesIn(view, WaveState.Running).flatMap((wave): EntityChange[] => {
      const violation = violationOf(view, budget, wave);
      if (!violation) return [];
      violations.push(violation);
      const state = WaveState.Paused;
      return [waveChange({ ...wave, state, reason: violation.message, pausedByController: true })];
    });
  });
  if (decided.isErr) return;
  for (const { code, message } of violations) {
    ctx.metrics.wavePauses.inc({ rule: code });
    ctx.logger.warn({ event: 'wave_paused', reason: message });
  }
}

async function resumeWaves(
  ctx: ControllerContext,
  resumableSince: Map<string, number>,
): Promise<void> {
  const { view } = ctx.config;
  const now = ctx.clock.now();
  const resumable = new Set(resumableWaves(ctx, view).map(({ id }) => id));
  for (const id of resumableSince.keys()) if (!resumable.has(id)) resumableSince.delete(id);
  for (const id of resumable) if (!resumableSince.has(id)) resumableSince.set(id, now);
  const due = new Set(
    [...resumableSince]
      .filter(([, at]) => now - at >= ctx.settings.resumeAfterMs)
      .map(([id]) => id),
  );
  if (due.size === 0) return;
  await commitDecision(ctx, 'wave_resume', (newest) =>
    resumableWaves(ctx, newest)
      .filter(({ id }) => due.has(id))
      .map(startWave),
  );
}

/** Waves that a controller paused and whose budgets are satisfied. */
function resumableWaves(ctx: ControllerContext, view: ConfigView): Wave[] {
  const budget = ctx.budgetAt(view);
  return wavesIn(view, WaveState.Paused)
    .filter(({ pausedByController }) => pausedByController === true)
    .filter((wave) => !violationOf(view, budget, wave));
}

/** Finishes waves without pending VMs. VMs that were removed from the inventory need no stop. */
async function finishWaves(ctx: ControllerContext): Promise<void> {
  await commitDecision(ctx, 'wave_finish', (view) =>
    wavesIn(view, WaveState.Running)
      .filter((wave) => pendingVms(wave).every((vm) => !view.get(EntityKind.Vm, vm)))
      .map((wave) => waveChange({ ...wave, state: WaveState.Finished })),
  );
}

function wavesIn(view: ConfigView, state: WaveState): Wave[] {
  return view.list(EntityKind.Wave).filter((wave) => wave.state === state);
}

function countOpenStops(ctx: ControllerContext): number {
  return ctx.config.view.list(EntityKind.Stop).filter(({ id }) => isInZone(ctx, id)).length;
}

/** VMs of the zone that are in service and wait for their stop, in the order of the waves. */
function pendingRequests(ctx: ControllerContext): StopRequest[] {
  const { view } = ctx.config;
  const requests: StopRequest[] = [];
  const waves = wavesIn(view, WaveState.Running).sort((a, b) => (a.id < b.id ? -1 : 1));
  for (const wave of waves) {
    for (const vm of pendingVms(wave)) {
      if (isInZone(ctx, vm) && isInService(view, vm)) requests.push({ vm, wave: wave.id });
    }
  }
  return requests;
}

function isInService(view: ConfigView, vm: string): boolean {
  return (
    !view.get(EntityKind.VmStatus, vm) &&
    !view.get(EntityKind.Stop, vm) &&
    !view.get(EntityKind.Move, vm)
  );
}
