import test from 'ava';
import {
  createVirtualClock,
  createJobZone,
  idList,
  settle,
  type JobZone,
} from '../testing/index.js';
import type { JobZoneOptions, RunningController } from '../testing/index.js';
import { JobState, jobsSchema, ParkReason, ResourceModel, WorkerHealth } from './index.js';

async function countIn(zone: JobZone, ids: readonly string[], state: JobState): Promise<number> {
  let count = 0;
  for (const id of ids) if ((await zone.job(id)).state === state) count += 1;
  return count;
}

async function withController<T>(
  options: JobZoneOptions,
  body: (zone: JobZone, controller: RunningController) => Promise<T>,
): Promise<T> {
  const zone = createJobZone(options);
  const controller = zone.startController();
  const result = await body(zone, controller);
  await controller.close();
  return result;
}

/** Runs 30 jobs while one worker fails every task; returns its starts and the successful jobs. */
function runWithBadWorker(quarantineFailures: number) {
  const options = { settings: { quarantineFailures }, workers: 3 };
  return withController(options, async (zone) => {
    zone.platform.workers.faults('vm-0').failAll = true;
    const ids = idList(30);
    for (const id of ids) {
      await zone.submit(id, { runMs: 2_000 }, { cores: 4 });
      await zone.clock.advance(500);
    }
    await zone.clock.advance(50_000);
    const succeeded = await countIn(zone, ids, JobState.Succeeded);
    const bad = [...zone.starts.values()].flat().filter(({ vm }) => vm === 'vm-0').length;
    return { succeeded, bad };
  });
}

// Guards against a worker that fails every task and, always being free, attracts all jobs.
test('a worker that fails every task is quarantined', async (t) => {
  const { succeeded, bad } = await runWithBadWorker(3);
  t.is(succeeded, 30);
  t.true(bad <= 5, `${bad} starts on the bad worker`);
  t.true((await runWithBadWorker(1_000)).bad > 5);
});

test('a job that always fails gets a bounded number of attempts', async (t) => {
  await withController({ workers: 6 }, async (zone) => {
    await zone.submit('j', { fail: 'no such draw' });
    await zone.clock.advance(60_000);
    const { state, error, attempts } = await zone.job('j');
    t.deepEqual([state, error, attempts], [JobState.Failed, 'no such draw', 4]);
    t.is(zone.starts.get('j')?.length, 4);
    t.is(new Set(zone.starts.get('j')?.map(({ vm }) => vm)).size, 4);
  });
});

/** Maximum number of concurrent jobs on a worker of 8 cores; each job declares 4 and uses 1. */
function maxRunningTasks(policy: JobZoneOptions['policy']) {
  return withController({ workers: 1, policy }, async (zone) => {
    for (const id of idList(30)) {
      await zone.submit(id, { runMs: 5_000, coresUsed: 1, memoryUsedMib: 100 }, { cores: 4 });
    }
    let maxRunning = 0;
    for (let second = 0; second < 60; second += 1) {
      await zone.clock.advance(1_000);
      maxRunning = Math.max(maxRunning, zone.platform.workers.active('vm-0'));
    }
    return maxRunning;
  });
}

test('placement uses the observed usage instead of the declared size', async (t) => {
  t.is(await maxRunningTasks({}), 8);
  t.is(await maxRunningTasks({ requirement: (declared) => declared }), 4);
});

test('a job that fits no worker is parked, and requeued once a worker is large enough', async (t) => {
  await withController({}, async (zone, controller) => {
    for (const worker of zone.workers) worker.cores = 2;
    const [first] = zone.workers;
    if (first) first.cores = 8;
    zone.workers.forEach((worker) => (worker.usable = false));
    await zone.submit('j', {}, { cores: 6 });
    if (first) first.cores = 2;
    await zone.clock.advance(10_000);
    t.is((await zone.job('j')).parkReason, ParkReason.NoWorkerLargeEnough);
    t.is(await zone.counterTotal(controller.metrics, 'jobs_parked_total'), 1);
    zone.workers.forEach((worker) => Object.assign(worker, { cores: 8, usable: true }));
    await zone.clock.advance(20_000);
    t.is((await zone.job('j')).state, JobState.Succeeded);
  });
});

