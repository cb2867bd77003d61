import { Result } from 'true-myth';
import { BackendError, BackendErrorCode, type BackendConnections } from '../backends/index.js';
import { Outcome, PeerError, PeerErrorCode, PeerMessageType } from '../peers/index.js';
import { RequestError, RequestReason, type CallerRequest } from '../requests/index.js';
import { SendFault } from './fakeBackends.js';
import type { RequestCluster, RequestClusterOptions, ClusterVariant } from './requestCluster.js';
import { HistoryRule } from './requestHistory.js';

/** How a caller identifies its request across attempts. */
export enum RequestIdentity {
  /** Neither a key nor an id; only attempts that did not run may be repeated. */
  None = 'none',
  /** An idempotency key. */
  Key = 'key',
  /** A request id, issued by a process other than the one that is called first. */
  IssuedId = 'issued_id',
  /** The request is declared idempotent; it is sent once. */
  Idempotent = 'idempotent',
}

/** Service by VM for the executors of each process of {@link startThreeProcesses}. */
const executorsByProcess: Record<string, Record<string, string>> = {
  a: {},
  b: { vm1: 'matching', vm2: 'matching' },
  c: {},
};

const PLATFORM_DELAY_MS = 2;
const ATTEMPT_TIMEOUT_MS = 400;
/** Time after which the caller closes its connection; longer than the deadline of an attempt. */
const DISCONNECT_AFTER_MS = 500;
const RETRY_DELAY_MS = 20;
const MAX_CALLS = 5;

/** Starts the entry processes `a`, `b` and `c` in one zone; `b` owns all executors. */
export function startThreeProcesses(cluster: RequestCluster): void {
  for (const [name, executors] of Object.entries(executorsByProcess)) {
    cluster.start(name, 'z1', executors).platform.delayMs = PLATFORM_DELAY_MS;
  }
}

/** Kills a process and restarts it as a new incarnation. */
export function restartProcess(cluster: RequestCluster, name: string): void {
  cluster.kill(name);
  cluster.start(name, 'z1', executorsByProcess[name] ?? {}).platform.delayMs = PLATFORM_DELAY_MS;
}

/** Calls the processes in turn until one answers, a retry would be unsafe or calls run out. */
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
    const result = await cluster.call(name, tag, attempt, DISCONNECT_AFTER_MS);
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

/** A fault that is injected at one time and, if it has a `heal` function, ended later. */
export interface ScenarioFault {
  title: string;
  inject: (cluster: RequestCluster) => void;
  heal?: (cluster: RequestCluster) => void;
}

const pauseFault = (name: string): ScenarioFault => ({
  title: `${name} paused`,
  inject: (cluster) => {
    cluster.process(name).gate.pause();
  },
  heal: (cluster) => {
    cluster.process(name).gate.resume();
  },
});

const processFaults = (
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
  ...[`${from}>${to}`, `${to}>${from}`].map((path) => lossyLinkFault(path)),
]);

function lossyLinkFault(path: string): ScenarioFault {
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

/** The faults that the tests inject at each time of a scenario. */
export const scenarioFaults: readonly ScenarioFault[] = [
  ...processFaults('killed', (cluster, name) => {
    cluster.kill(name);
  }),
  ...processFaults('killed and restarted', restartProcess),
  ...processFaults('killed silently', (cluster, name) => {
    cluster.killSilently(name);
  }),
  ...['a', 'b', 'c'].map(pauseFault),
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

/** A faulty router or collaborator, and the rule that it violates. */
export interface BrokenVariant {
  title: string;
  rule: HistoryRule;
  variant: ClusterVariant;
  /** Fault of each send; none by default. */
  fault?: RequestClusterOptions['fault'];
}

/** Faulty variants that the tests must detect. */
export const brokenVariants: readonly BrokenVariant[] = [
  {
    title: 'a table that confirms every claim',
    rule: HistoryRule.RunsAtMostOnce,
    variant: {
      table: (table) => ({ ...table, transact: () => Promise.resolve(Result.ok(undefined)) }),
    },
  },
  {
    title: 'a link that reports sent messages as not sent',
    rule: HistoryRule.NotRunIsCorrect,
    variant: {
      peers: (peers) => ({
        ...peers,
        send: (name, message) => {
          peers.send(name, message);
          return Result.err(new PeerError(PeerErrorCode.NotConnected, 'injected fault'));
        },
      }),
    },
  },
  {
    title: 'a link that delivers each forward twice under different ids',
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
    title: 'connections that report every failure as not run',
    rule: HistoryRule.NotRunIsCorrect,
    fault: () => SendFault.LostAfterRun,
    variant: {
      backends: (backends) => ({
        ...delegatingConnections(backends),
        send: async (vm, req) => {
          const sent = await backends.send(vm, req);
          return sent.mapErr((err) => new BackendError(err.code, err.message, false));
        },
      }),
    },
  },
  {
    title: 'connections that send again after a failure',
    rule: HistoryRule.RunsAtMostOnce,
    fault: () => SendFault.LostAfterRun,
    variant: {
      backends: (backends) => ({
        ...delegatingConnections(backends),
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
        ...delegatingConnections(backends),
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
    title: 'a router that reports every failure as not run',
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
    title: 'a router that never completes a refused request',
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

function delegatingConnections(backends: BackendConnections): BackendConnections {
  return {
    setExecutors: (executors) => {
      backends.setExecutors(executors);
    },
    send: (vm, req) => backends.send(vm, req),
    inFlight: (vm) => backends.inFlight(vm),
    close: () => backends.close(),
  };
}
