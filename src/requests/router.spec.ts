import test from 'ava';
import { EntityKind } from '../configuration/index.js';
import {
  Outcome,
  PeerMessageType,
  type ForwardAnswerMessage,
  type ForwardMessage,
} from '../peers/index.js';
import {
  createVirtualClock,
  expectedAnswer,
  RequestCluster,
  type ClusterProcess,
  SendFault,
  type RequestClusterOptions,
} from '../testing/index.js';
import { RequestReason, type CallerRequest, type RequestResult } from './index.js';

const SEED = 7;

function createCluster(options: Partial<RequestClusterOptions> = {}) {
  const clock = createVirtualClock();
  const cluster = new RequestCluster({ clock, seed: SEED, ...options });
  return { clock, cluster };
}

function summarize(result: RequestResult | undefined): string {
  if (!result) return 'closed';
  if (result.isErr) return `${result.error.outcome} ${result.error.code}`;
  return `${result.value.status} ${Buffer.from(result.value.body).toString()}`;
}

const answered = `200 ${expectedAnswer('x')}`;
const notRun = (reason: RequestReason) => `${Outcome.NotRun} ${reason}`;
const unknown = (reason: RequestReason) => `${Outcome.Unknown} ${reason}`;
const R = RequestReason;

const key = { idempotencyKey: 'k' };
const firstWithKey = { ...key, firstAttempt: true };
const disconnected = { signal: AbortSignal.abort() };
const bothIdentities = { ...key, requestId: 'a.0000000000000001.1' };
const withId = (requestId: string) => ({ requestId });

type OneRequestCase = [
  title: string,
  values: Partial<CallerRequest>,
  end: string,
  prepare?: (cluster: RequestCluster, process: ClusterProcess) => void,
];

const moveVm = ({ view }: RequestCluster) => {
  view.entities[EntityKind.Assignment].set('vm1', { id: 'vm1', pool: 'other' });
};

const removeExecutors = (_: RequestCluster, { scheduler }: ClusterProcess) => {
  scheduler.setExecutors([]);
};

const oneRequestCases: OneRequestCase[] = [
  ['a request without id', {}, answered],
  ['an idempotent request', { idempotent: true }, answered],
  ['a request with a key', key, answered],
  ['an unknown service', { service: 'none' }, notRun(R.UnknownService)],
  ['an unknown service on a later attempt', { ...key, service: 'none' }, unknown(R.UnknownService)],
  ['an unknown team', { team: 'none' }, notRun(R.UnknownTeam)],
  ['an expired deadline', { deadline: 0 }, notRun(R.DeadlineExpired)],
  ['a disconnected caller', disconnected, notRun(R.Cancelled)],
  ['a request with id and key', bothIdentities, notRun(R.BadRequest)],
  ['a malformed id', withId('nonsense'), notRun(R.InvalidRequestId)],
  ['an id that was never issued', withId('a.0000000000000001.99'), notRun(R.InvalidRequestId)],
  ['an id of an earlier incarnation', withId('a.00000000000000ff.1'), unknown(R.IssuerGone)],
  ['an id of an unknown member', withId('z.00000000000000ff.1'), unknown(R.IssuerGone)],
  [
    'a request before the first configuration',
    {},
    notRun(R.NotReady),
    ({ view }) => (view.version = 0),
  ],
  ['a request during shutdown', {}, notRun(R.ShuttingDown), (_, { router }) => void router.close()],
  ['a service without executors', {}, notRun(R.NoBackend), removeExecutors],
  // The only VM is tried until the attempts are used up, since there is no other.
  ['a VM in another pool', {}, notRun(R.BackendRefused), moveVm],
  [
    'a first attempt with a key while the platform is down',
    firstWithKey,
    notRun(R.PlatformUnavailable),
    (_, { platform }) => (platform.down = true),
  ],
  [
    'an attempt that may not be the first while the platform is down',
    key,
    unknown(R.PlatformUnavailable),
    (_, { platform }) => (platform.down = true),
  ],
  [
    'a claim whose response is lost',
    key,
    answered,
    (_, { platform }) => (platform.loseAnswers = 1),
  ],
  [
    'a claim that cannot be read back',
    firstWithKey,
    notRun(R.ClaimUnresolved),
    (_, { platform }) => (platform.loseAnswers = 2),
  ],
  [
    'a platform that answers after the deadline',
    firstWithKey,
    notRun(R.DeadlineExpired),
    (_, { platform }) => (platform.delayMs = 5_000),
  ],
];

