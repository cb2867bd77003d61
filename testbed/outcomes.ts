import { Outcome } from '../src/peers/index.js';

const OUTCOMES_BY_NAME = new Map<string, Outcome>(
  Object.values(Outcome).map((each) => [each, each]),
);

/** Parses the `outcome` header of a response; undefined when it names no known outcome. */
export function parseOutcome(header: string | string[] | undefined): Outcome | undefined {
  return typeof header === 'string' ? OUTCOMES_BY_NAME.get(header) : undefined;
}
