import type { BackendConnections } from '../backends/index.js';
import type { Clock } from '../clock/index.js';
import { EntityKind } from '../configuration/index.js';
import { createEventBus } from '../events/index.js';
import { silentLogger } from '../logger/index.js';
import { MemberState, type Member, type Membership } from '../membership/index.js';
import { Metrics } from '../metrics/index.js';
import { Outcome, type MemberInfo, type PeerNetwork } from '../peers/index.js';
import type { Table } from '../platform/index.js';
import { createRandom } from '../random/index.js';
import {
  createRequestRouter,
  reasonRegistry,
  requestsSchema,
  type CallerRequest,
  type RequestResult,
  type RequestRouter,
  type RequestsSettings,
} from '../requests/index.js';
import { FakeBackends, SendFault, type FakeBackendsOptions } from './fakeBackends.js';
import { FakePeerHub } from './fakePeers.js';
import { FakePlatform, type PlatformFaults } from './fakePlatform.js';
import { FakeScheduler } from './fakeScheduler.js';
import { FakeConfigView } from './fakeView.js';
import { gateClock, gatePeers, gateTable, ProcessGate } from './processGate.js';
import {
  HistoryRule,
  RequestHistory,
  type HistoryViolation,
  type ObservedEnd,
} from './requestHistory.js';

/** Replaces collaborators of a router by faulty ones, to verify that the checks detect them. */
export interface ClusterVariant {
  table?: (table: Table) => Table;
  peers?: (peers: PeerNetwork) => PeerNetwork;
  backends?: (backends: BackendConnections) => BackendConnections;
  router?: (router: RequestRouter) => RequestRouter;
  /** Incarnation of the nth started process, from 1. */
  incarnation?: (n: number) => string;
}

/** Options for {@link RequestCluster}. */
export interface RequestClusterOptions {
  clock: Clock;
  seed: number;
  settings?: Partial<RequestsSettings>;
  fault?: FakeBackendsOptions['fault'];
  variant?: ClusterVariant;
  /** Wraps the table of a process, to inject faults into individual calls. */
  table?: (table: Table, process: string) => Table;
}

/** One simulated entry process. */
export interface ClusterProcess {
  info: MemberInfo;
  gate: ProcessGate;
  router: RequestRouter;
  scheduler: FakeScheduler;
  metrics: Metrics;
  platform: PlatformFaults;
  /** Whether it was killed while its links stayed up and its callers stayed connected. */
  killedSilently: boolean;
  /** Requests that its router has not completed. */
  open: Set<{ tag: string }>;
  /** Closes the callers' connections when the process is killed. */
  closeConnections: (() => void)[];
}

const LINK_LATENCY_MS = 1;
const BACKEND_STEP_MS = 10;

/** Request routers of several entry processes on one virtual clock, with fake dependencies. */
export class RequestCluster {
  readonly clock: Clock;
  readonly hub: FakePeerHub;
  readonly platform: FakePlatform;
  readonly history: RequestHistory;
  readonly view = new FakeConfigView();
  readonly processes = new Map<string, ClusterProcess>();
  /** Names of processes that are missing from the membership of the others. */
  readonly removed = new Set<string>();
  readonly #options: RequestClusterOptions;
  readonly #reasonViolations: HistoryViolation[] = [];
  #started = 0;

  constructor(options: RequestClusterOptions) {
    this.#options = options;
    this.clock = options.clock;
    this.hub = new FakePeerHub(options.clock, () => LINK_LATENCY_MS);
    this.platform = new FakePlatform(options.clock);
    this.history = new RequestHistory(options.clock);
    this.view.addTeam('team');
  }