for (const [title, values, end, prepare] of oneRequestCases) {
  test(`the router returns one result for ${title}`, async (t) => {
    const { clock, cluster } = createCluster();
    const process = cluster.start('a', 'z1', { vm1: 'matching' });
    prepare?.(cluster, process);
    const call = cluster.call('a', 'x', values);
    await clock.advance(10_000);
    t.is(summarize(await call), end);
    t.deepEqual(cluster.violations(), []);
  });
}

/** Fault of each send, result, and number of sends without and with idempotency. */
const sendFaultCases: [fault: SendFault, end: string, sends: [number, number]][] = [
  [SendFault.None, answered, [1, 1]],
  [SendFault.ConnectFailed, notRun(R.BackendUnreachable), [3, 3]],
  [SendFault.NotStarted, notRun(R.BackendRefused), [3, 3]],
  [SendFault.LostBeforeRun, unknown(R.BackendLost), [1, 3]],
  [SendFault.LostThenRuns, unknown(R.BackendLost), [1, 3]],
  [SendFault.LostAfterRun, unknown(R.BackendLost), [1, 3]],
  [SendFault.NoAnswerAfterRun, unknown(R.BackendTimeout), [1, 1]],
  [SendFault.Truncated, unknown(R.AnswerRejected), [1, 3]],
  [SendFault.ResponseMismatch, unknown(R.AnswerRejected), [1, 3]],
];

for (const [fault, end, sends] of sendFaultCases) {
  for (const idempotent of [false, true]) {
    for (const owner of ['a', 'b']) {
      // Guards against retries of requests that may have run, and against retries at two layers.
      test(`only safe retries follow ${fault} at the executor of ${owner}, idempotent ${idempotent}`, async (t) => {
        let sent = 0;
        const settings = { retryMinPerSecond: 10 };
        const { clock, cluster } = createCluster({ settings, fault: () => ((sent += 1), fault) });
        cluster.start('a', 'z1', owner === 'a' ? { vm1: 'matching' } : {});
        cluster.start('b', 'z1', owner === 'b' ? { vm1: 'matching' } : {});
        const call = cluster.call('a', 'x', { idempotent });
        await clock.advance(10_000);
        t.is(summarize(await call), end);
        t.is(sent, sends[idempotent ? 1 : 0]);
        t.deepEqual(cluster.violations(), []);
      });
    }
  }
}

test('the outcome is unknown if an earlier attempt may have run', async (t) => {
  const faults = [SendFault.LostAfterRun, SendFault.ConnectFailed, SendFault.ConnectFailed];
  const settings = { retryMinPerSecond: 10 };
  const fault = () => faults.shift() ?? SendFault.None;
  const { clock, cluster } = createCluster({ settings, fault });
  cluster.start('a', 'z1', { vm1: 'matching' });
  const call = cluster.call('a', 'x', { idempotent: true });
  await clock.advance(10_000);
  t.is(summarize(await call), unknown(R.BackendLost));
});

test('retries stay within the budget', async (t) => {
  let sent = 0;
  const settings = { retryMinPerSecond: 0, retryRatio: 0.125, maxInFlight: 1_000 };
  const fault = () => ((sent += 1), SendFault.ConnectFailed);
  const { clock, cluster } = createCluster({ settings, fault });
  cluster.start('a', 'z1', { vm1: 'matching' });
  for (let i = 0; i < 200; i += 1) {
    void cluster.call('a', `x${i}`, { idempotent: true });
    await clock.advance(5);
  }
  await clock.advance(10_000);
  t.is(sent, 200 + 25);
});

type PlacementCase = [
  title: string,
  /** `process:zone:executors`; requests arrive at `a`. */
  processes: string,
  /** Number of requests that arrive before the last one and are still in progress. */
  before: number,
  spill: boolean,
  /** Process that runs the last request, or the refusal of that request. */
  expected: string,
];

const placementCases: PlacementCase[] = [
  ['a free slot in the same process', 'a:z1:1 b:z1:5', 0, true, 'a'],
  ['the same zone', 'a:z1:0 b:z1:1 c:z2:5', 0, true, 'b'],
  ['the most free slots', 'a:z1:0 b:z1:1 c:z1:2', 0, true, 'c'],
  ['another zone if the same zone is full', 'a:z1:1 b:z2:1', 1, true, 'b'],
  ['the queue of the same process if the service may not spill', 'a:z1:1 b:z2:1', 1, false, 'a'],
  [
    'a refusal to another zone if the service may not spill',
    'a:z1:0 b:z2:1',
    0,
    false,
    notRun(R.NoBackend),
  ],
  ['the shorter queue', 'a:z1:1 b:z1:4', 6, true, 'b'],
];

