import type { Result } from 'true-myth/result';
import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import type { HolderDirectory } from './holderDirectory.js';
import type { FleetView } from './fleetView.js';
import { headKey } from './journal.js';
import { NodeCallKind } from './nodeCalls.js';
import { FLEET_DUTY, type Claim } from './ownership.js';
import {
  VmOrderAnswer,
  VmState,
  type ListedVm,
  type RowKey,
  type RowStore,
  type StoreError,
  type VmClient,
} from './ports.js';
import type { WaveSpec } from './types.js';

/** Time that one VM is expected to be away for its upkeep, with the wait for its tasks. */
const EXPECTED_AWAY_MS = 3_500;
/** Share of the remaining time from which tasks no longer hold an upkeep up. */
const URGENT_SHARE = 0.8;
/** Share of a wave's time in which it is planned to end. */
const PACE_SHARE = 0.75;
const CALL_TIMEOUT_MS = 500;
/** A VM that is still up with the same worker so long after its order had its upkeep before. */
const BEGUN_WITHIN_MS = 1_500;

/** Where the operator reads how far a wave is. */
export interface WaveStatusStore {
  /** Ids of the waves that were reported as finished. */
  finished(): Promise<Result<Set<string>, StoreError>>;
  report(wave: string, isFinished: boolean): Promise<Result<unknown, StoreError>>;
}

/** Needs of {@link Upkeep}. */
export interface UpkeepDeps {
  claim: Claim;
  store: RowStore;
  vms: VmClient;
  view: FleetView;
  board: WaveStatusStore;
  holders: HolderDirectory;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  waves: () => Iterable<WaveSpec>;
  /** Whether orders may be given. */
  canStart: () => boolean;
}

/** A VM that is being emptied or is down for its upkeep. */
interface Turn {
  vm: string;
  pool: string;
  worker: string | undefined;
  /** Whether the order was sent and may have been carried out. */
  isOrdered: boolean;
  isConfirmed: boolean;
  /** Monotonic time of the last order in milliseconds. */
  orderedAt: number;
  /** Whether the holder of the pool knows that everything on the worker has ended. */
  isHolderTold: boolean;
}

interface WaveProgress {
  order: WaveSpec;
  seenAt: number;
  done: Set<string>;
  turns: Map<string, Turn>;
  isReported: boolean;
}

const doneKey = (wave: string): RowKey => ({ table: 'wave', part: FLEET_DUTY, key: wave });

/** Carries out maintenance waves: empties VMs, orders their upkeep, and reports the waves. */
export class Upkeep {
  readonly #deps: UpkeepDeps;
  readonly #waves = new Map<string, WaveProgress>();
  #finished: Set<string> | undefined;

  constructor(deps: UpkeepDeps) {
    this.#deps = deps;
  }

  /** Whether a wave is under way. */
  get isBusy(): boolean {
    return this.#waves.size > 0;
  }

