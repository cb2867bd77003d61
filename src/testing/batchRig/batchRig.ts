import { Result } from 'true-myth';
import { accountRuleDefaults, type Account, type AccountRules } from '../../accounts/index.js';
import {
  noFeatures,
  RunEnd,
  StoreError,
  StoreErrorCode,
  VmOrderAnswer,
  VmState,
  type AdviceClient,
  type BatchConfig,
  type Features,
  type JobSpec,
  type ListedVm,
  type Queue,
  type Resources,
  type Row,
  type StepSpec,
  type VmClient,
  type WaveSpec,
  type WorkerRecord,
} from '../../batch/index.js';
import { Counters } from '../../batch/counters.js';
import { DecisionLog } from '../../batch/decisionLog.js';
import { withStepDefaults } from '../../batch/jobCodec.js';
import { LinkError, LinkErrorCode, type NodeTransport } from '../../batch/links.js';
import { BatchNode, type OperatorItem } from '../../batch/node.js';
import { tableSource } from '../../batch/tableSource.js';
import type { WaveStatusStore } from '../../batch/upkeep.js';
import type { Clock } from '../../clock/index.js';
import { InvariantError } from '../../errors/index.js';
import { Lifecycle } from '../../lifecycle/index.js';
import { createRandom } from '../../random/index.js';
import { createFakeTimers } from '../virtualClock.js';
import { FakeExecutors, type FakeExecutor, type ObservedRun } from './fakeExecutors.js';
import { FakeRowStore } from './fakeRowStore.js';
import { PausableProcess } from './pausableProcess.js';

/** Time that the advice service takes to answer. */
const ADVICE_DELAY_MS = 10;
/** Time after the acknowledgement of an end within which another run of the task may start. */
const MAX_START_DELAY_MS = 1_000;
/** Time after which an order to the vendor counts as not answered. */
const VENDOR_TIMEOUT_MS = 600;
/** Latency of a call between nodes. */
const LINK_LATENCY_MS = 1;

/** A node under test with its collaborators and state. */
export interface RigNode {
  name: string;
  node: BatchNode;
  counters: Counters;
  lifecycle: Lifecycle;
  isDead: boolean;
  /** Lines that the node wrote to its log. */
  logLines: string[];
  /** Difference of the node's wall clock from the rig's, in milliseconds. */
  wallOffsetMs: number;
  /** Freezes and resumes the node. */
  process: PausableProcess;
}

/** Options for {@link BatchRig}. */
export interface BatchRigOptions {
  services?: string[];
  workersPerService?: number;
  nodes?: number;
  maxAttempts?: number;
  /** Whether the store accepts transactions with rows of several parts. */
  acceptsSeveralParts?: boolean;
  /** Features of the nodes; none by default. */
  features?: Partial<Features>;
  /** Accounts of the first configuration; none if undefined. */
  accounts?: Account[];
  /** Weights of further accounts of the first configuration, by name. */
  weights?: Record<string, number>;
  /** Rules for accounts in the settings of the nodes. */
  accountRules?: AccountRules;
  /** Limits of client accounts by name; the configuration has no accounts if undefined. */
  limits?: Record<string, Partial<Resources>>;
  /** Share of its limit by which an account may exceed it. */
  maxOverage?: number;
  /** Factor by which tasks run longer off their rack, as the nodes know it. */
  remoteSlowdown?: number;
  /** Whether the nodes measure how busy they are with calls to the workers. */
  measuresBusyTime?: boolean;
}

