import { explore } from './explore.js';
import { budgetSpecification } from './specifications/budget.js';
import { configurationSpecification } from './specifications/configuration.js';
import { moveSpecification, stopSpecification } from './specifications/drain.js';
import { holderSpecification } from './specifications/holder.js';
import { requestSpecification } from './specifications/requests.js';
import { sessionSpecification } from './specifications/session.js';
import type { Exploration, FaultyVariant, Specification } from './types.js';

export { explore } from './explore.js';
export type { Exploration, FaultyVariant, Invariant, Specification, Step } from './types.js';
export {
  budgetSpecification,
  configurationSpecification,
  holderSpecification,
  moveSpecification,
  requestSpecification,
  sessionSpecification,
  stopSpecification,
};

/** A specification with its state type erased, so that one list can hold all of them. */
export interface SpecificationEntry {
  id: string;
  text: string;
  invariants: readonly { id: string; text: string }[];
  faultyVariants: readonly FaultyVariant[];
  explore(variant?: string): Exploration;
}

function createEntry<State>(specification: Specification<State>): SpecificationEntry {
  const { id, text, invariants, faultyVariants } = specification;
  return {
    id,
    text,
    invariants,
    faultyVariants,
    explore: (variant) => explore(specification, variant),
  };
}

/** All specifications. */
export const specifications: readonly SpecificationEntry[] = [
  createEntry(configurationSpecification),
  createEntry(stopSpecification),
  createEntry(moveSpecification),
  createEntry(requestSpecification),
  createEntry(holderSpecification),
  createEntry(sessionSpecification),
  createEntry(budgetSpecification),
];
