import {
  commitDecision,
  createContext,
  type ControllerDeps,
  type HeldLease,
} from '../controller/index.js';
import type { CommitMoves } from './types.js';

/** Author of the requested moves; their change ids start with it. */
const AUTHOR = 'capacity';

const NO_ZONES: ReadonlySet<string> = new Set();

/**
 * Creates the function with which the lease holder commits requested moves. Change ids start with
 * `capacity/`, so that they never equal those of the zone controller in the same term.
 *
 * @param deps - dependencies of the zone controller
 * @param signal - aborted at the end of the term; stops retries
 */
export function createCapacityCommit(
  deps: ControllerDeps,
  lease: HeldLease,
  signal: AbortSignal,
): CommitMoves {
  // The zone controller accounts for silent zones itself when it grants a requested move.
  const reports = { silentZones: () => NO_ZONES, isComplete: () => true };
  const ctx = createContext(deps, lease, reports, signal, AUTHOR);
  return async (decide) => {
    const decided = await commitDecision(ctx, 'capacity', decide);
    return decided.isOk && decided.value.applied;
  };
}
