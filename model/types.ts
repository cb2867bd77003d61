/** A step of a specification. Numbers are indexes into lists of its state. */
export interface Step {
  type: string;
  process?: number;
  /** Index of a second process, or of an attempt, order or message. */
  peer?: number;
  /** Index of a VM, or of the worker on it. */
  vm?: number;
}

/** A property that must hold in every reachable state. */
export interface Invariant<State> {
  id: string;
  /** The requirement or design rule that it checks. */
  text: string;
  holds(state: State): boolean;
}

/** A deliberately faulty version of the protocol, which the exploration must detect. */
export interface FaultyVariant {
  id: string;
  text: string;
  /** Id of the invariant that it violates. */
  violates: string;
}

/** A small model of one protocol, independent of the production code. */
export interface Specification<State> {
  id: string;
  text: string;
  initial: State;
  /** Steps that are enabled in a state. */
  steps(state: State, variant?: string): readonly Step[];
  /** The state after a step. Must not modify its argument. */
  next(state: State, step: Step, variant?: string): State;
  invariants: readonly Invariant<State>[];
  faultyVariants: readonly FaultyVariant[];
}

/** Result of exploring one specification in one variant. */
export interface Exploration {
  specification: string;
  /** Undefined for the correct protocol. */
  variant?: string;
  states: number;
  transitions: number;
  /** Largest distance of a state from the initial state, in steps. */
  depth: number;
  /** Shortest trace to a violation of each violated invariant. */
  violations: { invariant: string; trace: Step[] }[];
}