for (const [title, processes, before, spill, expected] of placementCases) {
  test(`placement prefers ${title}`, async (t) => {
    const ranAt = new Map<string, string>();
    const { clock, cluster } = createCluster({
      fault: (vm, { body }) => {
        ranAt.set(Buffer.from(body).toString(), vm.slice(0, 1));
        return SendFault.None;
      },
    });
    cluster.view.addService('matching', { spill });
    for (const text of processes.split(' ')) {
      const [name = '', zone = '', count] = text.split(':');
      const vms = Array.from({ length: Number(count) }, (_, i) => [`${name}${i}`, 'matching']);
      cluster.start(name, zone, Object.fromEntries(vms) as Record<string, string>);
    }
    for (let i = 0; i < before; i += 1) {
      void cluster.call('a', `before${i}`);
      await clock.advance(1);
    }
    const call = cluster.call('a', 'x');
    await clock.advance(10_000);
    const result = await call;
    t.is(result?.isOk ? ranAt.get('x') : summarize(result), expected);
  });
}

test('a forwarded request is not forwarded again', async (t) => {
  const { clock, cluster } = createCluster();
  cluster.start('a', 'z1', {});
  const b = cluster.start('b', 'z1', { vm1: 'matching' });
  cluster.start('c', 'z1', {});
  const call = cluster.call('a', 'x');
  // The executor moves from the owner to c while the request is in transit.
  cluster.hub.onSend = () => {
    b.scheduler.setExecutors([]);
    const slots = [{ vm: 'vm1', service: 'matching', slots: 1 }];
    cluster.process('c').scheduler.setExecutors(slots);
  };
  await clock.advance(10_000);
  t.is(summarize(await call), notRun(R.NoBackend));
});

type SameKeyCase = [
  title: string,
  first: Partial<CallerRequest>,
  /** Milliseconds between the two calls, which are sent to different processes. */
  gapMs: number,
  second: Partial<CallerRequest>,
  ends: [string, string],
  runs: number,
];

const mismatch = notRun(R.RequestMismatch);
const otherContent = { ...key, path: '/other' };
const otherTeam = { ...key, team: 'other' };

const sameKeyCases: SameKeyCase[] = [
  ['with the same running key share one run', key, 5, key, [answered, answered], 1],
  ['that claim a key at the same time share one run', key, 0, key, [answered, answered], 1],
  ['with the same key get the same kept response', key, 500, key, [answered, answered], 1],
  [
    'with the same key run once even if the response was dropped',
    key,
    700_000,
    key,
    [answered, unknown(R.OutcomeLost)],
    1,
  ],
  [
    'with different content cannot share a running key',
    key,
    5,
    otherContent,
    [answered, mismatch],
    1,
  ],
  [
    'with different content cannot share a kept key',
    key,
    500,
    otherContent,
    [answered, mismatch],
    1,
  ],
  ['with different keys both run', key, 0, { idempotencyKey: 'l' }, [answered, answered], 2],
  ['with the same key in two teams both run', key, 0, otherTeam, [answered, answered], 2],
  [
    'with the same key run once if the first caller disconnects',
    { ...key, ...disconnected },
    0,
    key,
    [notRun(R.Cancelled), answered],
    1,
  ],
];

for (const [title, first, gapMs, second, ends, runs] of sameKeyCases) {
  test(`two requests ${title}`, async (t) => {
    const { clock, cluster } = createCluster();
    cluster.view.addTeam('other');
    cluster.start('a', 'z1', { vm1: 'matching' });
    cluster.start('b', 'z1', { vm2: 'matching' });
    const calls = [cluster.call('a', 'x', first)];
    await clock.advance(gapMs);
    calls.push(cluster.call('b', 'x', { ...second, deadline: clock.now() + 1_000 }));
    await clock.advance(10_000);
    t.deepEqual((await Promise.all(calls)).map(summarize), ends);
    t.is(cluster.history.runCount('x'), runs);
  });
}

test('an id of another team is refused', async (t) => {
  const { clock, cluster } = createCluster();
  cluster.view.addTeam('other');
  const { router } = cluster.start('a', 'z1', { vm1: 'matching' });
  const [requestId] = router.issueIds('team', 1).unwrapOr([]);
  const call = cluster.call('a', 'x', { requestId, team: 'other' });
  await clock.advance(1_000);
  t.is(summarize(await call), notRun(R.InvalidRequestId));
});

