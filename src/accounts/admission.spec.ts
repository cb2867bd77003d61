import test from 'ava';
import { createRandom } from '../random/index.js';
import {
  excessOpenJobs,
  refuseHopeless,
  workAheadOf,
  type JobRequest,
  type OpenJobs,
  type QueuedWork,
} from './admission.js';
import { CompletionRate } from './completionRate.js';

const WEIGHTS: Record<string, number> = { a: 1, b: 2, c: 8 };
const weightOf = (account: string) => WEIGHTS[account] ?? 0;

const work = (fields: Partial<QueuedWork>): QueuedWork => ({
  account: 'a',
  isBeyondRate: false,
  isLate: false,
  priority: 0,
  pathMs: 500,
  workMs: 1_000,
  ...fields,
});

const job = (fields: Partial<JobRequest> = {}): JobRequest => ({
  account: 'a',
  isBeyondRate: false,
  priority: 0,
  pathMs: 500,
  objectiveMs: 1_400,
  valueMs: 4_200,
  ...fields,
});

interface AheadCase {
  title: string;
  queued: QueuedWork[];
  job?: Partial<JobRequest>;
  own: number;
  all: number;
}

const beyond = { isBeyondRate: true };

const aheadCases: AheadCase[] = [
  { title: 'nothing waits', queued: [], own: 0, all: 0 },
  {
    title: 'others count by weight, at most with what they have',
    queued: [work({}), work({ account: 'b', workMs: 5_000 }), work({ account: 'c', workMs: 300 })],
    own: 1_000,
    all: 1_000 + 2_000 + 300,
  },
  {
    title: 'work beyond the rate is not ahead of a job within it',
    queued: [work(beyond), work({ ...beyond, account: 'b' })],
    own: 0,
    all: 0,
  },
  {
    title: 'all work within the rate is ahead of a job beyond it',
    queued: [work({ account: 'c' }), work({ account: undefined }), work(beyond)],
    job: beyond,
    own: 1_000,
    all: 3_000,
  },
  {
    title: 'late work with a longer path is not ahead',
    queued: [work({ isLate: true, pathMs: 900 }), work({ isLate: true, pathMs: 400 })],
    own: 1_000,
    all: 1_000,
  },
  {
    title: 'work of a lower priority is not ahead, that of a higher one is',
    queued: [work({ priority: 1 }), work({ account: 'b', priority: -1 })],
    own: 0,
    all: 1_000,
  },
];

for (const { title, queued, job: fields, own, all } of aheadCases) {
  test(`work ahead: ${title}`, (t) => {
    t.deepEqual(workAheadOf(job(fields), { queued, ratePerMs: 1, weightOf }), { own, all });
  });
}

interface RefusalCase {
  title: string;
  queued: QueuedWork[];
  ratePerMs?: number;
  job?: Partial<JobRequest>;
  /** Retry-After without its random part, in milliseconds; undefined if accepted. */
  retryAfterMs?: number;
}

const refusalCases: RefusalCase[] = [
  {
    title: 'a job that can just end in time is accepted',
    queued: [work({ ...beyond, workMs: 3_700 })],
    job: beyond,
  },
  {
    title: 'a job that cannot is refused',
    queued: [work({ ...beyond, workMs: 3_701 })],
    job: beyond,
    retryAfterMs: 3_701,
  },
  {
    title: 'a job that late work cannot delay, as it can start in time, is accepted',
    queued: [work({ ...beyond, isLate: true, workMs: 60_000 }), work({ ...beyond, workMs: 900 })],
    job: beyond,
  },
  {
    title: 'a job that other work makes late is refused for late work',
    queued: [work({ ...beyond, isLate: true, workMs: 9_000 }), work({ ...beyond, workMs: 901 })],
    job: beyond,
    retryAfterMs: 9_901,
  },
  {
    title: 'at half the rate, half the work is too much',
    queued: [work({ ...beyond, workMs: 1_900 })],
    ratePerMs: 0.5,
    job: beyond,
    retryAfterMs: 3_800,
  },
  {
    title: 'a job within its rate is not refused for the work of others',
    queued: [work({ account: 'c', workMs: 60_000 }), work({ workMs: 3_000 })],
  },
  {
    title: 'a job within its rate is refused for the work of its own account alone',
    queued: [work({ workMs: 4_000 }), work({ account: 'b', workMs: 1_000 })],
    retryAfterMs: 5_000,
  },
  {
    title: 'a Retry-After is at most a minute',
    queued: [work({ workMs: 500_000 })],
    retryAfterMs: 60_000,
  },
];

