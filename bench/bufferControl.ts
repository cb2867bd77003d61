import {
  createBudgetConsumer,
  type CapacityPolicy,
  type CapacitySettings,
} from '../src/capacity/index.js';
import type { Clock } from '../src/clock/index.js';
import {
  EntityKind,
  EntityState,
  MoveState,
  StopState,
  VmState,
  type EntityChange,
  type Move,
  type Vm,
} from '../src/configuration/index.js';
import { AwayReason, awayReason, Budget, planLoans, planWave } from '../src/controller/index.js';
import { InvariantError } from '../src/errors/index.js';

const NO_SILENT_ZONES: ReadonlySet<string> = new Set();

/** Interval between rounds of the zone controllers in milliseconds. */
const ROUND_INTERVAL_MS = 1_000;

/**
 * Minimum duration of a drain in milliseconds, in which the entry processes confirm it. It exceeds
 * the duration of a peak.
 */
const MIN_DRAIN_MS = 10_000;

/** Duration of a reboot in milliseconds. */
const REBOOT_MS = 10_000;

/** Time in milliseconds for which a VM lent for a budget must be unneeded before it is returned. */
const RETURN_LOAN_AFTER_MS = 60_000;

/** Counts of decisions and events in the simulated controllers. */
export interface ControllerCounts {
  /** Moves completed with a new assignment. */
  moves: number;
  /** Moves abandoned because the VM was out of service. */
  movesUndone: number;
  /** Moves from the spare pool requested by a violated budget. */
  budgetLoans: number;
  /** Number of times that the budget of a pool became violated. */
  violations: number;
  /** Violations caused by a decision rather than by a failure. */
  ownViolations: number;
  /** Duration of the roll-out in virtual milliseconds; undefined if it did not finish. */
  rollOutMs: number | undefined;
  /** VMs of all pools held back from moves, summed over the rounds. */
  heldBack: number;
  /** VMs of all pools that the wave leaves unused, summed over the rounds. */
  waveReserve: number;
  rounds: number;
}

/** Dependencies and settings of {@link SimulatedControllers}. */
export interface ControllerDeps {
  clock: Clock;
  view: EntityState;
  settings: CapacitySettings;
  policy: CapacityPolicy;
  /** Returns the number of requests that run on a VM. */
  inFlight: (vm: string) => number;
  /** Called after each change with the VMs that accept requests. */
  onServing: (vms: readonly Vm[]) => void;
  /** Virtual time in milliseconds at which the wave starts. */
  waveAtMs: number;
  /** VMs that the wave leaves unused of a pool's away limits; a larger buffer takes precedence. */
  waveReserve: number;
}

/**
 * Simulates the zone controllers of a deployment. Budgets, loans and the wave plan are computed by
 * the production code; drains and reboots take virtual time.
 */
export class SimulatedControllers {
  readonly counts: ControllerCounts = {
    moves: 0,
    movesUndone: 0,
    budgetLoans: 0,
    violations: 0,
    ownViolations: 0,
    rollOutMs: undefined,
    heldBack: 0,
    waveReserve: 0,
    rounds: 0,
  };
  readonly #deps: ControllerDeps;
  /** Start of the current drain or reboot of each VM, in virtual milliseconds. */
  readonly #phaseStartedAtMs = new Map<string, number>();
  readonly #loanUnneededSinceMs = new Map<string, number>();
  #violatedPools = new Set<string>();
  /** VMs that the wave has yet to stop, in order; undefined before it starts. */
  #pendingWaveVms: string[] | undefined;

  constructor(deps: ControllerDeps) {
    this.#deps = deps;
  }

  /**
   * Commits changes as the next version.
   *
   * @param isOwnDecision - whether a controller decided on the changes, rather than a failure
   */
  commit(changes: readonly EntityChange[], isOwnDecision = true): void {
    if (changes.length === 0) return;
    const { view } = this.#deps;
    const changeId = String(view.version + 1);
    view.apply({ changeId, author: 'bench', changes: [...changes] }, view.version + 1);
    this.#recordViolations(isOwnDecision);
    const serving = view.list(EntityKind.Vm).filter((vm) => !awayReason(view, vm, NO_SILENT_ZONES));
    this.#deps.onServing(serving);
  }