type LeaveCase = [title: string, leave: (cluster: RequestCluster, caller: AbortController) => void];

const leaveCases: LeaveCase[] = [
  [
    'a cancellation',
    (_, caller) => {
      caller.abort();
    },
  ],
  [
    'a lost link',
    ({ hub }) => {
      hub.setLink('a', 'b', false);
    },
  ],
];

for (const [title, leave] of leaveCases) {
  test(`${title} prevents the owner from starting a queued request`, async (t) => {
    const { clock, cluster } = createCluster();
    cluster.start('a', 'z1', {});
    cluster.start('b', 'z1', { vm1: 'matching' });
    void cluster.call('a', 'first');
    const caller = new AbortController();
    void cluster.call('a', 'x', { signal: caller.signal });
    await clock.advance(10);
    leave(cluster, caller);
    await clock.advance(10_000);
    t.deepEqual([cluster.history.runCount('first'), cluster.history.runCount('x')], [1, 0]);
    t.deepEqual(cluster.violations(), []);
  });
}

test('a keyed request that was sent continues after its caller disconnects', async (t) => {
  const { clock, cluster } = createCluster();
  cluster.start('a', 'z1', { vm1: 'matching' });
  const caller = new AbortController();
  void cluster.call('a', 'x', { ...key, signal: caller.signal });
  await clock.advance(5);
  caller.abort();
  await clock.advance(100);
  const retry = cluster.call('a', 'x', key);
  await clock.advance(10_000);
  t.is(summarize(await retry), answered);
  t.is(cluster.history.runCount('x'), 1);
});

test('a caller that joined a run continues after the deadline of the first caller', async (t) => {
  const { clock, cluster } = createCluster();
  cluster.start('a', 'z1', { vm1: 'matching' });
  void cluster.call('a', 'before');
  await clock.advance(1);
  const calls = [10, 1_000].map((deadline) => cluster.call('a', 'x', { ...key, deadline }));
  await clock.advance(10_000);
  const ends = (await Promise.all(calls)).map(summarize);
  t.deepEqual(ends, [notRun(R.DeadlineExpired), answered]);
  t.deepEqual(cluster.violations(), []);
});

test('a key stays bound to its content after a refusal', async (t) => {
  const { clock, cluster } = createCluster();
  cluster.view.addService('matching');
  cluster.start('a', 'z1', {});
  const calls = [cluster.call('a', 'x', key)];
  await clock.advance(10);
  calls.push(cluster.call('a', 'x', otherContent));
  await clock.advance(10);
  t.deepEqual((await Promise.all(calls)).map(summarize), [notRun(R.NoBackend), mismatch]);
});

test('a false declaration of a first attempt does not hide an earlier attempt', async (t) => {
  const { clock, cluster } = createCluster();
  cluster.start('a', 'z1', { vm1: 'matching' });
  cluster.start('b', 'z1', {});
  void cluster.call('a', 'x', key);
  await clock.advance(15);
  cluster.kill('a');
  cluster.removed.add('a');
  const call = cluster.call('b', 'x', firstWithKey);
  await clock.advance(10_000);
  t.is(summarize(await call), unknown(R.IssuerGone));
  t.deepEqual(cluster.violations(), []);
});

test('an overloaded issuer reports an unknown outcome for a running id', async (t) => {
  const { clock, cluster } = createCluster({ settings: { maxForwardsIn: 1 } });
  cluster.start('a', 'z1', {});
  const { router } = cluster.start('b', 'z1', { vm1: 'matching' });
  const [requestId] = router.issueIds('team', 1).unwrapOr([]);
  const calls = [cluster.call('a', 'x', { requestId })];
  await clock.advance(12);
  calls.push(cluster.call('a', 'x', { requestId }));
  await clock.advance(10_000);
  t.deepEqual((await Promise.all(calls)).map(summarize), [answered, unknown(R.Overloaded)]);
});

test('a forwarded request ends when its member restarts as a new incarnation', async (t) => {
  const { clock, cluster } = createCluster();
  cluster.start('a', 'z1', {});
  cluster.start('b', 'z1', { vm1: 'matching' });
  const call = cluster.call('a', 'x');
  await clock.advance(5);
  cluster.killSilently('b');
  cluster.start('b', 'z1', {});
  await clock.advance(1);
  t.is(summarize(await call), unknown(R.LinkLost));
});

