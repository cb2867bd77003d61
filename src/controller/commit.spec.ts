import fc from 'fast-check';
import test from 'ava';
import { Result } from 'true-myth';
import {
  ConfigError,
  ConfigErrorCode,
  EntityKind,
  VmState,
  type ConfigHistory,
  type ConfigView,
  type EntityChange,
} from '../configuration/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { ControllerRig, fleetOf } from '../testing/controllerRig.js';
import { MemoryView } from '../testing/memoryView.js';
import {
  commitDecision,
  createContext,
  ControllerErrorCode,
  Priority,
  type HeldLease,
} from './index.js';
import { OverlayView } from './overlayView.js';

const SEED = 20_264;
const FLEET = fleetOf({ zones: 1, racksPerZone: 2, vmsPerRack: 2, pools: [{}, {}] });
const VMS = ['z0r0v0', 'z0r0v1', 'z0r1v0', 'z0r1v1'];

const failed = (id: string): EntityChange => ({
  kind: EntityKind.VmStatus,
  id,
  value: { id, state: VmState.Failed },
});

/** Everything that can be read from a view, in canonical order. */
function contentOf(view: ConfigView): string[] {
  const listed = Object.values(EntityKind).flatMap((kind): readonly unknown[] => view.list(kind));
  const grouped = ['p0', 'p1'].flatMap((pool) => view.vmsOfPool(pool).map(({ id }) => [pool, id]));
  const got = VMS.map((id) => [id, view.poolOf(id), view.get(EntityKind.VmStatus, id)]);
  return [...listed, ...grouped, ...got].map((entry) => JSON.stringify(entry)).sort();
}

// Otherwise decisions that are committed together would miss the permits of the previous ones.
test('a view with uncommitted changes reads like the view after their commit', (t) => {
  const id = fc.constantFrom(...VMS);
  const assignment = fc
    .tuple(id, fc.constantFrom('p0', 'p1', undefined))
    .map(([vm, pool]): EntityChange => ({
      kind: EntityKind.Assignment,
      id: vm,
      value: pool === undefined ? undefined : { id: vm, pool },
    }));
  const removal = id.map((vm): EntityChange => ({ kind: EntityKind.Vm, id: vm }));
  const change = fc.oneof(assignment, removal, id.map(failed));
  const property = fc.property(fc.array(change), fc.array(change), (before, after) => {
    const view = new MemoryView();
    view.apply([...FLEET, ...before]);
    const overlay = new OverlayView(view);
    overlay.apply(after);
    const overlayContent = contentOf(overlay);
    view.apply(after);
    return JSON.stringify(overlayContent) === JSON.stringify(contentOf(view));
  });
  t.notThrows(() => {
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });
});

/** A controller context whose lease is always held. */
async function setUp(history: (correct: ConfigHistory) => ConfigHistory = (correct) => correct) {
  const rig = new ControllerRig();
  await rig.load(FLEET);
  const { deps, lifecycle } = rig.start('z9', 'a', { history });
  await rig.clock.advance(100);
  const key = 'lease/zone/z9';
  const lease: HeldLease = {
    zone: 'z9',
    holder: 'a',
    epoch: 9,
    isHeld: true,
    write: async (run) =>
      Result.ok(await run({ key, version: rig.platform.rows.get(key)?.version ?? 0 })),
    condition: undefined,
    refresh: () => Promise.resolve(),
  };
  const reports = { silentZones: () => new Set<string>(), isComplete: () => true };
  const ctx = createContext(deps, lease, reports, new Lifecycle('test').signal);
  return { rig, ctx, lifecycle };
}

test('pending decisions are committed as one version, in sequence and urgent ones first', async (t) => {
  const { rig, ctx, lifecycle } = await setUp();
  const order: number[] = [];
  const decide = (n: number, vm: string) => (view: ConfigView) => {
    order.push(view.list(EntityKind.VmStatus).length);
    return n === view.list(EntityKind.VmStatus).length ? [failed(vm)] : [];
  };
  const before = (await rig.newestView()).version;
  const decisions = [
    commitDecision(ctx, 'first', decide(0, 'z0r0v0')),
    commitDecision(ctx, 'third', decide(2, 'z0r1v0')),
    commitDecision(ctx, 'second', decide(1, 'z0r0v1'), Priority.Urgent),
    commitDecision(ctx, 'none', decide(7, 'z0r1v1')),
  ];
  await rig.clock.advance(100);
  const results = await Promise.all(decisions);
  t.deepEqual(
    results.map((result) => result.isOk && [result.value.applied, result.value.version - before]),
    [
      [true, 1],
      [true, 2],
      [true, 2],
      [false, 2],
    ],
  );
  t.deepEqual(order, [0, 1, 2, 3]);
  await rig.close([lifecycle]);
});

test('an invalid decision is rejected without the ones committed with it', async (t) => {
  const refuse = (history: ConfigHistory): ConfigHistory => ({
    ...history,
    commit: (base, changeSet, extra) =>
      changeSet.changes.some(({ id }) => id === 'bad')
        ? Promise.resolve(Result.err(new ConfigError(ConfigErrorCode.Invalid, 'no such VM')))
        : history.commit(base, changeSet, extra),
  });
  const { rig, ctx, lifecycle } = await setUp(refuse);
  const ids = ['z0r0v0', 'bad', 'z0r1v0', 'z0r1v1'];
  const decisions = ids.map((id) => commitDecision(ctx, id, () => [failed(id)]));
  const broken = commitDecision(ctx, 'broken', () => {
    throw new TypeError('fault in a decision');
  });
  await Promise.all([t.throwsAsync(broken, { instanceOf: TypeError }), rig.clock.advance(1_000)]);
  const codes = (await Promise.all(decisions)).map((result) => result.isErr && result.error.code);
  t.deepEqual(codes, [false, ControllerErrorCode.Invalid, false, false]);
  t.is((await rig.newestView()).list(EntityKind.VmStatus).length, 3);
  await rig.close([lifecycle]);
});
