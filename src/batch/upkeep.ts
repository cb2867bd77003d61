import type { Result } from 'true-myth/result';
import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import type { HolderDirectory } from './holderDirectory.js';
import type { FleetView } from './fleetView.js';
import { headKey } from './journal.js';
import { FLEET_SERVICE, type Claim } from './ownership.js';
import {
  VmOrderAnswer,
  VmState,
  type ListedVm,
  type RowKey,
  type RowStore,
  type StoreError,
  type VmClient,
} from './ports.js';
import type { Service, WaveSpec } from './types.js';
import { VmEmptying, type EmptiedVm } from './vmEmptying.js';

/** Expected time to take one VM through maintenance, including the wait for its tasks. */
const EXPECTED_MAINTENANCE_MS = 3_500;
/** Once the rest of a wave needs more than this share of the remaining time, the wave is urgent. */
const URGENT_TIME_SHARE = 0.8;
/** Share of a wave's time limit within which it is planned to finish. */
const PLANNED_TIME_SHARE = 0.75;
/** Timeout of calls to the holder of a service. */
const CALL_TIMEOUT_MS = 500;
/**
 * A VM that is still up with the same worker this long after a confirmed order has already been
 * through the maintenance of its wave.
 */
const START_TIMEOUT_MS = 1_500;

/** Stores the status of waves for the operator. */
export interface WaveStatusStore {
  /** Reads the ids of the waves that were reported as finished. */
  finished(): Promise<Result<Set<string>, StoreError>>;
  report(wave: string, isFinished: boolean): Promise<Result<unknown, StoreError>>;
}

/** A wave as read from the operator's rows. */
export interface RequestedWave {
  spec: WaveSpec;
  /** Monotonic time at which this process first read it, in milliseconds. */
  seenAt: number;
}

/** Dependencies of {@link MaintenanceWaves}. */
export interface MaintenanceWavesDeps {
  claim: Claim;
  store: RowStore;
  vms: VmClient;
  view: FleetView;
  board: WaveStatusStore;
  holders: HolderDirectory;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  services: () => readonly Service[];
  waves: () => Iterable<RequestedWave>;
  /** Whether orders may be sent to the vendor. */
  canStart: () => boolean;
}

/** A VM that is being emptied or is under maintenance. */
interface VmMaintenance extends EmptiedVm {
  /** Whether the order was sent and may have been carried out. */
  isOrdered: boolean;
  /** Whether the vendor accepted the order. */
  isConfirmed: boolean;
  /** Monotonic time of the last order, in milliseconds. */
  orderedAt: number;
  /** Whether the holder of the pool was notified that all runs on the worker have ended. */
  isHolderNotified: boolean;
}

interface WaveProgress {
  spec: WaveSpec;
  /** Monotonic time from which its time limit counts, in milliseconds. */
  openedAt: number;
  /** VMs that need no further order: theirs was accepted, or they are not part of the wave. */
  done: Set<string>;
  inProgress: Map<string, VmMaintenance>;
  isReported: boolean;
}

const WAVE_TABLE = 'wave';

/** Key of the row of a VM that needs no further order in a wave. */
const doneKey = (wave: string, vm: string): RowKey => ({
  table: WAVE_TABLE,
  part: FLEET_SERVICE,
  key: `${wave}/${vm}`,
});

/** Key of the row with the time at which the first holder opened a wave. */
const openedKey = (wave: string): RowKey => ({
  table: WAVE_TABLE,
  part: FLEET_SERVICE,
  key: wave,
});

/** Carries out maintenance waves: empties VMs, orders their maintenance, and reports progress. */
export class MaintenanceWaves {
  readonly #deps: MaintenanceWavesDeps;
  readonly #emptying: VmEmptying;
  readonly #waves = new Map<string, WaveProgress>();
  #finished: Set<string> | undefined;

  constructor(deps: MaintenanceWavesDeps) {
    this.#deps = deps;
    this.#emptying = new VmEmptying({ ...deps, callTimeoutMs: CALL_TIMEOUT_MS });
  }

  /** Whether a wave is in progress. */
  get isBusy(): boolean {
    return this.#waves.size > 0;
  }