/** Batch nodes with a fake row store, fake workers and a fake VM vendor in virtual time. */
export class BatchRig {
  readonly clock: Clock;
  readonly store: FakeRowStore;
  readonly fleet: FakeExecutors;
  /** Weights of client accounts by name. */
  readonly #weights: Record<string, number> | undefined;
  readonly nodes: RigNode[] = [];
  /** Duration of the maintenance of a VM. */
  maintenanceMs = 2_000;
  /** How long the registration of a worker remains after its VM went down. */
  registrationTtlMs = 0;
  /** Validity of tickets in milliseconds; 0 if the queues need none. */
  ticketLifeMs = 0;
  /** Number of calls to the advice service. */
  adviceCalls = 0;
  /** Time until a worker that a run has crashed is back. */
  restartMs = 3_000;
  /** Whether a crashed worker comes back under another id at the same address. */
  restartsUnderNewId = false;
  /** Largest number of VMs that were down for maintenance at the same time. */
  maxDown = 0;
  /** Whether calls for the vendor's VM list fail. */
  isVmListDown = false;
  /** Whether orders to the vendor have no effect and are not answered. */
  isVendorSilent = false;
  /** Time until the vendor answers an order. */
  vendorDelayMs = 0;
  /** Orders for maintenance that the vendor received, as `wave/vm`. */
  readonly maintenanceOrders: string[] = [];
  /** Violations of `maxAway` found when the vendor took a VM down. */
  readonly vendorViolations: string[] = [];
  /** Directed pairs `from>to` of nodes whose calls are lost. */
  readonly #linkCuts = new Set<string>();
  readonly #vmsDown = new Set<string>();
  /** VMs whose entry in the vendor's list cannot be decoded. */
  readonly unreadableVms = new Set<string>();
  /** VMs in a pool that is switched off. */
  readonly #vmsOff = new Set<string>();
  readonly #timers;
  readonly #features: Features;
  readonly #callHandlers = new Map<string, (body: unknown) => Promise<unknown>>();
  readonly #waveReports = new Map<string, boolean>();
  readonly #acceptedMaintenance = new Set<string>();
  /** Steps whose tasks may have two runs, as `JOB STEP`. */
  readonly #copySteps = new Set<string>();
  readonly #lastingSteps: { job: string; step: number; spec: StepSpec }[] = [];
  readonly #accountRules: AccountRules | undefined;
  readonly #maxOverage: number;
  readonly #remoteSlowdown: number | undefined;
  readonly #measuresBusyTime: boolean;
  #nextReplacement = 0;
  #nextJob = 0;

  constructor({
    services = ['motions'],
    workersPerService = 3,
    nodes = 3,
    maxAttempts = 3,
    acceptsSeveralParts = false,
    features = {},
    accounts,
    weights,
    accountRules,
    limits,
    maxOverage = 0,
    remoteSlowdown,
    measuresBusyTime = false,
  }: BatchRigOptions = {}) {
    this.#remoteSlowdown = remoteSlowdown;
    this.#measuresBusyTime = measuresBusyTime;
    this.#features = { ...noFeatures, ...features };
    this.#weights = weights;
    this.#accountRules = accountRules;
    const { timers, clock } = createFakeTimers();
    this.#timers = timers;
    this.clock = clock;
    this.store = new FakeRowStore(clock, acceptsSeveralParts);
    this.fleet = new FakeExecutors(clock);
    this.fleet.onCrash = (executor) => {
      this.clock.setTimer(this.restartMs, () => {
        this.#restart(executor);
      });
    };
    for (const service of services) {
      for (let number = 0; number < workersPerService; number++) {
        this.addWorker(`${service}-${number}`, service);
      }
    }
    this.#maxOverage = maxOverage;
    this.configure({ version: 1, services, maxAttempts, accounts, limits });
    for (let number = 0; number < nodes; number++) this.addNode(`node-${number}`);
  }

  /** Writes a configuration with one queue per service. */
  configure({
    version,
    services,
    maxAttempts = 3,
    accounts,
    weights = this.#weights,
    publicQueues = [],
    limits,
    movedQueues = {},
    queueNames = {},
    removedQueues = [],
  }: {
    version: number;
    services: string[];
    maxAttempts?: number;
    accounts?: Account[];
    weights?: Record<string, number>;
    /** Names of the queues that need no key. */
    publicQueues?: string[];
    limits?: Record<string, Partial<Resources>>;
    /** Services of queues that are not assigned to the service of their name. */
    movedQueues?: Record<string, string>;
    /** Names of queues that are not named after a service, by the service that has their path. */
    queueNames?: Record<string, string>;
    /** Names of services that have no queue. */
    removedQueues?: string[];
  }): void {
    const withQueue = services.filter((service) => !removedQueues.includes(service));
    const queues = withQueue.map((service): Queue => {
      const limits = { objectiveMs: 600, stretch: 1.6, priority: 0, maxAttempts };
      const advice = this.ticketLifeMs > 0 ? { ticketLifeMs: this.ticketLifeMs } : undefined;
      return {
        name: queueNames[service] ?? service,
        host: 'host',
        pathPrefix: `/${service}/`,
        service: movedQueues[service] ?? service,
        advice,
        isPublic: publicQueues.includes(service),
        ...limits,
      };
    });
    const config: BatchConfig = {
      version,
      queues,
      services: services.map((name) => ({ name, hasAdmissionControl: true, isStandby: false })),
      limits: { headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 0 },
      accounts: accounts ?? createAccounts(weights, limits),
    };
    this.#putOperatorRow('config', { config });
  }

