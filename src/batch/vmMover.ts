import type { Clock } from '../clock/index.js';
import {
  planMoves,
  type BalancedService,
  type BalancedVm,
  type PlannedMove,
} from '../pools/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { HOLDER_CALL_TIMEOUT_MS, type FleetView } from './fleetView.js';
import type { HolderDirectory } from './holderDirectory.js';
import { VmOrderAnswer, VmState, type VmClient } from './ports.js';
import type { Service } from './types.js';
import { VmEmptying, type EmptiedVm } from './vmEmptying.js';

/** Time after which a move is cancelled if the VM's worker has not become empty. */
const VACATE_TIMEOUT_MS = 800;
/** The same for a worker that had runs when the move was planned; most short tasks end within it. */
const RELOCATE_TIMEOUT_MS = 3_000;
/** Time after which a move is dropped if the VM has not arrived in its new pool. */
const ARRIVAL_TIMEOUT_MS = 6_000;
/** How long a VM is excluded from further moves after one was cancelled or refused. */
const REFUSED_PAUSE_MS = 2_000;
/** Interval at which the inputs of move planning are logged for each service. */
const STATE_LOG_INTERVAL_MS = 1_000;

interface Move extends PlannedMove {
  /** Monotonic time at which it was planned, in milliseconds. */
  startedAt: number;
  /** Monotonic time at which the vendor was called, in milliseconds. */
  orderedAt?: number;
  /** Whether the vendor accepted the order. */
  isConfirmed: boolean;
  /** Whether the holder of the old pool was notified that all runs on the worker have ended. */
  isHolderNotified: boolean;
}

/** Dependencies of a {@link VmMover}. */
export interface VmMoverDeps {
  epoch: number;
  vms: VmClient;
  view: FleetView;
  holders: HolderDirectory;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  services: () => readonly Service[];
  /** Whether VMs with runs may be taken from a pool that has more than it needs. */
  relocatesRuns: boolean;
  /** Whether orders may be sent to the vendor. */
  canStart: () => boolean;
}

/** Moves VMs between pools. A VM is emptied before it is moved. */
export class VmMover {
  readonly #deps: VmMoverDeps;
  readonly #emptying: VmEmptying;
  readonly #moves = new Map<string, Move>();
  /** Monotonic time since which each VM has been empty, in milliseconds. */
  readonly #emptySince = new Map<string, number>();
  /** Monotonic time before which a VM is not moved again, in milliseconds. */
  readonly #pausedUntil = new Map<string, number>();
  #stateLoggedAt = -Infinity;

  constructor(deps: VmMoverDeps) {
    this.#deps = deps;
    this.#emptying = new VmEmptying({ ...deps, callTimeoutMs: HOLDER_CALL_TIMEOUT_MS });
  }

  /** Whether a VM is being moved. */
  isMoving(vm: string): boolean {
    return this.#moves.has(vm);
  }

  /** Whether any move is in progress. */
  get isBusy(): boolean {
    return this.#moves.size > 0;
  }

