import type { DecisionLog } from './decisionLog.js';
import type { FleetView } from './fleetView.js';
import type { HolderDirectory } from './holderDirectory.js';
import { NodeCallKind } from './nodeCalls.js';
import { VmState } from './ports.js';
import type { Service } from './types.js';
import type { VacateOptions, VacateStatus } from './vacating.js';

/** A VM that is emptied before an order to the vendor. */
export interface EmptiedVm {
  vm: string;
  /** Service whose pool it is in. */
  pool: string;
  /** Id of the worker with which it was last listed, if any. */
  worker?: string;
}

/** Dependencies of {@link VmEmptying}. */
export interface VmEmptyingDeps {
  view: Pick<FleetView, 'byName' | 'listAgeMs'>;
  holders: Pick<HolderDirectory, 'call'>;
  log: DecisionLog;
  services: () => readonly Service[];
  /** Timeout of calls to the holder of a service, in milliseconds. */
  callTimeoutMs: number;
}

/**
 * Asks the holders of services to empty VMs. A VM is followed by the vendor's list, because its worker may
 * crash and be replaced by one with another id while the VM is being emptied.
 */
export class VmEmptying {
  readonly #deps: VmEmptyingDeps;

  constructor(deps: VmEmptyingDeps) {
    this.#deps = deps;
  }

  /** Id of the worker with which a VM is listed; the earlier one while the VM is not up. */
  workerOf({ vm, worker: earlier }: EmptiedVm): string | undefined {
    const listed = this.#deps.view.byName().get(vm);
    if (listed?.state !== VmState.Up || listed.worker === earlier) return earlier;
    this.#deps.log.info('vm_worker_replaced', { vm, worker: listed.worker, earlier });
    return listed.worker;
  }

  /**
   * Asks the holder of a VM's pool to empty it.
   *
   * @returns progress; undefined when the holder did not answer
   */
  async request(
    { vm, pool, worker }: EmptiedVm,
    how: VacateOptions,
  ): Promise<VacateStatus | undefined> {
    const { view, holders, callTimeoutMs } = this.#deps;
    // No tasks are placed on VMs that are switched off, or that no service has.
    if (worker === undefined && !this.#isInUse(pool)) return { isReady: true, runs: 0 };
    const listed = { vm, worker, listAgeMs: view.listAgeMs() };
    const call = { kind: NodeCallKind.Vacate, service: pool, ...listed, ...how } as const;
    const res = await holders.call(call, callTimeoutMs);
    return res.isOk ? res.value.vacating : undefined;
  }

  /** Tells the holder that a VM is no longer emptied, so that its worker gets tasks again. */
  async readmit({ vm, pool }: EmptiedVm): Promise<void> {
    if (!this.#isInUse(pool)) return;
    const call = { kind: NodeCallKind.Readmit, service: pool, vm } as const;
    await this.#deps.holders.call(call, this.#deps.callTimeoutMs);
  }

  /** Tells the holder that planned work has ended all runs on the worker of a VM. */
  async reportEnded({ vm, pool, worker }: EmptiedVm): Promise<void> {
    if (worker === undefined && !this.#isInUse(pool)) return;
    const call = { kind: NodeCallKind.RunsEnded, service: pool, vm, worker } as const;
    await this.#deps.holders.call(call, this.#deps.callTimeoutMs);
  }

  /** Whether a pool has a service that places tasks on its VMs. */
  #isInUse(pool: string): boolean {
    return this.#deps.services().some(({ name, isStandby }) => name === pool && !isStandby);
  }
}