/** Cancels many jobs at once; returns the table operations and the start of an urgent job. */
function cancelManyJobs(count: number, settings: JobZoneOptions['settings'] = {}) {
  return withController({ workers: 4, settings, tableLatencyMs: 50 }, async (zone) => {
    const ids = idList(count);
    for (const id of ids) await zone.submit(id, { runMs: 600_000 });
    await zone.clock.advance(10_000);
    const { reads, writes } = zone.platform;
    const cancelledAt = zone.clock.now();
    await settle(zone.clock, zone.store.cancel('team', ids));
    await zone.submit('urgent', {}, { urgent: true });
    await zone.clock.advance(5_000);
    const cancelled = await countIn(zone, ids, JobState.Cancelled);
    const running = zone.workers.reduce((sum, { vm }) => sum + zone.platform.workers.active(vm), 0);
    const operations = zone.platform.writes - writes;
    const starts = ids.flatMap((id) => zone.starts.get(id) ?? []);
    const uselessStarts = starts.filter(({ atMs }) => atMs > cancelledAt + 1_100).length;
    const urgentMs = (zone.starts.get('urgent')?.[0]?.atMs ?? Infinity) - cancelledAt;
    return {
      cancelled,
      running,
      operations,
      uselessStarts,
      reads: zone.platform.reads - reads,
      urgentMs,
    };
  });
}

// Guards against a cost per job that grows with their number, and against one write per job.
test('cancelling many jobs at once has linear cost and does not delay urgent jobs', async (t) => {
  const small = await cancelManyJobs(200);
  const large = await cancelManyJobs(800);
  for (const [run, count] of [
    [small, 200],
    [large, 800],
  ] as const) {
    t.is(run.cancelled, count);
    t.is(run.running, 0);
    t.true(run.urgentMs <= 3_900);
    t.is(run.uselessStarts, 0);
    t.true(run.operations <= count / 10 + 20, `${run.operations} writes for ${count} jobs`);
  }
  t.log(`writes: ${small.operations} for 200, ${large.operations} for 800`);
  const unbatched = await cancelManyJobs(200, { maxBatch: 1 });
  t.true(unbatched.operations > 200 / 10 + 20);
});

/** Vacates the VM of a 60 s job after 30 s; returns the end time and final record of the job. */
function vacateHalfway(canCheckpoint: boolean) {
  return withController({}, async (zone, controller) => {
    await zone.submit('j', { runMs: 60_000 });
    await zone.clock.advance(30_000);
    const vm = zone.starts.get('j')?.[0]?.vm ?? '';
    if (!canCheckpoint)
      zone.platform.workers.checkpoint = zone.platform.workers.stop.bind(zone.platform.workers);
    await settle(zone.clock, controller.vacate(vm));
    await zone.clock.advance(1_000);
    const { remaining } = await settle(zone.clock, controller.vacate(vm));
    const usedVms = () => zone.starts.get('j')?.map((start) => start.vm) ?? [];
    let record = await zone.job('j');
    while (record.state !== JobState.Succeeded && zone.clock.now() < 300_000) {
      await zone.clock.advance(1_000);
      record = await zone.job('j');
    }
    return { vm, remaining, vms: usedVms(), endMs: zone.clock.now(), record };
  });
}

test('jobs checkpoint before a planned stop and continue on another VM', async (t) => {
  const { vm, remaining, vms, endMs, record } = await vacateHalfway(true);
  t.deepEqual(remaining, []);
  t.is(vms.length, 2);
  t.not(vms[1], vm);
  t.is(record.attempts, 1);
  t.true(endMs <= 65_000, `ended after ${endMs} ms`);
  t.true((await vacateHalfway(false)).endMs > 65_000);
});

/** Slows one worker down by a factor of 50; returns the successful jobs and the counters. */
function runStragglers(idempotent: boolean, policy: JobZoneOptions['policy'] = {}) {
  return withController({ workers: 3, policy }, async (zone, controller) => {
    for (const id of idList(10, 'warm')) await zone.submit(id, { runMs: 3_000 }, { cores: 8 });
    await zone.clock.advance(15_000);
    zone.platform.workers.faults('vm-0').slowdown = 50;
    const ids = idList(4);
    for (const id of ids) await zone.submit(id, { runMs: 3_000 }, { idempotent, cores: 8 });
    await zone.clock.advance(60_000);
    return {
      succeeded: await countIn(zone, ids, JobState.Succeeded),
      duplicated: await zone.counterTotal(controller.metrics, 'jobs_duplicates_total'),
      throttled: await zone.counterTotal(controller.metrics, 'jobs_throttles_total'),
      mostStarts: Math.max(...ids.map((id) => zone.starts.get(id)?.length ?? 0)),
    };
  });
}

