import fc from 'fast-check';
import test from 'ava';
import {
  EntityKind,
  StopState,
  VmState,
  WaveState,
  type ConfigView,
  type EntityChange,
  type Pool,
  type Wave,
} from '../configuration/index.js';
import { ListedVmState } from '../platform/index.js';
import { createRandom } from '../random/index.js';
import { ControllerRig, findViolations, fleetOf } from '../testing/controllerRig.js';
import { MemoryView } from '../testing/memoryView.js';
import {
  AwayReason,
  Budget,
  BudgetRule,
  createZoneReports,
  leaseKey,
  pauseWave,
  planWave,
  ProbeResult,
  startWave,
  type WavePlanOptions,
} from './index.js';

const SEED = 20_262;
const MINUTE_MS = 60_000;
const DAY_MS = 24 * 60 * MINUTE_MS;
const NO_ZONES: ReadonlySet<string> = new Set();
const OPTIONS: WavePlanOptions = {
  id: 'w',
  reserve: 0,
  stopMs: 30 * MINUTE_MS,
  maxWaveVms: 1_000_000,
};

type Plan = (view: ConfigView) => string[][];

const plannedBatches: Plan = (view) => {
  const plan = planWave(view, OPTIONS);
  return plan.isOk ? plan.value.waves.flatMap(({ batches }) => batches) : [];
};

/** Faulty variant: batches of `maxAway` VMs in inventory order, without regard to racks. */
const inventoryOrder: Plan = (view) => {
  const ids = view.list(EntityKind.Vm).map(({ id }) => id);
  const size = view.list(EntityKind.Pool)[0]?.maxAway ?? 1;
  return ids.flatMap((_, i) => (i % size === 0 ? [ids.slice(i, i + size)] : []));
};

function batchesSatisfyBudgets(plan: Plan) {
  const limit = (max: number) => fc.integer({ min: 1, max });
  const rules = fc.record({
    minAvailable: fc.integer({ min: 0, max: 23 }),
    maxAway: limit(12),
    maxAwayPerRack: limit(4),
    maxAwayPerZone: limit(8),
  });
  return fc.property(rules, fc.integer({ min: 0, max: 184 }), (pool, minAvailableSlots) => {
    const view = new MemoryView();
    const shape = { zones: 2, racksPerZone: 3, vmsPerRack: 4, pools: [pool], minAvailableSlots };
    view.apply(fleetOf(shape));
    const planned = planWave(view, OPTIONS);
    const batches = plan(view);
    const isComplete = new Set(batches.flat()).size === 24;
    const satisfiesBudgets = batches.every((batch) => {
      const budget = new Budget(view, { silentZones: NO_ZONES });
      return batch.every((id) => budget.grant(id, AwayReason.Stop).isOk);
    });
    const isShortest = planned.isOk && planned.value.batches === planned.value.lowerBound;
    return isComplete && satisfiesBudgets && isShortest;
  });
}

test('a plan covers each VM, satisfies every budget and meets the lower bound', (t) => {
  t.notThrows(() => {
    fc.assert(batchesSatisfyBudgets(plannedBatches), { seed: SEED, numRuns: 300 });
  });
  t.throws(() => {
    fc.assert(batchesSatisfyBudgets(inventoryOrder), { seed: SEED, numRuns: 300 });
  });
});

test('a plan fails with the rule that never allows a stop', (t) => {
  const cases: [Partial<Pool>, number, number, BudgetRule][] = [
    [{ maxAway: 0 }, 0, 0, BudgetRule.MaxAway],
    [{ maxAway: 1 }, 0, 1, BudgetRule.MaxAway],
    [{ minAvailable: 4 }, 0, 0, BudgetRule.MinAvailable],
    [{ maxAwayPerRack: 0 }, 0, 0, BudgetRule.MaxAwayPerRack],
    [{ maxAwayPerZone: 0 }, 0, 0, BudgetRule.MaxAwayPerZone],
    [{}, 25, 0, BudgetRule.MinAvailableSlots],
  ];
  for (const [pool, minAvailableSlots, reserve, rule] of cases) {
    const view = new MemoryView();
    const shape = { zones: 1, racksPerZone: 2, vmsPerRack: 2, pools: [pool], minAvailableSlots };
    view.apply(fleetOf(shape));
    const plan = planWave(view, { ...OPTIONS, reserve });
    t.is(plan.isErr && plan.error.code, rule);
  }
});

