import type { Clock } from '../clock/index.js';
import { toError } from '../errors/index.js';
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
import type { NodeTransport } from './links.js';
import type { NodeCall } from './nodeCalls.js';
import { FLEET_DUTY, Ownership, type Claim } from './ownership.js';
import { MonitoredStore } from './monitoredStore.js';
import { nodeWeight, type NodeResources } from './nodeWeight.js';
import type { AdviceClient, RowStore, VmClient, WorkerClient } from './ports.js';
import type { BatchConfig, WaveSpec, WorkerRecord } from './types.js';
import { FleetController } from './fleetController.js';
import type { WaveStatusStore } from './upkeep.js';
import { WorkerRegistry } from './workerRegistry.js';

/** Wait of the call that follows what operators write; below the bound of 2 s for a change. */
const OPERATOR_FEED_WAIT_MS = 1_000;

/** What operators wrote: a configuration or a wave. */
export interface OperatorItem {
  config?: BatchConfig;
  wave?: WaveSpec;
}

/** Needs of a {@link BatchNode}. */
export interface BatchNodeDeps {
  store: RowStore;
  workers: WorkerClient;
  vms: VmClient;
  advice: AdviceClient;
  board: WaveStatusStore;
  operator: ChangeSource<OperatorItem>;
  registry: ChangeSource<WorkerRecord>;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  counters: Counters;
  node: string;
  /** Differs for each life of the process. */
  incarnation: string;
  resources: NodeResources;
  transport: NodeTransport;
}

/** One node: answers callers and holds a share of the services. */
export class BatchNode {
  readonly gateway: Gateway;
  readonly #deps: BatchNodeDeps;
  readonly #store: MonitoredStore;
  readonly #ownership: Ownership;
  readonly #directory: HolderDirectory;
  readonly #holders = new Map<string, Holder>();
  readonly #waves = new Map<string, WaveSpec>();
  readonly #registry: WorkerRegistry;
  readonly #lifecycles = new Map<string, Lifecycle>();
  #config: BatchConfig | undefined;
  #isLeaving = false;

  constructor(given: BatchNodeDeps) {
    this.#store = new MonitoredStore(given.store, given.clock);
    const deps = { ...given, store: this.#store };
    this.#deps = deps;
    this.#registry = new WorkerRegistry(deps);
    this.#ownership = new Ownership({
      ...deps,
      address: deps.transport.address,
      weight: nodeWeight(deps.resources),
      services: () => this.#services(),
    });
    this.#directory = new HolderDirectory(this.#ownership, deps.transport, this.#holders);
    this.gateway = new Gateway({
      ...deps,
      store: this.#store,
      config: () => this.#config,
      holders: this.#directory,
    });
  }

  /** The configuration in force here. */
  get config(): BatchConfig | undefined {
    return this.#config;
  }

  /** Whether callers are served well here. */
  get isReady(): boolean {
    if (this.#isLeaving || this.#config === undefined) return false;
    return this.#ownership.isStoreReachable() && !this.#store.isSuspect();
  }

  /** Whether this node holds a service and has loaded its jobs. */
  holdsLoaded(service: string): boolean {
    return this.#holders.get(service)?.isLoaded === true;
  }

  /** Whether this node gives the orders to the vendor. */
  get holdsFleet(): boolean {
    return this.#ownership.holds(FLEET_DUTY);
  }

  #services(): string[] {
    const names = this.#config?.services.map(({ name }) => name) ?? [];
    return this.#config ? [...names, FLEET_DUTY] : [];
  }

  /** Serves until the life cycle is closed. Rejects when a part keeps failing. */
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
      this.#startHolding(claim, supervisor);
    });
    this.#ownership.events.on('lost', ({ service }) => this.#stopHolding(service));
    const answer = (body: unknown) => this.#directory.answer(body as NodeCall);
    await transport.listen(answer, lifecycle);
    const policy = RestartPolicy.Permanent;
    const tasks = {
      operator: (signal: AbortSignal) => this.#followOperator(signal),
      registry: (signal: AbortSignal) => this.#registry.run(signal),
      ownership: (signal: AbortSignal) => this.#ownership.run(signal),
    };
    for (const [name, task] of Object.entries(tasks)) {
      supervisor.start({ name, policy, run: (own) => task(own.signal) });
    }
    const closed = new Promise<void>((resolve) => {
      lifecycle.signal.addEventListener('abort', () => {
        resolve();
      });
    });
    await Promise.race([closed, supervisor.failed]);
  }

  #followOperator(signal: AbortSignal): Promise<void> {
    const { operator: source, clock, log, counters } = this.#deps;
    const apply = ({ items }: { items: OperatorItem[] }) => {
      for (const { config, wave } of items) {
        if (config) this.#applyConfig(config);
        if (wave) this.#waves.set(wave.id, wave);
      }
    };
    const waits = { waitMs: OPERATOR_FEED_WAIT_MS, pauseMs: 0 };
    return follow({ name: 'operator', source, clock, log, counters, ...waits, apply }, signal);
  }

  /** A version below the one in force is an older read that arrived late. */
  #applyConfig(config: BatchConfig): void {
    if (this.#config && config.version <= this.#config.version) return;
    const { version, queues, services } = config;
    this.#deps.log.info('config_in_force', {
      version,
      before: this.#config?.version,
      queues: queues.length,
      services: services.length,
    });
    this.#config = config;
  }

  #startHolding(claim: Claim, supervisor: Supervisor): void {
    const { service } = claim;
    void this.#stopHolding(service);
    const policy = RestartPolicy.OnFailure;
    const run = service === FLEET_DUTY ? this.#fleetTask(claim) : this.#holderTask(claim);
    const own = supervisor.start({ name: `hold ${service}`, policy, run });
    this.#lifecycles.set(service, own);
  }

  #holderTask(claim: Claim): (lifecycle: Lifecycle) => Promise<void> {
    const ownership = this.#ownership;
    return async (lifecycle) => {
      if (!(await this.#registry.use(lifecycle))) return;
      const holder = new Holder(claim, {
        ...this.#deps,
        config: () => this.#config,
        registered: () => this.#registry.records(),
        store: this.#store,
        canStart: () => ownership.canStart(),
        canExtend: () => ownership.canExtend(),
        onLost: (service, reason) => {
          ownership.lose(service, reason);
        },
      });
      this.#holders.set(claim.service, holder);
      lifecycle.own('holder entry', () => {
        if (this.#holders.get(claim.service) === holder) this.#holders.delete(claim.service);
      });
      await holder.run(lifecycle);
    };
  }

  #fleetTask(claim: Claim): (lifecycle: Lifecycle) => Promise<void> {
    const duty = new FleetController({
      ...this.#deps,
      claim,
      holders: this.#directory,
      waves: () => this.#waves.values(),
      services: () => this.#config?.services ?? [],
      canStart: () => this.#ownership.canStart() && this.#ownership.holds(FLEET_DUTY),
    });
    return (lifecycle) => duty.run(lifecycle.signal);
  }

  async #stopHolding(service: string): Promise<void> {
    const lifecycle = this.#lifecycles.get(service);
    this.#lifecycles.delete(service);
    this.#holders.delete(service);
    try {
      await lifecycle?.close();
    } catch (err) {
      this.#deps.log.warn('holder_close_failed', { service, error: toError(err).message });
    }
  }

  /**
   * Stops taking callers and gives the services back, before a planned stop.
   *
   * @param limitMs - how long to hold on to the services while the store is away, in milliseconds
   */
  async leave(limitMs: number): Promise<void> {
    this.#isLeaving = true;
    await this.#ownership.leave(limitMs);
  }
}
