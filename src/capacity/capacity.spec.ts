import fc from 'fast-check';
import test from 'ava';
import {
  EntityKind,
  MoveState,
  StopState,
  VmState,
  type ConfigView,
  type EntityChange,
  type Pool,
} from '../configuration/index.js';
import { AwayReason, Budget, rackKey } from '../controller/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { MemberState, type Member } from '../membership/index.js';
import { Metrics } from '../metrics/index.js';
import { createVirtualClock } from '../testing/index.js';
import { fleetOf } from '../testing/controllerRig.js';
import { MemoryView } from '../testing/memoryView.js';
import {
  capacityPolicies,
  CapacityPolicyId,
  capacitySchema,
  createCapacityMetrics,
  createBudgetConsumer,
  decideRound,
  DemandHistory,
  fleetLoad,
  minBufferVms,
  MoveReason,
  MoveRefusal,
  returnThreshold,
  runCapacityPolicy,
  type CapacityDecision,
  type CapacityInput,
  type CapacityPolicy,
  type CapacitySettings,
  type PoolLoad,
} from './index.js';

const SEED = 20_263;
const NO_ZONES: ReadonlySet<string> = new Set();
const SLOTS = 8;
const costBased = capacityPolicies[CapacityPolicyId.CostBased];

/** Short times, so that a history of forty rounds contains loans and returns. */
const SETTINGS = capacitySchema.parse({
  intervalMs: 10_000,
  smoothingMs: 30_000,
  hysteresisMs: 100_000,
  drainMs: 20_000,
  horizonMs: 600_000,
});

/**
 * Two zones of two racks with six VMs each, two per pool. Pool p1 is the spare pool; p0 and p2 may
 * borrow from it.
 */
function fleet(spare: Partial<Pool> = {}): MemoryView {
  const view = new MemoryView();
  const pools = [{ mayBorrow: true }, { isSpare: true, ...spare }, { mayBorrow: true }];
  view.apply(fleetOf({ zones: 2, racksPerZone: 2, vmsPerRack: 6, pools }));
  return view;
}

const idle = (pool: string): PoolLoad => ({ pool, slots: 64, freeSlots: 64, queued: 0 });
const overloaded = (pool: string): PoolLoad => ({ pool, slots: 64, freeSlots: 0, queued: 50 });

function inputOf(
  view: ConfigView,
  history: DemandHistory,
  loads: readonly PoolLoad[],
  now: number,
  settings: CapacitySettings = SETTINGS,
): CapacityInput {
  const byPool = new Map(loads.map((load) => [load.pool, load]));
  history.observe(now, view, byPool, settings);
  return { now, view, zone: 'z0', loads: byPool, history, silentZones: NO_ZONES, settings };
}

/** Applies a constant load for `forMs` and returns the input of the last round. */
function sustain(
  view: ConfigView,
  loads: readonly PoolLoad[],
  forMs: number,
  settings = SETTINGS,
): CapacityInput {
  const history = new DemandHistory();
  for (let now = 0; now < forMs; now += settings.intervalMs) {
    inputOf(view, history, loads, now, settings);
  }
  return inputOf(view, history, loads, forMs, settings);
}

const overloadedP0 = [overloaded('p0'), idle('p1'), idle('p2')];
const allIdle = [idle('p0'), idle('p1'), idle('p2')];
const oneLentVm: EntityChange[] = [
  { kind: EntityKind.Assignment, id: 'z0r0v1', value: { id: 'z0r0v1', pool: 'p0' } },
];

interface PolicyCase {
  name: string;
  policy?: CapacityPolicyId;
  loads: readonly PoolLoad[];
  forMs: number;
  settings?: Partial<CapacitySettings>;
  spare?: Partial<Pool>;
  changes?: EntityChange[];
  /** Expected target pool and reason of each move. */
  moves: [string, MoveReason][];
  refused?: MoveRefusal;
}

