import {
  backendsSchema,
  createExecutorChooser,
  createLeavingSet,
  createUsablePredicate,
  type ExecutorChooserOptions,
} from '../backends/index.js';
import {
  AdoptionSource,
  configurationDefaults,
  createConfigHistory,
  createConfigStore,
  EntityKind,
  runConfigSync,
  type ConfigStore,
  type ConfigurationSettings,
  type EntityChange,
  type Team,
} from '../configuration/index.js';
import {
  controllerDefaults,
  createControllerMetrics,
  runZoneController,
} from '../controller/index.js';
import { applyLeavingReports } from '../entry/leavingReports.js';
import { createVmProbes, allowsRetry } from '../entry/vmProbes.js';
import { InvariantError } from '../errors/index.js';
import { createEventBus, EventName, LeavingSign, type EventBus } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { createMembership, membershipSchema } from '../membership/index.js';
import { Metrics } from '../metrics/index.js';
import type { MemberInfo } from '../peers/index.js';
import { createRandom } from '../random/index.js';
import { createScheduler, schedulingSchema, type Scheduler } from '../scheduling/index.js';
import { fleetOf } from './controllerRig.js';
import { FakePeerHub } from './fakePeers.js';
import { FakePlatform } from './fakePlatform.js';
import { createVirtualClock } from './virtualClock.js';

/** Zone of the entry processes. */
const ZONE = 'z0';
/** Interval between the requests of each entry process, in milliseconds. */
const REQUEST_INTERVAL_MS = 50;
/** Run time of a request, in milliseconds. */
const RUN_MS = 10;
const TEAM = 'team';
const TEAM_ENTITY: Team = {
  ...{ id: TEAM, weight: 1, maxQueued: 500, maxRunning: 500 },
  ...{ maxUrgent: 0, maxJobs: 0 },
};
/** Longest wait for a commit, in milliseconds. */
const MAX_WAIT_MS = 60_000;
/** Interval between checks for a commit, in milliseconds. */
const STEP_MS = 10;
/** Limit of deltas per read. */
const MAX_DELTAS = 1_000;

/** A slot that a scheduler granted on a VM. */
export interface ObservedGrant {
  /** Name of the entry process. */
  member: string;
  vm: string;
  /** Virtual time in milliseconds. */
  grantedAtMs: number;
}

/** Options for {@link LeavingVmZone}. */
export interface LeavingVmZoneOptions {
  seed: number;
  /** Duration of each platform call, in milliseconds. */
  platformDelayMs: number;
  configuration?: Partial<ConfigurationSettings>;
  /** Interval between operator commits, in milliseconds; if absent, operators commit nothing. */
  operatorCommitIntervalMs?: number;
  /** Replaces the leaving set by a faulty one, to verify that the checks detect it. */
  leavingSet?: typeof createLeavingSet;
  /** Whether members use the configuration versions in heartbeats; true by default. */
  readsHeartbeatVersions?: boolean;
  /** Whether members report leaving VMs to each other; true by default. */
  reportsLeaving?: boolean;
}

/** One entry process of the zone. */
export interface LeavingVmZoneProcess {
  name: string;
  store: ConfigStore;
  /** Whether callers send requests to this process. */
  hasCallers: boolean;
}

/**
 * Entry processes of one zone with leaving VMs under virtual time. They use the real controller,
 * configuration, sync, membership, leaving set, chooser and scheduler. Each process may send to
 * each VM, as after a partition that gave the executors two owners.
 */
