import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { Counters } from '../batch/counters.js';
import { DecisionLog } from '../batch/decisionLog.js';
import { Job, type Step } from '../batch/job.js';
import { withStepDefaults } from '../batch/jobCodec.js';
import { mayUseWorker, placeSteps } from '../batch/placement.js';
import type { StepSpec } from '../batch/types.js';
import { createRun, RunPhase, Worker } from '../batch/worker.js';
import type { Clock } from '../clock/index.js';
import { JobState } from '../batch/types.js';
import { PlaceWaits } from './placeWaits.js';

/** One holder's placement of a service without a network, at a time that the test sets. */
class Zone {
  now = 0;
  readonly workers: Worker[] = [];
  readonly waiting: { step: Step; slackMs: number }[] = [];
  readonly counters = new Counters();
  readonly lines: string[] = [];
  readonly clock: Clock = {
    now: () => this.now,
    wallTime: () => this.now,
    sleep: () => Promise.resolve(true),
    setTimer: () => ({ cancel: () => undefined }),
  };
  waits: PlaceWaits;
  #nextBusyJob = 0;
  readonly #slowdown: number | undefined;

  constructor(slowdown?: number) {
    this.#slowdown = slowdown;
    this.waits = this.#createWaits();
  }

  #createWaits(): PlaceWaits {
    const sink = { write: (text: string) => this.lines.push(text) > 0 };
    return new PlaceWaits({
      service: 's',
      clock: this.clock,
      log: new DecisionLog(sink, this.clock),
      counters: this.counters,
      remoteSlowdown: this.#slowdown,
      runMsOf: ({ spec }) => spec.estimateMs,
    });
  }

  /** Loses all that the holder has in memory, as a successor does. */
  takeOver(): void {
    this.waits = this.#createWaits();
  }

  addWorker(id: string, labels: string[], cores = 4): Worker {
    const capacity = { cpuMillis: cores * 1_000, memoryMb: 8_000, accelerators: 0 };
    const registration = { address: '', zone: '', isDraining: false, bornMs: 0 };
    const worker = new Worker({ id, service: 's', capacity, labels, ...registration });
    worker.isAdmitted = true;
    this.workers.push(worker);
    return worker;
  }

  addStep(fields: Partial<StepSpec>, slackMs = 5_000): Step {
    const step = this.#createStep(`job${this.waiting.length}`, fields);
    this.waiting.push({ step, slackMs });
    return step;
  }

  #createStep(id: string, fields: Partial<StepSpec>): Step {
    const specs = [{ cpuMillis: 1_000, memoryMb: 100, estimateMs: 1_000, ...fields }];
    const steps = specs.map((spec) => withStepDefaults(spec));
    const times = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
    const job = new Job({ id, queue: 'q', payload: '', steps, ...times }, this.now, 1);
    job.createDueOccurrences(0);
    const [step] = job.occurrences.get(0)?.steps ?? [];
    if (!step) throw new Error('a job without a step');
    return step;
  }

  /** Starts a task of a job of its own on a worker, at the current time. */
  occupy(worker: Worker, estimateMs: number): void {
    const step = this.#createStep(`busy${this.#nextBusyJob++}`, { count: 1, estimateMs });
    const [task] = step.tasks;
    if (!task) throw new Error('a step without a task');
    const phase = RunPhase.Running;
    const run = createRun({ task, worker, number: 1, phase, startedAt: this.now });
    step.job.attach(task, run);
    worker.add(run);
  }

  /** Ends all runs on a worker. */
  clear(worker: Worker): void {
    for (const run of [...worker.runs.values()]) {
      worker.remove(run);
      run.task.step.job.complete(run.task);
      run.task.step.job.detach(run.task, run);
    }
  }

  /** Runs a placement round; returns `job.index@worker` of each start. */
  round(atMs = this.now): string[] {
    this.now = atMs;
    const { workers, now } = this;
    const waiting = this.waiting.filter(({ step }) => step.idleCount > 0);
    const jobs = new Set(waiting.map(({ step }) => step.job));
    const places = this.waits.plan(waiting, jobs, { workers, mayUse: mayUseWorker });
    const placed: string[] = [];
    const steps = waiting.map(({ step }) => step);
    placeSteps({ steps, workers, now, mayRestart: true, places }, ({ task, worker }) => {
      this.waits.handleStart(task, worker, places);
      const phase = RunPhase.Running;
      const run = createRun({ task, worker, number: 1, phase, startedAt: now });
      task.step.job.attach(task, run);
      worker.add(run);
      placed.push(`${task.step.job.spec.id}.${task.index}@${worker.record.id}`);
    });
    return placed;
  }
}

