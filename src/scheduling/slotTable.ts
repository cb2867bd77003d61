import { sizeClasses, type SlotShares } from './policies.js';
import { SizeClass, type ExecutorSlots } from './types.js';

/** Slots of one executor and their use. */
export interface ExecutorState {
  spec: ExecutorSlots;
  /** False once this process no longer owns the executor; the state is kept for open grants. */
  owned: boolean;
  busy: number;
  /** Busy slots by the size class of the running item. */
  busyByClass: Record<SizeClass, number>;
}

/** Slots of the usable executors of one service. */
export interface SlotCount {
  slots: number;
  busy: number;
}

/** Compensates for rounding errors in shares that were computed from whole slots. */
const ROUNDING_TOLERANCE = 1e-6;

/** Converts a share into a number of slots; a share above zero gives at least one. */
function slotLimit(slots: number, share: number): number {
  return share > 0 ? Math.max(1, Math.floor(slots * share + ROUNDING_TOLERANCE)) : 0;
}

/** Busy slots of an executor, for a class and all longer ones. */
function busyFromClass(state: ExecutorState, sizeClass: SizeClass): number {
  return sizeClasses
    .slice(sizeClasses.indexOf(sizeClass))
    .reduce((sum, each) => sum + state.busyByClass[each], 0);
}

/** Slots of the executors that this process owns. */
export class SlotTable {
  readonly #byVm = new Map<string, ExecutorState>();
  readonly #byService = new Map<string, ExecutorState[]>();
  readonly #isUsable: (vm: string) => boolean;

  /** @param isUsable - whether new work may be sent to a VM */
  constructor(isUsable: (vm: string) => boolean) {
    this.#isUsable = isUsable;
  }

  /** Replaces the owned executors. Grants on removed ones stay counted until released. */
  setExecutors(executors: readonly ExecutorSlots[]): void {
    for (const state of this.#byVm.values()) state.owned = false;
    this.#byService.clear();
    for (const spec of executors) this.#addExecutor(spec);
    for (const state of [...this.#byVm.values()]) this.#removeIfUnused(state);
  }

  services(): string[] {
    return [...this.#byService.keys()];
  }

  busySlots(vm: string): number {
    return this.#byVm.get(vm)?.busy ?? 0;
  }

  /** Returns the executors of a service that may receive new work, with or without a free slot. */
  usableExecutors(service: string): ExecutorState[] {
    return (this.#byService.get(service) ?? []).filter((state) => this.#isUsable(state.spec.vm));
  }

  /** Returns the executors with a free slot for the class within its limits. */
  candidates(service: string, sizeClass: SizeClass, shares: SlotShares): ExecutorState[] {
    const states = this.usableExecutors(service);
    const slots = states.reduce((sum, state) => sum + state.spec.slots, 0);
    if (this.countBusyFromClass(states, sizeClass) >= slotLimit(slots, shares.maxPoolShare))
      return [];
    return states.filter(
      (state) =>
        state.busy < state.spec.slots &&
        busyFromClass(state, sizeClass) < slotLimit(state.spec.slots, shares.maxExecutorShare),
    );
  }

  /** Whether a class and all longer ones hold fewer slots than guaranteed. */
  isBelowGuarantee(service: string, sizeClass: SizeClass, shares: SlotShares): boolean {
    const states = this.usableExecutors(service);
    const slots = states.reduce((sum, state) => sum + state.spec.slots, 0);
    return this.countBusyFromClass(states, sizeClass) < Math.floor(slots * shares.guaranteedShare);
  }

  /** Counts the busy slots of a class and all longer ones. */
  countBusyFromClass(states: readonly ExecutorState[], sizeClass: SizeClass): number {
    return states.reduce((sum, state) => sum + busyFromClass(state, sizeClass), 0);
  }

  count(service: string): SlotCount {
    const states = this.usableExecutors(service);
    return {
      slots: states.reduce((sum, state) => sum + state.spec.slots, 0),
      busy: states.reduce((sum, state) => sum + Math.min(state.busy, state.spec.slots), 0),
    };
  }

  acquire(state: ExecutorState, sizeClass: SizeClass): void {
    state.busy += 1;
    state.busyByClass[sizeClass] += 1;
  }

  reclassify(state: ExecutorState, from: SizeClass, to: SizeClass): void {
    state.busyByClass[from] -= 1;
    state.busyByClass[to] += 1;
  }

  release(state: ExecutorState, sizeClass: SizeClass): void {
    state.busy -= 1;
    state.busyByClass[sizeClass] -= 1;
    this.#removeIfUnused(state);
  }

  #addExecutor(spec: ExecutorSlots): void {
    const state = this.#byVm.get(spec.vm) ?? {
      spec,
      owned: true,
      busy: 0,
      busyByClass: { [SizeClass.Short]: 0, [SizeClass.Medium]: 0, [SizeClass.Long]: 0 },
    };
    state.spec = spec;
    state.owned = true;
    this.#byVm.set(spec.vm, state);
    const states = this.#byService.get(spec.service);
    if (states) states.push(state);
    else this.#byService.set(spec.service, [state]);
  }

  #removeIfUnused(state: ExecutorState): void {
    if (!state.owned && state.busy === 0) this.#byVm.delete(state.spec.vm);
  }
}