  /** VMs whose turn it is. */
  vms(): Set<string> {
    return new Set([...this.#waves.values()].flatMap(({ turns }) => [...turns.keys()]));
  }

  /** Opens the waves that operators asked for. */
  async openWaves(): Promise<void> {
    if (!this.#finished) {
      const res = await this.#deps.board.finished();
      if (res.isErr) return;
      this.#finished = res.value;
    }
    for (const order of this.#deps.waves()) {
      if (!this.#finished.has(order.id) && !this.#waves.has(order.id)) await this.#open(order);
    }
  }

  /** Moves the open waves on; VMs for which `isTaken` holds are under other planned work. */
  async round(isTaken: (vm: string) => boolean): Promise<void> {
    for (const wave of this.#waves.values()) await this.#proceed(wave, isTaken);
  }

  async #open(order: WaveSpec): Promise<void> {
    const { store, clock, log } = this.#deps;
    const res = await store.readRow(doneKey(order.id));
    if (res.isErr) return;
    const done = new Set(res.value ? (JSON.parse(res.value.value) as string[]) : []);
    const progress = { order, seenAt: clock.now(), done, turns: new Map<string, Turn>() };
    this.#waves.set(order.id, { ...progress, isReported: false });
    const { id, vms, maxDown, timeLimitS } = order;
    log.info('wave_open', { wave: id, vms: vms.length, done: done.size, max: maxDown, timeLimitS });
  }

  async #proceed(wave: WaveProgress, isTaken: (vm: string) => boolean): Promise<void> {
    const { order, done, turns } = wave;
    if (!wave.isReported) {
      const res = await this.#deps.board.report(order.id, false);
      wave.isReported = res.isOk;
    }
    const listed = this.#deps.view.byName();
    await this.#settleTurns(wave, listed);
    for (const vm of this.#nextVms(wave, listed, isTaken)) {
      const { vm: id, pool, worker } = vm;
      const untouched = { isOrdered: false, isConfirmed: false, orderedAt: 0, isHolderTold: false };
      turns.set(id, { vm: id, pool, worker, ...untouched });
    }
    const isUrgent = this.#isUrgent(wave);
    await Promise.all([...turns.values()].map((turn) => this.#advance(wave, turn, isUrgent)));
    const isOver = order.vms.every((vm) => done.has(vm) || !listed.has(vm));
    const isQuiet = [...turns.values()].every((turn) => turn.isConfirmed && turn.isHolderTold);
    if (isOver && isQuiet) await this.#finish(wave);
  }

  /** Ends the turns of VMs that are back with a new worker, or that left. */
  async #settleTurns(
    { turns, order }: WaveProgress,
    listed: ReadonlyMap<string, ListedVm>,
  ): Promise<void> {
    for (const [id, turn] of turns) {
      const vm = listed.get(id);
      const isUp = vm?.state === VmState.Up;
      const isListedSince = this.#deps.view.listedAt > turn.orderedAt;
      const hasBegun = turn.isOrdered && (!isUp || vm.worker !== turn.worker);
      // The answer to an order is the same when the upkeep took place before, under another holder.
      if (hasBegun && isListedSince) await this.#tellEnded(turn);
      const isBack = isUp && hasBegun;
      const wasBefore = isUp && this.#deps.view.listedAt > turn.orderedAt + BEGUN_WITHIN_MS;
      if (vm && !(turn.isConfirmed && isListedSince && (isBack || wasBefore))) continue;
      turns.delete(id);
      if (!hasBegun) await this.#tellHolder(turn, NodeCallKind.Readmit);
      this.#deps.log.info('upkeep_over', { wave: order.id, vm: id, listed: vm !== undefined });
    }
  }

  async #tellEnded(turn: Turn): Promise<void> {
    if (turn.isHolderTold) return;
    turn.isHolderTold = true;
    await this.#tellHolder(turn, NodeCallKind.Ended);
  }

  /**
   * VMs whose turn comes, within the number that may be down. Empty ones come first, then those of
   * the least loaded services; no more at once than the time that is left asks for.
   */
  #nextVms(
    wave: WaveProgress,
    listed: ReadonlyMap<string, ListedVm>,
    isTaken: (vm: string) => boolean,
  ): ListedVm[] {
    const { order, done, turns } = wave;
    const { view } = this.#deps;
    // An earlier holder may have taken these down.
    const others = order.vms.filter(
      (vm) => !turns.has(vm) && listed.get(vm)?.state === VmState.Upkeep,
    );
    const free = order.maxDown - turns.size - others.length;
    if (free <= 0) return [];
    const busy = new Map<string, number>();
    for (const { pool } of turns.values()) busy.set(pool, (busy.get(pool) ?? 0) + 1);
    const pressure = ({ pool }: ListedVm) => {
      const load = view.load(pool);
      const isKnown = load !== undefined && load.capacityCpu > 0;
      const share = isKnown ? (load.usedCpu + load.waitingCpu) / load.capacityCpu : 0;
      return share + (busy.get(pool) ?? 0);
    };
    const waiting = order.vms
      .filter((vm) => !done.has(vm) && !turns.has(vm) && !isTaken(vm))
      .map((vm) => listed.get(vm))
      .filter((vm) => vm?.state === VmState.Up)
      .filter((vm) => vm !== undefined);
    const empty = waiting.filter((vm) => view.runsOn(vm) === 0);
    const loaded = waiting
      .filter((vm) => view.runsOn(vm) !== 0)
      .sort((a, b) => pressure(a) - pressure(b));
    const paced = Math.max(0, this.#pace(wave) - turns.size);
    return [...empty, ...loaded.slice(0, paced)].slice(0, free);
  }

  /** VMs that have to be away at the same time for the wave to end in time. */
  #pace({ order, done, seenAt }: WaveProgress): number {
    const leftMs = order.timeLimitS * 1000 * PACE_SHARE - (this.#deps.clock.now() - seenAt);
    const left = order.vms.length - done.size;
    if (leftMs <= EXPECTED_AWAY_MS) return order.maxDown;
    return Math.min(order.maxDown, Math.ceil((left * EXPECTED_AWAY_MS) / leftMs));
  }

  /** Whether the time that is left suffices only if tasks no longer hold upkeeps up. */
  #isUrgent({ order, done, seenAt }: WaveProgress): boolean {
    const left = order.timeLimitS * 1000 - (this.#deps.clock.now() - seenAt);
    const rounds = Math.ceil((order.vms.length - done.size) / order.maxDown);
    return rounds * EXPECTED_AWAY_MS > left * URGENT_SHARE;
  }

  async #advance(wave: WaveProgress, turn: Turn, isUrgent: boolean): Promise<void> {
    if (turn.isConfirmed) return;
    if (!turn.isOrdered && !(await this.#isEmptied(turn, isUrgent))) return;
    const { vms, claim, log, counters, canStart } = this.#deps;
    if (!canStart()) return;
    turn.isOrdered = true;
    turn.orderedAt = this.#deps.clock.now();
    const answer = await vms.upkeep(turn.vm, wave.order.id, claim.epoch);
    counters.count('upkeep_orders', answer);
    log.info('upkeep_order', {
      wave: wave.order.id,
      vm: turn.vm,
      worker: turn.worker,
      answer,
      urgent: isUrgent,
      fence: claim.epoch,
    });
    if (answer === VmOrderAnswer.NoAnswer) return;
    if (answer === VmOrderAnswer.Done) {
      turn.isConfirmed = true;
      await this.#recordDone(wave, turn.vm);
      return;
    }
    // Nothing was done: another VM may come first.
    wave.turns.delete(turn.vm);
    const isNotOurs = answer === VmOrderAnswer.OtherWave || answer === VmOrderAnswer.NoSuchVm;
    if (isNotOurs) await this.#recordDone(wave, turn.vm);
    await this.#tellHolder(turn, NodeCallKind.Readmit);
  }

  async #isEmptied({ pool, worker }: Turn, isUrgent: boolean): Promise<boolean> {
    if (worker === undefined) return true;
    const status = await this.#deps.holders.vacate(pool, worker, isUrgent, CALL_TIMEOUT_MS);
    return status?.isReady === true;
  }

  #tellHolder(
    { pool, worker }: Turn,
    kind: NodeCallKind.Readmit | NodeCallKind.Ended,
  ): Promise<void> {
    return this.#deps.holders.tell(kind, pool, worker, CALL_TIMEOUT_MS);
  }

  /** Keeps which VMs have had their upkeep, for a later holder. */
  async #recordDone({ order, done }: WaveProgress, vm: string): Promise<void> {
    const { store, claim, log } = this.#deps;
    done.add(vm);
    const res = await store.transact({
      conditions: [{ ...headKey(FLEET_DUTY), version: claim.headVersion }],
      writes: [{ ...doneKey(order.id), value: JSON.stringify([...done]) }],
      removes: [],
    });
    if (res.isErr) log.warn('wave_not_recorded', { wave: order.id, vm, reason: res.error.code });
  }

  async #finish({ order, seenAt }: WaveProgress): Promise<void> {
    const { board, clock, log } = this.#deps;
    const res = await board.report(order.id, true);
    if (res.isErr) return;
    this.#finished?.add(order.id);
    this.#waves.delete(order.id);
    const tookMs = Math.round(clock.now() - seenAt);
    log.info('wave_finished', { wave: order.id, took_ms: tookMs, timeLimitS: order.timeLimitS });
  }
}
