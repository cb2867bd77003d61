import type { Clock } from '../clock/index.js';
import { DepartedWorkers } from '../pools/index.js';
import { FleetView, HOLDER_CALL_TIMEOUT_MS, type FleetViewDeps } from './fleetView.js';
import { NodeCallKind } from './nodeCalls.js';
import { VmMover } from './vmMover.js';
import type { Claim } from './ownership.js';
import type { RowStore } from './ports.js';
import type { Service } from './types.js';
import { MaintenanceWaves, type RequestedWave, type WaveStatusStore } from './upkeep.js';

const ROUND_INTERVAL_MS = 120;
/** Maximum age of the VM list while moves or maintenance are in progress. */
const BUSY_LIST_AGE_MS = 450;
/** Maximum age of the VM list while neither is in progress. */
const IDLE_LIST_AGE_MS = 2_500;
/**
 * Delay before the first order after a takeover from a holder that expired without a release. It
 * sent its last order before it expired; the delay covers an order that is still in transit.
 */
const TAKEOVER_WAIT_MS = 800;

/** Dependencies of {@link FleetController}. */
export interface FleetControllerDeps extends FleetViewDeps {
  claim: Claim;
  store: RowStore;
  board: WaveStatusStore;
  clock: Clock;
  services: () => readonly Service[];
  waves: () => Iterable<RequestedWave>;
  /** Whether VMs with runs may be taken from a pool that has more than it needs. */
  relocatesRuns: boolean;
  /** Whether orders may be sent to the vendor. */
  canStart: () => boolean;
}

/**
 * Sends all orders to the VM vendor, for maintenance waves and for moves between pools. Only one
 * node runs it at a time.
 */
export class FleetController {
  readonly #deps: FleetControllerDeps;
  readonly #view: FleetView;
  readonly #maintenance: MaintenanceWaves;
  readonly #mover: VmMover;
  readonly #departed = new DepartedWorkers();

  constructor(deps: FleetControllerDeps) {
    this.#deps = deps;
    this.#view = new FleetView(deps);
    this.#maintenance = new MaintenanceWaves({ ...deps, view: this.#view });
    this.#mover = new VmMover({ ...deps, view: this.#view, epoch: deps.claim.epoch });
  }

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, claim } = this.#deps;
    const mayOverlap = claim.staleOrderWindowMs > 0;
    if (mayOverlap && !(await clock.sleep(TAKEOVER_WAIT_MS, signal))) return;
    do await this.#round();
    while (await clock.sleep(ROUND_INTERVAL_MS, signal));
  }

  async #round(): Promise<void> {
    const { canStart, services, clock } = this.#deps;
    await this.#maintenance.openWaves();
    if (!canStart()) return;
    const names = services()
      .filter(({ isStandby }) => !isStandby)
      .map(({ name }) => name);
    await this.#view.refreshLoads(names);
    const now = clock.now();
    this.#departed.observe(this.#view.loads(), now);
    const needsList = this.#departed.needsList(this.#view.listedAt, now);
    const isBusy = needsList || this.#maintenance.isBusy || this.#mover.isBusy;
    if (!(await this.#view.refreshList(isBusy ? BUSY_LIST_AGE_MS : IDLE_LIST_AGE_MS))) return;
    await this.#maintenance.round((vm) => this.#mover.isMoving(vm));
    await this.#mover.round(this.#maintenance.vms());
    // After both, which tell holders which departures were planned and thus no crashes.
    await this.#reportDepartedWorkers();
  }

  /** Tells the holders which of their silent workers have left, so that they do not wait for them. */
  async #reportDepartedWorkers(): Promise<void> {
    const { canStart, holders, log } = this.#deps;
    if (!this.#view.isComplete) return;
    const found = this.#departed.find(this.#view.byName().values(), this.#view.listedAt);
    // After a suspension of this VM, its list may be older than the monotonic clock says.
    if (found.length === 0 || !canStart()) return;
    await Promise.all(
      found.map((departed) => {
        log.info('worker_not_listed', { ...departed });
        return holders.call({ kind: NodeCallKind.WorkerGone, ...departed }, HOLDER_CALL_TIMEOUT_MS);
      }),
    );
  }
}
