import test from 'ava';
import type { Clock } from '../clock/index.js';
import { createRandom } from '../random/index.js';
import { decodeOpinion, encodeOpinion } from './opinion.js';
import { healthDefaults } from './defaults.js';
import {
  OpinionErrorCode,
  OutlierReason,
  RunOutcome,
  Standing,
  type EndedRun,
  type JudgedWorker,
  type OpenRun,
  type PoolNeeds,
} from './types.js';
import { WorkerHealth } from './workerHealth.js';

const ALL_SPARED: PoolNeeds = { maxAway: Infinity, canSpare: () => true };

/** A pool in virtual time, without a network. */
class Pool {
  now = 100_000;
  readonly lines: string[] = [];
  readonly health: WorkerHealth;
  readonly open = new Map<string, OpenRun[]>();
  readonly bornMs = new Map<string, number>();
  needs = ALL_SPARED;
  #nextTask = 0;

  constructor(readonly ids: string[]) {
    this.health = new WorkerHealth({
      service: 's',
      clock: { now: () => this.now, wallTime: () => this.now } as Clock,
      log: { info: (event, fields) => this.lines.push(`${event} ${JSON.stringify(fields)}`) },
      counters: { count: () => undefined },
    });
  }

  /** Records runs that ended on a worker. */
  end(worker: string, count: number, fields: Partial<EndedRun> = {}): void {
    for (let index = 0; index < count; index++) {
      const number = ++this.#nextTask;
      const run = { worker, task: `t${number}`, step: `s${number}`, kind: 'k', ratio: 1 };
      const { Done: outcome } = RunOutcome;
      const startedAt = this.now;
      this.health.recordEnd({ ...run, outcome, startedAt, isTrial: false, ...fields });
      this.now += 1;
    }
  }

  judge(afterMs = 500): void {
    this.now += afterMs;
    const judged = (id: string): JudgedWorker => {
      return { id, bornMs: this.bornMs.get(id) ?? 1, openRuns: this.open.get(id) ?? [] };
    };
    this.health.judge(
      () => this.ids.map(judged),
      () => this.needs,
    );
  }

  away(): string[] {
    return this.ids.filter((id) => this.health.standing(id) !== Standing.InUse);
  }

  /** Sets a worker aside by slow runs. */
  slowDown(worker: string, ratio = 5): void {
    for (const id of this.ids) if (id !== worker) this.end(id, 8);
    this.end(worker, 5, { ratio });
    this.judge();
  }
}

const names = (count: number) => Array.from({ length: count }, (_, index) => `w${index}`);
const failed = { outcome: RunOutcome.Failed, ratio: undefined };

interface Case {
  title: string;
  workers?: number;
  play: (pool: Pool) => void;
  away: string[];
}

