import test from 'ava';
import fc from 'fast-check';
import { criticalPathMs, isStepReady, Job, remainingPathMs, type Step } from '../batch/job.js';
import { withStepDefaults } from '../batch/jobCodec.js';
import { byAccount, orderWaiting, Urgency } from '../batch/ordering.js';
import { placeSteps } from '../batch/placement.js';
import { createRun, RunPhase, Worker } from '../batch/worker.js';
import type { Queue } from '../batch/types.js';
import { AccountUsage } from './accountUsage.js';

const queues = new Map<string, Queue>(
  [0, 1].map((priority) => [
    `q${priority}`,
    {
      name: `q${priority}`,
      host: '',
      pathPrefix: '',
      service: 's',
      objectiveMs: 600,
      stretch: 1.6,
      priority,
      maxAttempts: 3,
    },
  ]),
);
const queueOf = (name: string) => queues.get(name);

/** The order of waiting steps as it was before accounts existed, kept to compare with. */
function presentOrder(jobs: Iterable<Job>, now: number, wallTimeMs: number): Step[] {
  const waiting: { step: Step; urgency: number; priority: number; sortKeyMs: number }[] = [];
  for (const job of jobs) {
    if (job.finalState) continue;
    const queue = queueOf(job.spec.queue);
    const objectiveMs =
      criticalPathMs(job.spec) * (queue?.stretch ?? 1) + (queue?.objectiveMs ?? 0);
    for (const occurrence of job.occurrences.values()) {
      const sinceDueMs = wallTimeMs - (job.spec.firstDueMs + occurrence.number * job.spec.periodMs);
      const ageMs = job.hasSchedule ? sinceDueMs : now - job.acceptedAt;
      for (const step of occurrence.steps) {
        if (step.idleCount === 0 || !isStepReady(step)) continue;
        const remainingMs = remainingPathMs(occurrence);
        const slackMs = objectiveMs - ageMs - remainingMs;
        let [urgency, sortKeyMs] = [3, -ageMs];
        if (step.spec.isLasting) [urgency, sortKeyMs] = [0, 0];
        else if (slackMs >= 0) [urgency, sortKeyMs] = [1, slackMs];
        else if (ageMs + remainingMs <= objectiveMs * 3) [urgency, sortKeyMs] = [2, remainingMs];
        waiting.push({ step, urgency, priority: queue?.priority ?? 0, sortKeyMs });
      }
    }
  }
  return waiting
    .sort((a, b) => a.urgency - b.urgency || a.priority - b.priority || a.sortKeyMs - b.sortKeyMs)
    .map(({ step }) => step);
}

const stepArbitrary = fc.record({
  count: fc.integer({ min: 1, max: 5 }),
  estimateMs: fc.constantFrom(0, 100, 500, 500, 2_000),
  isLasting: fc.boolean(),
  isChained: fc.boolean(),
  doneCount: fc.nat(5),
});
const jobArbitrary = fc.record({
  queue: fc.constantFrom('q0', 'q1', 'missing'),
  acceptedAt: fc.nat(10_000),
  occurrences: fc.constantFrom(0, 0, 0, 2),
  firstDueMs: fc.nat(10_000),
  isBeyondRate: fc.constantFrom(undefined, true, false),
  account: fc.constantFrom(undefined, 'a', 'b'),
  steps: fc.array(stepArbitrary, { minLength: 1, maxLength: 3 }),
});

type JobFields = typeof jobArbitrary extends fc.Arbitrary<infer T> ? T : never;

function createJob({ steps, acceptedAt, ...fields }: JobFields, index: number): Job {
  const specs = steps.map(({ count, estimateMs, isLasting, isChained }, number) =>
    withStepDefaults({
      count,
      estimateMs,
      isLasting: isLasting && number === 0 && index % 4 === 0,
      after: isChained && number > 0 ? [number - 1] : [],
    }),
  );
  const base = { id: `j${index}`, payload: '', periodMs: 700, acceptedMs: 0 };
  const job = new Job({ ...base, ...fields, steps: specs }, acceptedAt, 1);
  job.createDueOccurrences(20_000);
  for (const { steps: created } of job.occurrences.values())
    for (const step of created)
      for (const task of step.tasks.slice(0, steps[step.number]?.doneCount)) job.complete(task);
  return job;
}

const names = (steps: readonly Step[]) =>
  steps.map(({ job, occurrence, number }) => `${job.spec.id}.${occurrence.number}.${number}`);

const jobsArbitrary = fc.array(jobArbitrary, { maxLength: 30 });
const options = { seed: 4_711, numRuns: 500 };

// Guards against another order in a deployment without accounts, also where jobs have kept fields of
// accounts that the configuration no longer has.
test('without accounts the order is exactly the present one', (t) => {
  fc.assert(
    fc.property(jobsArbitrary, fc.nat(12_000), (fields, now) => {
      const jobs = fields.map(createJob);
      const ordered = orderWaiting(jobs, queueOf, now, now).map(({ step }) => step);
      t.deepEqual(names(ordered), names(presentOrder(jobs, now, now)));
    }),
    options,
  );
});

