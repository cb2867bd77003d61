import { explore } from './explore.js';
import { configurationSpecification } from './specifications/configuration.js';
import { moveSpecification, stopSpecification } from './specifications/drain.js';
import { holderSpecification } from './specifications/holder.js';
import { requestSpecification } from './specifications/requests.js';
import type { Exploration, Specification, WrongVariant } from './types.js';

export { explore } from './explore.js';
export type { Exploration, Invariant, Specification, Step, WrongVariant } from './types.js';
export {
  configurationSpecification,
  holderSpecification,
  moveSpecification,
  requestSpecification,
  stopSpecification,
};

/** One entry of the registry, with the state type hidden. */
export interface SpecificationEntry {
  id: string;
  text: string;
  invariants: readonly { id: string; text: string }[];
  wrongVariants: readonly WrongVariant[];
  explore(variant?: string): Exploration;
}

function register<State>(specification: Specification<State>): SpecificationEntry {
  const { id, text, invariants, wrongVariants } = specification;
  return {
    id,
    text,
    invariants,
    wrongVariants,
    explore: (variant) => explore(specification, variant),
  };
}

/** All specifications. */
export const specifications: readonly SpecificationEntry[] = [
  register(configurationSpecification),
  register(stopSpecification),
  register(moveSpecification),
  register(requestSpecification),
  register(holderSpecification),
];
