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

const NO_ZONES: ReadonlySet<string> = new Set();

/** Time between two rounds of the zone controllers in milliseconds. */
const ROUND_MS = 1_000;

/** Shortest drain in milliseconds: the confirmations of the entry processes; longer than a turn. */
const MIN_DRAIN_MS = 10_000;

/** Time of a reboot in milliseconds. */
const REBOOT_MS = 10_000;

/** Time for which a VM that was lent for a budget must be unneeded, in milliseconds. */
const RETURN_LENT_MS = 60_000;

/** What the simulated controllers did and saw. */
export interface ControlCounts {
  /** Moves that ended with a new assignment. */
  moves: number;
  movesUndone: number;
  /** Moves from the spare pool that a broken budget asked for. */
  budgetLoans: number;
  /** Times at which a pool went from holding its budget to breaking it. */
  violations: number;
  /** Those that followed from a decision, not from a failure. */
  ownViolations: number;
  /** Virtual time of the roll-out in milliseconds; undefined when it did not finish. */
  rollOutMs: number | undefined;
  /** Sum over the rounds of the VMs held back in all pools. */
  heldBack: number;
  /** The same of the VMs that the wave leaves unused. */
  waveReserve: number;
  rounds: number;
}

/** What the controllers of all zones run on. */
export interface ControlDeps {
  clock: Clock;
  view: EntityState;
  settings: CapacitySettings;
  policy: CapacityPolicy;
  /** Requests that run on a VM. */
  inFlight: (vm: string) => number;
  /** Called after each change with the VMs that take requests. */
  onServing: (vms: readonly Vm[]) => void;
  /** Virtual time in milliseconds at which the wave starts. */
  waveAtMs: number;
  /** VMs that the wave leaves unused of the limits of a pool, if the buffer is not larger. */
  waveReserve: number;
}

/**
 * The zone controllers of a deployment in one: real budgets, loans and wave plan, with drains and
 * reboots that take virtual time.
 */
export class SimulatedControl {
  readonly counts: ControlCounts = {
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
  readonly #deps: ControlDeps;
  /** Time since when a VM drains or reboots. */
  readonly #since = new Map<string, number>();
  readonly #lentUnneededSince = new Map<string, number>();
  #broken = new Set<string>();
  /** VMs of the wave that are not done, in its order; undefined before it starts. */
  #pending: string[] | undefined;

  constructor(deps: ControlDeps) {
    this.#deps = deps;
  }

  /** Commits changes as the next version. */
  commit(changes: readonly EntityChange[], isOwn = true): void {
    if (changes.length === 0) return;
    const { view } = this.#deps;
    const changeId = String(view.version + 1);
    view.apply({ changeId, author: 'bench', changes: [...changes] }, view.version + 1);
    this.#countViolations(isOwn);
    const serving = view.list(EntityKind.Vm).filter((vm) => !awayReason(view, vm, NO_ZONES));
    this.#deps.onServing(serving);
  }

  /** Takes VMs out of service without warning, or with the warning of a vendor drain. */
  lose(vms: readonly string[], state: VmState, repairMs: number): void {
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
      this.#lend();
      this.#returnLent();
      this.#tendWave();
      this.#countBuffer();
      await this.#deps.clock.sleep(ROUND_MS, signal);
    }
  }