test('idempotent stragglers are duplicated and others are throttled', async (t) => {
  t.deepEqual(await runStragglers(true), {
    succeeded: 4,
    duplicated: 1,
    throttled: 0,
    mostStarts: 2,
  });
  t.deepEqual(await runStragglers(false), {
    succeeded: 3,
    duplicated: 0,
    throttled: 1,
    mostStarts: 1,
  });
  const withoutDetection = await runStragglers(true, { isStraggler: () => false });
  t.deepEqual([withoutDetection.succeeded, withoutDetection.duplicated], [3, 0]);
});

test('the number of duplicates stays within the budget', async (t) => {
  await withController({ workers: 8 }, async (zone, controller) => {
    for (const id of idList(10, 'warm')) await zone.submit(id, { runMs: 1_000 });
    await zone.clock.advance(15_000);
    for (const id of idList(20)) await zone.submit(id, { runMs: 600_000 });
    await zone.clock.advance(30_000);
    t.is(await zone.counterTotal(controller.metrics, 'jobs_duplicates_total'), 1);
  });
});

// Guards against starvation of a large job by a stream of small ones.
test('a large job gets a worker despite a stream of small jobs', async (t) => {
  const startOfLarge = (reserveAfterMs: number) =>
    withController({ workers: 1, settings: { reserveAfterMs } }, async (zone) => {
      for (const id of idList(120, 'small')) {
        await zone.submit(id, { runMs: 8_000 }, { team: 'other' });
        if (id === 'small20')
          await zone.submit('large', { runMs: 1_000 }, { cores: 8, kind: 'large' });
        await zone.clock.advance(1_000);
      }
      return zone.starts.get('large')?.[0]?.atMs ?? Infinity;
    });
  t.true((await startOfLarge(30_000)) < 80_000);
  t.is(await startOfLarge(10_000_000), Infinity);
});

test('jobs beyond the memory limit wait in the table and run later', async (t) => {
  const settings = { maxKnownJobs: 5, maxKnownUrgentJobs: 2 };
  await withController({ workers: 1, settings }, async (zone, controller) => {
    const ids = idList(40);
    for (const id of ids) await zone.submit(id, { runMs: 100 });
    for (const id of ids) controller.notify(id);
    t.is(await zone.counterTotal(controller.metrics, 'jobs_notices_dropped_total'), 37);
    let maxOpen = 0;
    for (let second = 0; second < 120; second += 1) {
      await zone.clock.advance(1_000);
      maxOpen = Math.max(maxOpen, controller.status().open);
    }
    t.true(maxOpen <= 5);
    t.true((await zone.counterTotal(controller.metrics, 'jobs_not_loaded_total')) > 0);
    t.is(await countIn(zone, ids, JobState.Succeeded), 40);
  });
});

test('the numbers of learned kinds and worker records are bounded', (t) => {
  const settings = jobsSchema.parse({ maxLearnedKinds: 10, maxWorkerRecords: 10 });
  let dropped = 0;
  const model = new ResourceModel(settings, () => (dropped += 1));
  const health = new WorkerHealth(createVirtualClock(), settings, () => undefined);
  for (const name of idList(50)) {
    model.observeRunTime(name, 1);
    health.recordFailure(name, 'job');
  }
  t.deepEqual([model.size, dropped, health.size], [10, 40, 10]);
});

/** Runs 60 s jobs on 30 workers; returns the maximum number of starts of a job. */
function maxStartsPerJob(maxPollsPerRound: number) {
  return withController({ workers: 30, settings: { maxPollsPerRound } }, async (zone) => {
    const ids = idList(30);
    for (const id of ids) await zone.submit(id, { runMs: 60_000 }, { cores: 8 });
    await zone.clock.advance(90_000);
    return Math.max(...ids.map((id) => zone.starts.get(id)?.length ?? 0));
  });
}

// Guards against bounded poll rounds that omit a worker until the leases of its tasks lapse.
test('poll rounds reach every worker in turn', async (t) => {
  t.is(await maxStartsPerJob(3), 1);
  t.true((await maxStartsPerJob(1)) > 1);
});
