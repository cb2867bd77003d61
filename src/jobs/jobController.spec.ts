import test from 'ava';
import { Result } from 'true-myth';
import type { WorkerService } from '../platform/index.js';
import {
  CallFault,
  createJobZone,
  idList,
  settle,
  withFaults,
  type JobZone,
  type JobZoneOptions,
} from '../testing/index.js';
import { JobErrorCode, JobState, ParkReason, type JobRecord, type JobSpec } from './index.js';

/** Maximum time from the submission of an urgent job to its start, in virtual milliseconds. */
const MAX_URGENT_START_MS = 3_900;

async function states(zone: JobZone, ids: readonly string[]): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const id of ids) {
    const { state } = await zone.job(id);
    counts[state] = (counts[state] ?? 0) + 1;
  }
  return counts;
}

function startsOf(zone: JobZone, id: string) {
  return zone.starts.get(id) ?? [];
}

test('a job runs once and its result is visible with length and checksum', async (t) => {
  const zone = createJobZone();
  const controller = zone.startController();
  await zone.submit('j', { result: 'pairings' });
  const early = await settle(zone.clock, zone.store.readResult('j'));
  t.is(early.isErr ? early.error.code : undefined, JobErrorCode.NoResult);
  await zone.clock.advance(5_000);
  t.is((await zone.job('j')).state, JobState.Succeeded);
  const body = await settle(zone.clock, zone.store.readResult('j'));
  t.is(new TextDecoder().decode(body.unwrapOr(new Uint8Array())), 'pairings');
  t.is(startsOf(zone, 'j').length, 1);
  t.is(controller.status().open, 0);

  zone.platform.objects.set('result/j/1', new TextEncoder().encode('Pairings'));
  const damaged = await settle(zone.clock, zone.store.readResult('j'));
  t.is(damaged.isErr ? damaged.error.code : undefined, JobErrorCode.ResultDamaged);
  await controller.close();
});

interface FaultRunResult {
  calls: number;
  starts: number;
  record: JobRecord;
}

/** Runs one job and injects faults from the nth call of the controller on. */
async function runWithFault(
  n: number,
  faults: readonly CallFault[],
  spec: Partial<JobSpec>,
): Promise<FaultRunResult> {
  const settings = { placementIntervalMs: 1_000 };
  const zone = createJobZone({ settings });
  let calls = 0;
  const controller = zone.startController((client) =>
    withFaults(client, (_part, name) => {
      // Scans repeat periodically and are not counted; faults apply to calls that advance the job.
      if (name === 'scan') return CallFault.None;
      calls += 1;
      return faults[calls - n] ?? CallFault.None;
    }),
  );
  await zone.submit('j', { runMs: 2_500 }, spec);
  await zone.clock.advance(90_000);
  const record = await zone.job('j');
  await controller.close();
  return { calls, starts: startsOf(zone, 'j').length, record };
}

const LAST_FAULTY_CALL = 9;
const lostCalls = [CallFault.LoseAnswer, CallFault.LoseCall, CallFault.NotSent];
const faultSequences = [...lostCalls.map((fault) => [fault]), ...lostCalls.map((f) => [f, f, f])];

// Guards against lost responses that lose a job, run it twice or leave it running forever.
for (const faults of faultSequences) {
  for (const idempotent of [true, false]) {
    test(`a job is not lost with ${faults.join(', ')} at each call, idempotent ${idempotent}`, async (t) => {
      for (let n = 1; n <= LAST_FAULTY_CALL; n += 1) {
        const spec = { idempotent, urgent: n % 2 === 0 };
        const { record, starts } = await runWithFault(n, faults, spec);
        const where = `faults from call ${n}`;
        if (record.state !== JobState.Succeeded) {
          t.false(idempotent, where);
          t.is(record.parkReason, ParkReason.MayHaveRun, where);
          // A job is parked only if the outcome of its start is unknown.
          t.is(starts, 0, where);
        }
        t.true(starts <= (idempotent ? 2 : 1), where);
      }
    });
  }
}

