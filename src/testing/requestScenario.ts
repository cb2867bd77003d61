import { Result } from 'true-myth';
import { BackendError, BackendErrorCode, type BackendConnections } from '../backends/index.js';
import { Outcome, PeerError, PeerErrorCode, PeerMessageType } from '../peers/index.js';
import { RequestError, RequestReason, type CallerRequest } from '../requests/index.js';
import { SendFault } from './fakeBackends.js';
import type { RequestCluster, RequestClusterOptions, ClusterVariant } from './requestCluster.js';
import { HistoryRule } from './requestHistory.js';

/** How a caller names its request. */
export enum RequestIdentity {
  None = 'none',
  Key = 'key',
  /** An id issued by another process than the one that is called first. */
  IssuedId = 'issued_id',
  Idempotent = 'idempotent',
}

/** Executors of the processes that {@link startThreeProcesses} starts. */
const executorsOf: Record<string, Record<string, string>> = {
  a: {},
  b: { vm1: 'matching', vm2: 'matching' },
  c: {},
};

const PLATFORM_DELAY_MS = 2;
const ATTEMPT_TIMEOUT_MS = 400;
const PATIENCE_MS = 500;
const RETRY_DELAY_MS = 20;
const MAX_CALLS = 5;

/** Starts entry process `a`, `b` with all executors, and `c`, in one zone. */
export function startThreeProcesses(cluster: RequestCluster): void {
  for (const [name, executors] of Object.entries(executorsOf)) {
    cluster.start(name, 'z1', executors).platform.delayMs = PLATFORM_DELAY_MS;
  }
}

/** Kills a process and starts it again as a new incarnation. */
export function restartProcess(cluster: RequestCluster, name: string): void {
  cluster.kill(name);
  cluster.start(name, 'z1', executorsOf[name] ?? {}).platform.delayMs = PLATFORM_DELAY_MS;
}

/** Calls processes in turn until the outcome is clear, or repeating would not be safe. */
export async function callWithRetries(
  cluster: RequestCluster,
  tag: string,
  identity: RequestIdentity,
  names: readonly string[],
): Promise<void> {
  const values = identityValues(cluster, tag, identity);
  for (let calls = 0; calls < MAX_CALLS; calls += 1) {
    const name = names[calls % names.length] ?? '';
    const deadline = cluster.clock.now() + ATTEMPT_TIMEOUT_MS;
    const attempt = { ...values, deadline, firstAttempt: calls === 0 };
    const result = await cluster.call(name, tag, attempt, PATIENCE_MS);
    if (result?.isOk) return;
    const isNotRun = result?.error.outcome === Outcome.NotRun;
    if (identity === RequestIdentity.Idempotent || (identity === RequestIdentity.None && !isNotRun))
      return;
    await cluster.clock.sleep(RETRY_DELAY_MS);
  }
}

function identityValues(
  cluster: RequestCluster,
  tag: string,
  identity: RequestIdentity,
): Partial<CallerRequest> {
  switch (identity) {
    case RequestIdentity.None:
      return {};
    case RequestIdentity.Key:
      return { idempotencyKey: tag };
    case RequestIdentity.Idempotent:
      return { idempotent: true };
    case RequestIdentity.IssuedId: {
      const issued = cluster.process('c').router.issueIds('team', 1);
      return { requestId: issued.isOk ? issued.value[0] : undefined };
    }
  }
}

/** A fault that is injected at one moment and, if it does not heal by itself, healed later. */
export interface ScenarioFault {
  title: string;
  inject: (cluster: RequestCluster) => void;
  heal?: (cluster: RequestCluster) => void;
}

const pausedThenResumed = (name: string): ScenarioFault => ({
  title: `${name} paused`,
  inject: (cluster) => {
    cluster.process(name).gate.pause();
  },
  heal: (cluster) => {
    cluster.process(name).gate.resume();
  },
});

const onProcess = (
  verb: string,
  act: (cluster: RequestCluster, name: string) => void,
): ScenarioFault[] =>
  ['a', 'b', 'c'].map((name) => ({
    title: `${name} ${verb}`,
    inject: (cluster) => {
      act(cluster, name);
    },
  }));

const linkFaults: ScenarioFault[] = [
  ['a', 'b'],
  ['a', 'c'],
  ['c', 'b'],
].flatMap(([from = '', to = '']) => [
  {
    title: `link ${from}-${to} down`,
    inject: ({ hub }) => {
      hub.setLink(from, to, false);
    },
    heal: ({ hub }) => {
      hub.setLink(from, to, true);
    },
  },
  ...[`${from}>${to}`, `${to}>${from}`].map((path) => lossy(path)),
]);

function lossy(path: string): ScenarioFault {
  const [from = '', to = ''] = path.split('>');
  return {
    title: `messages ${from} to ${to} lost`,
    inject: ({ hub }) => {
      hub.setLossy(from, to, true);
    },
    heal: ({ hub }) => {
      hub.setLossy(from, to, false);
    },
  };
}

