import {
  EntityKind,
  WaveState,
  type ConfigView,
  type EntityChange,
  type Wave,
} from '../configuration/index.js';
import type { BudgetError, BudgetReport } from './budget.js';
import { commitDecision } from './commit.js';
import { isOfZone } from './context.js';
import { grantStops, type StopRequest } from './stops.js';
import type { ControllerContext } from './types.js';

/** VMs of a wave that are not done. */
export function pendingVms(wave: Wave): string[] {
  const done = new Set(wave.done);
  return wave.batches.flat().filter((vm) => !done.has(vm));
}

/** The change by which an operator starts or resumes a wave. */
export function startWave({ id, batches, done }: Wave): EntityChange {
  return waveChange({ id, batches, done, state: WaveState.Running });
}

/** The change by which an operator pauses a wave; stops that were granted are finished. */
export function pauseWave({ id, batches, done }: Wave, reason: string): EntityChange {
  return waveChange({ id, batches, done, state: WaveState.Paused, reason });
}

function waveChange(value: Wave): EntityChange {
  return { kind: EntityKind.Wave, id: value.id, value };
}

/** Looks after the waves; call it at intervals. */
export type ReconcileWaves = () => Promise<void>;

/**
 * Creates the task that pauses waves when a budget of their pools is broken, resumes them after it
 * has held for long enough, finishes waves, and grants stops of VMs of the zone in the order of the
 * waves and their batches.
 */
export function createWaveReconciler(ctx: ControllerContext): ReconcileWaves {
  const unbrokenSince = new Map<string, number>();
  return async () => {
    if (ctx.config.view.list(EntityKind.Wave).length === 0) return;
    await pauseAtRisk(ctx);
    await resumeUnbroken(ctx, unbrokenSince);
    await finishWaves(ctx);
    const limit = ctx.settings.maxOpenStops - openStops(ctx);
    const requests = limit > 0 ? openRequests(ctx) : [];
    const reserve = ctx.settings.waveReserve;
    if (requests.length > 0) await grantStops(ctx, requests, { reserve, limit });
  };
}

/** The first broken rule of the pools of a wave's pending VMs. */
function riskOf(view: ConfigView, budget: BudgetReport, wave: Wave): BudgetError | undefined {
  const pools = new Set(pendingVms(wave).map((vm) => view.poolOf(vm)));
  for (const pool of pools) {
    const broken = pool === undefined ? undefined : budget.broken(pool);
    if (broken) return broken;
  }
  return undefined;
}

async function pauseAtRisk(ctx: ControllerContext): Promise<void> {
  let risks: BudgetError[] = [];
  const decided = await commitDecision(ctx, 'wave_pause', (view) => {
    const budget = ctx.budgetAt(view);
    risks = [];
    return wavesIn(view, WaveState.Running).flatMap((wave): EntityChange[] => {
      const risk = riskOf(view, budget, wave);
      if (!risk) return [];
      risks.push(risk);
      const state = WaveState.Paused;
      return [waveChange({ ...wave, state, reason: risk.message, pausedByController: true })];
    });
  });
  if (decided.isErr) return;
  for (const { code, message } of risks) {
    ctx.metrics.wavePauses.inc({ rule: code });
    ctx.logger.warn({ event: 'wave_paused', reason: message });
  }
}

async function resumeUnbroken(
  ctx: ControllerContext,
  unbrokenSince: Map<string, number>,
): Promise<void> {
  const { view } = ctx.config;
  const now = ctx.clock.now();
  const calm = new Set(calmWaves(ctx, view).map(({ id }) => id));
  for (const id of unbrokenSince.keys()) if (!calm.has(id)) unbrokenSince.delete(id);
  for (const id of calm) if (!unbrokenSince.has(id)) unbrokenSince.set(id, now);
  const due = new Set(
    [...unbrokenSince].filter(([, at]) => now - at >= ctx.settings.resumeAfterMs).map(([id]) => id),
  );
  if (due.size === 0) return;
  await commitDecision(ctx, 'wave_resume', (newest) =>
    calmWaves(ctx, newest)
      .filter(({ id }) => due.has(id))
      .map(startWave),
  );
}

/** Waves that a controller paused and whose budgets hold. */
function calmWaves(ctx: ControllerContext, view: ConfigView): Wave[] {
  const budget = ctx.budgetAt(view);
  return wavesIn(view, WaveState.Paused)
    .filter(({ pausedByController }) => pausedByController === true)
    .filter((wave) => !riskOf(view, budget, wave));
}

/** A VM that left the inventory needs no stop. */
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

function openStops(ctx: ControllerContext): number {
  return ctx.config.view.list(EntityKind.Stop).filter(({ id }) => isOfZone(ctx, id)).length;
}

/** VMs of the zone that wait for their stop and are in service, in the order of the waves. */
function openRequests(ctx: ControllerContext): StopRequest[] {
  const { view } = ctx.config;
  const requests: StopRequest[] = [];
  const waves = wavesIn(view, WaveState.Running).sort((a, b) => (a.id < b.id ? -1 : 1));
  for (const wave of waves) {
    for (const vm of pendingVms(wave)) {
      if (isOfZone(ctx, vm) && isInService(view, vm)) requests.push({ vm, wave: wave.id });
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