/** A zone whose rack r1-1 is full until 400 ms, and whose rack r1-2 is idle. */
function busyZone(): { zone: Zone; near: Worker; far: Worker } {
  const zone = new Zone(2);
  const near = zone.addWorker('near', ['std', 'r1-1']);
  const far = zone.addWorker('far', ['std', 'r1-2']);
  for (let core = 0; core < 4; core++) zone.occupy(near, 400);
  return { zone, near, far };
}

interface Case {
  title: string;
  run: (t: ExecutionContext) => void;
}

const cases: Case[] = [
  {
    title: 'a task waits for its rack and starts there once it is free',
    run: (t) => {
      const { zone, near } = busyZone();
      zone.addStep({ count: 1, nearRack: 'r1-1' });
      t.deepEqual(zone.round(), []);
      zone.clear(near);
      t.deepEqual(zone.round(400), ['job0.0@near']);
      t.is(zone.counters.value('place_waits', 'begun'), 1);
      t.is(zone.counters.value('place_waits', 'paid_off'), 1);
      t.is(zone.counters.value('place_wait_ms', 'waited'), 400);
      t.is(zone.counters.value('place_wait_ms', 'saved'), 600);
      t.regex(zone.lines[0] ?? '', /event=place_wait_begun service=s job=job0 step=0 rack=r1-1 /);
      t.regex(zone.lines[0] ?? '', /reason=freed_soon expected_ms=400 limit_ms=1000/);
      t.regex(zone.lines[1] ?? '', /event=place_wait_ended .* paid_off=1 .* saved_ms=600/);
    },
  },
  {
    // Guards against waits without end for runs that take longer than predicted.
    title: 'a wait is given up when the runs on the rack do not end',
    run: (t) => {
      const { zone } = busyZone();
      zone.addStep({ count: 1, nearRack: 'r1-1' });
      const startedAt = [];
      for (let at = 0; at <= 2_000; at += 100) if (zone.round(at).length > 0) startedAt.push(at);
      t.is(startedAt.length, 1);
      t.true((startedAt[0] ?? Infinity) <= 1_000, `started at ${startedAt[0]}`);
      t.is(zone.counters.value('place_waits', 'given_up'), 1);
      t.is(zone.counters.value('place_wait_ms', 'saved'), 0);
    },
  },
  {
    // Guards against waits for workers that the step may not run on.
    title: 'no wait for a rack whose workers do not have the required label',
    run: (t) => {
      const { zone } = busyZone();
      zone.addWorker('big', ['big', 'r1-3']);
      zone.addStep({ count: 1, nearRack: 'r1-1', requiredLabel: 'big' });
      t.deepEqual(zone.round(), ['job0.0@big']);
    },
  },
  {
    // Guards against waits for stragglers, which are overdue by a multiple of their run times.
    title: 'no wait for runs that are overdue by far',
    run: (t) => {
      const { zone } = busyZone();
      zone.now = 3_000;
      zone.addStep({ count: 1, nearRack: 'r1-1', estimateMs: 500 });
      t.deepEqual(zone.round(), ['job0.0@far']);
    },
  },
  {
    // Guards against a start elsewhere when a more urgent step takes the place in the same round.
    title: 'a task whose place a more urgent step takes in the same round waits for the next',
    run: (t) => {
      const { zone, near } = busyZone();
      zone.clear(near);
      for (let core = 0; core < 3; core++) zone.occupy(near, 400);
      zone.addStep({ count: 1, requiredLabel: 'r1-1' }, 100);
      zone.addStep({ count: 1, nearRack: 'r1-1' });
      t.deepEqual(zone.round(), ['job0.0@near']);
      zone.clear(near);
      t.deepEqual(zone.round(400), ['job1.0@near']);
    },
  },
  {
    // Guards against waits for a rack whose workers died.
    title: 'a wait ends when the rack dies',
    run: (t) => {
      const { zone, near } = busyZone();
      zone.addStep({ count: 1, nearRack: 'r1-1' });
      t.deepEqual(zone.round(), []);
      near.unansweredCalls = 1;
      t.deepEqual(zone.round(100), ['job0.0@far']);
      t.regex(zone.lines.at(-1) ?? '', /event=place_wait_ended .* reason=rack_gone .* given_up=1/);
    },
  },
  ...(['draining', 'vacating', 'paused', 'not admitted'] as const).map((state): Case => {
    return {
      // Guards against waits for workers that take no runs when they are free.
      title: `no wait for a worker that is ${state}`,
      run: (t) => {
        const { zone, near } = busyZone();
        if (state === 'draining') near.record = { ...near.record, isDraining: true };
        near.isVacating = state === 'vacating';
        near.avoidUntil = state === 'paused' ? 4_000 : 0;
        near.isAdmitted = state !== 'not admitted';
        zone.addStep({ count: 1, nearRack: 'r1-1' });
        t.deepEqual(zone.round(), ['job0.0@far']);
      },
    };
  }),
  {
    // Guards against tasks that could run anywhere taking the place that others wait for.
    title: 'a more urgent task without a preference leaves the rack to those that want it',
    run: (t) => {
      const { zone, near } = busyZone();
      zone.clear(near);
      zone.occupy(near, 400);
      zone.addStep({ count: 1 }, 100);
      zone.addStep({ count: 3, nearRack: 'r1-1' });
      t.deepEqual(zone.round(), ['job0.0@far', 'job1.0@near', 'job1.1@near', 'job1.2@near']);
    },
  },
  {
    // Guards against capacity that stands idle because of tasks that wait.
    title: 'capacity that a waiting task declines goes to others, also on the rack it waits for',
    run: (t) => {
      const { zone, near } = busyZone();
      zone.addStep({ count: 1, nearRack: 'r1-1' });
      zone.addStep({ count: 4 });
      t.deepEqual(zone.round(), ['job1.0@far', 'job1.1@far', 'job1.2@far', 'job1.3@far']);
      zone.clear(near);
      zone.addStep({ count: 3 });
      t.is(zone.round(400).length, 4);
    },
  },
  {
    // Guards against a step that follows its first task to a rack too small for the rest.
    title: 'a colocated step starts on the rack that can hold all of it',
    run: (t) => {
      const { zone } = busyZone();
      zone.addStep({ count: 4, isColocated: true });
      zone.occupy(zone.addWorker('small', ['std', 'r1-3']), 4_000);
      t.deepEqual(
        zone.round().map((start) => start.split('@')[1]),
        ['far', 'far', 'far', 'far'],
      );
    },
  },
  {
    title: 'a gang waits as a whole for the rack of its data',
    run: (t) => {
      const { zone, near } = busyZone();
      zone.addStep({ count: 3, isGang: true, nearRack: 'r1-1' });
      t.deepEqual(zone.round(), []);
      zone.clear(near);
      t.deepEqual(zone.round(400), ['job0.0@near', 'job0.1@near', 'job0.2@near']);
      t.is(zone.counters.value('place_waits', 'paid_off'), 3);
    },
  },
  {
    // Guards against a gang that never starts because no rack can hold it.
    title: 'a gang that no rack can hold starts on several',
    run: (t) => {
      const zone = new Zone(2);
      zone.addWorker('a', ['r1-1']);
      zone.addWorker('b', ['r1-2']);
      zone.addStep({ count: 6, isGang: true, isColocated: true });
      t.is(zone.round().length, 6);
    },
  },
  {
    // Guards against a second full wait under the next holder.
    title: 'a successor counts the time since acceptance as waited',
    run: (t) => {
      const { zone, near } = busyZone();
      zone.addStep({ count: 1, nearRack: 'r1-1' });
      t.deepEqual(zone.round(), []);
      zone.now = 700;
      zone.takeOver();
      zone.clear(near);
      for (let core = 0; core < 4; core++) zone.occupy(near, 400);
      t.deepEqual(zone.round(700), ['job0.0@far']);
    },
  },
  {
    // Guards against waits that stay in memory after their jobs have ended.
    title: 'the wait of a job that ends is dropped',
    run: (t) => {
      const { zone } = busyZone();
      const step = zone.addStep({ count: 1, nearRack: 'r1-1' });
      zone.round();
      step.job.finalState = JobState.Cancelled;
      zone.waiting.pop();
      zone.round(100);
      t.is(zone.counters.value('place_waits', 'dropped'), 1);
      t.regex(zone.lines.at(-1) ?? '', /event=place_wait_ended .* reason=job_ended/);
    },
  },
  {
    title: 'a long-running step prefers its rack and never waits',
    run: (t) => {
      const { zone } = busyZone();
      zone.addStep({ count: 1, nearRack: 'r1-1', isLasting: true }, Infinity);
      t.deepEqual(zone.round(), ['job0.0@far']);
    },
  },
];

