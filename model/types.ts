/** A step of a specification. `process` and `vm` are indexes where they apply. */
export interface Step {
  type: string;
  process?: number;
  peer?: number;
  vm?: number;
}

/** A property that must hold in every reachable state. */
export interface Invariant<State> {
  id: string;
  /** The promise of the brief or the rule of the design that it stands for. */
  text: string;
  holds(state: State): boolean;
}

/** A deliberately wrong version of the protocol, which the exploration must find. */
export interface FaultyVariant {
  id: string;
  text: string;
  /** Id of the invariant that it breaks. */
  violates: string;
}

/** A small specification of one protocol, independent of the code. */
export interface Specification<State> {
  id: string;
  text: string;
  initial: State;
  /** Steps that are possible in a state. */
  steps(state: State, variant?: string): readonly Step[];
  /** The state after a step. Must not change its argument. */
  next(state: State, step: Step, variant?: string): State;
  invariants: readonly Invariant<State>[];
  faultyVariants: readonly FaultyVariant[];
}

/** Result of exploring one specification in one variant. */
export interface Exploration {
  specification: string;
  /** Undefined for the right protocol. */
  variant?: string;
  states: number;
  transitions: number;
  /** Length of the longest shortest path. */
  depth: number;
  /** Shortest trace to a violation, per invariant that is broken. */
  violations: { invariant: string; trace: Step[] }[];
}
