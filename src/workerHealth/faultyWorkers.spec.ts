import test from 'ava';
import { RunEnd, type StepSpec } from '../batch/index.js';
import {
  BatchRig,
  required,
  StoreFault,
  type RigNode,
  type TaskScript,
} from '../testing/batchRig/index.js';

const SERVICE = 'motions';
const RUN_MS = 500;

interface Scenario {
  workers: number;
  durationMs: number;
  /** Interval between jobs of six tasks in two steps. */
  jobIntervalMs: number;
  /** Declared run time; wrong by a constant factor if it is not {@link RUN_MS}. */
  estimateMs?: number;
  /** Changes the script of a run that would take {@link RUN_MS} and succeed. */
  fault: (run: { task: string; run: number; worker: string; atMs: number }) => Partial<TaskScript>;
  onStart?: (rig: BatchRig) => void;
}

interface Outcome {
  jobs: number;
  inTime: number;
  /** Log lines of the kind, with the time since the start. */
  setAside: string[];
  returned: string[];
  /** Largest number of workers that were away at once. */
  maxAway: number;
  rig: BatchRig;
  holder: RigNode;
}

/** A number from 0 to 1 that only depends on the text (FNV-1a). */
function chance(text: string): number {
  let hash = 2_166_136_261;
  for (const char of text) hash = Math.imul(hash ^ char.charCodeAt(0), 16_777_619) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 15), 2_246_822_519) >>> 0;
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}

function linesOf({ logLines }: RigNode, event: string): string[] {
  return logLines.filter((line) => line.includes(`event=${event} `));
}

function workerOf(line: string): string {
  return / worker=(\S+)/.exec(line)?.[1] ?? '';
}

async function play(scenario: Scenario): Promise<Outcome> {
  const { workers, durationMs, jobIntervalMs, estimateMs = RUN_MS, fault, onStart } = scenario;
  const rig = new BatchRig({ workersPerService: workers, features: { judgesWorkers: true } });
  await rig.ready();
  const holder = required(rig.holderOf(SERVICE));
  await rig.advance(1_000);
  const startedAt = rig.clock.now();
  rig.fleet.script = (task, run, worker) => {
    const atMs = rig.clock.now() - startedAt;
    return { runMs: RUN_MS, ...fault({ task, run, worker, atMs }) };
  };
  onStart?.(rig);
  const submitted: { id: string; tasks: number; at: number }[] = [];
  while (rig.clock.now() - startedAt < durationMs) {
    const needs = { estimateMs };
    const spec = rig.createJob(SERVICE, [
      { count: 4, ...needs },
      { count: 2, after: [0], ...needs },
    ]);
    submitted.push({ id: spec.id, tasks: 6, at: rig.clock.now() });
    void holder.node.gateway.submit(rig.queue(SERVICE), spec, 3_000);
    await rig.advance(jobIntervalMs);
  }
  await rig.advance(6_000);
  const doneAt = new Map<string, number[]>();
  for (const { task, endedAt, end } of rig.fleet.runs()) {
    const job = task.slice(0, task.indexOf('.'));
    if (end === RunEnd.Done && endedAt !== undefined) {
      doneAt.set(job, [...(doneAt.get(job) ?? []), endedAt]);
    }
  }
  const limitMs = 600 + 1.6 * 2 * RUN_MS;
  const isInTime = ({ id, tasks, at }: (typeof submitted)[number]) => {
    const ends = doneAt.get(id) ?? [];
    return ends.length >= tasks && Math.max(...ends) - at <= limitMs;
  };
  const away = [...linesOf(holder, 'worker_set_aside'), ...linesOf(holder, 'worker_returned')];
  return {
    jobs: submitted.length,
    inTime: submitted.filter(isInTime).length,
    setAside: linesOf(holder, 'worker_set_aside'),
    returned: linesOf(holder, 'worker_returned'),
    maxAway: Math.max(0, ...away.map((line) => Number(/ away=(\d+)/.exec(line)?.[1]))),
    rig,
    holder,
  };
}

const BAD = 'motions-0';

interface FaultCase {
  title: string;
  scenario: Scenario;
  /** Workers that have to be set aside, and no others. */
  setAside: string[];
  reason?: string;
  minInTime?: number;
  returns?: boolean;
  check?: (outcome: Outcome) => string | undefined;
}

const load = { workers: 6, durationMs: 20_000, jobIntervalMs: 240 };