// Guards against another order among jobs of public queues where other jobs have accounts.
test('jobs of no account keep the present order among themselves', (t) => {
  fc.assert(
    fc.property(jobsArbitrary, fc.nat(12_000), (fields, now) => {
      const jobs = fields.map((job) => ({ ...job, isBeyondRate: undefined })).map(createJob);
      const usage = new AccountUsage({ cpuMillis: 1, memoryMb: 1, accelerators: 1 }, () => 1);
      const waiting = orderWaiting(jobs, queueOf, now, now, { hasAccounts: true });
      const ofNone = (step: Step) => step.job.spec.account === undefined;
      const ordered = [...byAccount(waiting, usage)].filter(ofNone);
      t.deepEqual(names(ordered), names(presentOrder(jobs, now, now).filter(ofNone)));
    }),
    options,
  );
});

function jobOf(id: string, account: string, count: number, isBeyondRate = false): Job {
  const step = withStepDefaults({ count, cpuMillis: 500, estimateMs: 500 });
  const times = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
  const job = new Job(
    { id, queue: 'q0', payload: '', steps: [step], account, isBeyondRate, ...times },
    0,
    1,
  );
  job.createDueOccurrences(0);
  return job;
}

/** Places jobs in a pool for 40 tasks; returns the number of tasks given to each account. */
function place(
  jobs: readonly Job[],
  hasAccounts: boolean,
  maxStarts = Infinity,
): Record<string, number> {
  const capacity = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 };
  const workers = Array.from({ length: 5 }, (_, index) => {
    const record = { id: `w${index}`, service: 's', capacity, address: '', zone: '' };
    const worker = new Worker({ ...record, labels: [], isDraining: false, bornMs: 0 });
    worker.isAdmitted = true;
    return worker;
  });
  const pool = { cpuMillis: 20_000, memoryMb: 40_000, accelerators: 0 };
  const usage = new AccountUsage(pool, () => 1);
  const waiting = orderWaiting(jobs, queueOf, 0, 0, { hasAccounts });
  const steps = hasAccounts ? byAccount(waiting, usage) : waiting.map(({ step }) => step);
  const given: Record<string, number> = {};
  const turnSize = hasAccounts ? () => 4 : undefined;
  const round = { steps, workers, now: 0, mayRestart: true, turnSize, maxStarts };
  const unplaced = placeSteps(round, ({ task, worker }) => {
    const run = createRun({ task, worker, number: 1, phase: RunPhase.Starting, startedAt: 0 });
    task.step.job.attach(task, run);
    worker.add(run);
    const { account = '' } = task.step.job.spec;
    usage.add(account, task.step.spec, true);
    given[account] = (given[account] ?? 0) + 1;
  });
  const tasks = jobs.reduce((sum, { spec }) => sum + (spec.steps[0]?.count ?? 0), 0);
  return { ...given, unplaced, tasks };
}

const narrow = (count: number) =>
  Array.from({ length: count }, (_, index) => jobOf(`n${index}`, 'narrow', 1));

// Guards against a job with many tasks that gets the capacity of all accounts at once.
test('an account with one wide job gets no more than one with many small jobs', (t) => {
  const jobs = () => [jobOf('wide', 'wide', 200), ...narrow(30)];
  t.deepEqual(place(jobs(), true), { wide: 20, narrow: 20, unplaced: 190, tasks: 230 });
  t.deepEqual(place(jobs(), false), { wide: 40, unplaced: 190, tasks: 230 });
});

// Guards against an account that takes all start orders that may wait for their answers.
test('accounts share the start window', (t) => {
  const jobs = () => [jobOf('wide', 'wide', 200), ...narrow(30)];
  t.deepEqual(place(jobs(), true, 16), { wide: 8, narrow: 8, unplaced: 214, tasks: 230 });
  t.deepEqual(place(jobs(), false, 16), { wide: 16, unplaced: 214, tasks: 230 });
});

// Guards against capacity that stays free because a turn ended.
test('a wide job alone gets the whole pool in one round', (t) => {
  t.deepEqual(place([jobOf('wide', 'wide', 200)], true), { wide: 40, unplaced: 160, tasks: 200 });
  t.deepEqual(place([jobOf('wide', 'wide', 38)], true), { wide: 38, unplaced: 0, tasks: 38 });
});

// Guards against work beyond an account's rate that delays work within another's.
test('jobs beyond the rate come after late jobs within it, and before overdue ones', (t) => {
  const at = (id: string, acceptedAt: number, isBeyondRate: boolean) => {
    const { spec } = jobOf(id, 'a', 1, isBeyondRate);
    const job = new Job(spec, acceptedAt, 1);
    job.createDueOccurrences(0);
    return job;
  };
  const jobs = [
    at('overdue', 0, false),
    at('lateBeyond', 7_000, true),
    at('beyond', 10_000, true),
    at('late', 7_000, false),
    at('within', 10_000, false),
  ];
  const order = (hasAccounts: boolean) =>
    orderWaiting(jobs, queueOf, 10_000, 0, { hasAccounts }).map(
      ({ step, urgency }) => `${step.job.spec.id}:${urgency}`,
    );
  t.deepEqual(order(true), [
    `within:${Urgency.OnTime}`,
    `late:${Urgency.Late}`,
    `beyond:${Urgency.OnTimeBeyondRate}`,
    `lateBeyond:${Urgency.LateBeyondRate}`,
    `overdue:${Urgency.Overdue}`,
  ]);
  t.deepEqual(order(false), [
    `beyond:${Urgency.OnTime}`,
    `within:${Urgency.OnTime}`,
    `lateBeyond:${Urgency.Late}`,
    `late:${Urgency.Late}`,
    `overdue:${Urgency.Overdue}`,
  ]);
});