  /** VMs that are being emptied or are under maintenance. */
  vms(): Set<string> {
    return new Set([...this.#waves.values()].flatMap(({ inProgress }) => [...inProgress.keys()]));
  }

  /** Opens the requested waves that are not finished. */
  async openWaves(): Promise<void> {
    if (!this.#finished) {
      const res = await this.#deps.board.finished();
      if (res.isErr) return;
      this.#finished = res.value;
    }
    for (const wave of this.#deps.waves()) {
      const { id } = wave.spec;
      if (!this.#finished.has(id) && !this.#waves.has(id)) await this.#open(wave);
    }
  }

  /** Advances the open waves; VMs for which `isExcluded` returns true are not selected. */
  async round(isExcluded: (vm: string) => boolean): Promise<void> {
    for (const wave of this.#waves.values()) await this.#advanceWave(wave, isExcluded);
  }

  async #open({ spec, seenAt }: RequestedWave): Promise<void> {
    const { store, clock, log } = this.#deps;
    const res = await store.readPart(WAVE_TABLE, FLEET_SERVICE);
    if (res.isErr) return;
    const { rows } = res.value;
    const prefix = `${spec.id}/`;
    const keys = rows.map(({ key }) => key).filter((key) => key.startsWith(prefix));
    const done = new Set(keys.map((key) => key.slice(prefix.length)));
    const opened = rows.find(({ key }) => key === spec.id);
    const sinceOpenedMs = opened ? this.#elapsedMs(Number(opened.value), spec) : 0;
    // There may have been no holder when the wave was requested.
    const elapsedMs = Math.max(sinceOpenedMs, clock.now() - seenAt);
    if (!opened) await this.#recordOpened(spec.id);
    const progress = {
      spec,
      openedAt: clock.now() - elapsedMs,
      done,
      inProgress: new Map<string, VmMaintenance>(),
    };
    this.#waves.set(spec.id, { ...progress, isReported: false });
    const { id, vms, maxDown, timeLimitS } = spec;
    log.info('wave_open', {
      wave: id,
      vms: vms.length,
      done: done.size,
      max: maxDown,
      timeLimitS,
      elapsed_ms: Math.round(elapsedMs),
    });
  }

  /** Time since a wave was opened; wall clocks of nodes differ, so it is kept within the limit. */
  #elapsedMs(openedWallTime: number, { timeLimitS }: WaveSpec): number {
    const elapsedMs = this.#deps.clock.wallTime() - openedWallTime;
    return Number.isFinite(elapsedMs) ? Math.min(Math.max(0, elapsedMs), timeLimitS * 1000) : 0;
  }

  async #recordOpened(wave: string): Promise<void> {
    const { store, claim, clock, log } = this.#deps;
    const res = await store.transact({
      conditions: [{ ...headKey(FLEET_SERVICE), version: claim.headVersion }],
      writes: [{ ...openedKey(wave), value: String(clock.wallTime()) }],
      removes: [],
    });
    if (res.isErr) log.warn('wave_not_recorded', { wave, reason: res.error.code });
  }

  async #advanceWave(wave: WaveProgress, isExcluded: (vm: string) => boolean): Promise<void> {
    const { spec, done, inProgress } = wave;
    if (!wave.isReported) {
      const res = await this.#deps.board.report(spec.id, false);
      wave.isReported = res.isOk;
    }
    const listed = this.#deps.view.byName();
    await this.#removeFinished(wave, listed);
    for (const maintenance of inProgress.values()) this.#followWorker(maintenance);
    for (const vm of this.#nextVms(wave, listed, isExcluded)) {
      const { vm: id, pool, worker } = vm;
      const initialState = {
        isOrdered: false,
        isConfirmed: false,
        orderedAt: 0,
        isHolderNotified: false,
      };
      inProgress.set(id, { vm: id, pool, worker, ...initialState });
    }
    const isUrgent = this.#isUrgent(wave);
    await Promise.all(
      [...inProgress.values()].map((maintenance) => this.#advanceVm(wave, maintenance, isUrgent)),
    );
    const { isComplete } = this.#deps.view;
    const isOver = spec.vms.every((vm) => done.has(vm) || (isComplete && !listed.has(vm)));
    const isSettled = [...inProgress.values()].every(
      (maintenance) => maintenance.isConfirmed && maintenance.isHolderNotified,
    );
    if (isOver && isSettled) await this.#finish(wave);
  }

  /**
   * Removes VMs that are back with a new worker, had their maintenance under an earlier holder, or
   * are no longer listed.
   */
  async #removeFinished(
    { inProgress, spec }: WaveProgress,
    listed: ReadonlyMap<string, ListedVm>,
  ): Promise<void> {
    for (const [id, maintenance] of inProgress) {
      const vm = listed.get(id);
      const isUp = vm?.state === VmState.Up;
      const isListedSince = this.#deps.view.listedAt > maintenance.orderedAt;
      // An entry that cannot be decoded says nothing about its VM.
      if (vm === undefined && !this.#deps.view.isComplete) continue;
      const hasBegun = maintenance.isOrdered && (!isUp || vm.worker !== maintenance.worker);
      // The vendor confirms an order in the same way if the maintenance already took place under an
      // earlier holder, so a confirmation alone does not show that it has begun.
      if (hasBegun && isListedSince) await this.#notifyEnded(maintenance);
      const isBack = isUp && hasBegun;
      const wasDoneEarlier =
        isUp && this.#deps.view.listedAt > maintenance.orderedAt + START_TIMEOUT_MS;
      if (vm && !(maintenance.isConfirmed && isListedSince && (isBack || wasDoneEarlier))) continue;
      inProgress.delete(id);
      if (!hasBegun) await this.#emptying.readmit(maintenance);
      this.#deps.log.info('upkeep_over', { wave: spec.id, vm: id, listed: vm !== undefined });
    }
  }

  async #notifyEnded(maintenance: VmMaintenance): Promise<void> {
    if (maintenance.isHolderNotified) return;
    maintenance.isHolderNotified = true;
    await this.#emptying.reportEnded(maintenance);
  }