const cases: FaultCase[] = [
  {
    // Guards against a worker that answers and keeps its share of the work at a fifth of the speed.
    title: 'a worker that is five times slower is set aside',
    scenario: {
      ...load,
      fault: ({ worker, atMs }) => (worker === BAD && atMs > 3_000 ? { runMs: 5 * RUN_MS } : {}),
    },
    setAside: [BAD],
    reason: 'slow',
    minInTime: 0.92,
  },
  {
    // Guards against a comparison with the declared run time instead of the other workers.
    title: 'a slow worker is found although the declared run times are all twice too long',
    scenario: {
      ...load,
      estimateMs: 2 * RUN_MS,
      fault: ({ worker, atMs }) => (worker === BAD && atMs > 3_000 ? { runMs: 5 * RUN_MS } : {}),
    },
    setAside: [BAD],
    reason: 'slow',
  },
  {
    title: 'declared run times that are all a fifth of the true ones set no worker aside',
    scenario: { ...load, estimateMs: RUN_MS / 5, fault: () => ({}) },
    setAside: [],
  },
  {
    // Guards against a worker that fails some runs, but hardly ever three in a row.
    title: 'a worker that fails 30% of its runs for 7 s is set aside and returns',
    scenario: {
      ...load,
      jobIntervalMs: 150,
      fault: ({ task, run, worker, atMs }) =>
        worker === BAD && atMs > 3_000 && atMs < 10_000 && chance(`${task}#${run}`) < 0.3
          ? { end: RunEnd.Failed }
          : {},
    },
    setAside: [BAD],
    reason: 'failures',
    returns: true,
  },
  {
    // Guards against a worker that ends its runs at once and therefore attracts more of them.
    title: 'a worker that fails all its runs at once for 6 s is set aside and returns',
    scenario: {
      ...load,
      jobIntervalMs: 150,
      fault: ({ worker, atMs }) =>
        worker === BAD && atMs > 3_000 && atMs < 9_000 ? { runMs: 20, end: RunEnd.Failed } : {},
    },
    setAside: [BAD],
    reason: 'failures',
    returns: true,
    minInTime: 0.9,
  },
  {
    // Guards against a worker that answers calls while its runs make no progress.
    title: 'a worker that stands still for 7 s is set aside and returns',
    scenario: {
      ...load,
      fault: ({ worker, atMs }) =>
        worker === BAD && atMs > 3_000 && atMs < 10_000 ? { runMs: RUN_MS + 10_000 - atMs } : {},
    },
    setAside: [BAD],
    reason: 'slow',
    returns: true,
  },
  {
    // Guards against blaming workers for tasks that fail wherever they run.
    title: 'jobs whose tasks fail everywhere set no worker aside',
    scenario: {
      ...load,
      fault: ({ task }) =>
        chance(task.slice(0, task.indexOf('.'))) < 0.25 ? { runMs: 30, end: RunEnd.Failed } : {},
    },
    setAside: [],
  },
  {
    // Guards against blaming workers for tasks that take long wherever they run.
    title: '3 of 100 tasks that run seven times as long set no worker aside',
    scenario: {
      ...load,
      durationMs: 60_000,
      fault: ({ task }) => (chance(task) < 0.03 ? { runMs: 7 * RUN_MS } : {}),
    },
    setAside: [],
  },
  {
    // Guards against a comparison that needs a majority of healthy workers in a small pool.
    title: 'in a pool of two workers, the slow one is set aside',
    scenario: {
      workers: 2,
      durationMs: 20_000,
      jobIntervalMs: 900,
      fault: ({ worker, atMs }) => (worker === BAD && atMs > 3_000 ? { runMs: 5 * RUN_MS } : {}),
    },
    setAside: [BAD],
    reason: 'slow',
    minInTime: 0.7,
  },
  {
    title: 'the only worker of a pool is never set aside',
    scenario: {
      workers: 1,
      durationMs: 10_000,
      jobIntervalMs: 1_800,
      fault: ({ atMs }) => (atMs > 3_000 ? { runMs: 50, end: RunEnd.Failed } : {}),
    },
    setAside: [],
  },
  {
    // Guards against a pool that loses most of its workers to the judgement.
    title: 'of ten workers of which four are slow, the two worst are set aside at once',
    scenario: {
      workers: 10,
      durationMs: 15_000,
      jobIntervalMs: 200,
      fault: ({ worker, atMs }) => {
        const factors = new Map([
          ['motions-0', 3],
          ['motions-1', 12],
          ['motions-2', 3],
          ['motions-3', 10],
        ]);
        return atMs > 3_000 ? { runMs: RUN_MS * (factors.get(worker) ?? 1) } : {};
      },
    },
    setAside: [],
    check: ({ maxAway, setAside }) => {
      if (maxAway > 2) return `${maxAway} workers were away at once`;
      const names = new Set(setAside.map(workerOf));
      const isFound = ['motions-1', 'motions-3'].every((name) => names.has(name));
      if (!isFound) return `set aside: ${[...names].join(', ')}`;
      const isHealthy = [...names].some((name) => !/-[0-3]$/.test(name));
      return isHealthy ? `set aside: ${[...names].join(', ')}` : undefined;
    },
  },
  {
    // Guards against a long-running step that cannot be placed because a worker is set aside.
    title: 'no worker is set aside while a long-running step needs all of them',
    scenario: {
      ...load,
      fault: ({ worker, atMs, task }) => {
        if (task.startsWith('0000000000000001')) return { runMs: Infinity };
        return worker === BAD && atMs > 3_000 ? { runMs: 5 * RUN_MS } : {};
      },
      onStart: (rig) => {
        const step: Partial<StepSpec> = { count: 6, maxPerWorker: 1, isLasting: true, maxAway: 1 };
        const spec = rig.createJob(SERVICE, [{ ...step, cpuMillis: 200 }]);
        const { node } = required(rig.holderOf(SERVICE));
        void node.gateway.submit(rig.queue(SERVICE), spec, 3_000);
      },
    },
    setAside: [],
  },
];