  /**
   * Starts a process, or restarts it as a new incarnation.
   *
   * @param executors - service by VM for the executors that the process owns; each has one slot
   */
  start(name: string, zone: string, executors: Record<string, string>): ClusterProcess {
    const { clock, seed, settings, variant = {} } = this.#options;
    this.#started += 1;
    const incarnation = variant.incarnation?.(this.#started) ?? hex16(this.#started);
    const info: MemberInfo = { name, incarnation, zone, host: name, port: 1, startedAt: 0 };
    const gate = new ProcessGate();
    const ownClock = gateClock(clock, gate);
    const client = this.platform.client();
    const wrapTable = this.#options.table ?? ((table: Table) => table);
    const table = gateTable(wrapTable(client.table, name), gate);
    const peers = gatePeers(this.hub.join(info), gate);
    const fault = this.#options.fault ?? (() => SendFault.None);
    const { history } = this;
    const backends = new FakeBackends({ clock, gate, history, fault, stepMs: BACKEND_STEP_MS });
    const scheduler = new FakeScheduler(ownClock);
    for (const [vm, service] of Object.entries(executors)) {
      if (!this.view.get(EntityKind.Service, service)) this.view.addService(service);
      this.view.addVm(vm, service, zone);
    }
    scheduler.setExecutors(
      Object.entries(executors).map(([vm, service]) => ({ vm, service, slots: 1 })),
    );
    const metrics = new Metrics();
    const router = createRequestRouter({
      self: { name, incarnation },
      clock: ownClock,
      random: createRandom(seed + this.#started),
      logger: silentLogger,
      metrics,
      events: createEventBus(),
      view: this.view,
      membership: this.#createMembership(info),
      peers: variant.peers?.(peers) ?? peers,
      scheduler,
      backends: variant.backends?.(backends) ?? backends,
      health: { recordEnd: () => undefined, weight: () => 1 },
      table: variant.table?.(table) ?? table,
      settings: requestsSchema.parse(settings ?? {}),
    });
    const process: ClusterProcess = {
      ...{
        info,
        gate,
        scheduler,
        metrics,
        platform: client.faults,
        killedSilently: false,
        open: new Set(),
        closeConnections: [],
      },
      router: variant.router?.(router) ?? router,
    };
    this.processes.set(name, process);
    this.removed.delete(name);
    return process;
  }

  /** Kills a process. Its links go down, and the connections of its callers are closed. */
  kill(name: string): void {
    const process = this.process(name);
    process.gate.kill();
    this.hub.leave(name);
    for (const close of process.closeConnections) close();
  }

  process(name: string): ClusterProcess {
    const process = this.processes.get(name);
    if (!process) throw new RangeError(`process ${name} was not started`);
    return process;
  }

  /** Kills a process without notifying anyone; its links stay up but lose all messages. */
  killSilently(name: string): void {
    const process = this.process(name);
    process.gate.kill();
    process.killedSilently = true;
    for (const other of this.processes.keys()) {
      this.hub.setLossy(name, other, true);
      this.hub.setLossy(other, name, true);
    }
  }

  /**
   * Sends a caller's request to a process and records how it ends.
   *
   * @param tag - identifies the request across all its attempts
   * @param disconnectAfterMs - time after which the caller closes its connection
   * @returns the result; undefined if the connection was closed without an answer
   */
  async call(
    name: string,
    tag: string,
    values: Partial<CallerRequest> = {},
    disconnectAfterMs = 60_000,
  ): Promise<RequestResult | undefined> {
    const process = this.process(name);
    const caller = new CallerConnection(this.history.startAttempt(tag, values.idempotent ?? false));
    const disconnect = () => {
      // The process notices the closed connection only while it is not paused.
      if (caller.close()) process.gate.run(caller.abort);
    };
    process.closeConnections.push(disconnect);
    if (process.gate.isKilled && !process.killedSilently) disconnect();
    const disconnectTimer = this.clock.setTimer(disconnectAfterMs, disconnect);
    void this.#handleRequest(process, caller, tag, values);
    const result = await caller.result;
    disconnectTimer.cancel();
    return result;
  }

  async #handleRequest(
    process: ClusterProcess,
    caller: CallerConnection,
    tag: string,
    values: Partial<CallerRequest>,
  ): Promise<void> {
    await process.gate.receive(undefined);
    const signal = values.signal ?? caller.signal;
    const entry = { tag };
    process.open.add(entry);
    const result = await process.router.handle(this.#createRequest(tag, { ...values, signal }));
    process.open.delete(entry);
    this.#checkReason(tag, result);
    process.gate.run(() => {
      caller.answer(result);
    });
  }

  /** Checks all invariants; requires that no request is in progress. */
  violations(): HistoryViolation[] {
    const running = [...this.processes.values()].filter(({ gate }) => !gate.isKilled);
    const open = running.flatMap(({ info, router, open }) => [
      ...[...open].map(({ tag }) => ({
        tag,
        detail: `not completed by the router of ${info.name}`,
      })),
      ...(router.inFlight() > 0
        ? [{ tag: '', detail: `${info.name} has requests in flight` }]
        : []),
    ]);
    return [
      ...this.history.violations(),
      ...this.#reasonViolations,
      ...open.map((entry) => ({ rule: HistoryRule.EndsOnce, ...entry })),
    ];
  }

  #checkReason(tag: string, result: RequestResult): void {
    if (result.isOk) return;
    const { code, outcome } = result.error;
    if (reasonRegistry[code].outcomes.includes(outcome)) return;
    const detail = `${code} with outcome ${outcome}`;
    this.#reasonViolations.push({ rule: HistoryRule.ReasonIsRegistered, tag, detail });
  }

  #createRequest(tag: string, values: Partial<CallerRequest>): CallerRequest {
    return {
      ...{ service: 'matching', team: 'team', method: 'POST', path: '/work', headers: {} },
      ...{ body: Buffer.from(tag), urgent: false, idempotent: false },
      deadline: this.clock.now() + 1_000,
      signal: new AbortController().signal,
      ...values,
    };
  }

