import {
  commitDecision,
  createContext,
  type ControllerDeps,
  type HeldLease,
} from '../controller/index.js';
import type { CommitMoves } from './types.js';

/** Author of the moves that the policy requests. */
const CAPACITY = 'capacity';

const NO_ZONES: ReadonlySet<string> = new Set();

/**
 * Creates the commit function of the lease holder. Change ids start with `capacity/`, so that they
 * never equal those of the zone controller of the same term.
 *
 * @param deps - what the zone controller is built from
 * @param signal - ends retries when the term is over
 */
export function createCapacityCommit(
  deps: ControllerDeps,
  lease: HeldLease,
  signal: AbortSignal,
): CommitMoves {
  // The zone controller counts silent zones itself when it grants a requested move.
  const reports = { silentZones: () => NO_ZONES, isComplete: () => true };
  const ctx = createContext(deps, lease, reports, signal, CAPACITY);
  return async (decide) => {
    const decided = await commitDecision(ctx, 'capacity', decide);
    return decided.isOk && decided.value.applied;
  };
}