test('wave entities are bounded in size and contain every VM', (t) => {
  const view = new MemoryView();
  view.apply(fleetOf({ zones: 2, racksPerZone: 5, vmsPerRack: 5, pools: [{ maxAway: 20 }] }));
  const plan = planWave(view, { ...OPTIONS, maxWaveVms: 15 });
  if (plan.isErr) return t.fail(plan.error.message);
  const sizes = plan.value.waves.map(({ batches }) => batches.flat().length);
  t.deepEqual(sizes, [15, 15, 15, 5]);
  t.is(new Set(plan.value.waves.flatMap(({ batches }) => batches.flat())).size, 50);
  t.is(plan.value.batches, 3);
});

async function startFleet(pool: Partial<Pool>, settings = {}) {
  const rig = new ControllerRig(settings);
  await rig.load(fleetOf({ zones: 2, racksPerZone: 3, vmsPerRack: 4, pools: [pool] }));
  const plan = planWave(await rig.newestView(), { ...OPTIONS, reserve: 1, maxWaveVms: 10 });
  if (plan.isErr) throw plan.error;
  await rig.commitAsOperator(plan.value.waves.map(startWave));
  const processes = ['z0', 'z1'].map((zone) => rig.start(zone, `${zone}-a`));
  return { rig, processes };
}

const areFinished = (view: ConfigView) =>
  view.list(EntityKind.Wave).every(({ state }) => state === WaveState.Finished);

const RULES = { maxAway: 5, maxAwayPerRack: 2, maxAwayPerZone: 4, minAvailable: 18 };

test('a wave maintains each VM once, satisfies every budget and finishes', async (t) => {
  const { rig } = await startFleet(RULES);
  t.true(await rig.until(areFinished, 10 * MINUTE_MS, 1_000));
  t.is(rig.platform.reboots.length, 24);
  t.is(new Set(rig.platform.reboots).size, 24);
  t.deepEqual(findViolations(await rig.deltas()), []);
  await rig.close();
});

test('a wave paused by an operator grants no stops until it is resumed', async (t) => {
  const { rig } = await startFleet(RULES);
  await rig.until(() => rig.platform.reboots.length >= 4, MINUTE_MS);
  const waves = (await rig.newestView()).list(EntityKind.Wave);
  await rig.commitAsOperator(waves.map((wave) => pauseWave(wave, 'change freeze')));
  await rig.until((view) => view.list(EntityKind.Stop).length === 0, MINUTE_MS);
  const { length } = rig.platform.reboots;
  await rig.clock.advance(20 * MINUTE_MS);
  t.is(rig.platform.reboots.length, length);
  t.true(length < 24);
  await rig.commitAsOperator((await rig.newestView()).list(EntityKind.Wave).map(startWave));
  t.true(await rig.until(areFinished, 10 * MINUTE_MS, 1_000));
  await rig.close();
});