const policyCases: PolicyCase[] = [
  {
    name: 'never_move requests no move under any load',
    policy: CapacityPolicyId.NeverMove,
    loads: overloadedP0,
    forMs: 600_000,
    moves: [],
  },
  {
    name: 'move_on_rise lends a VM on the first rise in load',
    policy: CapacityPolicyId.MoveOnRise,
    loads: overloadedP0,
    forMs: 0,
    settings: { fixedBufferVms: 0 },
    moves: [['p0', MoveReason.Rise]],
  },
  {
    name: 'move_on_rise returns a VM on the first fall in load',
    policy: CapacityPolicyId.MoveOnRise,
    loads: allIdle,
    forMs: 0,
    changes: oneLentVm,
    settings: { fixedBufferVms: 0 },
    moves: [['p1', MoveReason.Return]],
  },
  {
    name: 'a short peak does not justify a move',
    loads: overloadedP0,
    forMs: 0,
    moves: [],
  },
  {
    name: 'a sustained overload justifies a move',
    loads: overloadedP0,
    forMs: 300_000,
    moves: [['p0', MoveReason.Saving]],
  },
  {
    name: 'a high weight of moves prevents a move under a sustained overload',
    loads: overloadedP0,
    forMs: 300_000,
    settings: { moveWeight: 100 },
    moves: [],
    refused: MoveRefusal.NotWorthCost,
  },
  {
    name: 'an equally overloaded spare pool lends no VM',
    loads: [overloaded('p0'), overloaded('p1'), idle('p2')],
    forMs: 300_000,
    moves: [],
    refused: MoveRefusal.NotWorthCost,
  },
  {
    name: 'no VM is lent to a pool while another one is moving to it',
    loads: overloadedP0,
    forMs: 300_000,
    changes: [moveOf('z1r0v1', 'p0', MoveState.Draining)],
    moves: [],
    refused: MoveRefusal.NotWorthCost,
  },
  {
    name: 'no VM of the buffer of the spare pool is lent',
    loads: overloadedP0,
    forMs: 300_000,
    spare: { minAvailable: 6 },
    moves: [],
    refused: MoveRefusal.Budget,
  },
  {
    name: 'a lent VM that was first seen recently is not returned',
    loads: allIdle,
    forMs: 50_000,
    changes: oneLentVm,
    moves: [],
  },
  {
    name: 'an unneeded lent VM is returned to its home pool',
    loads: allIdle,
    forMs: 600_000,
    changes: oneLentVm,
    moves: [['p1', MoveReason.Return]],
  },
  {
    name: 'a VM that was lent to restore a budget is not returned by the policy',
    loads: allIdle,
    forMs: 600_000,
    changes: [
      {
        kind: EntityKind.Assignment,
        id: 'z0r0v1',
        value: { id: 'z0r0v1', pool: 'p0', lentForBudget: true },
      },
    ],
    moves: [],
  },
];

function moveOf(id: string, to: string, state: MoveState): EntityChange {
  return { kind: EntityKind.Move, id, value: { id, from: 'p1', to, state } };
}

for (const { name, policy, loads, forMs, settings, spare, changes, ...expected } of policyCases) {
  test(`policy: ${name}`, (t) => {
    const view = fleet(spare);
    view.apply(changes ?? []);
    const input = sustain(view, loads, forMs, { ...SETTINGS, ...settings });
    const selected = capacityPolicies[policy ?? CapacityPolicyId.CostBased];
    const { moves, refusals } = decideRound(input, selected);
    t.deepEqual(
      moves.map(({ to, reason }) => [to, reason]),
      expected.moves,
    );
    if (expected.refused) t.true(refusals.includes(expected.refused), refusals.join());
  });
}

