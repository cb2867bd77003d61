import { Result } from 'true-myth';
import type { ForwardClient } from './forwardClient.js';
import type { PlacementChooser } from './placement.js';
import { RequestReason } from './reasons.js';
import { ForwardKind, type RequestMetrics } from './requestMetrics.js';
import { RequestError } from './types.js';
import type { Attempt } from './work.js';

/** Parameters of {@link createPlacedAttempt}. */
export interface PlacedAttemptDeps {
  zone: string;
  placement: PlacementChooser;
  forwards: ForwardClient;
  metrics: RequestMetrics;
  runHere: Attempt;
}

const NO_MEMBERS: ReadonlySet<string> = new Set();

/** Creates the attempt that runs a request here or passes it to the member with the best load. */
export function createPlacedAttempt(deps: PlacedAttemptDeps): Attempt {
  return async (work) => {
    // A member that failed before is better than none.
    const placement =
      deps.placement.choose(work.service, work.avoidMembers) ??
      deps.placement.choose(work.service, NO_MEMBERS);
    if (!placement) {
      const message = `no reachable entry process owns an executor of ${work.service.id}`;
      return Result.err(new RequestError(RequestReason.NoBackend, message));
    }
    const { member } = placement;
    if (!member) return deps.runHere(work);
    const kind = member.zone === deps.zone ? ForwardKind.Zone : ForwardKind.OtherZone;
    deps.metrics.forwards.inc({ kind });
    deps.placement.onForward(member, work.service.id);
    const { result } = await deps.forwards.forward(member, work, false);
    if (result.isErr) work.avoidMembers.add(member.name);
    return result;
  };
}