test('the fault sweep detects a lost response misreported as a call without effect', async (t) => {
  let mostStarts = 0;
  for (let n = 1; n <= LAST_FAULTY_CALL; n += 1) {
    const { starts } = await runWithFault(n, [CallFault.Misreport], { idempotent: false });
    mostStarts = Math.max(mostStarts, starts);
  }
  t.is(mostStarts, 2);
});

/** Restarts the worker of a non-idempotent job while the job is running. */
async function restartWorkerUnder(policy: JobZoneOptions['policy']): Promise<JobZone> {
  const zone = createJobZone({ policy });
  const controller = zone.startController();
  await zone.submit('j', { runMs: 20_000 }, { idempotent: false });
  await zone.clock.advance(5_000);
  zone.platform.workers.restart(startsOf(zone, 'j')[0]?.vm ?? '');
  await zone.clock.advance(60_000);
  await controller.close();
  return zone;
}

test('a non-idempotent job that was lost while running is parked and can be released', async (t) => {
  const zone = await restartWorkerUnder({});
  t.is(startsOf(zone, 'j').length, 1);
  t.is((await zone.job('j')).parkReason, ParkReason.MayHaveRun);
  const withoutRunCheck = await restartWorkerUnder({ mayRunAgain: () => true });
  t.is(startsOf(withoutRunCheck, 'j').length, 2);
  t.true((await settle(zone.clock, zone.store.release('j'))).isOk);
  const controller = zone.startController();
  await zone.clock.advance(30_000);
  t.is((await zone.job('j')).state, JobState.Succeeded);
  await controller.close();
});

/** When the worker of an attempt restarts whose start was never sent. */
enum WorkerRestart {
  Never = 'is not restarted',
  BeforeTakeover = 'restarts before the takeover',
  AfterReport = 'restarts between the report and the stop call',
}

/** Stops a controller between recording and starting an attempt; a second one takes over. */
async function successorOfUnsentStart(restart: WorkerRestart): Promise<JobZone> {
  const zone = createJobZone({ workers: 1 });
  zone.startController((client) => ({
    ...client,
    workers: { ...client.workers, start: () => new Promise<never>(() => undefined) },
  }));
  await zone.submit('j', { runMs: 2_000 }, { idempotent: false });
  await zone.clock.advance(5_000);
  const vm = (await zone.job('j')).runs[0]?.vm ?? '';
  zone.takeLease();
  if (restart === WorkerRestart.BeforeTakeover) zone.platform.workers.restart(vm);
  const successor = zone.startController((client) =>
    withFaults(client, (_part, name) => {
      if (restart === WorkerRestart.AfterReport && name === 'stop') {
        zone.platform.workers.restart(vm);
      }
      return CallFault.None;
    }),
  );
  await zone.clock.advance(30_000);
  await successor.close();
  return zone;
}

const unsentStarts: [WorkerRestart, JobState, number][] = [
  [WorkerRestart.Never, JobState.Succeeded, 1],
  [WorkerRestart.BeforeTakeover, JobState.Parked, 0],
  [WorkerRestart.AfterReport, JobState.Parked, 0],
];

// Guards against parking a job although its worker shows that it never ran, and against a second
// run after a restart erased the worker's record of the first one.
for (const [restart, state, starts] of unsentStarts) {
  test(`a non-idempotent job whose start was not sent, worker ${restart}: ${state}`, async (t) => {
    const zone = await successorOfUnsentStart(restart);
    t.is((await zone.job('j')).state, state);
    t.is(startsOf(zone, 'j').length, starts);
  });
}

test('a start call that arrives after a restart of the worker is refused', async (t) => {
  const zone = createJobZone({ workers: 1 });
  const controller = zone.startController((client) => ({
    ...client,
    workers: {
      ...client.workers,
      start: (vm, task) => {
        if (task.epoch === 1) zone.platform.workers.restart(vm);
        return client.workers.start(vm, task);
      },
    },
  }));
  await zone.submit('j', { runMs: 2_000 }, { idempotent: false });
  await zone.clock.advance(20_000);
  await controller.close();
  const { state, epoch, attempts } = await zone.job('j');
  t.deepEqual([state, epoch, attempts], [JobState.Succeeded, 2, 1]);
  t.is(startsOf(zone, 'j').length, 1);
});