/** The faults of the sweep over moments. */
export const scenarioFaults: readonly ScenarioFault[] = [
  ...onProcess('killed', (cluster, name) => {
    cluster.kill(name);
  }),
  ...onProcess('killed and started again', restartProcess),
  ...onProcess('vanished', (cluster, name) => {
    cluster.killSilently(name);
  }),
  ...['a', 'b', 'c'].map(pausedThenResumed),
  ...linkFaults,
  {
    title: 'platform down',
    inject: ({ processes }) => {
      for (const { platform } of processes.values()) platform.down = true;
    },
    heal: ({ processes }) => {
      for (const { platform } of processes.values()) platform.down = false;
    },
  },
  {
    title: 'platform answers lost',
    inject: ({ processes }) => {
      for (const { platform } of processes.values()) platform.loseAnswers = 2;
    },
  },
];

/** A router with a broken collaborator, and the rule that it breaks. */
export interface BrokenVariant {
  title: string;
  rule: HistoryRule;
  variant: ClusterVariant;
  /** Fault of each sending; none by default. */
  fault?: RequestClusterOptions['fault'];
}

/** Broken collaborators that the sweep must notice. */
export const brokenVariants: readonly BrokenVariant[] = [
  {
    title: 'a table that confirms every claim',
    rule: HistoryRule.RunsAtMostOnce,
    variant: {
      table: (table) => ({ ...table, transact: () => Promise.resolve(Result.ok(undefined)) }),
    },
  },
  {
    title: 'a link that reports a written message as not sent',
    rule: HistoryRule.NotRunIsCorrect,
    variant: {
      peers: (peers) => ({
        ...peers,
        send: (name, message) => {
          peers.send(name, message);
          return Result.err(new PeerError(PeerErrorCode.NotConnected, 'broken variant'));
        },
      }),
    },
  },
  {
    title: 'a link that delivers a message twice as two',
    rule: HistoryRule.RunsAtMostOnce,
    variant: {
      peers: (peers) => ({
        ...peers,
        send: (name, message) => {
          if (message.type === PeerMessageType.Forward) {
            peers.send(name, { ...message, forwardId: message.forwardId + 1_000_000 });
          }
          return peers.send(name, message);
        },
      }),
    },
  },
  {
    title: 'connections that call every failure not run',
    rule: HistoryRule.NotRunIsCorrect,
    fault: () => SendFault.LostAfterRun,
    variant: {
      backends: (backends) => ({
        ...wrapped(backends),
        send: async (vm, req) => {
          const sent = await backends.send(vm, req);
          return sent.mapErr((err) => new BackendError(err.code, err.message, false));
        },
      }),
    },
  },
  {
    title: 'connections that send again after a loss',
    rule: HistoryRule.RunsAtMostOnce,
    fault: () => SendFault.LostAfterRun,
    variant: {
      backends: (backends) => ({
        ...wrapped(backends),
        send: async (vm, req) => {
          const sent = await backends.send(vm, req);
          return sent.isOk ? sent : backends.send(vm, req);
        },
      }),
    },
  },
  {
    title: 'connections that pass on a truncated answer',
    rule: HistoryRule.AnswerBelongsToRequest,
    fault: () => SendFault.Truncated,
    variant: {
      backends: (backends) => ({
        ...wrapped(backends),
        send: async (vm, req) => {
          const sent = await backends.send(vm, req);
          const isTruncated = sent.isErr && sent.error.code === BackendErrorCode.Truncated;
          return isTruncated
            ? Result.ok({ status: 200, headers: {}, body: Buffer.from('answ') })
            : sent;
        },
      }),
    },
  },
  {
    title: 'a router that calls every failure not run',
    rule: HistoryRule.NotRunIsCorrect,
    variant: {
      router: (router) => ({
        ...router,
        handle: async (req) => {
          const result = await router.handle(req);
          return result.mapErr(
            ({ message }) => new RequestError(RequestReason.DeadlineExpired, message),
          );
        },
      }),
    },
  },
  {
    title: 'a router that never ends a refused request',
    rule: HistoryRule.EndsOnce,
    variant: {
      router: (router) => ({
        ...router,
        handle: async (req) => {
          const result = await router.handle(req);
          return result.isOk ? result : new Promise(() => undefined);
        },
      }),
    },
  },
  {
    title: 'a process that keeps its incarnation after a restart',
    rule: HistoryRule.NotRunIsCorrect,
    variant: { incarnation: (n) => String(n <= 3 ? n : 3).padStart(16, '0') },
  },
];

function wrapped(backends: BackendConnections): BackendConnections {
  return {
    setExecutors: (executors) => {
      backends.setExecutors(executors);
    },
    send: (vm, req) => backends.send(vm, req),
    inFlight: (vm) => backends.inFlight(vm),
    close: () => backends.close(),
  };
}
