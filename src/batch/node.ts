import { KeyRegistry, type AccountRules } from '../accounts/index.js';
import type { BusyMeter, Clock, Moment } from '../clock/index.js';
import { toError } from '../errors/index.js';
import { JobExplainer, type ExplainRequest, type JobExplanation } from '../explain/index.js';
import {
  Supervisor,
  RestartPolicy,
  supervisorDefaults,
  type Lifecycle,
} from '../lifecycle/index.js';
import type { Random } from '../random/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog, LogFields } from './decisionLog.js';
import { follow, type ChangeSource } from './follow.js';
import { Gateway } from './gateway.js';
import { Holder } from './holder.js';
import { HolderDirectory } from './holderDirectory.js';
import { JobIds } from './jobIds.js';
import type { NodeTransport } from './links.js';
import { decodeNodeCall, NodeCallError, NodeCallErrorCode } from './nodeCalls.js';
import { FLEET_SERVICE, Ownership, type Claim } from './ownership.js';
import { MonitoredStore } from './monitoredStore.js';
import { nodeWeight, type NodeResources } from './nodeWeight.js';
import type { AdviceClient, RowStore, VmClient, WorkerClient } from './ports.js';
import { answerRelayCall, isRelayCall, RelayedStore } from '../storeRelay/index.js';
import type { BatchConfig, Features, WaveSpec, WorkerRecord } from './types.js';
import { FleetController } from './fleetController.js';
import { QueueAssignments } from './queueAssignments.js';
import type { RequestedWave, WaveStatusStore } from './upkeep.js';
import { WorkerRegistry } from './workerRegistry.js';

/** Long-poll duration of the operator feed; below the 2 s within which changes must take effect. */
const OPERATOR_FEED_WAIT_MS = 1_000;
/**
 * The same where client accounts are used. Without changes, the configuration is known to be the
 * newest for up to twice this and a response time, which has to stay below the 2 s after which an
 * unknown key is no longer answered as such.
 */
const ACCOUNTS_FEED_WAIT_MS = 700;

/** Maximum time for finishing orders to the vendor before a planned stop. */
const VM_ORDERS_LIMIT_MS = 1_500;

/** An operator row: a configuration or a maintenance wave. */
export interface OperatorItem {
  config?: BatchConfig;
  wave?: WaveSpec;
}

/** Tables that are shared with operators and workers. */
export interface SharedTables {
  board: WaveStatusStore;
  operator: ChangeSource<OperatorItem>;
  registry: ChangeSource<WorkerRecord>;
}

/** Dependencies of a {@link BatchNode}. */
export interface BatchNodeDeps {
  store: RowStore;
  workers: WorkerClient;
  vms: VmClient;
  advice: AdviceClient;
  /** Creates what the node reads and writes in tables of others, on its path to the store. */
  tables: (store: RowStore) => SharedTables;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  counters: Counters;
  node: string;
  /** Unique per start of the process. */
  incarnation: string;
  resources: NodeResources;
  /** Rules for client accounts; undefined where a deployment has none. */
  accountRules?: AccountRules;
  /** Factor by which a task runs longer away from its data or its group; 1 if undefined. */
  remoteSlowdown?: number;
  /** Features that the settings of the deployment enable; none if undefined. */
  features?: Features;
  /** Time in milliseconds that a task needs to resume from a checkpoint; undefined if unknown. */
  resumeCostMs?: number;
  /** Creates meters of how busy the process is; undefined where that is not measured. */
  createBusyMeter?: () => BusyMeter;
  transport: NodeTransport;
}

/** A batch node: answers callers and holds some of the services. */
export class BatchNode {
  readonly gateway: Gateway;
  readonly #deps: BatchNodeDeps & SharedTables;
  /** The store by this node's own path. */
  readonly #directStore: MonitoredStore;
  readonly #store: MonitoredStore;
  readonly #ownership: Ownership;
  readonly #directory: HolderDirectory;
  readonly #holders = new Map<string, Holder>();
  readonly #waves = new Map<string, RequestedWave>();
  readonly #registry: WorkerRegistry;
  readonly #keys: KeyRegistry;
  readonly #assignments: QueueAssignments;
  readonly #ids: JobIds;
  readonly #explainer: JobExplainer;
  readonly #holderLifecycles = new Map<string, Lifecycle>();
  #config: BatchConfig | undefined;
  #isLeaving = false;