  /** Requests a maintenance wave. */
  requestWave(wave: WaveSpec): void {
    this.#putOperatorRow(`wave/${wave.id}`, { wave });
  }

  #putOperatorRow(key: string, item: OperatorItem): void {
    this.store.put({ table: 'operator', part: '', key }, JSON.stringify(item));
  }

  addWorker(id: string, service: string, labels: string[] = []): FakeExecutor {
    const capacity = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 };
    const executor = this.fleet.add({ id, service, capacity, labels });
    this.register(executor);
    return executor;
  }

  #restart(executor: FakeExecutor): void {
    const { id, service, labels } = executor.record;
    if (this.restartsUnderNewId) {
      executor.isReplaced = true;
      this.unregister(id);
      this.addWorker(`${id}~${++this.#nextReplacement}`, service, labels);
      return;
    }
    executor.restart();
    this.register(executor);
  }

  /** Moves the VM of a worker to a pool that is switched off; the worker's registration is left. */
  switchOff(id: string): void {
    required(this.fleet.executors.get(id)).crash();
    this.#vmsOff.add(id);
  }

  /** Writes the registration of a worker. */
  register({ record }: FakeExecutor): void {
    this.store.put({ table: 'registry', part: '', key: record.id }, JSON.stringify(record));
  }

  /** Removes the registration of a worker. */
  unregister(id: string): void {
    this.store.rows.delete(`registry\n\n${id}`);
    this.store.dropHistory();
  }

  /** Starts a node; a node with the name of a dead one replaces it. */
  addNode(name: string): RigNode {
    const logLines: string[] = [];
    const counters = new Counters();
    const sink = { write: (text: string) => logLines.push(text) > 0 };
    const lifecycle = new Lifecycle(name);
    const wallTime = (): number => this.clock.wallTime() + rigNode.wallOffsetMs;
    const process = new PausableProcess(this.clock, wallTime);
    const state = { isDead: false, wallOffsetMs: 0 };
    const rigNode = { name, counters, lifecycle, logLines, process, ...state };
    const { clock } = process;
    const log = new DecisionLog(sink, clock);
    const store = this.#blockWhenDead(this.store.clientOf(name), rigNode);
    const node = new BatchNode({
      store,
      workers: this.#blockWhenDead(this.fleet.clientOf(name), rigNode),
      vms: this.#blockWhenDead(this.#createVmClient(), rigNode),
      advice: this.#blockWhenDead(this.#createAdviceClient(), rigNode),
      tables: (nodeStore) => ({
        board: this.#blockWhenDead(this.#createWaveStatusStore(), rigNode),
        operator: tableSource(nodeStore, 'operator', '', parseItem),
        registry: tableSource(nodeStore, 'registry', '', parseWorker),
      }),
      clock,
      accountRules: this.#accountRules ?? { ...accountRuleDefaults, maxOverage: this.#maxOverage },
      remoteSlowdown: this.#remoteSlowdown,
      random: createRandom(this.nodes.length + 1),
      log,
      counters,
      node: name,
      incarnation: `${name}#${this.nodes.length}`,
      resources: { cores: 1, bandwidthMbps: 1_000 },
      features: this.#features,
      createBusyMeter: this.#measuresBusyTime ? () => this.fleet.createBusyMeter(name) : undefined,
      transport: this.#createTransport(name, rigNode),
    });
    const started: RigNode = Object.assign(rigNode, { node });
    this.nodes.push(started);
    void node.run(lifecycle);
    return started;
  }

  /**
   * Wraps a client so that calls by a dead node have no effect and never settle, and those of a frozen
   * node settle when it resumes.
   */
  #blockWhenDead<T extends object>(target: T, state: NodeState): T {
    const neverSettle = () => new Promise<never>(() => undefined);
    return new Proxy(target, {
      get(object, name) {
        const value: unknown = Reflect.get(object, name);
        if (typeof value !== 'function') return value;
        return async (...args: unknown[]) => {
          if (state.isDead) return neverSettle();
          const result: unknown = await Reflect.apply(value, object, args);
          if (state.process.isFrozen) await state.process.whenRunning();
          return hasDied(state) ? neverSettle() : result;
        };
      },
    });
  }

  #createTransport(name: string, state: NodeState): NodeTransport {
    return {
      address: name,
      listen: (answer) => {
        this.#callHandlers.set(name, async (body) => {
          if (state.process.isFrozen) await state.process.whenRunning();
          return state.isDead ? new Promise(() => undefined) : answer(body);
        });
        return Promise.resolve();
      },
      call: async (address, body, timeoutMs) => {
        await this.clock.sleep(LINK_LATENCY_MS);
        const answer = this.#callHandlers.get(address);
        const late = this.clock
          .sleep(timeoutMs)
          .then(() => Result.err(new LinkError(LinkErrorCode.NoAnswer, `call to ${address}`)));
        const isLost = !answer || this.#linkCuts.has(`${name}>${address}`);
        const answered = isLost
          ? new Promise<never>(() => undefined)
          : answer(structuredClone(body)).then((reply) => Result.ok(reply));
        const result = await Promise.race<Result<unknown, LinkError>>([answered, late]);
        if (state.process.isFrozen) await state.process.whenRunning();
        return result;
      },
    };
  }

  #createAdviceClient(): AdviceClient {
    return {
      advise: async (_step, ids) => {
        this.adviceCalls++;
        await this.clock.sleep(ADVICE_DELAY_MS);
        if (this.ticketLifeMs === 0) {
          return Result.err(new StoreError(StoreErrorCode.Refused, 'no advice'));
        }
        const approved = ids
          .map((id) => required(this.fleet.executors.get(id)))
          .filter(({ isApproved }) => isApproved);
        return Result.ok({
          tickets: new Map(approved.map(({ record, ticket }) => [record.id, ticket])),
        });
      },
    };
  }

  #createWaveStatusStore(): WaveStatusStore {
    return {
      finished: () => {
        const finished = [...this.#waveReports].filter(([, isFinished]) => isFinished);
        return Promise.resolve(Result.ok(new Set(finished.map(([wave]) => wave))));
      },
      report: (wave, isFinished) => {
        this.#waveReports.set(wave, isFinished);
        return Promise.resolve(Result.ok(undefined));
      },
    };
  }

  /** Whether a node reported the wave as finished. */
  isFinished(wave: string): boolean {
    return this.#waveReports.get(wave) === true;
  }

  /** Creates the vendor's API. The id of a VM is the worker id up to the first `~`. */
  #createVmClient(): VmClient {
    const vmOf = (id: string) => id.split('~')[0] ?? id;
    const current = (vm: string) =>
      [...this.fleet.executors.values()].findLast(({ record }) => vmOf(record.id) === vm);
    return {
      list: () => {
        if (this.isVmListDown) {
          return Promise.resolve(Result.err(new StoreError(StoreErrorCode.NoAnswer, 'VM list')));
        }
        const vms = new Set([...this.fleet.executors.keys()].map(vmOf));
        const readable = [...vms].filter((vm) => !this.unreadableVms.has(vm));
        const listed = readable.map((vm): ListedVm => {
          const { record } = required(current(vm));
          const state = this.#vmsDown.has(vm) ? VmState.Upkeep : VmState.Up;
          const { capacity, labels, service } = record;
          const isOff = this.#vmsOff.has(vm);
          const pool = isOff ? 'standby' : service;
          const worker = isOff || this.#vmsDown.has(vm) ? undefined : record.id;
          return { vm, pool, state, capacity, labels, worker };
        });
        const unreadableCount = vms.size - listed.length;
        return Promise.resolve(Result.ok({ vms: listed, unreadableCount }));
      },
      move: () => Promise.resolve(VmOrderAnswer.Refused),
      upkeep: async ({ vm, wave }) => {
        this.maintenanceOrders.push(`${wave}/${vm}`);
        await this.clock.sleep(this.isVendorSilent ? VENDOR_TIMEOUT_MS : this.vendorDelayMs);
        if (this.isVendorSilent) return VmOrderAnswer.NoAnswer;
        if (this.#acceptedMaintenance.has(`${wave}/${vm}`)) return VmOrderAnswer.Done;
        if (this.#vmsDown.has(vm)) return VmOrderAnswer.Busy;
        this.#acceptedMaintenance.add(`${wave}/${vm}`);
        this.#startMaintenance(vm, required(current(vm)));
        return VmOrderAnswer.Done;
      },
    };
  }

  #startMaintenance(vm: string, executor: FakeExecutor): void {
    this.#checkMaxAway(executor);
    this.#vmsDown.add(vm);
    this.maxDown = Math.max(this.maxDown, this.#vmsDown.size);
    executor.crash();
    if (this.registrationTtlMs === 0) this.unregister(executor.record.id);
    else {
      this.clock.setTimer(this.registrationTtlMs, () => {
        this.unregister(executor.record.id);
      });
    }
    this.clock.setTimer(this.maintenanceMs, () => {
      this.#vmsDown.delete(vm);
      const { service, labels } = executor.record;
      this.addWorker(`${vm}~${++this.#nextReplacement}`, service, labels);
    });
  }

  /** Records a violation if stopping the executor exceeds the `maxAway` of a step. */
  #checkMaxAway(executor: FakeExecutor): void {
    for (const { job, step, spec } of this.#lastingSteps) {
      const prefix = `${job}.0.${step}.`;
      if (!executor.running.some((task) => task.startsWith(prefix))) continue;
      const others = new Set(
        [...this.fleet.executors.values()]
          .filter((other) => other !== executor && other.isUp)
          .flatMap(({ running }) => running)
          .filter((task) => task.startsWith(prefix)),
      );
      const away = spec.count - 1 - others.size;
      if (away < spec.maxAway) continue;
      this.vendorViolations.push(
        `${prefix}*: ${away} other tasks away, maxAway is ${spec.maxAway}`,
      );
    }
  }

  /** Creates the spec of a job with the given steps. */
  createJob(queue: string, steps: Partial<StepSpec>[], fields: Partial<JobSpec> = {}): JobSpec {
    const id = (++this.#nextJob).toString(16).padStart(16, '0');
    const needs = { cpuMillis: 1_000, memoryMb: 500, estimateMs: 500 };
    const completed = steps.map((step) => withStepDefaults({ ...needs, ...step }));
    for (const [step, spec] of completed.entries()) {
      if (spec.isLasting) this.#lastingSteps.push({ job: id, step, spec });
      if (spec.allowsCopies) this.#copySteps.add(`${fields.id ?? id} ${step}`);
    }
    const times = { occurrences: 0, firstDueMs: 0, periodMs: 0 };
    const acceptedMs = this.clock.wallTime();
    return { id, queue, payload: 'work', steps: completed, acceptedMs, ...times, ...fields };
  }

  /** Advances virtual time; runs due timers in order, and the promise reactions that they cause. */
  async advance(ms: number): Promise<void> {
    const end = this.clock.now() + ms;
    let isReached = false;
    this.clock.setTimer(ms, () => {
      isReached = true;
    });
    const reached = () => isReached || this.clock.now() > end;
    while (!reached()) {
      this.#timers.next();
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Advances virtual time until a condition holds, up to `limitMs`; returns whether it does. */
  async until(condition: () => boolean, limitMs = 30_000): Promise<boolean> {
    const end = this.clock.now() + limitMs;
    while (!condition() && this.clock.now() < end) await this.advance(20);
    return condition();
  }

  /** Advances virtual time until a promise settles, at most by `limitMs`, then awaits it. */
  async settle<T>(promise: Promise<T>, limitMs = 10_000): Promise<T> {
    let isSettled = false;
    void promise.finally(() => {
      isSettled = true;
    });
    await this.until(() => isSettled, limitMs);
    return promise;
  }

  /** Names of the queues, each of which has a service of the same name. */
  queueNames(): string[] {
    const config = this.nodes.find(({ isDead }) => !isDead)?.node.config;
    return required(config).queues.map(({ name }) => name);
  }

  /** Returns a queue by name from the configuration of a live node. */
  queue(name: string): Queue {
    const queue = this.nodes.find(({ isDead }) => !isDead)?.node.config?.queues;
    return required(queue?.find((entry) => entry.name === name));
  }

  /** Delivers a call to a node, for example one that was delayed in transit. */
  async deliver(node: string, body: unknown): Promise<void> {
    await this.#callHandlers.get(node)?.(body);
  }

  /** Makes calls from one node to another fail; the reverse direction is not affected. */
  cutLink(from: string, to: string): void {
    this.#linkCuts.add(`${from}>${to}`);
  }

  /** Ends the effect of {@link cutLink}. */
  restoreLink(from: string, to: string): void {
    this.#linkCuts.delete(`${from}>${to}`);
  }

  /** The live node that sends orders to the vendor. */
  fleetServiceHolder(): RigNode | undefined {
    return this.nodes.find(({ node, isDead }) => !isDead && node.holdsFleetService);
  }

  /** The live node that holds a service. */
  holderOf(service: string): RigNode | undefined {
    return this.nodes.find(({ node, isDead }) => !isDead && node.hasLoadedService(service));
  }

  /** Waits until a live node holds each service. */
  async ready(services = ['motions']): Promise<void> {
    await this.until(() => services.every((service) => this.holderOf(service) !== undefined));
    await this.advance(500);
  }

  /** Lists the stops of lasting tasks that exceeded the `maxAway` of their step. */
  maxAwayViolations(): string[] {
    const found: string[] = [];
    const runs = this.fleet.runs();
    for (const { job, step, spec } of this.#lastingSteps) {
      const own = runs.filter(({ task }) => task.startsWith(`${job}.0.${step}.`));
      for (const stopped of own.filter(({ end }) => end === RunEnd.Stopped)) {
        const at = (stopped.endedAt ?? 0) - this.fleet.stopMs;
        const isAtWork = ({ task, startedAt, endedAt = Infinity, end }: ObservedRun) => {
          const leaves = end === RunEnd.Stopped ? endedAt - this.fleet.stopMs : endedAt;
          return task !== stopped.task && startedAt <= at && leaves > at;
        };
        const away = spec.count - 1 - own.filter(isAtWork).length;
        if (away >= spec.maxAway)
          found.push(`${stopped.task} was stopped while ${away} others were away`);
      }
    }
    return found;
  }

  /**
   * Lists overlapping runs, runs started after the task was done and violations of `maxAway`. Where
   * copies are allowed, two runs may overlap, and one may start up to 1 s after the acknowledgement.
   */
  violations(): string[] {
    const byTask = new Map<string, ObservedRun[]>();
    for (const run of this.fleet.runs()) {
      byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
    }
    const found = [...this.vendorViolations];
    for (const [task, runs] of byTask) {
      const [job = '', , step = ''] = task.split('.');
      if (this.#copySteps.has(`${job} ${step}`)) {
        found.push(...copyViolations(task, runs));
        continue;
      }
      for (const [index, run] of runs.entries()) {
        for (const other of runs.slice(index + 1)) {
          if (overlap(run, other)) found.push(`${task}: runs ${run.run} and ${other.run} overlap`);
        }
        const isAfter = (other: ObservedRun) => other.startedAt > (run.endedAt ?? Infinity);
        if (run.end === RunEnd.Done && runs.some(isAfter)) {
          found.push(`${task}: run started after the task was done`);
        }
      }
    }
    return found;
  }
}

/** What keeps a node from making calls and getting answers. */
interface NodeState {
  isDead: boolean;
  process: PausableProcess;
}

/** Reads the flag again after an `await`, where the compiler still assumes its earlier value. */
function hasDied(state: { isDead: boolean }): boolean {
  return state.isDead;
}

/** Returns the value; throws if it is undefined. */
export function required<T>(value: T | undefined): T {
  if (value === undefined)
    throw new InvariantError('a value that the test rig requires is undefined');
  return value;
}

/** Lists third runs of a task, and starts later than 1 s after its end was acknowledged. */
function copyViolations(task: string, runs: readonly ObservedRun[]): string[] {
  const found: string[] = [];
  for (const run of runs) {
    const others = runs.filter((other) => other !== run);
    const atStart = others.filter(
      ({ startedAt, endedAt = Infinity }) => startedAt <= run.startedAt && endedAt > run.startedAt,
    );
    if (atStart.length > 1) found.push(`${task}: run ${run.run} is the third at a time`);
    const isLate = ({ end, acknowledgedAt = Infinity }: ObservedRun) =>
      end === RunEnd.Done && run.startedAt > acknowledgedAt + MAX_START_DELAY_MS;
    if (others.some(isLate))
      found.push(`${task}: run ${run.run} started after an acknowledged end`);
  }
  return found;
}

function overlap(a: ObservedRun, b: ObservedRun): boolean {
  return a.startedAt < (b.endedAt ?? Infinity) && b.startedAt < (a.endedAt ?? Infinity);
}

const parseItem = ({ value }: Row) => JSON.parse(value) as OperatorItem;
const parseWorker = ({ value }: Row) => JSON.parse(value) as WorkerRecord;

/** Creates accounts by name; undefined if there are none. */
function createAccounts(
  weights: Record<string, number> = {},
  limits: Record<string, Partial<Resources>> = {},
): Account[] | undefined {
  const names = [...new Set([...Object.keys(weights), ...Object.keys(limits)])];
  if (names.length === 0) return undefined;
  const noLimit = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  return names.map((name) => {
    const limit = { ...noLimit, ...limits[name] };
    return { name, weight: weights[name] ?? 1, limit, keyDigests: [] };
  });
}
