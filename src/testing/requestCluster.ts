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
import { RequestHistory, type ObservedEnd } from './requestHistory.js';

/** Replaces collaborators of a router, to show that a check notices broken ones. */
export interface ClusterVariant {
  table?: (table: Table) => Table;
  peers?: (peers: PeerNetwork) => PeerNetwork;
  backends?: (backends: BackendConnections) => BackendConnections;
  router?: (router: RequestRouter) => RequestRouter;
  /** Incarnation of the nth process that is started. */
  incarnation?: (n: number) => string;
}

/** Parameters of {@link RequestCluster}. */
export interface RequestClusterOptions {
  clock: Clock;
  seed: number;
  settings?: Partial<RequestsSettings>;
  fault?: FakeBackendsOptions['fault'];
  variant?: ClusterVariant;
  /** Wraps the table of one process, to inject faults into single calls. */
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
  /** Closes the callers' connections when the process is killed. */
  closeConnections: (() => void)[];
}

const LINK_LATENCY_MS = 1;
const BACKEND_STEP_MS = 10;

/** Request routers of several entry processes on one virtual clock, with all their surroundings. */
export class RequestCluster {
  readonly clock: Clock;
  readonly hub: FakePeerHub;
  readonly platform: FakePlatform;
  readonly history: RequestHistory;
  readonly view = new FakeConfigView();
  readonly processes = new Map<string, ClusterProcess>();
  /** Members that the others do not see any more. */
  readonly removed = new Set<string>();
  readonly #options: RequestClusterOptions;
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
   * Starts a process, or starts it again as a new incarnation.
   *
   * @param executors - services by VM that the process owns, with one slot each
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
      membership: this.#membership(info),
      peers: variant.peers?.(peers) ?? peers,
      scheduler,
      backends: variant.backends?.(backends) ?? backends,
      health: { record: () => undefined, weight: () => 1 },
      table: variant.table?.(table) ?? table,
      settings: requestsSchema.parse(settings ?? {}),
    });
    const process: ClusterProcess = {
      ...{ info, gate, scheduler, metrics, platform: client.faults, closeConnections: [] },
      router: variant.router?.(router) ?? router,
    };
    this.processes.set(name, process);
    this.removed.delete(name);
    return process;
  }

  /** Kills a process: its callers see a closed connection and its links drop. */
  kill(name: string): void {
    const process = this.process(name);
    process.gate.kill();
    this.hub.leave(name);
    for (const close of process.closeConnections) close();
  }

  process(name: string): ClusterProcess {
    const process = this.processes.get(name);
    if (!process) throw new RangeError(`no process ${name}`);
    return process;
  }

  /**
   * Sends a request of a caller to a process and records its end.
   *
   * @param tag - names the request over all its attempts
   */
  async call(
    name: string,
    tag: string,
    values: Partial<CallerRequest> = {},
  ): Promise<RequestResult | undefined> {
    const process = this.process(name);
    const end = this.history.begin(tag, values.idempotent ?? false);
    if (process.gate.isKilled) {
      end({ outcome: 'closed' });
      return undefined;
    }
    let open = true;
    const closed = new Promise<undefined>((resolve) => {
      process.closeConnections.push(() => {
        if (!open) return;
        open = false;
        end({ outcome: 'closed' });
        resolve(undefined);
      });
    });
    const arrived = process.gate.receive(undefined);
    const handled = arrived.then(async () => {
      const result = await process.router.handle(this.#request(tag, values));
      await process.gate.receive(undefined);
      if (process.gate.isKilled) return undefined;
      open = false;
      end(observed(result));
      return result;
    });
    return Promise.race([handled, closed]);
  }

  #request(tag: string, values: Partial<CallerRequest>): CallerRequest {
    return {
      ...{ service: 'matching', team: 'team', method: 'POST', path: '/work', headers: {} },
      ...{ body: Buffer.from(tag), urgent: false, idempotent: false },
      deadline: this.clock.now() + 1_000,
      signal: new AbortController().signal,
      ...values,
    };
  }

  #membership(self: MemberInfo): Membership {
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

function observed(result: RequestResult): ObservedEnd {
  if (result.isErr) return { outcome: result.error.outcome };
  return { outcome: Outcome.Answered, body: Buffer.from(result.value.body).toString('utf8') };
}

function hex16(n: number): string {
  return n.toString(16).padStart(16, '0');
}