const cases: Case[] = [
  {
    title: 'four runs that fail in a row while others succeed elsewhere set the worker aside',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 8);
      pool.end('w0', 4, failed);
    },
    away: ['w0'],
  },
  {
    title: 'two failed runs set no worker aside',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 8);
      pool.end('w0', 2, failed);
    },
    away: [],
  },
  {
    // Guards against blaming a worker for a step that is not known to succeed anywhere.
    title: 'eight tasks of one step that fail at once on one worker do not set it aside',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 20);
      pool.end('w0', 8, { ...failed, step: 'poison' });
    },
    away: [],
  },
  {
    // Guards against blaming workers for tasks that fail wherever they run.
    title: 'tasks that failed on two workers and never succeeded set no worker aside',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 20);
      for (let task = 0; task < 8; task++) {
        for (const id of ['w0', 'w1']) pool.end(id, 1, { ...failed, task: `poison${task}` });
      }
    },
    away: [],
  },
  {
    title: 'tasks that failed on one worker and succeeded on another one set the first one aside',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 20);
      for (let task = 0; task < 6; task++) {
        const same = { task: `flaky${task}`, step: 'large' };
        pool.end('w0', 1, { ...failed, ...same });
        pool.end('w1', 1, same);
      }
    },
    away: ['w0'],
  },
  {
    // Guards against tasks whose outcome elsewhere was forgotten counting as succeeded.
    title: 'a flood of failing steps above the memory bound sets no worker aside',
    play: (pool) => {
      for (let task = 0; task < 2 * healthDefaults.maxTasks; task++) {
        const step = `poison${Math.floor(task / 10)}`;
        pool.end(pool.ids[task % 6] ?? '', 1, { ...failed, step, task: `p${task}` });
      }
    },
    away: [],
  },
  {
    title: 'three slow runs set no worker aside',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 20);
      pool.end('w0', 3, { ratio: 7 });
    },
    away: [],
  },
  {
    title: 'five slow runs set the worker aside',
    play: (pool) => {
      pool.slowDown('w0');
    },
    away: ['w0'],
  },
  {
    title: 'a constant error of the expected run time has no effect',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 20, { ratio: 6 });
    },
    away: [],
  },
  {
    // Guards against a worker that gets the kind of task whose run time is declared too short.
    title: 'a kind of task with another error is compared with the same kind elsewhere',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 8);
      for (const id of ['w0', 'w1']) pool.end(id, 8, { ratio: 5, kind: 'short' });
    },
    away: [],
  },
  {
    // Guards against a median that the slow worker of a small pool shifts itself.
    title: 'in a pool of two, a slow worker with more runs than the other one is set aside',
    workers: 2,
    play: (pool) => {
      pool.end('w0', 12, { ratio: 5 });
      pool.end('w1', 5);
    },
    away: ['w0'],
  },
  {
    title: 'two runs that stand still set the worker aside',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 8);
      const run = { kind: 'k', startedAt: pool.now, ratio: 20, isTrial: false };
      pool.open.set('w0', [run, { ...run }]);
    },
    away: ['w0'],
  },
  {
    title: 'one run that stands still does not',
    play: (pool) => {
      for (const id of pool.ids) pool.end(id, 8);
      pool.open.set('w0', [{ kind: 'k', startedAt: pool.now, ratio: 200, isTrial: false }]);
    },
    away: [],
  },
  {
    title: 'runs that are older than the window do not count',
    play: (pool) => {
      pool.end('w0', 8, failed);
      pool.now += healthDefaults.windowMs;
      for (const id of pool.ids) pool.end(id, 8);
    },
    away: [],
  },
  {
    title: 'without runs on other workers, no worker is judged',
    play: (pool) => {
      pool.end('w0', 20, failed);
      pool.end('w0', 20, { ratio: 9 });
    },
    away: [],
  },
  {
    title: 'of five bad workers among twenty, the four worst are set aside',
    workers: 20,
    play: (pool) => {
      for (const id of pool.ids.slice(5)) pool.end(id, 8);
      const ratios = [9, 4, 8, 7, 6];
      for (const [index, ratio] of ratios.entries()) pool.end(`w${index}`, 8, { ratio });
    },
    away: ['w0', 'w2', 'w3', 'w4'],
  },
  {
    // Guards against a bound that is used up by the workers that were found first.
    title: 'a much worse worker takes the place of one that is set aside',
    play: (pool) => {
      pool.slowDown('w1', 3);
      for (const id of pool.ids.slice(2)) pool.end(id, 8);
      pool.end('w0', 8, { ratio: 20 });
    },
    away: ['w0'],
  },
  {
    title: 'a worker with a required label that no other one has stays in use',
    play: (pool) => {
      pool.needs = { ...ALL_SPARED, canSpare: (id) => id !== 'w0' };
      pool.slowDown('w0');
    },
    away: [],
  },
  {
    // Guards against a bound that is only checked when a worker is set aside.
    title: 'a worker returns when long-running steps need all workers',
    play: (pool) => {
      pool.slowDown('w0');
      pool.needs = { ...ALL_SPARED, maxAway: 0 };
    },
    away: [],
  },
  {
    title: 'a worker that has restarted is in use again',
    play: (pool) => {
      pool.slowDown('w0');
      pool.bornMs.set('w0', 2);
    },
    away: [],
  },
  {
    // Guards against a worker that is set aside again for what it did before.
    title: 'runs from before a worker was set aside do not count after its return',
    play: (pool) => {
      pool.slowDown('w0');
      const startedAt = pool.now - 500;
      pool.judge(1_100);
      pool.end('w0', 1, { isTrial: true });
      pool.judge();
      pool.end('w0', 8, { ratio: 9, startedAt });
    },
    away: [],
  },
  {
    title: 'a worker returns after a trial run that succeeded in the usual time',
    play: (pool) => {
      pool.slowDown('w0');
      pool.judge(1_100);
      pool.end('w0', 1, { isTrial: true, ratio: 1.5 });
    },
    away: [],
  },
  {
    title: 'a slow worker does not return after a trial run that says nothing about its speed',
    play: (pool) => {
      pool.slowDown('w0');
      pool.judge(1_100);
      pool.end('w0', 1, { isTrial: true, ratio: undefined });
    },
    away: ['w0'],
  },
  {
    title: 'a worker does not return after a trial run that was slow',
    play: (pool) => {
      pool.slowDown('w0');
      pool.judge(1_100);
      for (const id of pool.ids.slice(1)) pool.end(id, 8);
      pool.end('w0', 1, { isTrial: true, ratio: 4 });
    },
    away: ['w0'],
  },
  {
    title: 'a worker on which nothing is started returns after a while',
    play: (pool) => {
      pool.slowDown('w0');
      pool.judge(1_100);
      pool.judge(healthDefaults.maxTrialWaitMs + 100);
    },
    away: [],
  },
];

