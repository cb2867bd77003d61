import test from 'ava';
import { Job } from './job.js';
import { withStepDefaults } from './jobCodec.js';
import { orderWaiting, Urgency } from './ordering.js';
import type { Queue, StepSpec } from './types.js';

const queue: Queue = {
  name: 'q',
  host: '',
  pathPrefix: '',
  service: 's',
  objectiveMs: 600,
  stretch: 1.6,
  priority: 0,
  maxAttempts: 3,
};

function job(id: string, acceptedAt: number, steps: Partial<StepSpec>[]): Job {
  const schedule = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
  const created = new Job(
    { id, queue: 'q', payload: '', steps: steps.map(withStepDefaults), ...schedule },
    acceptedAt,
    1,
  );
  created.createDueOccurrences(0);
  return created;
}

interface Case {
  title: string;
  jobs: Job[];
  now: number;
  /** Expected order as `job:urgency`. */
  expected: string[];
}

const short = [{ estimateMs: 500 }];
const long = [{ estimateMs: 2_000 }];

const cases: Case[] = [
  {
    title: 'the job with the least slack comes first',
    jobs: [job('new', 900, short), job('old', 100, short)],
    now: 1_000,
    expected: [`old:${Urgency.OnTime}`, `new:${Urgency.OnTime}`],
  },
  {
    title: 'a late job comes after jobs that can still meet their objective',
    jobs: [job('late', 0, short), job('new', 1_900, short)],
    now: 2_000,
    expected: [`new:${Urgency.OnTime}`, `late:${Urgency.Late}`],
  },
  {
    title: 'late jobs are ordered by shortest remaining path, overdue jobs come last',
    jobs: [job('overdue', 0, short), job('lateLong', 2_000, long), job('lateShort', 5_000, short)],
    now: 7_000,
    expected: [
      `lateShort:${Urgency.Late}`,
      `lateLong:${Urgency.Late}`,
      `overdue:${Urgency.Overdue}`,
    ],
  },
  {
    title: 'long-running tasks come first',
    jobs: [job('new', 0, short), job('lasting', 0, [{ isLasting: true }])],
    now: 10,
    expected: [`lasting:${Urgency.Lasting}`, `new:${Urgency.OnTime}`],
  },
  {
    title: 'a step is not listed until the steps it depends on have succeeded',
    jobs: [job('two', 0, [{ estimateMs: 100 }, { estimateMs: 100, after: [0] }])],
    now: 10,
    expected: [`two:${Urgency.OnTime}`],
  },
];

for (const { title, jobs, now, expected } of cases) {
  test(title, (t) => {
    const waiting = orderWaiting(jobs, () => queue, now, now);
    t.deepEqual(
      waiting.map(({ step, urgency }) => `${step.job.spec.id}:${urgency}`),
      expected,
    );
  });
}