test('a wave pauses when a rack is lost or drained, and resumes when the budget is satisfied', async (t) => {
  const lost = ['z1r1v0', 'z1r1v1', 'z1r1v2', 'z1r1v3'];
  const causes: Record<string, (rig: ControllerRig, isLost: boolean) => void> = {
    'rack lost': (rig, isLost) => {
      for (const id of lost) {
        if (isLost) rig.unhealthyVms.set(id, ProbeResult.Unreachable);
        else rig.unhealthyVms.delete(id);
      }
    },
    'vendor drain': (rig, isLost) => {
      const state = isLost ? ListedVmState.Leaving : ListedVmState.Live;
      for (const id of lost) rig.platform.vms.set(id, { id, zone: 'z1', state });
    },
  };
  for (const [title, setLost] of Object.entries(causes)) {
    const { rig } = await startFleet(RULES, { resumeAfterMs: 5 * MINUTE_MS });
    await rig.until(() => rig.platform.reboots.length >= 4, MINUTE_MS);
    setLost(rig, true);
    const arePaused = (view: ConfigView) =>
      view.list(EntityKind.Wave).every(({ state }) => state !== WaveState.Running);
    t.true(await rig.until(arePaused, MINUTE_MS), title);
    const isIdle = (view: ConfigView) => view.list(EntityKind.Stop).length === 0;
    t.true(await rig.until(isIdle, MINUTE_MS), title);
    const { length } = rig.platform.reboots;
    await rig.clock.advance(20 * MINUTE_MS);
    t.is(rig.platform.reboots.length, length, title);
    setLost(rig, false);
    t.true(await rig.until(areFinished, 30 * MINUTE_MS, 5_000), title);
    t.is(new Set(rig.platform.reboots).size, 24, title);
    t.deepEqual(findViolations(await rig.deltas()), [], title);
    await rig.close();
  }
});

test('the zone of a silent controller counts as away only with a finite reportTtlMs', async (t) => {
  for (const [reportTtlMs, isCounted] of [
    [30_000, true],
    [Infinity, false],
  ] as const) {
    const rules = { ...RULES, maxAway: 13, minAvailable: 11 };
    const { rig, processes } = await startFleet(rules, { reportTtlMs });
    await rig.until(() => rig.platform.reboots.length >= 4, MINUTE_MS);
    const before = rig.platform.reboots.length;
    rig.unhealthyVms.set('z0r0v0', ProbeResult.Failed);
    await processes[1]?.lifecycle.close();
    await rig.clock.advance(45_000);
    const waves = (await rig.newestView()).list(EntityKind.Wave);
    t.is(
      waves.some(({ pausedByController }) => pausedByController === true),
      isCounted,
    );
    t.true(rig.platform.reboots.length >= before);
    rig.unhealthyVms.clear();
    rig.start('z1', 'z1-b');
    t.true(await rig.until(areFinished, 30 * MINUTE_MS, 5_000));
    await rig.close();
  }
});

test('reports are complete only when each zone was seen to renew or to be silent', (t) => {
  const view = new MemoryView();
  view.apply(fleetOf({ zones: 3, racksPerZone: 1, vmsPerRack: 1, pools: [{}] }));
  const row = (zone: string, version: number) => ({ key: leaseKey(zone), version, value: {} });
  const readings: { at: number; rows?: [number, number]; complete: boolean; silent: string[] }[] = [
    { at: 0, rows: [1, 1], complete: false, silent: [] },
    { at: 2_000, rows: [2, 1], complete: false, silent: [] },
    { at: 29_000, rows: [3, 1], complete: false, silent: [] },
    { at: 31_000, rows: [4, 1], complete: true, silent: ['z2'] },
    { at: 33_000, rows: [5, 2], complete: true, silent: [] },
    // Silence is measured anew after a reading that failed.
    { at: 35_000, complete: false, silent: [] },
    { at: 90_000, rows: [5, 2], complete: false, silent: [] },
    { at: 92_000, rows: [6, 3], complete: true, silent: [] },
  ];
  const reports = createZoneReports('z0', 30_000);
  for (const { at, rows, complete, silent } of readings) {
    reports.observe(rows && [row('z1', rows[0]), row('z2', rows[1])], view, at);
    t.deepEqual([reports.isComplete(), [...reports.silentZones()]], [complete, silent], `${at}`);
  }
});

const FLEET_VMS = 21_008;

/** Failures and restarts of VMs on a typical day at the design size. */
const FAILURES_PER_DAY = 270;
const RESTARTS_PER_DAY = 1_600;
const REPAIR_MS = 4 * 60 * MINUTE_MS;
const RESTART_MS = 15 * MINUTE_MS;

/**
 * Simulates the maintenance in steps of the duration of a stop. Each step ends the stops of the
 * previous one, makes VMs fail and restart, and grants the stops that the budgets allow.
 *
 * @returns days until each VM was maintained once, and the number of budget violations by grants
 */