for (const { title, workers = 6, play, away } of cases) {
  test(title, (t) => {
    const pool = new Pool(names(workers));
    play(pool);
    pool.judge();
    t.deepEqual(pool.away(), away);
  });
}

// Guards against a pause of healthy workers because of a task that fails wherever it runs.
test('a failed run is attributed to the worker until its task has failed elsewhere', (t) => {
  const pool = new Pool(names(3));
  pool.end('w0', 1, { ...failed, task: 'poison' });
  t.true(pool.health.isAttributable('w0', 'poison'));
  pool.end('w1', 1, { ...failed, task: 'poison' });
  t.false(pool.health.isAttributable('w1', 'poison'));
});

// Guards against a worker that gets work again at short intervals although it stays bad.
test('the periods for which a worker is set aside double up to their maximum', (t) => {
  const pool = new Pool(names(6));
  pool.slowDown('w0');
  const periods: number[] = [];
  for (let round = 0; round < 6; round++) {
    const from = pool.now;
    while (pool.health.standing('w0') === Standing.SetAside) pool.judge(500);
    periods.push(Math.round((pool.now - from) / 1_000));
    pool.end('w0', 1, { ...failed, isTrial: true });
    t.is(pool.health.standing('w0'), Standing.SetAside);
  }
  t.deepEqual(periods, [1, 2, 4, 8, 16, 16]);
});

// Guards against memory that grows with the number of tasks or of workers that come and go.
test('the opinion of workers that have left is dropped', (t) => {
  const pool = new Pool(names(6));
  pool.slowDown('w0');
  pool.ids.shift();
  pool.now += 2 * healthDefaults.forgetMs;
  pool.judge();
  t.is(pool.health.awayCount, 0);
});

// Guards against workers that are set aside by chance: of the runs, 3% take seven times as long,
// 1% fail, and the expected run time is wrong by up to 1.9 in either direction.
test('a healthy pool of 100 workers keeps all its workers in use for 100,000 runs', (t) => {
  const random = createRandom(7);
  const pool = new Pool(names(100));
  for (let round = 0; round < 250; round++) {
    for (const id of pool.ids) {
      for (let run = 0; run < 4; run++) {
        const error = 1.9 ** (2 * random.next() - 1);
        const ratio = error * (random.next() < 0.03 ? 7 : 1);
        const startedAt = pool.now - Math.floor(random.next() * 500);
        const isFailed = random.next() < 0.01;
        pool.end(id, 1, { ratio, startedAt, ...(isFailed ? failed : {}) });
      }
    }
    pool.judge(500);
  }
  const setAside = pool.lines.filter((line) => line.startsWith('worker_set_aside'));
  t.true(setAside.length <= 1, setAside.join('\n'));
});

