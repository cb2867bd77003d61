import test from 'ava';
import { Job, type Step } from '../batch/job.js';
import { withStepDefaults } from '../batch/jobCodec.js';
import { ReadyTimes } from './readyTimes.js';

/** A job of two steps in order, accepted at `acceptedAt`, and its steps. */
function createJob(acceptedAt: number, fields: { occurrences?: number; firstDueMs?: number } = {}) {
  const steps = [[], [0]].map((after) => withStepDefaults({ count: 1, after }));
  const times = { occurrences: 0, firstDueMs: 0, periodMs: 1_000, acceptedMs: 0, ...fields };
  const job = new Job({ id: 'job', queue: 'q', payload: '', steps, ...times }, acceptedAt, 1);
  job.createDueOccurrences(10_000);
  const [first, second] = job.occurrences.get(0)?.steps ?? [];
  if (!first || !second) throw new Error('a job without steps');
  return { job, first, second };
}

interface Case {
  title: string;
  /** Returns the age of a step at 5 s on the monotonic clock and 10 s on the wall clock. */
  ageMs: (times: ReadyTimes) => number;
  expected: number;
}

const at = (times: ReadyTimes, step: Step, now = 5_000) => times.ageMs(step, now, now + 5_000);

const cases: Case[] = [
  {
    title: 'a first step is ready since the acceptance of its job',
    ageMs: (times) => at(times, createJob(4_200).first),
    expected: 800,
  },
  {
    title: 'the first step of a scheduled job is ready since its due time',
    ageMs: (times) => at(times, createJob(0, { occurrences: 1, firstDueMs: 9_700 }).first),
    expected: 300,
  },
  {
    // Guards against later steps that never wait because their jobs are old.
    title: 'a later step is ready since this holder found the preceding step done',
    ageMs: (times) => {
      const { job, second } = createJob(0);
      times.recordJobs([job]);
      at(times, second, 4_900);
      return at(times, second);
    },
    expected: 100,
  },
  {
    // Guards against a second full wait after a takeover.
    title: 'a later step that was ready under an earlier holder counts from the acceptance',
    ageMs: (times) => at(times, createJob(1_000).second),
    expected: 4_000,
  },
];

// Guards against a preview that makes a later step ready before its preceding step was found done.
test('a preview has the same age and records nothing', (t) => {
  const times = new ReadyTimes();
  const { job, first, second } = createJob(4_200);
  t.is(times.peekAgeMs(first, 5_000, 10_000), 800);
  times.recordJobs([job]);
  t.is(times.peekAgeMs(second, 4_900, 9_900), 0);
  t.is(at(times, second), 0);
  t.is(times.peekAgeMs(second, 5_100, 10_100), 100);
});

for (const { title, ageMs, expected } of cases) {
  test(title, (t) => {
    t.is(ageMs(new ReadyTimes()), expected);
  });
}