for (const { title, run } of cases) test(title, run);

/** Today's rule: a fixed score for the near rack and for the rack of the step's first task. */
function placeByFixedScore({ workers, waiting }: Zone): string[] {
  const used = new Map(workers.map((worker) => [worker, 0]));
  const placed: string[] = [];
  for (const { step } of waiting) {
    const { spec } = step;
    const before = new Map(used);
    const chosen: [number, Worker][] = [];
    for (const { index } of step.tasks) {
      let best: Worker | undefined;
      let bestScore = -Infinity;
      for (const worker of workers) {
        const { labels, capacity } = worker.record;
        const cpuUsed = used.get(worker) ?? 0;
        if (cpuUsed + spec.cpuMillis > capacity.cpuMillis) continue;
        // The tasks of a gang are chosen before the first of them is reserved.
        const usedForScore = spec.isGang ? before.get(worker) : cpuUsed;
        let score = (usedForScore ?? 0) / capacity.cpuMillis;
        if (spec.nearRack !== undefined && labels.includes(spec.nearRack)) score += 4;
        const first = chosen[0]?.[1].record.labels;
        if (spec.isColocated && first && labels.every((label) => first.includes(label))) score += 4;
        if (score <= bestScore) continue;
        best = worker;
        bestScore = score;
      }
      if (!best) break;
      used.set(best, (used.get(best) ?? 0) + spec.cpuMillis);
      chosen.push([index, best]);
    }
    if (spec.isGang && chosen.length < spec.count) {
      for (const [worker, cpuUsed] of before) used.set(worker, cpuUsed);
      continue;
    }
    for (const [index, worker] of chosen) {
      placed.push(`${step.job.spec.id}.${index}@${worker.record.id}`);
    }
  }
  return placed;
}