// Guards against a load that justifies a loan and its return at the same time.
test('the return threshold is at most half of the loan threshold, for all settings', (t) => {
  const number = fc.double({ min: 0.01, max: 100, noNaN: true });
  const weights = fc.record({ waitingWeight: number, moveWeight: number, horizonMs: number });
  const property = fc.property(
    weights,
    fc.double({ min: 0, max: 1, noNaN: true }),
    (some, share) => {
      const settings = { ...SETTINGS, ...some, returnShare: share };
      const drains = settings.moveWeight * 2 * SLOTS * settings.drainMs;
      const minLoanBenefit = drains / (settings.waitingWeight * settings.horizonMs);
      return returnThreshold(SLOTS, settings) <= minLoanBenefit / 2;
    },
  );
  t.notThrows(() => {
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });
});

type BufferOf = typeof minBufferVms;

/** After decisions that use up the limits, the loss of any one rack breaks no rule of the pool. */
function survivesAnyRackLoss(bufferOf: BufferOf) {
  const order = fc.shuffledSubarray(
    fleet()
      .list(EntityKind.Vm)
      .map(({ id }) => id),
    { minLength: 24 },
  );
  const limits = fc.record({
    minAvailable: fc.integer({ min: 0, max: 4 }),
    maxAway: fc.integer({ min: 4, max: 8 }),
  });
  return fc.property(limits, order, (rules, vms) => {
    const view = fleet(rules);
    // The buffer is computed anew for each decision, as in the rounds of the policy.
    for (const id of vms) {
      if (view.poolOf(id) !== 'p1') continue;
      const budget = new Budget(view, {
        silentZones: NO_ZONES,
        reserve: bufferOf(view, 'p1', NO_ZONES),
      });
      if (budget.grant(id, AwayReason.Move).isOk)
        view.apply([moveOf(id, 'p0', MoveState.Draining)]);
    }
    const racks = new Set(view.vmsOfPool('p1').map(rackKey));
    return [...racks].every((rack) => {
      const lost = view.vmsOfPool('p1').filter((vm) => rackKey(vm) === rack);
      const after = fleet(rules);
      after.apply(view.list(EntityKind.Move).map(({ id }) => moveOf(id, 'p0', MoveState.Draining)));
      after.apply(lost.map(({ id }) => failed(id)));
      return !new Budget(after, { silentZones: NO_ZONES }).firstViolation('p1');
    });
  });
}

function failed(id: string): EntityChange {
  return { kind: EntityKind.VmStatus, id, value: { id, state: VmState.Failed } };
}

// Guards against a buffer that is too small, and shows that the budgets allow no smaller one.
test('the minimum buffer survives the loss of any rack, and a buffer smaller by one VM does not', (t) => {
  t.notThrows(() => {
    fc.assert(survivesAnyRackLoss(minBufferVms), { seed: SEED, numRuns: 200 });
  });
  t.throws(() => {
    const smaller: BufferOf = (...args) => Math.max(0, minBufferVms(...args) - 1);
    fc.assert(survivesAnyRackLoss(smaller), { seed: SEED, numRuns: 200 });
  });
});

type Round = (input: CapacityInput) => CapacityDecision;

enum Rule {
  /** Requested moves break no rule of the pools. */
  Budget = 'budget',
  /** No move is requested for a VM that has a stop or a move, or is not up. */
  Busy = 'busy',
  /** A VM does not move twice within the hysteresis time. */
  Oscillation = 'oscillation',
}

/** Steps of a random history: the overloaded pool, and an event of one VM. */
const historySteps = fc.array(
  fc.record({
    rounds: fc.integer({ min: 1, max: 25 }),
    overloadedPool: fc.constantFrom('p0', 'p2', 'p1', undefined),
    vm: fc.integer({ min: 0, max: 23 }),
    event: fc.constantFrom('stop', 'fail', 'recover', 'none'),
  }),
  { minLength: 6, maxLength: 12 },
);