/** Cuts a worker off while it runs a job; returns the maximum number of concurrent tasks. */
async function maxConcurrentTasks(
  policy: JobZoneOptions['policy'],
  ignoreLeases: boolean,
): Promise<{ maxConcurrent: number; zone: JobZone }> {
  const zone = createJobZone({ policy });
  const controller = zone.startController();
  await zone.submit('j', { runMs: 90_000 });
  await zone.clock.advance(2_000);
  const vm = startsOf(zone, 'j')[0]?.vm ?? '';
  Object.assign(zone.platform.workers.faults(vm), { cutOff: true, ignoreLeases });
  let maxConcurrent = 0;
  for (let second = 0; second < 200; second += 1) {
    await zone.clock.advance(1_000);
    const active = zone.workers.map((worker) => zone.platform.workers.active(worker.vm));
    maxConcurrent = Math.max(
      maxConcurrent,
      active.reduce((sum, count) => sum + count, 0),
    );
    if (second === 130) zone.platform.workers.faults(vm).cutOff = false;
  }
  await controller.close();
  return { maxConcurrent, zone };
}

// Guards against a second attempt while the lease of the first is still valid.
test('a job on an unreachable worker runs elsewhere only after its lease has lapsed', async (t) => {
  const { maxConcurrent, zone } = await maxConcurrentTasks({}, false);
  t.is(maxConcurrent, 1);
  t.is((await zone.job('j')).state, JobState.Succeeded);
  t.is((await maxConcurrentTasks({ hasLeaseLapsed: () => true }, false)).maxConcurrent, 2);
});

test('a worker that keeps running a task beyond its lease cannot complete the job', async (t) => {
  const { zone } = await maxConcurrentTasks({}, true);
  const { result, epoch } = await zone.job('j');
  t.is(epoch, 2);
  t.is(result?.key, 'result/j/2');
  t.true(zone.platform.objects.has('result/j/1'), 'the late worker did finish');
});

test('a slow start call is not treated as lost', async (t) => {
  const zone = createJobZone();
  const controller = zone.startController((client) =>
    withFaults(client, async (_part, name) => {
      if (name === 'start') await zone.clock.sleep(2_500);
      return CallFault.None;
    }),
  );
  await zone.submit('j', {}, { idempotent: false });
  await zone.clock.advance(20_000);
  t.is((await zone.job('j')).state, JobState.Succeeded);
  await controller.close();
});

function takeOutOfService(zone: JobZone, vm: string): void {
  for (const worker of zone.workers) if (worker.vm === vm) worker.usable = false;
}

/**
 * Delays the first start call beyond its timeout; returns the number of starts.
 *
 * @param stopFault - fault of the first `faultyStops` stop calls; None succeeds without effect
 */
async function startsAfterLateCall(stopFault: CallFault, faultyStops: number): Promise<number> {
  const zone = createJobZone();
  let starts = 0;
  let stops = 0;
  const controller = zone.startController((client) => {
    const { workers } = client;
    const lost = withFaults(client, () => CallFault.LoseCall).workers;
    const start: WorkerService['start'] = async (vm, task) => {
      starts += 1;
      if (starts > 1) return workers.start(vm, task);
      // The retry must go to another worker: this one would refuse the late start by its epoch.
      takeOutOfService(zone, vm);
      zone.clock.setTimer(10_000, () => void workers.start(vm, task));
      await zone.clock.sleep(2_000);
      return lost.start(vm, task);
    };
    const stop: WorkerService['stop'] = (vm, taskId) => {
      stops += 1;
      if (stops > faultyStops) return workers.stop(vm, taskId);
      return stopFault === CallFault.None
        ? Promise.resolve(Result.ok(undefined))
        : lost.stop(vm, taskId);
    };
    return { ...client, workers: { ...workers, start, stop } };
  });
  await zone.submit('j', { runMs: 20_000 });
  await zone.clock.advance(60_000);
  await controller.close();
  return startsOf(zone, 'j').length;
}