// Guards against a change of the placement where the deployment has no slowdown.
for (const slowdown of [undefined, 1]) {
  test(`with a slowdown of ${slowdown} the placement is that by fixed scores`, (t) => {
    const rack = fc.constantFrom('r1-1', 'r1-2', 'r2-1');
    const steps = fc.array(
      fc.record({
        count: fc.integer({ min: 1, max: 6 }),
        cores: fc.integer({ min: 1, max: 3 }),
        nearRack: fc.option(rack, { nil: undefined }),
        isColocated: fc.boolean(),
        isGang: fc.boolean(),
        slackMs: fc.integer({ min: -500, max: 3_000 }),
      }),
      { maxLength: 8 },
    );
    const workers = fc.array(fc.record({ rack, cores: fc.integer({ min: 1, max: 8 }) }), {
      maxLength: 8,
    });
    const property = fc.property(workers, steps, (workerSpecs, specs) => {
      const zone = new Zone(slowdown);
      for (const [index, { rack: label, cores }] of workerSpecs.entries()) {
        zone.addWorker(`w${index}`, ['std', label], cores);
      }
      for (const { cores, slackMs, ...spec } of specs) {
        zone.addStep({ ...spec, cpuMillis: cores * 1_000, memoryMb: 0 }, slackMs);
      }
      const expected = placeByFixedScore(zone);
      t.deepEqual(zone.round(), expected);
      t.deepEqual([...zone.counters.entries()], []);
    });
    fc.assert(property, { seed: 20_261, numRuns: 400 });
  });
}

// Guards against runs on more than a worker's capacity and tasks that never start, whatever is decided.
test('with waits, all tasks that fit start within the longest wait, once', (t) => {
  const rack = fc.constantFrom('r1-1', 'r1-2', 'r9-9');
  const step = fc.record({
    count: fc.integer({ min: 1, max: 4 }),
    nearRack: fc.option(rack, { nil: undefined }),
    isColocated: fc.boolean(),
    isGang: fc.boolean(),
    estimateMs: fc.integer({ min: 50, max: 8_000 }),
    slackMs: fc.integer({ min: -500, max: 9_000 }),
  });
  const property = fc.property(
    fc.array(step, { maxLength: 6 }),
    fc.integer({ min: 1, max: 9_000 }),
    (specs, busyMs) => {
      const zone = new Zone(3);
      const near = zone.addWorker('near', ['r1-1']);
      zone.addWorker('far', ['r1-2'], 24);
      for (let core = 0; core < 4; core++) zone.occupy(near, busyMs);
      for (const { slackMs, ...spec } of specs) zone.addStep(spec, slackMs);
      const placed: string[] = [];
      for (let at = 0; at <= 2_000; at += 100) placed.push(...zone.round(at));
      const expected = specs.reduce((sum, { count }) => sum + count, 0);
      t.is(new Set(placed.map((start) => start.split('@')[0])).size, expected);
      t.is(placed.length, expected);
      for (const { cpuUsed, record } of zone.workers) t.true(cpuUsed <= record.capacity.cpuMillis);
    },
  );
  fc.assert(property, { seed: 20_262, numRuns: 300 });
});