export class LeavingVmZone {
  readonly clock = createVirtualClock();
  readonly platform = new FakePlatform(this.clock);
  readonly hub = new FakePeerHub(this.clock, () => 1);
  readonly grants: ObservedGrant[] = [];
  readonly processes: LeavingVmZoneProcess[] = [];
  /** VMs that refuse requests and fail their probes. */
  readonly refusingVms = new Set<string>();
  readonly #options: LeavingVmZoneOptions;
  readonly #lifecycle = new Lifecycle('zone');
  readonly #operatorHistory = createConfigHistory(this.platform.client().table, {
    ...{ clock: this.clock, random: createRandom(0), metrics: new Metrics() },
    ...configurationDefaults,
    logger: silentLogger,
  });

  constructor(options: LeavingVmZoneOptions) {
    this.#options = options;
  }

  /** Commits a fleet of two pools and starts the entry processes; the first takes the lease. */
  async start(names: readonly string[]): Promise<void> {
    const shape = { zones: 1, racksPerZone: 2, vmsPerRack: 2, pools: [{}, {}] };
    const fleet = fleetOf(shape);
    await this.commitAsOperator([
      ...fleet,
      { kind: EntityKind.Team, id: TEAM, value: TEAM_ENTITY },
    ]);
    for (const { kind, value } of fleet) {
      if (kind === EntityKind.Vm && value) this.platform.addLiveVms(value.zone, [value.id]);
    }
    for (const name of names) {
      this.#startProcess(name);
      await this.clock.advance(2_000);
    }
    await this.clock.advance(10_000);
    const { operatorCommitIntervalMs } = this.#options;
    if (operatorCommitIntervalMs === undefined) return;
    const commits = this.#commitAtIntervals(operatorCommitIntervalMs);
    this.#lifecycle.own('operators', () => commits);
  }

  /** Commits a team repeatedly, so that commits of the controller run into conflicts. */
  async #commitAtIntervals(intervalMs: number): Promise<void> {
    const { signal } = this.#lifecycle;
    while (await this.clock.sleep(intervalMs, signal)) {
      await this.commitAsOperator([{ kind: EntityKind.Team, id: TEAM, value: TEAM_ENTITY }]);
    }
  }

  /** Commits changes as an operator does. */
  async commitAsOperator(changes: EntityChange[]): Promise<void> {
    const head = await this.#operatorHistory.head();
    if (head.isErr) throw head.error;
    const { version } = head.value;
    const changeSet = { changeId: `operator/${version}`, author: 'operator', changes };
    const committed = await this.#operatorHistory.commit(version, changeSet);
    if (committed.isErr) throw committed.error;
  }

  /** Advances time until a committed change meets the condition; returns the virtual time. */
  async untilCommitted(isMet: (change: EntityChange) => boolean): Promise<number> {
    for (let seen = 0, passed = 0; passed < MAX_WAIT_MS; passed += STEP_MS) {
      const deltas = await this.#operatorHistory.deltasAfter(seen, MAX_DELTAS);
      const changes = deltas.isOk ? deltas.value.flatMap((delta) => delta.changes) : [];
      if (changes.some(isMet)) return this.clock.now();
      seen = deltas.isOk ? (deltas.value.at(-1)?.version ?? seen) : seen;
      await this.clock.advance(STEP_MS);
    }
    throw new InvariantError(`no matching change was committed within ${MAX_WAIT_MS} ms`);
  }

  /** Stops all processes. */
  async close(): Promise<void> {
    const closing = this.#lifecycle.close();
    await this.clock.advance(60_000);
    await closing;
  }

  #startProcess(name: string): void {
    const { clock } = this;
    const {
      seed,
      platformDelayMs,
      configuration,
      readsHeartbeatVersions = true,
      reportsLeaving = true,
    } = this.#options;
    const lifecycle = this.#lifecycle.child(name);
    const events = createEventBus();
    const metrics = new Metrics();
    const random = createRandom(seed * 10_007 + this.processes.length);
    const shared = { clock, random, logger: silentLogger, metrics, events };
    const settings = { ...configurationDefaults, ...configuration };
    const platform = this.platform.client({
      down: false,
      loseAnswers: 0,
      delayMs: platformDelayMs,
    });
    const store = createConfigStore({ ...shared, ...settings });
    const history = createConfigHistory(platform.table, { ...shared, ...settings });
    const network = this.hub.join(memberInfo(name));
    const isHealthy = (vm: string) => Promise.resolve(!this.refusingVms.has(vm));
    const probes = createVmProbes({ ...shared, view: store.view, zone: ZONE, probe: isHealthy });
    const mayReturn = (vm: string) => allowsRetry(probes.lastProbe(vm));
    const { leaving, scheduler } = this.#createRequestComponents(
      shared,
      store,
      mayReturn,
      lifecycle,
    );
    const membership = createMembership({
      ...shared,
      network,
      settings: membershipSchema.parse({}),
      heartbeat: {
        configVersion: () => store.view.version,
        load: () => scheduler.load(),
        draining: () => [],
        leaving: () => (reportsLeaving ? leaving.locallyObserved() : []),
      },
    });
    applyLeavingReports(membership, leaving);
    let holdsLease = false;
    events.on(EventName.LeaseChanged, ({ held }) => void (holdsLease = held));
    const sync = runConfigSync(
      {
        ...{ ...shared, store, history, network, settings },
        peers: () => membership.members().map(({ info }) => info),
        onPeerVersion: (listener) =>
          membership.onHeartbeat((member, { configVersion }) => {
            if (readsHeartbeatVersions) listener(member.info, configVersion);
          }),
        isLeaseHolder: () => holdsLease,
      },
      lifecycle,
    );
    const controller = runZoneController(
      {
        ...shared,
        ...{ zone: ZONE, holder: name, membership, platform },
        config: {
          view: store.view,
          history,
          adopt: (deltas) => {
            for (const delta of deltas) store.adoptDelta(delta, AdoptionSource.Local);
          },
        },
        settings: controllerDefaults,
        metrics: createControllerMetrics(metrics),
        vacate: () => Promise.resolve(true),
        inFlight: () => 0,
        probe: (vm) => probes.probe(vm),
        lastProbe: (vm) => probes.lastProbe(vm),
      },
      lifecycle,
    );
    const process = { name, store, hasCallers: true };
    this.processes.push(process);
    const tasks = [sync, controller, membership.run(lifecycle), probes.run(lifecycle)];
    tasks.push(this.#sendRequests(process, scheduler, events, lifecycle.signal));
    lifecycle.own('tasks', async () => {
      await Promise.all(tasks);
    });
  }

  #createRequestComponents(
    shared: Pick<ExecutorChooserOptions, 'random'> & { metrics: Metrics; events: EventBus },
    { view }: ConfigStore,
    mayReturn: (vm: string) => boolean,
    lifecycle: Lifecycle,
  ) {
    const { clock } = this;
    const { random, metrics, events } = shared;
    const settings = backendsSchema.parse({});
    const createSet = this.#options.leavingSet ?? createLeavingSet;
    const leaving = createSet({
      ...{ clock, bus: events, view, metrics, settings, lifecycle },
      mayReturn,
    });
    const isLeaving = (vm: string) => leaving.has(vm);
    const chooser: ExecutorChooserOptions = { random, weight: () => 1, isLeaving };
    const scheduler = createScheduler({
      ...{ clock, metrics, settings: schedulingSchema.parse({}) },
      service: (id) => view.get(EntityKind.Service, id),
      team: (id) => view.get(EntityKind.Team, id),
      choose: createExecutorChooser(chooser),
      usable: createUsablePredicate(chooser),
    });
    events.on(EventName.ConfigInForce, () => {
      const vms = view.list(EntityKind.Vm).filter(({ id }) => view.poolOf(id) === 'p0');
      scheduler.setExecutors(vms.map(({ id }) => ({ vm: id, service: 's-p0', slots: 8 })));
    });
    return { leaving, scheduler };
  }

  async #sendRequests(
    process: LeavingVmZoneProcess,
    scheduler: Scheduler,
    events: EventBus,
    signal: AbortSignal,
  ): Promise<void> {
    for (let i = 0; !signal.aborted; i += 1) {
      if (process.hasCallers) void this.#sendRequest(process.name, i, scheduler, events);
      await this.clock.sleep(REQUEST_INTERVAL_MS, signal);
    }
    scheduler.close();
  }

  /** Sends one request; reports a refusal by the VM in the same way as the request path. */
  async #sendRequest(member: string, i: number, scheduler: Scheduler, events: EventBus) {
    const granted = await scheduler.submit({
      ...{ requestId: `${member}/${i}`, service: 's-p0', team: TEAM, urgent: false },
      ...{ operation: 'work', deadline: this.clock.now() + 5_000 },
      signal: new AbortController().signal,
    });
    if (granted.isErr) return;
    const { vm } = granted.value;
    this.grants.push({ member, vm, grantedAtMs: this.clock.now() });
    if (this.refusingVms.has(vm)) {
      void events.emit(EventName.VmLeaving, { vm, sign: LeavingSign.OwnRefusal });
      granted.value.release();
      return;
    }
    await this.clock.sleep(RUN_MS);
    granted.value.release(RUN_MS);
  }
}

function memberInfo(name: string): MemberInfo {
  return { name, incarnation: name, zone: ZONE, host: '127.0.0.1', port: 1, startedAt: 0 };
}
