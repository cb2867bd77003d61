import { Result } from 'true-myth';
import type { ForwardClient } from './forwardClient.js';
import type { PlacementChooser } from './placement.js';
import { RequestReason } from './reasons.js';
import { ForwardKind, type RequestMetrics } from './requestMetrics.js';
import { RequestError } from './types.js';
import type { Attempt } from './attempt.js';

/** Parameters of {@link createPlacedAttempt}. */
export interface PlacedAttemptDeps {
  zone: string;
  placement: PlacementChooser;
  forwards: ForwardClient;
  metrics: RequestMetrics;
  runLocal: Attempt;
}

const NO_MEMBERS: ReadonlySet<string> = new Set();

/** Creates the attempt that runs a request here or passes it to the member with the best load. */
export function createPlacedAttempt(deps: PlacedAttemptDeps): Attempt {
  return async (req) => {
    // A member that failed before is better than none.
    const placement =
      deps.placement.choose(req.service, req.avoidMembers) ??
      deps.placement.choose(req.service, NO_MEMBERS);
    if (!placement) {
      const message = `no reachable entry process owns an executor of ${req.service.id}`;
      return Result.err(new RequestError(RequestReason.NoBackend, message));
    }
    const { member } = placement;
    if (!member) return deps.runLocal(req);
    const kind = member.zone === deps.zone ? ForwardKind.SameZone : ForwardKind.OtherZone;
    deps.metrics.forwards.inc({ kind });
    deps.placement.onForward(member, req.service.id);
    const { result } = await deps.forwards.forward(member, req, false);
    if (result.isErr) req.avoidMembers.add(member.name);
    return result;
  };
}