/** Simulates a random history; returns the broken rules and the reason of each move. */
function simulate(round: Round, history: Parameters<Parameters<typeof historySteps.map>[0]>[0]) {
  const view = fleet({ minAvailable: 5, maxAway: 6 });
  const demand = new DemandHistory();
  const broken = new Set<Rule>();
  const movedAt = new Map<string, number>();
  const reasons: MoveReason[] = [];
  const draining = new Map<string, number>();
  let now = 0;
  for (const { rounds, overloadedPool, vm, event } of history) {
    const id = view.list(EntityKind.Vm)[vm]?.id ?? '';
    const hasMove = view.get(EntityKind.Move, id) !== undefined;
    if (
      event === 'stop' &&
      !hasMove &&
      new Budget(view, { silentZones: NO_ZONES }).check(id).isOk
    ) {
      view.apply([
        { kind: EntityKind.Stop, id, value: { id, wave: 'w', state: StopState.Draining } },
      ]);
    }
    if (event === 'fail') view.apply([failed(id)]);
    if (event === 'recover') {
      const away = [EntityKind.Stop, EntityKind.VmStatus] as const;
      view.apply(away.flatMap((kind) => view.list(kind).map((each) => ({ kind, id: each.id }))));
    }
    for (let i = 0; i < rounds; i += 1) {
      now += SETTINGS.intervalMs;
      const loads = allIdle.map((load) =>
        load.pool === overloadedPool ? overloaded(load.pool) : load,
      );
      const { moves } = round(inputOf(view, demand, loads, now));
      const budget = new Budget(view, { silentZones: NO_ZONES });
      for (const move of moves) {
        const isBusy =
          view.get(EntityKind.Move, move.vm) ??
          view.get(EntityKind.Stop, move.vm) ??
          view.get(EntityKind.VmStatus, move.vm);
        if (isBusy) broken.add(Rule.Busy);
        if (!isBusy && budget.grant(move.vm, AwayReason.Move).isErr) broken.add(Rule.Budget);
        if (now - (movedAt.get(move.vm) ?? -Infinity) < SETTINGS.hysteresisMs) {
          broken.add(Rule.Oscillation);
        }
        movedAt.set(move.vm, now);
        reasons.push(move.reason);
        const value = { id: move.vm, from: move.from, to: move.to, state: MoveState.Draining };
        view.apply([{ kind: EntityKind.Move, id: move.vm, value }]);
        draining.set(move.vm, now + SETTINGS.drainMs);
      }
      for (const [moved, until] of draining) {
        const move = view.get(EntityKind.Move, moved);
        if (now < until || !move) continue;
        draining.delete(moved);
        view.apply([
          { kind: EntityKind.Assignment, id: moved, value: { id: moved, pool: move.to } },
          { kind: EntityKind.Move, id: moved },
        ]);
      }
    }
  }
  return { broken, reasons };
}

const correct: Round = (input) => decideRound(input, costBased);

/** Decision functions that each break one rule. */
const brokenRounds: Record<Rule, Round> = {
  [Rule.Budget]: (input) => costBased.decide(input, () => undefined),
  [Rule.Busy]: ({ view }) => {
    const vm = view.vmsOfPool('p1')[0]?.id;
    const move = { from: 'p1', to: 'p0', reason: MoveReason.Rise };
    return { moves: vm === undefined ? [] : [{ ...move, vm }], refusals: [] };
  },
  [Rule.Oscillation]: (input) => {
    const withoutHysteresis = { ...input, settings: { ...input.settings, hysteresisMs: 0 } };
    return decideRound(withoutHysteresis, costBased);
  },
};

const obeys = (round: Round, rule: Rule) =>
  fc.property(historySteps, (history) => !simulate(round, history).broken.has(rule));

for (const rule of Object.values(Rule)) {
  test(`random histories: the cost-based policy obeys the ${rule} rule, a faulty one breaks it`, (t) => {
    t.notThrows(() => {
      fc.assert(obeys(correct, rule), { seed: SEED, numRuns: 60 });
    });
    t.throws(() => {
      fc.assert(obeys(brokenRounds[rule], rule), { seed: SEED, numRuns: 60 });
    });
  });
}