  #performStops(): void {
    const { view } = this.#deps;
    for (const stop of view.list(EntityKind.Stop)) {
      const { id } = stop;
      if (stop.state === StopState.Draining && this.#isDrained(id)) {
        const value = { ...stop, state: StopState.Stopping };
        this.commit([{ kind: EntityKind.Stop, id, value }]);
        this.#since.set(id, this.#deps.clock.now());
      } else if (stop.state === StopState.Stopping && this.#sinceMs(id) >= REBOOT_MS) {
        this.commit([{ kind: EntityKind.Stop, id }]);
        this.#markDone(id);
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
        this.#assign(move);
      }
    }
  }

  #assign({ id, to, lentForBudget }: Move): void {
    const value = lentForBudget ? { id, pool: to, lentForBudget } : { id, pool: to };
    this.commit([
      { kind: EntityKind.Assignment, id, value },
      { kind: EntityKind.Move, id },
    ]);
  }

  #startMoves(): void {
    const { view } = this.#deps;
    const budget = new Budget(view, { silentZones: NO_ZONES });
    const requested = view.list(EntityKind.Move).filter(({ state }) => isRequested(state));
    const granted = requested.filter(({ id }) => budget.grant(id, AwayReason.Move).isOk);
    for (const move of granted) this.#since.set(move.id, this.#deps.clock.now());
    this.commit(
      granted.map((move) => ({
        kind: EntityKind.Move,
        id: move.id,
        value: { ...move, state: MoveState.Draining },
      })),
    );
  }

  #lend(): void {
    const { view, clock } = this.#deps;
    for (const zone of view.zones()) {
      const changes = planLoans(view, zone, NO_ZONES);
      this.counts.budgetLoans += changes.length;
      for (const { id } of changes) this.#since.set(id, clock.now());
      this.commit(changes);
    }
  }

  #returnLent(): void {
    const { view, clock } = this.#deps;
    const now = clock.now();
    const budget = new Budget(view, { silentZones: NO_ZONES, reserve: 1 });
    const changes: EntityChange[] = [];
    for (const { id, pool, lentForBudget } of view.list(EntityKind.Assignment)) {
      if (!lentForBudget || view.get(EntityKind.Move, id)) continue;
      if (budget.grant(id, AwayReason.Move).isErr) {
        this.#lentUnneededSince.delete(id);
        continue;
      }
      const since = this.#lentUnneededSince.get(id) ?? now;
      this.#lentUnneededSince.set(id, since);
      const to = view.get(EntityKind.Vm, id)?.pool;
      if (now - since < RETURN_LENT_MS || to === undefined) continue;
      const value = { id, from: pool, to, state: MoveState.Requested };
      changes.push({ kind: EntityKind.Move, id, value });
    }
    this.commit(changes);
  }

  #tendWave(): void {
    const { view, clock, waveAtMs, waveReserve, settings, policy } = this.#deps;
    const now = clock.now();
    if (now < waveAtMs) return;
    this.#pending ??= planOrder(view);
    const { counts } = this;
    if (this.#pending.length === 0) {
      counts.rollOutMs ??= now - waveAtMs;
      return;
    }
    const input = { view, settings, silentZones: NO_ZONES };
    const take = createBudgetConsumer(input, (state, pool) =>
      Math.max(waveReserve, policy.bufferVms(state, pool)),
    );
    const granted = this.#pending.filter((id) => {
      const vm = view.get(EntityKind.Vm, id);
      const isBusy = view.get(EntityKind.Move, id) !== undefined;
      return vm !== undefined && !isBusy && !take(vm);
    });
    for (const id of granted) this.#since.set(id, now);
    this.commit(
      granted.map((id) => {
        const value = { id, wave: 'wave', state: StopState.Draining };
        return { kind: EntityKind.Stop, id, value };
      }),
    );
  }

  #markDone(id: string): void {
    this.#pending = this.#pending?.filter((each) => each !== id);
  }

  #isDrained(id: string): boolean {
    return this.#sinceMs(id) >= MIN_DRAIN_MS && this.#deps.inFlight(id) === 0;
  }

  #sinceMs(id: string): number {
    return this.#deps.clock.now() - (this.#since.get(id) ?? 0);
  }

  #countViolations(isOwn: boolean): void {
    const { view } = this.#deps;
    const budget = new Budget(view, { silentZones: NO_ZONES });
    const broken = new Set<string>();
    for (const { id } of view.list(EntityKind.Pool)) if (budget.firstViolation(id)) broken.add(id);
    for (const id of broken) {
      if (this.#broken.has(id)) continue;
      this.counts.violations += 1;
      if (isOwn) this.counts.ownViolations += 1;
    }
    this.#broken = broken;
  }

  #countBuffer(): void {
    const { view, settings, policy, waveReserve } = this.#deps;
    const input = { view, settings, silentZones: NO_ZONES };
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

function planOrder(view: EntityState): string[] {
  const options = { id: 'wave', reserve: 1, stopMs: REBOOT_MS, maxWaveVms: 256 };
  const plan = planWave(view, options);
  if (plan.isErr) throw new InvariantError(`no plan for the wave: ${plan.error.message}`);
  return plan.value.waves.flatMap(({ batches }) => batches.flat());
}