  /** Advances moves and plans new ones; VMs in `excluded` are under maintenance. */
  async round(excluded: ReadonlySet<string>): Promise<void> {
    this.#removeFinishedMoves();
    await Promise.all([...this.#moves.values()].map((move) => this.#advance(move)));
    const { clock, log } = this.#deps;
    for (const move of this.#plan(excluded)) {
      const started = { startedAt: clock.now(), isConfirmed: false, isHolderNotified: false };
      this.#moves.set(move.vm, { ...move, ...started });
      log.info('move_planned', { vm: move.vm, from: move.from, to: move.to, worker: move.worker });
    }
    await Promise.all([...this.#moves.values()].map((move) => this.#advance(move)));
  }

  #plan(excluded: ReadonlySet<string>): PlannedMove[] {
    const { view, services, clock, relocatesRuns } = this.#deps;
    const now = clock.now();
    const vms: BalancedVm[] = [];
    for (const vm of view.byName().values()) {
      const isEmpty = view.runsOn(vm) === 0;
      if (!isEmpty) this.#emptySince.delete(vm.vm);
      else if (!this.#emptySince.has(vm.vm)) this.#emptySince.set(vm.vm, now);
      if (excluded.has(vm.vm) || this.#moves.has(vm.vm)) continue;
      const isPaused = (this.#pausedUntil.get(vm.vm) ?? 0) > now;
      const since = isPaused ? undefined : this.#emptySince.get(vm.vm);
      const mayRelocate = relocatesRuns && !isPaused;
      vms.push({
        ...vm,
        emptyForMs: since === undefined ? undefined : now - since,
        movableRuns: mayRelocate ? view.movableRunsOn(vm) : undefined,
      });
    }
    const arriving = (name: string) =>
      [...this.#moves.values()].filter(({ to }) => to === name).length;
    const balanced = services().map(({ name, isStandby }) => {
      return { name, isStandby, load: view.load(name), arriving: arriving(name) };
    });
    if (now - this.#stateLoggedAt >= STATE_LOG_INTERVAL_MS) {
      this.#stateLoggedAt = now;
      this.#logPools(balanced, vms);
    }
    return planMoves(balanced, vms);
  }

  #logPools(services: readonly BalancedService[], vms: readonly BalancedVm[]): void {
    for (const { name, load, arriving } of services) {
      const own = vms.filter(({ pool }) => pool === name);
      this.#deps.log.summary('pool_state', {
        service: name,
        vms: own.length,
        empty: own.filter(({ emptyForMs }) => emptyForMs !== undefined).length,
        arriving,
        used_cpu: load?.usedCpu,
        backlog_cpu: load?.backlogCpu,
        expected_cpu: load && Math.round(load.expectedCpu),
        lasting_cpu: load?.lastingCpu,
        spread_need: load?.spreadNeed,
        capacity_cpu: load?.capacityCpu,
      });
    }
  }

  /** Removes moves whose VM has arrived, has left the list, or is overdue. */
  #removeFinishedMoves(): void {
    const { view, clock, log } = this.#deps;
    const listed = view.byName();
    const now = clock.now();
    for (const [name, move] of this.#moves) {
      const vm = listed.get(name);
      const isListedSince = view.listedAt > (move.orderedAt ?? Infinity);
      const hasArrived = isListedSince && vm?.pool === move.to && vm.state === VmState.Up;
      const isLate = move.orderedAt !== undefined && now - move.orderedAt > ARRIVAL_TIMEOUT_MS;
      const hasLeft = vm === undefined && view.isComplete;
      if (!hasLeft && !hasArrived && !isLate) continue;
      this.#moves.delete(name);
      this.#emptySince.delete(name);
      const tookMs = Math.round(now - move.startedAt);
      log.info('move_over', { vm: name, to: move.to, arrived: hasArrived, took_ms: tookMs });
    }
  }

  async #advance(move: Move): Promise<void> {
    const { vms, epoch, canStart, clock, log, counters, view } = this.#deps;
    if (move.isConfirmed) {
      const vm = view.byName().get(move.vm);
      const hasBegun = vm?.state !== VmState.Up || vm.worker !== move.worker;
      const isListedSince = view.listedAt > (move.orderedAt ?? Infinity);
      if (hasBegun && isListedSince && !move.isHolderNotified) {
        move.isHolderNotified = true;
        await this.#emptying.reportEnded(emptiedVm(move));
      }
      return;
    }
    if (view.listedAt > (move.orderedAt ?? -Infinity))
      move.worker = this.#emptying.workerOf(emptiedVm(move));
    // Also before an order is repeated, as the VM may have runs again.
    if (!(await this.#isEmptied(move))) {
      const limitMs = move.hasRuns ? RELOCATE_TIMEOUT_MS : VACATE_TIMEOUT_MS;
      const isOverdue = clock.now() - move.startedAt > limitMs;
      // An order that got no answer may still be carried out.
      if (isOverdue && move.orderedAt === undefined) await this.#giveUp(move, 'not_empty');
      return;
    }
    if (!canStart()) return;
    move.orderedAt = clock.now();
    const answer = await vms.move({
      vm: move.vm,
      pool: move.to,
      fencingToken: epoch,
      isPermitted: canStart,
    });
    counters.count('move_orders', answer);
    log.info('move_order', { vm: move.vm, from: move.from, to: move.to, answer, fence: epoch });
    if (answer === VmOrderAnswer.Done) move.isConfirmed = true;
    else if (answer !== VmOrderAnswer.NoAnswer) await this.#giveUp(move, answer);
  }

  async #giveUp(move: Move, reason: string): Promise<void> {
    const { clock, counters } = this.#deps;
    counters.count('moves_given_up', reason);
    this.#moves.delete(move.vm);
    this.#pausedUntil.set(move.vm, clock.now() + REFUSED_PAUSE_MS);
    await this.#emptying.readmit(emptiedVm(move));
  }

  async #isEmptied(move: Move): Promise<boolean> {
    if (this.#isStandby(move.from)) return true;
    const how = { isUrgent: false, relocatesRuns: move.hasRuns };
    const status = await this.#emptying.request(emptiedVm(move), how);
    return status?.isReady === true && status.runs === 0;
  }

  #isStandby(service: string): boolean {
    return this.#deps.services().some(({ name, isStandby }) => name === service && isStandby);
  }
}

function emptiedVm({ vm, from, worker }: Move): EmptiedVm {
  return { vm, pool: from, worker };
}