// Guards against a start call that takes effect after the attempt was given up.
test('a start call that arrives late is refused by the worker', async (t) => {
  t.is(await startsAfterLateCall(CallFault.None, 0), 1);
  t.is(await startsAfterLateCall(CallFault.LoseCall, 1), 1);
  const withoutFence = await startsAfterLateCall(CallFault.None, 1_000);
  t.is(withoutFence, 2);
});

/** Pauses a controller for 15 s after its first row write, while a second one takes over. */
async function startsAfterPause(policy: JobZoneOptions['policy']): Promise<number> {
  const zone = createJobZone({ policy });
  const paused = zone.startController((client) => ({
    ...client,
    table: {
      ...client.table,
      transact: async (conditions, writes) => {
        const result = await client.table.transact(conditions, writes);
        await zone.clock.sleep(15_000);
        return result;
      },
    },
  }));
  await zone.submit('j', { runMs: 30_000 });
  await zone.clock.advance(5_000);
  takeOutOfService(zone, (await zone.job('j')).runs[0]?.vm ?? '');
  const successor = zone.startController();
  await zone.clock.advance(5_000);
  // The restart erases the worker's record of tasks to refuse.
  const { runs } = await zone.job('j');
  const others = zone.workers.filter(({ vm }) => vm !== runs[0]?.vm);
  for (const { vm } of others) zone.platform.workers.restart(vm);
  await zone.clock.advance(60_000);
  await paused.close();
  await successor.close();
  return startsOf(zone, 'j').length;
}

// Guards against a process that, after a pause, starts a task that its successor gave up.
test('a controller that was paused before a start call does not start the task', async (t) => {
  t.is(await startsAfterPause({}), 1);
  t.is(await startsAfterPause({ mayStart: () => true }), 2);
});

test('a new controller completes the jobs that its predecessor started', async (t) => {
  const zone = createJobZone();
  const first = zone.startController();
  await zone.submit('j', { runMs: 5_000 });
  await zone.clock.advance(1_000);
  const second = zone.startController();
  await zone.submit('k', { runMs: 5_000 });
  await zone.clock.advance(20_000);
  t.deepEqual(await states(zone, ['j', 'k']), { [JobState.Succeeded]: 2 });
  t.deepEqual([startsOf(zone, 'j').length, startsOf(zone, 'k').length], [1, 1]);
  await first.close();
  await second.close();
});

/** Number of row writes that a controller commits after losing the lease without noticing. */
async function commitsAfterLoss(wrap?: JobZoneOptions['wrap']): Promise<number> {
  const zone = createJobZone();
  const controller = zone.startController(wrap);
  await zone.submit('j', { runMs: 5_000 });
  await zone.clock.advance(1_000);
  const committed = () =>
    zone.counterTotal(controller.metrics, 'jobs_writes_total', { outcome: 'committed' });
  const before = await committed();
  zone.takeLease();
  await zone.clock.advance(20_000);
  await controller.close();
  return (await committed()) - before;
}

const withoutLeaseCondition: JobZoneOptions['wrap'] = (client) => ({
  ...client,
  table: {
    ...client.table,
    transact: (conditions, writes) =>
      client.table.transact(
        conditions.filter(({ key }) => !key.startsWith('lease/')),
        writes,
      ),
  },
});

test('a controller that lost its lease commits no writes', async (t) => {
  t.is(await commitsAfterLoss(), 0);
  t.true((await commitsAfterLoss(withoutLeaseCondition)) > 0);
});

interface UrgentCase {
  name: string;
  options?: JobZoneOptions;
  prepare?: (zone: JobZone) => Promise<void>;
  /** Latency in milliseconds and fault of a call. */
  slow?: (part: string, args: readonly unknown[]) => { ms: number; fault?: CallFault };
}

async function fillWorkers(zone: JobZone): Promise<void> {
  for (const id of idList(4, 'normal')) await zone.submit(id, { runMs: 600_000 }, { cores: 8 });
  await zone.clock.advance(10_000);
}

async function submitBacklog(zone: JobZone): Promise<void> {
  for (const id of idList(300, 'normal')) await zone.submit(id, { runMs: 30_000 });
}

/** VMs whose calls time out in one of the cases below. */
const timingOutVms = new Set<string>();