  #createMembership(self: MemberInfo): Membership {
    const others = () =>
      [...this.processes.values()].filter(
        ({ info }) => info.name !== self.name && !this.removed.has(info.name),
      );
    const toMember = ({ info, scheduler }: ClusterProcess): Member => ({
      info,
      state: MemberState.Alive,
      lastHeardAt: this.clock.now(),
      configVersion: this.view.version,
      load: scheduler.load(),
      draining: [],
    });
    return {
      self,
      members: () => others().map(toMember),
      member: (name) =>
        others()
          .map(toMember)
          .find(({ info }) => info.name === name),
      liveMembers: (zone) =>
        [self, ...others().map(({ info }) => info)].filter((info) => info.zone === zone),
      ownerOf: () => undefined,
    };
  }
}

/** The caller's connection for one attempt. */
class CallerConnection {
  readonly #recordEnd: (end: ObservedEnd) => void;
  readonly #controller = new AbortController();
  readonly result: Promise<RequestResult | undefined>;
  #resolve!: (result: RequestResult | undefined) => void;
  #open = true;

  constructor(recordEnd: (end: ObservedEnd) => void) {
    this.#recordEnd = recordEnd;
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  readonly abort = (): void => {
    this.#controller.abort();
  };

  /** Delivers the answer to the caller; ignored if the connection is closed. */
  answer(result: RequestResult): void {
    if (!this.#open) return;
    this.#open = false;
    this.#recordEnd(toObservedEnd(result));
    this.#resolve(result);
  }

  /** Closes the connection; returns false if it was already closed or answered. */
  close(): boolean {
    if (!this.#open) return false;
    this.#open = false;
    this.#recordEnd({ outcome: 'closed' });
    this.#resolve(undefined);
    return true;
  }
}

function toObservedEnd(result: RequestResult): ObservedEnd {
  if (result.isErr) return { outcome: result.error.outcome };
  return { outcome: Outcome.Answered, body: Buffer.from(result.value.body).toString('utf8') };
}

function hex16(n: number): string {
  return n.toString(16).padStart(16, '0');
}
