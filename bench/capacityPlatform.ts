import {
  EntityKind,
  WaveState,
  configurationDefaults,
  createConfigHistory,
  type EntityChange,
} from '../src/configuration/index.js';
import { ControllerRig, fleetOf } from '../src/testing/controllerRig.js';
import {
  createJobZone,
  createVirtualClock,
  FakePlatform,
  RequestCluster,
} from '../src/testing/index.js';
import { assignmentChange, commonDeps } from './designFleet.js';
import { measureSlope, type Point, type Slope } from './slopes.js';

/** Numbers of reads and writes of the table and the object store. */
interface PlatformCalls {
  reads: number;
  writes: number;
}

/** Interval in virtual milliseconds at which the state of a wave is polled. */
const POLL_STEP_MS = 250;

async function countCalls(
  platform: FakePlatform,
  run: () => Promise<unknown>,
): Promise<PlatformCalls> {
  const { reads, writes } = platform;
  await run();
  return { reads: platform.reads - reads, writes: platform.writes - writes };
}

async function callsOfChanges(count: number): Promise<PlatformCalls> {
  const clock = createVirtualClock();
  const platform = new FakePlatform(clock);
  const { table } = platform.client();
  const history = createConfigHistory(table, {
    ...{ ...configurationDefaults, ...commonDeps(), clock },
  });
  return countCalls(platform, async () => {
    for (let base = 0; base < count; base++) {
      const change = { changeId: `c${base}`, author: 'operator' };
      await history.commit(base, { ...change, changes: [assignmentChange(base % 40, base % 2)] });
      // Virtual time does not advance here, so a retry with a delay would never run.
      await history.waitForSnapshots();
    }
  });
}

/** Calls of an idle zone controller that holds its lease. */
async function callsOfIdleLease(seconds: number): Promise<PlatformCalls> {
  const rig = new ControllerRig();
  await rig.load(fleetOf({ zones: 1, racksPerZone: 2, vmsPerRack: 4, pools: [{}] }));
  rig.start('z0', 'a');
  await rig.clock.advance(10_000);
  const calls = await countCalls(rig.platform, () => rig.clock.advance(seconds * 1_000));
  await rig.close();
  return calls;
}

async function callsOfRequests(count: number, hasKey: boolean): Promise<PlatformCalls> {
  const clock = createVirtualClock();
  const cluster = new RequestCluster({ clock, seed: 1 });
  cluster.start('a', 'z0', { vm1: 'matching' });
  return countCalls(cluster.platform, async () => {
    for (let i = 0; i < count; i++) {
      const values = hasKey ? { idempotencyKey: `key-${i}` } : {};
      const call = cluster.call('a', `request-${i}`, values);
      await clock.advance(200);
      await call;
    }
  });
}

/** Calls for jobs that arrive at one per second, from submission to the visible result. */
async function callsOfJobs(count: number): Promise<PlatformCalls> {
  const zone = createJobZone({ workers: 20 });
  const controller = zone.startController();
  const durationMs = (count + 20) * 1_000;
  const idle = await countCalls(zone.platform, () => zone.clock.advance(durationMs));
  const calls = await countCalls(zone.platform, async () => {
    const startedAt = zone.clock.now();
    for (let i = 0; i < count; i++) {
      await zone.submit(`job-${i}`);
      await zone.clock.advance(1_000);
    }
    await zone.clock.advance(durationMs - (zone.clock.now() - startedAt));
  });
  await controller.close();
  // Calls of an idle controller are counted per lease-second instead.
  return { reads: calls.reads - idle.reads, writes: calls.writes - idle.writes };
}

/** Calls of job placement while there are no jobs. */
async function callsOfIdleJobPlacement(seconds: number): Promise<PlatformCalls> {
  const zone = createJobZone({ workers: 20 });
  const controller = zone.startController();
  await zone.clock.advance(5_000);
  const calls = await countCalls(zone.platform, () => zone.clock.advance(seconds * 1_000));
  await controller.close();
  return calls;
}

/** Calls for planned stops of one wave, in addition to those for the lease in the same time. */
async function callsOfStops(count: number): Promise<PlatformCalls> {
  const rig = new ControllerRig();
  const fleet = fleetOf({ zones: 1, racksPerZone: 25, vmsPerRack: 4, pools: [{}] });
  await rig.load(fleet);
  rig.start('z0', 'a');
  await rig.clock.advance(10_000);
  const vms = fleet.flatMap(({ kind, id }) => (kind === EntityKind.Vm ? [id] : []));
  const value = { id: 'w', state: WaveState.Running, done: [], batches: [vms.slice(0, count)] };
  const wave: EntityChange = { kind: EntityKind.Wave, id: 'w', value };
  let elapsedMs = 0;
  let pollReads = 0;
  const calls = await countCalls(rig.platform, async () => {
    await rig.commitAsOperator([wave]);
    for (let isDone = false; !isDone; elapsedMs += POLL_STEP_MS) {
      await rig.clock.advance(POLL_STEP_MS);
      const { reads } = await countCalls(rig.platform, async () => {
        isDone = await isFinished(rig);
      });
      pollReads += reads;
    }
  });
  const leaseCalls = await countCalls(rig.platform, () => rig.clock.advance(elapsedMs));
  await rig.close();
  return {
    reads: calls.reads - pollReads - leaseCalls.reads,
    writes: calls.writes - leaseCalls.writes,
  };
}

async function isFinished(rig: ControllerRig): Promise<boolean> {
  const view = await rig.newestView();
  return view.get(EntityKind.Wave, 'w')?.state === WaveState.Finished;
}

/** Measures reads and writes of the table and the object store per unit of work. */
export async function platformSlopes(): Promise<Slope[]> {
  return [
    ...(await readAndWriteSlopes('configuration change', 'change', [10, 100, 400], callsOfChanges)),
    ...(await readAndWriteSlopes(
      'change with snapshots',
      'change',
      [2_000, 4_000, 6_000],
      callsOfChanges,
    )),
    ...(await readAndWriteSlopes(
      'zone controller, nothing to do',
      'lease-second',
      [30, 60, 120],
      callsOfIdleLease,
    )),
    ...(await readAndWriteSlopes(
      'job placement, nothing to do',
      'lease-second',
      [30, 60, 120],
      callsOfIdleJobPlacement,
    )),
    ...(await readAndWriteSlopes('request without key', 'request', [5, 20, 50], (n) =>
      callsOfRequests(n, false),
    )),
    ...(await readAndWriteSlopes('request with key', 'request', [5, 20, 50], (n) =>
      callsOfRequests(n, true),
    )),
    ...(await readAndWriteSlopes('job', 'job', [10, 20, 40], callsOfJobs)),
    ...(await readAndWriteSlopes('planned stop', 'stop', [5, 10, 20], callsOfStops)),
  ];
}

/** Counts are deterministic, so each size is measured once. */
async function readAndWriteSlopes(
  line: string,
  unit: string,
  sizes: readonly number[],
  count: (size: number) => Promise<PlatformCalls>,
): Promise<Slope[]> {
  const callsBySize = new Map<number, PlatformCalls>();
  for (const size of sizes) callsBySize.set(size, await count(size));
  const slopeOf = (column: keyof PlatformCalls) =>
    measureSlope(line, `${column} per ${unit}`, sizes, 1, (size): Point['y'] => {
      return callsBySize.get(size)?.[column] ?? 0;
    });
  return [await slopeOf('reads'), await slopeOf('writes')];
}