  constructor(nodeDeps: BatchNodeDeps) {
    this.#directStore = new MonitoredStore(nodeDeps.store, nodeDeps.clock);
    this.#store = nodeDeps.features?.relaysStore
      ? new MonitoredStore(this.#createRelayedStore(nodeDeps), nodeDeps.clock)
      : this.#directStore;
    const deps = { ...nodeDeps, ...nodeDeps.tables(this.#store), store: this.#store };
    this.#deps = deps;
    this.#registry = new WorkerRegistry(deps);
    this.#keys = new KeyRegistry({ clock: deps.clock, rules: deps.accountRules });
    this.#ownership = new Ownership({
      ...deps,
      address: deps.transport.address,
      weight: nodeWeight(deps.resources),
      services: () => this.#services(),
    });
    this.#directory = new HolderDirectory(this.#ownership, deps.transport, this.#holders);
    const config = () => this.#config;
    this.#assignments = new QueueAssignments({ ...deps, config });
    const ids = { assignments: this.#assignments, keys: this.#keys };
    this.#ids = new JobIds({ ...deps, ...ids });
    this.gateway = new Gateway({
      ...deps,
      ids: this.#ids,
      config,
      holders: this.#directory,
      keys: this.#keys,
      assignments: this.#assignments,
    });
    this.#explainer = new JobExplainer({
      clock: deps.clock,
      node: deps.node,
      config,
      gateway: this.gateway,
      holders: this.#directory,
      keys: this.#keys,
    });
  }

  /** Explains what would be done with a job now, without submitting it. */
  explain(request: ExplainRequest): Promise<JobExplanation> {
    return this.#explainer.explain(request);
  }

  #createRelayedStore({ transport, clock, random, log, counters }: BatchNodeDeps): RelayedStore {
    const peers = () => this.#ownership.peerAddresses();
    const shared = { transport, clock, random, log, counters };
    return new RelayedStore({ ...shared, direct: this.#directStore, peers });
  }

  /** Configuration that is active on this node. */
  get config(): BatchConfig | undefined {
    return this.#config;
  }

  /** Whether this node is ready to serve callers. */
  get isReady(): boolean {
    if (this.#isLeaving || this.#config === undefined) return false;
    return this.#ownership.isStoreReachable() && !this.#store.isSuspect();
  }

  /** Whether this node holds a service and has loaded its jobs. */
  hasLoadedService(service: string): boolean {
    return this.#holders.get(service)?.isLoaded === true;
  }

  /** Whether this node sends the VM orders to the vendor. */
  get holdsFleetService(): boolean {
    return this.#ownership.holds(FLEET_SERVICE);
  }

  #services(): string[] {
    const names = this.#config?.services.map(({ name }) => name) ?? [];
    return this.#config ? [...names, FLEET_SERVICE] : [];
  }

  /** Runs until the lifecycle is closed. Rejects when a supervised task keeps failing. */
  async run(lifecycle: Lifecycle): Promise<void> {
    const { clock, random, log, counters, transport } = this.#deps;
    const supervisor = new Supervisor(lifecycle, {
      ...supervisorDefaults,
      clock,
      random,
      logger: {
        warn: (fields: object) => {
          log.warn('child_failed', fields as LogFields);
        },
      },
      onFailure: (child) => {
        counters.count('child_failures', child);
      },
    });
    this.#ownership.events.on('claimed', (claim) => {
      this.#startHolder(claim, supervisor);
    });
    this.#ownership.events.on('lost', ({ service }) => this.#stopHolder(service));
    await transport.listen((body) => this.#answer(body), lifecycle);
    const policy = RestartPolicy.Permanent;
    const tasks = {
      operator: (signal: AbortSignal) => this.#followOperator(signal),
      registry: (signal: AbortSignal) => this.#registry.run(signal),
      ownership: (signal: AbortSignal) => this.#ownership.run(signal),
    };
    for (const [name, task] of Object.entries(tasks)) {
      supervisor.start({ name, policy, run: (taskLifecycle) => task(taskLifecycle.signal) });
    }
    const closed = new Promise<void>((resolve) => {
      lifecycle.signal.addEventListener('abort', () => {
        resolve();
      });
    });
    await Promise.race([closed, supervisor.failed]);
  }

  /** Answers a call from another node. */
  async #answer(body: unknown): Promise<unknown> {
    if (isRelayCall(body)) {
      const answer = await answerRelayCall(body, this.#directStore);
      if (answer) return answer;
    }
    const call = decodeNodeCall(body);
    if (call) return this.#directory.answer(call);
    throw new NodeCallError(NodeCallErrorCode.Malformed, 'a call from another node is malformed');
  }