const valid = { id: 'w', bornMs: 1, reason: 'slow', severity: 0.5, rounds: 1, remainingMs: 5 };
const malformedOpinions: unknown[] = [
  5,
  null,
  [],
  {},
  { atMs: 'x', workers: [] },
  { atMs: 1, workers: {} },
  { atMs: 1, workers: [null] },
  { atMs: 1, workers: [{ ...valid, id: 7 }] },
  { atMs: 1, workers: [{ ...valid, reason: 'other' }] },
  { atMs: 1, workers: [{ ...valid, severity: 2 }] },
  { atMs: 1, workers: [{ ...valid, rounds: 0 }] },
  { atMs: 1, workers: [{ ...valid, rounds: 1e9 }] },
  { atMs: 1, workers: [{ ...valid, remainingMs: -1 }] },
  { atMs: 1, workers: Array.from({ length: 5_000 }, () => valid) },
];

for (const value of malformedOpinions) {
  // Guards against a row that sets workers aside for ever, or ends the holder that reads it.
  test(`the opinion ${JSON.stringify(value).slice(0, 100)} is malformed`, (t) => {
    const res = decodeOpinion(JSON.stringify(value), 1, healthDefaults);
    t.is(res.isErr ? res.error.code : undefined, OpinionErrorCode.Malformed);
  });
}

test('an opinion with all fields is read', (t) => {
  const value = JSON.stringify({ atMs: 1, workers: [valid] });
  t.true(decodeOpinion(value, 1, healthDefaults).isOk);
});

test('the opinion of a successor continues that of the earlier holder', (t) => {
  const pool = new Pool(names(6));
  pool.slowDown('w0');
  const stored = encodeOpinion(pool.health.opinion());
  const later = new Pool(names(6));
  later.now = pool.now + 100;
  const { opinion, ageMs } = decodeOpinion(stored, later.now, healthDefaults).unwrapOr({
    opinion: { atMs: 0, workers: [] },
    ageMs: 0,
  });
  later.health.restore(opinion, ageMs);
  later.judge();
  t.is(later.health.standing('w0'), Standing.SetAside);
  later.judge();
  t.is(later.health.standing('w0'), Standing.OnTrial);
  later.end('w0', 1, { ...failed, isTrial: true });
  t.is(later.health.opinion().workers[0]?.rounds, 2);
});

const expiryCases = [
  { ageMs: 0, code: undefined },
  { ageMs: 30_000, code: undefined },
  { ageMs: 30_001, code: OpinionErrorCode.Expired },
  // Wall clocks of nodes differ by seconds.
  { ageMs: -5_000, code: undefined },
  { ageMs: -60_000, code: OpinionErrorCode.Expired },
];

for (const { ageMs, code } of expiryCases) {
  test(`an opinion of ${ageMs} ms is ${code ?? 'read'}`, (t) => {
    const res = decodeOpinion(encodeOpinion({ atMs: 100_000, workers: [] }), 100_000 + ageMs, {
      opinionTtlMs: 30_000,
    });
    t.is(res.isErr ? res.error.code : undefined, code);
  });
}

// Guards against a row that the store never accepts.
test('the opinion on 4,000 workers fits in a row', (t) => {
  const workers = names(4_000).map((id) => {
    const { Slow: reason } = OutlierReason;
    return { id, bornMs: 1e12, reason, severity: 0.8, rounds: 3, remainingMs: 4_000 };
  });
  const value = encodeOpinion({ atMs: 1e12, workers });
  t.true(value.length < 65_536, `${value.length} bytes`);
  t.true(decodeOpinion(value, 1e12, healthDefaults).isOk);
});