test('random histories contain loans and returns of VMs', (t) => {
  const reasons = fc.sample(historySteps, { seed: SEED, numRuns: 60 }).flatMap((history) => {
    return simulate(correct, history).reasons;
  });
  t.true(reasons.includes(MoveReason.Saving));
  t.true(reasons.includes(MoveReason.Return));
});

/** Runs the policy task on a virtual clock, optionally with another policy. */
function startTask(view: MemoryView, policy?: CapacityPolicy) {
  const clock = createVirtualClock();
  const lifecycle = new Lifecycle('test');
  const metrics = new Metrics();
  const loads = [
    { service: 's-p0', slots: 64, freeSlots: 0, queued: 50 },
    { service: 's-p1', slots: 64, freeSlots: 64, queued: 0 },
  ];
  const deps = {
    ...{ view, clock, policy, zone: 'z0', settings: SETTINGS, logger: silentLogger },
    metrics: createCapacityMetrics(metrics),
    loads: () => loads,
    commit: (decide: (newest: ConfigView) => EntityChange[]) => {
      // A commit that conflicts with another one calls `decide` twice.
      decide(view);
      const changes = decide(view);
      view.apply(changes);
      return Promise.resolve(changes.length > 0);
    },
  };
  const task = runCapacityPolicy(deps, lifecycle);
  const total = async (name: string) => {
    const found = await metrics.registry.getSingleMetric(`burdocknotch_${name}`)?.get();
    return (found?.values ?? []).reduce((sum, { value }) => sum + value, 0);
  };
  const stop = async () => {
    await lifecycle.close();
    await task;
  };
  return { clock, total, stop };
}

test('the task requests moves, withdraws those that do not start in time and counts both', async (t) => {
  const view = fleet();
  const { clock, total, stop } = startTask(view);
  await clock.advance(200_000);
  const [move] = view.list(EntityKind.Move);
  t.is(move?.state, MoveState.Requested);
  t.is(move?.to, 'p0');
  t.true((await total('capacity_moves_refused_total')) > 0);
  t.is(await total('capacity_buffer_vms'), 6);
  // No controller performs the request, so it is withdrawn; the hysteresis then excludes its VM.
  await clock.advance(SETTINGS.requestTtlMs);
  t.true((await total('capacity_moves_withdrawn_total')) >= 1);
  t.false(view.list(EntityKind.Move).some(({ id }) => id === move?.id));
  t.true((await total('capacity_moves_requested_total')) >= 1);
  await stop();
});

test('the move request of an operator is neither withdrawn nor replaced', async (t) => {
  const view = fleet();
  view.apply([moveOf('z0r0v1', 'p2', MoveState.Requested)]);
  const conflicting: CapacityPolicy = {
    ...costBased,
    decide: () => ({
      moves: [{ vm: 'z0r0v1', from: 'p1', to: 'p0', reason: MoveReason.Rise }],
      refusals: [],
    }),
  };
  const { clock, total, stop } = startTask(view, conflicting);
  await clock.advance(600_000);
  t.is(view.get(EntityKind.Move, 'z0r0v1')?.to, 'p2');
  t.is(await total('capacity_moves_requested_total'), 0);
  await stop();
});

test('the fleet load sums the loads of this process and of the alive members', (t) => {
  const load = [{ service: 's', slots: 8, freeSlots: 2, queued: 3 }];
  const member = (state: MemberState) => ({ state, load }) as unknown as Member;
  const membership = { members: () => [member(MemberState.Alive), member(MemberState.Suspect)] };
  t.deepEqual(fleetLoad(membership, load), [{ service: 's', slots: 16, freeSlots: 4, queued: 6 }]);
});

test('the budgets of one decision count the moves that were already charged', (t) => {
  const view = fleet({ minAvailable: 5 });
  const input = { view, silentZones: NO_ZONES, settings: SETTINGS };
  const consumeBudget = createBudgetConsumer(input, () => 1);
  const taken = view.vmsOfPool('p1').filter((vm) => !consumeBudget(vm));
  t.is(taken.length, 2);
});
