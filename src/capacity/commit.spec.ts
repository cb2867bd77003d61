import test from 'ava';
import { EntityKind, type ConfigView } from '../configuration/index.js';
import { runZoneController, type HeldLease } from '../controller/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { Metrics } from '../metrics/index.js';
import { ControllerRig, findViolations, fleetOf } from '../testing/controllerRig.js';
import {
  capacitySchema,
  createCapacityCommit,
  createCapacityMetrics,
  runCapacityPolicy,
} from './index.js';

const MINUTE = 60_000;
const STEP_MS = 1_000;
const SETTINGS = capacitySchema.parse({
  smoothingMs: 30_000,
  hysteresisMs: 100_000,
  drainMs: 20_000,
  horizonMs: 600_000,
});

const lent = (view: ConfigView) => view.vmsOfPool('p0').filter(({ pool }) => pool === 'p1');
const hasNoMoves = (view: ConfigView) => view.list(EntityKind.Move).length === 0;

// Guards against change ids or commit conditions that conflict with those of the controller.
test('the zone controller performs the moves that the policy requests under the same lease', async (t) => {
  const rig = new ControllerRig();
  const pools = [{ mayBorrow: true }, { isSpare: true, minAvailable: 5 }];
  await rig.load(fleetOf({ zones: 1, racksPerZone: 4, vmsPerRack: 4, pools }));
  const first = rig.start('z0', 'a');
  await rig.clock.advance(MINUTE);
  await rig.close([first.lifecycle]);

  const { deps } = first;
  const { view } = deps.config;
  let queued = 50;
  const loads = () => [
    { service: 's-p0', slots: 64, freeSlots: queued > 0 ? 0 : 64, queued },
    { service: 's-p1', slots: 64, freeSlots: 64, queued: 0 },
  ];
  const runAdditionalWork = (lease: HeldLease, term: Lifecycle) => {
    const commit = createCapacityCommit(deps, lease, term.signal);
    const metrics = createCapacityMetrics(new Metrics());
    const common = { zone: 'z0', view, clock: rig.clock, logger: deps.logger };
    return runCapacityPolicy({ ...common, loads, commit, metrics, settings: SETTINGS }, term);
  };
  const lifecycle = new Lifecycle('b');
  const task = runZoneController({ ...deps, holder: 'b', runAdditionalWork }, lifecycle);
  lifecycle.own('task', () => task);

  t.true(await rig.until((newest) => lent(newest).length > 0, 10 * MINUTE, STEP_MS));
  queued = 0;
  const isHome = (newest: ConfigView) => lent(newest).length === 0 && hasNoMoves(newest);
  t.true(await rig.until(isHome, 20 * MINUTE, STEP_MS));
  const deltas = await rig.deltas();
  t.deepEqual(findViolations(deltas), []);
  t.true(deltas.some(({ changeId }) => changeId.startsWith('capacity/z0/')));
  await rig.close([lifecycle]);
});