  /** Takes VMs out of service until they are repaired, after a failure or for a vendor drain. */
  markUnavailable(vms: readonly string[], state: VmState, repairMs: number): void {
    const { view, clock } = this.#deps;
    const ids = vms.filter((id) => !view.get(EntityKind.VmStatus, id));
    this.commit(
      ids.map((id) => ({ kind: EntityKind.VmStatus, id, value: { id, state } })),
      false,
    );
    clock.setTimer(repairMs, () => {
      this.commit(ids.map((id) => ({ kind: EntityKind.VmStatus, id })));
    });
  }

  /** Runs the rounds until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#performStops();
      this.#performMoves();
      this.#startMoves();
      this.#lendSpareVms();
      this.#returnLoans();
      this.#advanceWave();
      this.#recordBuffer();
      await this.#deps.clock.sleep(ROUND_INTERVAL_MS, signal);
    }
  }

  #performStops(): void {
    const { view } = this.#deps;
    for (const stop of view.list(EntityKind.Stop)) {
      const { id } = stop;
      if (stop.state === StopState.Draining && this.#isDrained(id)) {
        const value = { ...stop, state: StopState.Stopping };
        this.commit([{ kind: EntityKind.Stop, id, value }]);
        this.#phaseStartedAtMs.set(id, this.#deps.clock.now());
      } else if (stop.state === StopState.Stopping && this.#phaseElapsedMs(id) >= REBOOT_MS) {
        this.commit([{ kind: EntityKind.Stop, id }]);
        this.#markStopped(id);
      }
    }
  }

  #performMoves(): void {
    const { view } = this.#deps;
    for (const move of view.list(EntityKind.Move)) {
      if (move.state === MoveState.Requested) continue;
      const { id } = move;
      const isUp = !view.get(EntityKind.VmStatus, id);
      if (!isUp) {
        this.counts.movesUndone += 1;
        this.commit([{ kind: EntityKind.Move, id }]);
      } else if (this.#isDrained(id)) {
        this.counts.moves += 1;
        this.#completeMove(move);
      }
    }
  }

  #completeMove({ id, to, lentForBudget }: Move): void {
    const value = lentForBudget ? { id, pool: to, lentForBudget } : { id, pool: to };
    this.commit([
      { kind: EntityKind.Assignment, id, value },
      { kind: EntityKind.Move, id },
    ]);
  }

  #startMoves(): void {
    const { view } = this.#deps;
    const budget = new Budget(view, { silentZones: NO_SILENT_ZONES });
    const requested = view.list(EntityKind.Move).filter(({ state }) => isRequested(state));
    const granted = requested.filter(({ id }) => budget.grant(id, AwayReason.Move).isOk);
    for (const move of granted) this.#phaseStartedAtMs.set(move.id, this.#deps.clock.now());
    this.commit(
      granted.map((move) => ({
        kind: EntityKind.Move,
        id: move.id,
        value: { ...move, state: MoveState.Draining },
      })),
    );
  }

  #lendSpareVms(): void {
    const { view, clock } = this.#deps;
    for (const zone of view.zones()) {
      const changes = planLoans(view, zone, NO_SILENT_ZONES);
      this.counts.budgetLoans += changes.length;
      for (const { id } of changes) this.#phaseStartedAtMs.set(id, clock.now());
      this.commit(changes);
    }
  }

  #returnLoans(): void {
    const { view, clock } = this.#deps;
    const now = clock.now();
    const budget = new Budget(view, { silentZones: NO_SILENT_ZONES, reserve: 1 });
    const changes: EntityChange[] = [];
    for (const { id, pool, lentForBudget } of view.list(EntityKind.Assignment)) {
      if (!lentForBudget || view.get(EntityKind.Move, id)) continue;
      if (budget.grant(id, AwayReason.Move).isErr) {
        this.#loanUnneededSinceMs.delete(id);
        continue;
      }
      const unneededSinceMs = this.#loanUnneededSinceMs.get(id) ?? now;
      this.#loanUnneededSinceMs.set(id, unneededSinceMs);
      const to = view.get(EntityKind.Vm, id)?.pool;
      if (now - unneededSinceMs < RETURN_LOAN_AFTER_MS || to === undefined) continue;
      const value = { id, from: pool, to, state: MoveState.Requested };
      changes.push({ kind: EntityKind.Move, id, value });
    }
    this.commit(changes);
  }

  #advanceWave(): void {
    const { view, clock, waveAtMs, waveReserve, settings, policy } = this.#deps;
    const now = clock.now();
    if (now < waveAtMs) return;
    this.#pendingWaveVms ??= planWaveOrder(view);
    const { counts } = this;
    if (this.#pendingWaveVms.length === 0) {
      counts.rollOutMs ??= now - waveAtMs;
      return;
    }
    const input = { view, settings, silentZones: NO_SILENT_ZONES };
    const consumeBudget = createBudgetConsumer(input, (state, pool) =>
      Math.max(waveReserve, policy.bufferVms(state, pool)),
    );
    const granted = this.#pendingWaveVms.filter((id) => {
      const vm = view.get(EntityKind.Vm, id);
      const isBusy = view.get(EntityKind.Move, id) !== undefined;
      return vm !== undefined && !isBusy && !consumeBudget(vm);
    });
    for (const id of granted) this.#phaseStartedAtMs.set(id, now);
    this.commit(
      granted.map((id) => {
        const value = { id, wave: 'wave', state: StopState.Draining };
        return { kind: EntityKind.Stop, id, value };
      }),
    );
  }

  #markStopped(id: string): void {
    this.#pendingWaveVms = this.#pendingWaveVms?.filter((each) => each !== id);
  }

  #isDrained(id: string): boolean {
    return this.#phaseElapsedMs(id) >= MIN_DRAIN_MS && this.#deps.inFlight(id) === 0;
  }

  #phaseElapsedMs(id: string): number {
    return this.#deps.clock.now() - (this.#phaseStartedAtMs.get(id) ?? 0);
  }

  #recordViolations(isOwnDecision: boolean): void {
    const { view } = this.#deps;
    const budget = new Budget(view, { silentZones: NO_SILENT_ZONES });
    const violatedPools = new Set<string>();
    for (const { id } of view.list(EntityKind.Pool))
      if (budget.firstViolation(id)) violatedPools.add(id);
    for (const id of violatedPools) {
      if (this.#violatedPools.has(id)) continue;
      this.counts.violations += 1;
      if (isOwnDecision) this.counts.ownViolations += 1;
    }
    this.#violatedPools = violatedPools;
  }

  #recordBuffer(): void {
    const { view, settings, policy, waveReserve } = this.#deps;
    const input = { view, settings, silentZones: NO_SILENT_ZONES };
    for (const { id } of view.list(EntityKind.Pool)) {
      const heldBack = policy.bufferVms(input, id);
      this.counts.heldBack += heldBack;
      this.counts.waveReserve += Math.max(waveReserve, heldBack);
    }
    this.counts.rounds += 1;
  }
}

function isRequested(state: MoveState): boolean {
  return state === MoveState.Requested;
}

function planWaveOrder(view: EntityState): string[] {
  const options = { id: 'wave', reserve: 1, stopMs: REBOOT_MS, maxWaveVms: 256 };
  const plan = planWave(view, options);
  if (plan.isErr)
    throw new InvariantError(`could not plan the maintenance wave: ${plan.error.message}`);
  return plan.value.waves.flatMap(({ batches }) => batches.flat());
}
