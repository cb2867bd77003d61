import test from 'ava';
import { Result } from 'true-myth';
import { Outcome } from '../peers/index.js';
import { createVirtualClock, RequestCluster, SendFault } from '../testing/index.js';
import { requestsSchema, type RequestsSettings } from './defaults.js';
import { LedgerState, RequestLedger } from './ledger.js';
import { RequestReason } from './reasons.js';
import { RetryBudget } from './retryBudget.js';
import type { CallerRequest } from './types.js';

const SEED = 3;
const SELF = { name: 'a', incarnation: '0000000000000001' };

function createLedger(values: Partial<RequestsSettings>) {
  const clock = createVirtualClock();
  const ledger = new RequestLedger(SELF, clock, requestsSchema.parse(values));
  /** Issues an id, records a response of the given size for it and returns the id. */
  const runToAnswer = (bytes: number) => {
    const requestId = ledger.newId();
    ledger.add(requestId, 'team');
    ledger.begin(requestId, 'team', 'f');
    const body = new Uint8Array(bytes);
    ledger.finish(requestId, Result.ok({ requestId, status: 200, headers: {}, body }));
    return requestId;
  };
  return { clock, ledger, answer: runToAnswer };
}

test('unused ids over the limit are refused until earlier ones expire', async (t) => {
  const { clock, ledger } = createLedger({ maxUnusedIds: 3, ledgerRetentionMs: 100 });
  const ids = Array.from({ length: 4 }, () => ledger.newId());
  t.deepEqual(
    ids.map((id) => ledger.add(id, 'team')),
    [true, true, true, false],
  );
  t.false(ledger.hasRoom(1));
  await clock.advance(100);
  t.true(ledger.hasRoom(3));
  t.is(ledger.state(ids[0] ?? ''), LedgerState.Ended);
});

test('kept responses are bounded in number, size and age; dropped ones count as ended', async (t) => {
  const {
    clock,
    ledger,
    answer: runToAnswer,
  } = createLedger({
    ...{ maxKeptAnswers: 3, maxKeptAnswerBytes: 100, ledgerRetentionMs: 1_000 },
  });
  const small = [1, 2, 3, 4].map(runToAnswer);
  t.deepEqual(ledger.size.answered, 3);
  t.is(ledger.state(small[0] ?? ''), LedgerState.Ended);
  const large = runToAnswer(95);
  t.is(ledger.size.answeredBytes, 99);
  t.is(ledger.state(large), LedgerState.Answered);
  t.is(ledger.state(runToAnswer(101)), LedgerState.Ended);
  await clock.advance(1_000);
  t.is(ledger.state(large), LedgerState.Ended);
  t.deepEqual(ledger.size, { unseen: 0, running: 0, answered: 0, answeredBytes: 0 });
});

test('unused retries accumulate only up to the burst limit', async (t) => {
  const clock = createVirtualClock();
  const budget = new RetryBudget(clock, requestsSchema.parse({ retryBurst: 5 }));
  await clock.advance(1_000_000);
  t.deepEqual(
    Array.from({ length: 6 }, () => budget.tryTake()),
    [true, true, true, true, true, false],
  );
});

interface RouterBoundCase {
  bound: keyof RequestsSettings;
  values?: Partial<CallerRequest>;
  /** Process that owns the only executor. */
  owner: 'a' | 'b';
  reason: RequestReason;
  outcome: Outcome;
}

const BOUND = 3;

const routerBoundCases: RouterBoundCase[] = [
  {
    bound: 'maxInFlight',
    owner: 'a',
    reason: RequestReason.Overloaded,
    outcome: Outcome.NotRun,
  },
  {
    bound: 'maxForwardsOut',
    owner: 'b',
    reason: RequestReason.PeerOverloaded,
    outcome: Outcome.NotRun,
  },
  {
    bound: 'maxForwardsIn',
    owner: 'b',
    reason: RequestReason.Overloaded,
    outcome: Outcome.NotRun,
  },
  {
    bound: 'maxWaitersPerId',
    owner: 'a',
    values: { idempotencyKey: 'k' },
    reason: RequestReason.TooManyWaiters,
    outcome: Outcome.Unknown,
  },
];

for (const { bound, values, owner, reason, outcome } of routerBoundCases) {
  test(`requests over the limit ${bound} are refused and counted`, async (t) => {
    const clock = createVirtualClock();
    const settings = { [bound]: BOUND, maxAttempts: 1 };
    const cluster = new RequestCluster({ clock, seed: SEED, settings });
    const a = cluster.start('a', 'z1', owner === 'a' ? { vm1: 'matching' } : {});
    cluster.start('b', 'z1', owner === 'b' ? { vm1: 'matching' } : {});
    const tag = (i: number) => (values ? 'x' : `x${i}`);
    const calls = Array.from({ length: BOUND + 2 }, (_, i) => cluster.call('a', tag(i), values));
    await clock.advance(10_000);
    const results = await Promise.all(calls);
    const refused = results.flatMap((result) => (result?.isErr ? [result.error] : []));
    t.deepEqual(
      refused.map((err) => [err.code, err.outcome]),
      [
        [reason, outcome],
        [reason, outcome],
      ],
    );
    t.deepEqual(cluster.violations(), []);
    const expectedMetric = `refusals_total{reason="${reason}",outcome="${outcome}"} 2`;
    t.true((await a.metrics.registry.metrics()).includes(expectedMetric));
  });
}

test('a call for more ids than allowed is refused as a whole', (t) => {
  const clock = createVirtualClock();
  const cluster = new RequestCluster({ clock, seed: SEED, settings: { maxUnusedIds: 5 } });
  const { router } = cluster.start('a', 'z1', {});
  const codes = [3, 3, 2, 101].map((count) =>
    router.issueIds('team', count).match({ Ok: () => 'issued', Err: ({ code }) => code }),
  );
  const { LedgerFull, BadRequest } = RequestReason;
  t.deepEqual(codes, ['issued', LedgerFull, 'issued', BadRequest]);
});

test('a keyed request is refused before its claim while the ledger is full', async (t) => {
  const clock = createVirtualClock();
  const cluster = new RequestCluster({ clock, seed: SEED, settings: { maxUnusedIds: 1 } });
  const { router } = cluster.start('a', 'z1', { vm1: 'matching' });
  router.issueIds('team', 1);
  const call = cluster.call('a', 'x', { idempotencyKey: 'k', firstAttempt: true });
  await clock.advance(1_000);
  const result = await call;
  t.is(result?.isErr && result.error.code, RequestReason.LedgerFull);
  t.is(cluster.platform.writes, 0);
});

test('no request remains in progress after all requests have ended', async (t) => {
  const clock = createVirtualClock();
  const faults = Object.values(SendFault);
  let sent = 0;
  const fault = () => faults[(sent += 1) % faults.length] ?? SendFault.None;
  const cluster = new RequestCluster({ clock, seed: SEED, fault });
  cluster.start('a', 'z1', {});
  cluster.start('b', 'z1', { vm1: 'matching', vm2: 'matching' });
  for (let i = 0; i < 100; i += 1) void cluster.call('a', `x${i}`, { idempotencyKey: `k${i}` });
  await clock.advance(10_000);
  t.deepEqual(
    [...cluster.processes.values()].map(({ router }) => router.inFlight()),
    [0, 0],
  );
  t.deepEqual(cluster.violations(), []);
});