for (const { title, queued, ratePerMs = 1, job: fields, retryAfterMs } of refusalCases) {
  test(`admission: ${title}`, (t) => {
    for (let seed = 1; seed <= 20; seed++) {
      const backlog = { queued, ratePerMs, weightOf };
      const refusal = refuseHopeless(job(fields), backlog, createRandom(seed));
      if (retryAfterMs === undefined) {
        t.is(refusal, undefined);
        continue;
      }
      const found = refusal?.retryAfterMs ?? 0;
      t.true(found >= retryAfterMs && found <= retryAfterMs * 1.25, `${found} ms`);
    }
  });
}

// Guards against refused callers that all return at the same time.
test('the Retry-After of callers that are refused together differs', (t) => {
  const random = createRandom(7);
  const queued = [work({ workMs: 10_000 })];
  const times = Array.from(
    { length: 50 },
    () => refuseHopeless(job(), { queued, ratePerMs: 1, weightOf }, random)?.retryAfterMs,
  );
  t.true(new Set(times).size > 45);
});

const openCases: { title: string; open: Partial<OpenJobs>; excess: number }[] = [
  {
    title: 'below half of the limit, an account may have all',
    open: { all: 49, own: 49 },
    excess: 0,
  },
  { title: 'at half, it gets its part', open: { all: 60, own: 29, weight: 1 }, excess: 0 },
  { title: 'above its part, it gets no more', open: { all: 60, own: 40, weight: 1 }, excess: 11 },
  {
    title: 'the part of an idle account stays free',
    open: { all: 90, own: 40, weight: 1, activeWeight: 1, idleWeight: 1 },
    excess: -9,
  },
  { title: 'every account may have one', open: { all: 99, own: 0, activeWeight: 500 }, excess: 0 },
];

for (const { title, open, excess } of openCases) {
  test(`open jobs: ${title}`, (t) => {
    const defaults = { limit: 100, weight: 1, activeWeight: 3, idleWeight: 0.333 };
    t.is(excessOpenJobs({ all: 0, own: 0, ...defaults, ...open }), excess);
  });
}

/** A rate to which work of 100 ms was added every 100 ms, in a pool that was saturated meanwhile. */
function saturatedRate(from: number, to: number): CompletionRate {
  const rate = new CompletionRate();
  for (let now = from; now <= to; now += 100) {
    rate.update(true, now);
    rate.add(100, now);
  }
  return rate;
}

const isNear = (value: number | undefined, expected: number) =>
  value !== undefined && Math.abs(value - expected) < 0.1;

// Guards against refusals by the rate of a pool that ended little because little was asked of it.
test('the rate is known only while the pool was saturated for some time', (t) => {
  t.is(saturatedRate(1_000, 2_400).perMs(2_400), undefined);
  const rate = saturatedRate(1_000, 2_500);
  t.true(isNear(rate.perMs(2_500), 1));
  rate.update(false, 2_600);
  t.is(rate.perMs(2_600), undefined);
  rate.update(true, 2_700);
  t.is(rate.perMs(2_700), undefined);
});

// Guards against refusals by a holder that stood still, so that ends arrive late.
test('the rate is unknown after the process did not run for a while', (t) => {
  const rate = saturatedRate(0, 5_000);
  rate.update(true, 9_000);
  rate.add(100, 9_000);
  t.is(rate.perMs(9_100), undefined);
});

// Guards against refusals by a holder whose links to workers fail for some seconds.
test('the rate outlasts a short time without ends', (t) => {
  const rate = saturatedRate(0, 7_000);
  for (let now = 7_100; now <= 9_500; now += 100) rate.update(true, now);
  t.true(isNear(rate.perMs(9_500), 1));
});
