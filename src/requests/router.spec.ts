import test from 'ava';
import { EntityKind } from '../configuration/index.js';
import { Outcome } from '../peers/index.js';
import {
  createVirtualClock,
  expectedAnswer,
  RequestCluster,
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

function summary(result: RequestResult | undefined): string {
  if (!result) return 'closed';
  if (result.isErr) return `${result.error.outcome} ${result.error.code}`;
  return `${result.value.status} ${Buffer.from(result.value.body).toString()}`;
}

interface OneRequestCase {
  title: string;
  values?: Partial<CallerRequest>;
  fault?: SendFault;
  prepare?: (cluster: RequestCluster) => void;
  end: string;
}

const gone = new AbortController();
gone.abort();
const answered = `200 ${expectedAnswer('x')}`;

const oneRequestCases: OneRequestCase[] = [
  { title: 'a request without id', end: answered },
  { title: 'an idempotent request', values: { idempotent: true }, end: answered },
  { title: 'a request with a key', values: { idempotencyKey: 'k' }, end: answered },
  {
    title: 'an unknown service',
    values: { service: 'none' },
    end: `${Outcome.NotRun} ${RequestReason.UnknownService}`,
  },
  {
    title: 'an unknown team',
    values: { team: 'none' },
    end: `${Outcome.NotRun} ${RequestReason.UnknownTeam}`,
  },
  {
    title: 'a passed deadline',
    values: { deadline: 0 },
    end: `${Outcome.NotRun} ${RequestReason.DeadlineExpired}`,
  },
  {
    title: 'a caller that has gone',
    values: { signal: gone.signal },
    end: `${Outcome.NotRun} ${RequestReason.Cancelled}`,
  },
  {
    title: 'a request with id and key',
    values: { requestId: 'a.0000000000000001.1', idempotencyKey: 'k' },
    end: `${Outcome.NotRun} ${RequestReason.BadRequest}`,
  },
  {
    title: 'a malformed request id',
    values: { requestId: 'nonsense' },
    end: `${Outcome.NotRun} ${RequestReason.InvalidRequestId}`,
  },
  {
    title: 'a request id that was never issued',
    values: { requestId: 'a.0000000000000001.99' },
    end: `${Outcome.NotRun} ${RequestReason.InvalidRequestId}`,
  },
  {
    title: 'a request id of an earlier incarnation',
    values: { requestId: 'a.00000000000000ff.1' },
    end: `${Outcome.Unknown} ${RequestReason.IssuerGone}`,
  },
  {
    title: 'a request id of a process that is no member',
    values: { requestId: 'z.00000000000000ff.1' },
    end: `${Outcome.Unknown} ${RequestReason.IssuerGone}`,
  },
  {
    title: 'a process without configuration',
    prepare: ({ view }) => (view.version = 0),
    end: `${Outcome.NotRun} ${RequestReason.NotReady}`,
  },
  {
    title: 'a process that shuts down',
    prepare: (cluster) => void cluster.process('a').router.close(),
    end: `${Outcome.NotRun} ${RequestReason.ShuttingDown}`,
  },
  {
    title: 'a service without executors',
    prepare: (cluster) => {
      cluster.process('a').scheduler.setExecutors([]);
    },
    end: `${Outcome.NotRun} ${RequestReason.NoBackend}`,
  },
  {
    title: 'a VM that was moved to another pool',
    prepare: ({ view }) => {
      view.entities[EntityKind.Assignment].set('vm1', { id: 'vm1', pool: 'other' });
    },
    end: `${Outcome.NotRun} ${RequestReason.NoBackend}`,
  },
  {
    title: 'the first attempt with a key while the platform is down',
    values: { idempotencyKey: 'k', firstAttempt: true },
    prepare: (cluster) => (cluster.process('a').platform.down = true),
    end: `${Outcome.NotRun} ${RequestReason.PlatformUnavailable}`,
  },
  {
    title: 'an attempt with a key that may have run before while the platform is down',
    values: { idempotencyKey: 'k' },
    prepare: (cluster) => (cluster.process('a').platform.down = true),
    end: `${Outcome.Unknown} ${RequestReason.PlatformUnavailable}`,
  },
  {
    title: 'a claim whose answer is lost',
    values: { idempotencyKey: 'k' },
    prepare: (cluster) => (cluster.process('a').platform.loseAnswers = 1),
    end: answered,
  },
  {
    title: 'a claim that cannot be read back',
    values: { idempotencyKey: 'k', firstAttempt: true },
    prepare: (cluster) => (cluster.process('a').platform.loseAnswers = 2),
    end: `${Outcome.NotRun} ${RequestReason.ClaimUnresolved}`,
  },
  {
    title: 'a platform that answers after the deadline',
    values: { idempotencyKey: 'k', firstAttempt: true },
    prepare: (cluster) => (cluster.process('a').platform.delayMs = 5_000),
    end: `${Outcome.NotRun} ${RequestReason.DeadlineExpired}`,
  },
];

for (const { title, values, prepare, end } of oneRequestCases) {
  test(`one end for ${title}`, async (t) => {
    const { clock, cluster } = createCluster();
    cluster.start('a', 'z1', { vm1: 'matching' });
    prepare?.(cluster);
    const call = cluster.call('a', 'x', values);
    await clock.advance(10_000);
    t.is(summary(await call), end);
    t.deepEqual(cluster.history.violations(), []);
    t.is(cluster.process('a').router.inFlight(), 0);
  });
}