test('a retry avoids the member through which the attempt failed', async (t) => {
  const fault = (vm: string) => (vm === 'c1' ? SendFault.None : SendFault.ConnectFailed);
  const { clock, cluster } = createCluster({ fault });
  cluster.start('a', 'z1', {});
  cluster.start('b', 'z1', { b1: 'matching', b2: 'matching' });
  cluster.start('c', 'z1', { c1: 'matching' });
  const call = cluster.call('a', 'x');
  await clock.advance(10_000);
  t.is(summarize(await call), answered);
});

test('a retry that cannot start before the deadline is denied at once', async (t) => {
  const settings = { backoffBaseMs: 1_000, backoffMaxMs: 1_000 };
  const { clock, cluster } = createCluster({ settings, fault: () => SendFault.ConnectFailed });
  const { metrics } = cluster.start('a', 'z1', { vm1: 'matching' });
  const call = cluster.call('a', 'x', { deadline: 1 });
  await clock.advance(0);
  t.is(summarize(await call), notRun(R.BackendUnreachable));
  t.regex(await metrics.registry.metrics(), /retries_denied_total\{denial="deadline"\} 1/);
});

/** Joins a peer that the test controls and collects the answers that it receives. */
function joinFakePeer(cluster: RequestCluster) {
  const info = { name: 'x', incarnation: '00000000000000aa', zone: 'z1', host: 'x', port: 1 };
  const peers = cluster.hub.join({ ...info, startedAt: 0 });
  const answers: ForwardAnswerMessage[] = [];
  peers.handle(PeerMessageType.ForwardAnswer, (_, answer) => answers.push(answer));
  const forward: ForwardMessage = {
    ...{ type: PeerMessageType.Forward, forwardId: 1, requestId: 'x.00000000000000aa.1' },
    ...{ origin: info, team: 'team', service: 'matching', urgent: false, idempotent: false },
    ...{ remainingMs: 1_000, method: 'POST', path: '/', headers: {}, body: Buffer.from('x') },
    toIssuer: false,
  };
  return { peers, answers, forward };
}

const otherIncarnation = { requestId: 'a.00000000000000ff.1', toIssuer: true };
const earlierOrigin = { origin: { name: 'x', incarnation: '00000000000000bb' } };

type PeerCase = [title: string, sent: Partial<ForwardMessage>[], ends: string[], runs: number];

const peerCases: PeerCase[] = [
  ['a forwarded request', [{}], [Outcome.Answered], 1],
  ['a forwarded request that arrives twice', [{}, {}], [Outcome.Answered], 1],
  ['a forwarded request of an earlier incarnation', [earlierOrigin], [], 0],
  ['an id of an earlier incarnation', [otherIncarnation], [unknown(R.IssuerGone)], 0],
];

for (const [title, sent, ends, runs] of peerCases) {
  test(`the router handles ${title} from a peer`, async (t) => {
    const { clock, cluster } = createCluster();
    cluster.start('a', 'z1', { vm1: 'matching', vm2: 'matching' });
    const { peers, answers, forward } = joinFakePeer(cluster);
    for (const values of sent) peers.send('a', { ...forward, ...values });
    await clock.advance(10_000);
    const seen = answers.map(({ outcome, reason }) => [outcome, reason].join(' ').trim());
    t.deepEqual(seen, ends);
    t.is(cluster.history.runCount('x'), runs);
  });
}

test('an answer after the deadline is dropped and counted', async (t) => {
  const { clock, cluster } = createCluster();
  const { metrics } = cluster.start('a', 'z1', {});
  const b = cluster.start('b', 'z1', { vm1: 'matching' });
  const call = cluster.call('a', 'x', { deadline: 100 });
  await clock.advance(5);
  b.gate.pause();
  await clock.advance(1_000);
  b.gate.resume();
  await clock.advance(1_000);
  t.is(summarize(await call), unknown(R.BackendTimeout));
  t.regex(await metrics.registry.metrics(), /late_answers_total\{cause="not_awaited"\} 1/);
});

test('closing waits for the requests in progress', async (t) => {
  const { clock, cluster } = createCluster();
  const { router } = cluster.start('a', 'z1', { vm1: 'matching' });
  const call = cluster.call('a', 'x');
  await clock.advance(5);
  let closed = false;
  const closing = router.close().then(() => (closed = true));
  await clock.advance(1);
  t.false(closed);
  await clock.advance(100);
  await closing;
  t.is(summarize(await call), answered);
});