const urgentCases: UrgentCase[] = [
  { name: 'idle workers' },
  { name: 'a lost notice', options: { deliversNotices: false } },
  { name: 'workers full of normal jobs', prepare: fillWorkers },
  { name: 'a backlog of normal jobs', prepare: submitBacklog },
  {
    name: 'a lost notice and full workers',
    options: { deliversNotices: false },
    prepare: fillWorkers,
  },
  {
    name: 'many cancellations at once',
    prepare: async (zone) => {
      await submitBacklog(zone);
      await zone.store.cancel('team', idList(300, 'normal'));
    },
  },
  {
    name: 'a lost notice and a worker whose calls time out',
    options: { deliversNotices: false },
    slow: (part, [vm]) =>
      part === 'workers' && vm === 'vm-0' ? { ms: 2_000, fault: CallFault.LoseCall } : { ms: 0 },
  },
  {
    name: 'a lost start call to the only worker',
    options: { workers: 1 },
    slow: (part, [, task]) => {
      const isFirst = part === 'workers' && (task as { epoch?: number } | undefined)?.epoch === 1;
      return { ms: 0, fault: isFirst ? CallFault.LoseCall : undefined };
    },
  },
  {
    name: 'calls to most workers time out while they run jobs',
    options: { workers: 40 },
    prepare: async (zone) => {
      for (const id of idList(40, 'normal')) {
        await zone.submit(id, { runMs: 600_000 }, { cores: 5, kind: 'long' });
      }
      await zone.clock.advance(4_000);
      for (const { vm } of zone.workers.slice(0, 36)) timingOutVms.add(vm);
      // Long enough for the next polls to be in progress.
      await zone.clock.advance(1_000);
    },
    slow: (part, [vm]) =>
      part === 'workers' && typeof vm === 'string' && timingOutVms.has(vm)
        ? { ms: 2_000, fault: CallFault.LoseCall }
        : { ms: 0 },
  },
  {
    name: 'a slow store and full workers',
    options: { deliversNotices: false },
    prepare: fillWorkers,
    slow: (part) => ({ ms: part === 'table' ? 300 : 50 }),
  },
];

/** Time in milliseconds from the submission of an urgent job to its start. */
async function urgentStartMs({ options, prepare, slow }: UrgentCase): Promise<number> {
  const zone = createJobZone(options);
  const controller = zone.startController((client) =>
    withFaults(client, async (part, _name, args) => {
      const { ms, fault = CallFault.None } = slow?.(part, args) ?? { ms: 0 };
      if (ms > 0) await zone.clock.sleep(ms);
      return fault;
    }),
  );
  await prepare?.(zone);
  const submittedAt = zone.clock.now();
  await zone.submit('urgent', {}, { urgent: true, cores: 3, team: 'press' });
  await zone.clock.advance(30_000);
  await controller.close();
  return (startsOf(zone, 'urgent')[0]?.atMs ?? Infinity) - submittedAt;
}

for (const urgentCase of urgentCases) {
  test(`an urgent job starts within ${MAX_URGENT_START_MS} ms: ${urgentCase.name}`, async (t) => {
    const startMs = await urgentStartMs(urgentCase);
    t.log(`started after ${startMs} ms`);
    t.true(startMs <= MAX_URGENT_START_MS);
  });
}

test('an urgent job starts too late without the index scan or without evictions', async (t) => {
  const noScan = { urgentScanIntervalMs: 20_000, scanIntervalMs: 20_000 };
  const withoutScanMs = await urgentStartMs({
    name: '',
    options: { deliversNotices: false, settings: noScan },
  });
  t.true(withoutScanMs > MAX_URGENT_START_MS);
  const withoutEvictionMs = await urgentStartMs({ name: '', prepare: fillWithUrgent });
  t.true(withoutEvictionMs > MAX_URGENT_START_MS);
});

/** Fills the workers with urgent jobs, which are never evicted. */
async function fillWithUrgent(zone: JobZone): Promise<void> {
  for (const id of idList(2, 'busy')) {
    await zone.submit(id, { runMs: 600_000 }, { cores: 8, urgent: true });
  }
  await zone.clock.advance(10_000);
}