function simulateMaintenance(view: MemoryView, waves: readonly Wave[], reserve: number) {
  const random = createRandom(SEED);
  const vms = view.list(EntityKind.Vm);
  const awayUntil = new Map<string, number>();
  let pending = waves.flatMap(({ batches }) => batches.flat());
  let stopped: string[] = [];
  let violations = 0;
  let now = 0;
  const share = vms.length / FLEET_VMS;
  const addFailures = (perDay: number, durationMs: number) => {
    const expected = (share * perDay * OPTIONS.stopMs) / DAY_MS;
    for (let i = random.next(); i < expected; i += 1)
      awayUntil.set(random.pick(vms).id, now + durationMs);
  };
  while (pending.length > 0 && now < 100 * DAY_MS) {
    const ended = stopped.map((id): EntityChange => ({ kind: EntityKind.Stop, id }));
    addFailures(FAILURES_PER_DAY, REPAIR_MS);
    addFailures(RESTARTS_PER_DAY, RESTART_MS);
    const states = [...awayUntil].map(([id, until]): EntityChange => {
      const value = until > now ? { id, state: VmState.Failed } : undefined;
      if (!value) awayUntil.delete(id);
      return { kind: EntityKind.VmStatus, id, value };
    });
    view.apply([...ended, ...states]);
    const budget = new Budget(view, { silentZones: NO_ZONES, reserve });
    const slack = new Map(view.list(EntityKind.Pool).map(({ id }) => [id, budget.slack(id)]));
    stopped = pending.filter((id) => {
      const pool = view.poolOf(id) ?? '';
      const left = slack.get(pool) ?? 0;
      if (left === 0 || budget.grant(id, AwayReason.Stop).isErr) return false;
      return slack.set(pool, left - 1);
    });
    const chosen = new Set(stopped);
    view.apply(
      stopped.map((id) => ({
        kind: EntityKind.Stop,
        id,
        value: { id, wave: 'w', state: StopState.Granted },
      })),
    );
    const after = new Budget(view, { silentZones: NO_ZONES });
    for (const pool of new Set(stopped.map((id) => view.poolOf(id) ?? ''))) {
      if (after.firstViolation(pool)) violations += 1;
    }
    pending = pending.filter((id) => !chosen.has(id));
    now += OPTIONS.stopMs;
  }
  return { days: now / DAY_MS, violations, pending: pending.length };
}

test('every VM is maintained once within 7 weeks at the design size despite failures', (t) => {
  const cases = [
    { pools: 92, minAvailable: 220, maxAway: 8, maxAwayPerRack: 2, maxAwayPerZone: 4 },
    // Pools do not interact, so a subset is enough for the most restrictive rules.
    { pools: 8, minAvailable: 226, maxAway: 2, maxAwayPerRack: 1, maxAwayPerZone: 1 },
  ];
  for (const { pools, ...rules } of cases) {
    const view = new MemoryView();
    const racksPerZone = Math.ceil((404 * pools) / 92);
    const shape = { zones: 13, racksPerZone, vmsPerRack: 4 };
    view.apply(fleetOf({ ...shape, pools: Array.from({ length: pools }, () => rules) }));
    const plan = planWave(view, { ...OPTIONS, reserve: 1, maxWaveVms: 256 });
    if (plan.isErr) return t.fail(plan.error.message);
    t.is(plan.value.vms, 13 * racksPerZone * 4);
    t.is(plan.value.batches, plan.value.lowerBound);
    t.true(plan.value.waves.every(({ batches }) => batches.flat().length <= 256));
    const { days, violations, pending } = simulateMaintenance(view, plan.value.waves, 1);
    const planned = (plan.value.expectedMs / DAY_MS).toFixed(2);
    t.log(`${plan.value.vms} VMs, ${pools} pools, maxAway ${rules.maxAway}:`);
    t.log(`${plan.value.batches} batches, ${planned} days planned, ${days.toFixed(2)} simulated`);
    t.is(pending, 0);
    t.is(violations, 0);
    t.true(days < 49);
  }
});