  #followOperator(signal: AbortSignal): Promise<void> {
    const { operator: source, clock, log, counters } = this.#deps;
    const apply = (
      { items }: { items: OperatorItem[] },
      _isFullRead: boolean,
      sentAt: Moment,
    ): void => {
      for (const { config, wave } of items) {
        if (config) this.#applyConfig(config);
        if (wave) {
          const seenAt = this.#waves.get(wave.id)?.seenAt ?? clock.now();
          this.#waves.set(wave.id, { spec: wave, seenAt });
        }
      }
      this.#keys.confirm(sentAt);
    };
    const waitMs = () => (this.#keys.isInUse ? ACCOUNTS_FEED_WAIT_MS : OPERATOR_FEED_WAIT_MS);
    const waits = { waitMs, pauseMs: 0 };
    return follow({ name: 'operator', source, clock, log, counters, ...waits, apply }, signal);
  }

  /** Applies a configuration if it is newer than the active one; others come from delayed reads. */
  #applyConfig(config: BatchConfig): void {
    if (this.#config && config.version <= this.#config.version) return;
    const { version, queues, services, accounts } = config;
    this.#deps.log.info('config_in_force', {
      version,
      before: this.#config?.version,
      queues: queues.length,
      services: services.length,
      accounts: accounts?.length,
    });
    this.#config = config;
    this.#keys.apply(version, accounts);
    this.#assignments.prefetch();
  }

  #startHolder(claim: Claim, supervisor: Supervisor): void {
    const { service } = claim;
    void this.#stopHolder(service);
    const policy = RestartPolicy.OnFailure;
    const run =
      service === FLEET_SERVICE ? this.#createFleetTask(claim) : this.#createHolderTask(claim);
    const holderLifecycle = supervisor.start({ name: `hold ${service}`, policy, run });
    this.#holderLifecycles.set(service, holderLifecycle);
  }

  #createHolderTask(claim: Claim): (lifecycle: Lifecycle) => Promise<void> {
    const ownership = this.#ownership;
    return async (lifecycle) => {
      if (!(await this.#registry.use(lifecycle))) return;
      const holder = new Holder(claim, {
        ...this.#deps,
        config: () => this.#config,
        registered: () => this.#registry.records(),
        store: this.#store,
        ids: this.#ids,
        canStart: () => ownership.canStart(),
        canExtend: () => ownership.canExtend(),
        usesAccounts: () => this.#keys.isInUse,
        onLost: (reason) => {
          ownership.endClaim(claim, reason);
        },
      });
      this.#holders.set(claim.service, holder);
      lifecycle.own('holder entry', () => {
        if (this.#holders.get(claim.service) === holder) this.#holders.delete(claim.service);
      });
      await holder.run(lifecycle);
    };
  }

  #createFleetTask(claim: Claim): (lifecycle: Lifecycle) => Promise<void> {
    const controller = new FleetController({
      ...this.#deps,
      claim,
      holders: this.#directory,
      waves: () => this.#waves.values(),
      services: () => this.#config?.services ?? [],
      relocatesRuns: this.#deps.features?.relocatesRuns ?? false,
      canStart: () => this.#ownership.canStart() && this.#ownership.holds(FLEET_SERVICE),
    });
    return (lifecycle) => controller.run(lifecycle.signal);
  }

  async #stopHolder(service: string): Promise<void> {
    const lifecycle = this.#holderLifecycles.get(service);
    this.#holderLifecycles.delete(service);
    this.#holders.delete(service);
    try {
      await lifecycle?.close();
    } catch (err) {
      this.#deps.log.warn('holder_close_failed', { service, error: toError(err).message });
    }
  }

  /** Waits for the orders to the vendor that are in progress, so that a successor repeats none. */
  async #finishVmOrders(): Promise<void> {
    const { clock } = this.#deps;
    const limit = clock.sleep(VM_ORDERS_LIMIT_MS);
    await Promise.race([this.#stopHolder(FLEET_SERVICE), limit]);
  }

  /**
   * Reports this node as not ready and releases its services, before a planned stop.
   *
   * @param limitMs - maximum time in milliseconds to keep the services while the store is
   *   unavailable
   */
  async leave(limitMs: number): Promise<void> {
    this.#isLeaving = true;
    if (this.holdsFleetService) await this.#finishVmOrders();
    await this.#ownership.leave(limitMs);
  }
}