  /**
   * Turns to the worker with which a VM is listed now. An order that got no answer may not have been carried
   * out, so its VM may have a new worker for another reason.
   */
  #followWorker(maintenance: VmMaintenance): void {
    const { isOrdered, isConfirmed, orderedAt } = maintenance;
    const isListedBeforeOrder = isOrdered && this.#deps.view.listedAt <= orderedAt;
    if (isConfirmed || isListedBeforeOrder) return;
    const worker = this.#emptying.workerOf(maintenance);
    if (worker === maintenance.worker) return;
    maintenance.worker = worker;
    maintenance.isHolderNotified = false;
  }

  /**
   * Selects the next VMs, within the number that may be down. Empty VMs come first, then VMs with
   * runs, least loaded service first, but only as many of these as the remaining time requires.
   */
  #nextVms(
    wave: WaveProgress,
    listed: ReadonlyMap<string, ListedVm>,
    isExcluded: (vm: string) => boolean,
  ): ListedVm[] {
    const { spec, done, inProgress } = wave;
    const { view } = this.#deps;
    // An earlier holder may have started the maintenance of these VMs.
    const startedEarlier = spec.vms.filter(
      (vm) => !inProgress.has(vm) && listed.get(vm)?.state === VmState.Upkeep,
    );
    const freeSlots = spec.maxDown - inProgress.size - startedEarlier.length;
    if (freeSlots <= 0) return [];
    const inProgressByPool = new Map<string, number>();
    for (const { pool } of inProgress.values())
      inProgressByPool.set(pool, (inProgressByPool.get(pool) ?? 0) + 1);
    const loadScore = ({ pool }: ListedVm) => {
      const load = view.load(pool);
      const isKnown = load !== undefined && load.capacityCpu > 0;
      const utilization = isKnown ? (load.usedCpu + load.waitingCpu) / load.capacityCpu : 0;
      return utilization + (inProgressByPool.get(pool) ?? 0);
    };
    const waiting = spec.vms
      .filter((vm) => !done.has(vm) && !inProgress.has(vm) && !isExcluded(vm))
      .map((vm) => listed.get(vm))
      .filter((vm) => vm?.state === VmState.Up)
      .filter((vm) => vm !== undefined);
    const empty = waiting.filter((vm) => view.runsOn(vm) === 0);
    const loaded = waiting
      .filter((vm) => view.runsOn(vm) !== 0)
      .sort((a, b) => loadScore(a) - loadScore(b));
    const allowedStarts = Math.max(0, this.#targetConcurrency(wave) - inProgress.size);
    return [...empty, ...loaded.slice(0, allowedStarts)].slice(0, freeSlots);
  }

  /** Number of VMs under maintenance at the same time that lets the wave finish in time. */
  #targetConcurrency({ spec, done, openedAt }: WaveProgress): number {
    const remainingMs =
      spec.timeLimitS * 1000 * PLANNED_TIME_SHARE - (this.#deps.clock.now() - openedAt);
    const remainingVms = spec.vms.length - done.size;
    if (remainingMs <= EXPECTED_MAINTENANCE_MS) return spec.maxDown;
    return Math.min(
      spec.maxDown,
      Math.ceil((remainingVms * EXPECTED_MAINTENANCE_MS) / remainingMs),
    );
  }

  /** Whether the remaining time suffices only if maintenance no longer waits for short tasks. */
  #isUrgent({ spec, done, openedAt }: WaveProgress): boolean {
    const remainingMs = spec.timeLimitS * 1000 - (this.#deps.clock.now() - openedAt);
    const rounds = Math.ceil((spec.vms.length - done.size) / spec.maxDown);
    return rounds * EXPECTED_MAINTENANCE_MS > remainingMs * URGENT_TIME_SHARE;
  }

  async #advanceVm(
    wave: WaveProgress,
    maintenance: VmMaintenance,
    isUrgent: boolean,
  ): Promise<void> {
    if (maintenance.isConfirmed) return;
    // Also before an order is repeated, as the VM may have runs again.
    const status = await this.#emptying.request(maintenance, { isUrgent });
    if (!status?.isReady) return;
    const { vms, claim, log, counters, canStart } = this.#deps;
    if (!canStart()) return;
    maintenance.isOrdered = true;
    maintenance.orderedAt = this.#deps.clock.now();
    const answer = await vms.upkeep({
      vm: maintenance.vm,
      wave: wave.spec.id,
      fencingToken: claim.epoch,
      isPermitted: canStart,
    });
    counters.count('upkeep_orders', answer);
    log.info('upkeep_order', {
      wave: wave.spec.id,
      vm: maintenance.vm,
      worker: maintenance.worker,
      answer,
      urgent: isUrgent,
      fence: claim.epoch,
    });
    if (answer === VmOrderAnswer.NoAnswer) return;
    if (answer === VmOrderAnswer.Done) {
      maintenance.isConfirmed = true;
      await this.#recordDone(wave, maintenance.vm);
      return;
    }
    // The order had no effect: another VM may go first.
    wave.inProgress.delete(maintenance.vm);
    const isNotInWave = answer === VmOrderAnswer.OtherWave || answer === VmOrderAnswer.NoSuchVm;
    if (isNotInWave) await this.#recordDone(wave, maintenance.vm);
    await this.#emptying.readmit(maintenance);
  }

  /** Adds a VM to those that need no further order, and stores these for a later holder. */
  async #recordDone({ spec, done }: WaveProgress, vm: string): Promise<void> {
    const { store, claim, log } = this.#deps;
    done.add(vm);
    const res = await store.transact({
      conditions: [{ ...headKey(FLEET_SERVICE), version: claim.headVersion }],
      writes: [{ ...doneKey(spec.id, vm), value: '' }],
      removes: [],
    });
    if (res.isErr) log.warn('wave_not_recorded', { wave: spec.id, vm, reason: res.error.code });
  }

  async #finish({ spec, openedAt }: WaveProgress): Promise<void> {
    const { board, clock, log } = this.#deps;
    const res = await board.report(spec.id, true);
    if (res.isErr) return;
    this.#finished?.add(spec.id);
    this.#waves.delete(spec.id);
    const tookMs = Math.round(clock.now() - openedAt);
    log.info('wave_finished', { wave: spec.id, took_ms: tookMs, timeLimitS: spec.timeLimitS });
  }
}