for (const { title, scenario, setAside, reason, minInTime, returns, check } of cases) {
  test(title, async (t) => {
    const outcome = await play(scenario);
    const names = [...new Set(outcome.setAside.map(workerOf))];
    const share = outcome.inTime / outcome.jobs;
    t.log(`in time: ${outcome.inTime} of ${outcome.jobs}; set aside: ${outcome.setAside.length}`);
    if (check) t.is(check(outcome), undefined);
    else t.deepEqual(names, setAside);
    if (reason !== undefined) t.regex(outcome.setAside[0] ?? '', new RegExp(`reason=${reason} `));
    // Guards against a judgement that ends runs.
    const stopped = outcome.rig.fleet.runs().filter(({ end }) => end === RunEnd.Stopped);
    if (reason === 'slow') t.deepEqual(stopped, []);
    if (minInTime !== undefined) t.true(share >= minInTime, String(share));
    if (returns === true) {
      t.true(outcome.returned.some((line) => line.includes('reason=trial_succeeded')));
      t.true(linesOf(outcome.holder, 'worker_on_trial').length > 0);
    }
    t.deepEqual(outcome.rig.violations(), []);
  });
}

interface TakeoverCase {
  title: string;
  /** Changes the stored row; by default it remains. */
  change?: (value: string) => string;
  /** Time without a holder. */
  waitMs?: number;
  isKept: boolean;
  event: string;
}

const takeoverCases: TakeoverCase[] = [
  {
    // Guards against a successor that sends work to a worker that is known to be bad.
    title: 'a successor keeps the opinion of the earlier holder',
    isKept: true,
    event: 'worker_health_loaded',
  },
  {
    title: 'a successor drops an opinion that is over 30 s old',
    waitMs: 31_000,
    isKept: false,
    event: 'worker_health_dropped',
  },
  ...['x', '5', 'null', '{}', '{"atMs":1,"workers":[{"id":7}]}', '[]'].map(
    (value): TakeoverCase => {
      return {
        // Guards against a row that ends the tasks of every holder that reads it.
        title: `a successor drops the opinion ${value} and manages the service`,
        change: () => value,
        isKept: false,
        event: 'worker_health_dropped',
      };
    },
  ),
  {
    title: 'a successor drops an opinion from far in the future',
    change: (value) => value.replace(/"atMs":\d+/, '"atMs":99999999999999'),
    isKept: false,
    event: 'worker_health_dropped',
  },
];

for (const { title, change, waitMs = 0, isKept, event } of takeoverCases) {
  test(title, async (t) => {
    // The worker stays slow, so that its periods have grown to several seconds.
    const { rig, holder } = await play({
      workers: 6,
      durationMs: 12_000,
      jobIntervalMs: 240,
      fault: ({ worker }) => (worker === BAD ? { runMs: 8 * RUN_MS } : {}),
    });
    const row = required(rig.store.rowsOfPart('worker_health', SERVICE)[0]);
    // Nothing is stored while the store is away for all nodes.
    if (waitMs > 0) {
      holder.isDead = true;
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.Refuse);
      await rig.advance(waitMs);
      rig.store.faults.clear();
    }
    holder.isDead = true;
    if (change) rig.store.put(row, change(row.value));
    t.true(await rig.until(() => rig.holderOf(SERVICE) !== undefined, 20_000));
    const successor = required(rig.holderOf(SERVICE));
    await rig.advance(500);
    t.is(linesOf(successor, event).length, 1);
    t.is(linesOf(successor, 'worker_set_aside').length, isKept ? 1 : 0);
    const spec = rig.createJob(SERVICE, [{ count: 4 }]);
    await rig.settle(successor.node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
    await rig.advance(6_000);
    const done = rig.fleet.runs().filter(({ task, end }) => {
      return task.startsWith(spec.id) && end === RunEnd.Done;
    });
    t.is(done.length, 4);
    t.is(successor.counters.value('child_failures', `hold ${SERVICE}`), 0);
  });
}
