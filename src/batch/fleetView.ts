import { elapsedMs, type Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import type { HolderDirectory } from './holderDirectory.js';
import { NodeCallKind } from './nodeCalls.js';
import type { ListedVm, VmClient } from './ports.js';
import type { ServiceLoad, WorkerLoad } from './serviceLoad.js';

/** Timeout of the fleet service's calls to the holder of a service. */
export const HOLDER_CALL_TIMEOUT_MS = 400;

/** Dependencies of a {@link FleetView}. */
export interface FleetViewDeps {
  vms: VmClient;
  holders: HolderDirectory;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
}

/** Snapshot of the VMs listed by the vendor and of the loads reported by service holders. */
export class FleetView {
  readonly #deps: FleetViewDeps;
  #byName: ReadonlyMap<string, ListedVm> = new Map();
  #listedAt = -Infinity;
  #listedWallTime = -Infinity;
  #isComplete = false;
  #loads = new Map<string, ServiceLoad>();
  /** Load of the workers by id, for each service. */
  #workers = new Map<string, ReadonlyMap<string, WorkerLoad>>();

  constructor(deps: FleetViewDeps) {
    this.#deps = deps;
  }

  /** VMs by name, as of {@link listedAt}. */
  byName(): ReadonlyMap<string, ListedVm> {
    return this.#byName;
  }

  /** Monotonic time at which the list was requested, in milliseconds. */
  get listedAt(): number {
    return this.#listedAt;
  }

  /**
   * Milliseconds since the list was requested. Also considers wall-clock time, because the monotonic clock
   * stops while the VM is suspended.
   */
  listAgeMs(): number {
    const moment = { monotonicMs: this.#listedAt, wallMs: this.#listedWallTime };
    return elapsedMs(this.#deps.clock, moment);
  }

  /** Loads by service, without those whose holders did not respond. */
  loads(): ReadonlyMap<string, ServiceLoad> {
    return this.#loads;
  }

  /** Whether the list has every VM. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Load of a service; undefined if its holder did not respond. */
  load(service: string): ServiceLoad | undefined {
    return this.#loads.get(service);
  }

  /** Number of runs on the worker of a VM; undefined if unknown. */
  runsOn({ pool, worker }: ListedVm): number | undefined {
    if (worker === undefined) return 0;
    return this.#workers.get(pool)?.get(worker)?.runs;
  }

  /** Number of runs on the worker of a VM if none is long-running; undefined if unknown. */
  movableRunsOn({ pool, worker }: ListedVm): number | undefined {
    const load = worker === undefined ? undefined : this.#workers.get(pool)?.get(worker);
    return load?.lastingRuns === 0 && load.runs > 0 ? load.runs : undefined;
  }

  /** Refreshes the list if it is `maxAgeMs` old or older; returns false if that fails. */
  async refreshList(maxAgeMs: number): Promise<boolean> {
    const { vms, clock, log, counters } = this.#deps;
    const requestedAt = clock.now();
    const requestedWallTime = clock.wallTime();
    if (requestedAt - this.#listedAt < maxAgeMs) return true;
    const res = await vms.list();
    if (res.isErr) {
      counters.count('vm_list_failures', res.error.code);
      log.warn('vm_list_failed', { reason: res.error.code, age_ms: requestedAt - this.#listedAt });
      return false;
    }
    const { vms: listed, unreadableCount } = res.value;
    this.#isComplete = unreadableCount === 0 && listed.length > 0;
    if (!this.#isComplete) {
      counters.count('vm_list_failures', 'incomplete');
      log.warn('vm_list_incomplete', { vms: listed.length, unreadable: unreadableCount });
    }
    this.#byName = new Map(listed.map((vm) => [vm.vm, vm]));
    this.#listedAt = requestedAt;
    this.#listedWallTime = requestedWallTime;
    return true;
  }

  /** Replaces the loads with those that the holders of the services report now. */
  async refreshLoads(services: readonly string[]): Promise<void> {
    const loads = new Map<string, ServiceLoad>();
    const requestLoad = async (service: string) => {
      const call = { kind: NodeCallKind.Load, service } as const;
      const res = await this.#deps.holders.call(call, HOLDER_CALL_TIMEOUT_MS);
      if (res.isOk && res.value.load) loads.set(service, res.value.load);
    };
    await Promise.all(services.map(requestLoad));
    this.#loads = loads;
    const byId = ({ workers }: ServiceLoad) => new Map(workers.map((load) => [load.id, load]));
    this.#workers = new Map([...loads].map(([service, load]) => [service, byId(load)]));
  }
}
