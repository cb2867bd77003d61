import { Result } from 'true-myth';
import type { Attempt } from './attempt.js';
import type { ForwardClient } from './forwardClient.js';
import type { PlacementChooser } from './placement.js';
import { RequestReason } from './reasons.js';
import { ForwardKind, type RequestMetrics } from './requestMetrics.js';
import { RequestError } from './types.js';

/** Parameters of {@link createPlacedAttempt}. */
export interface PlacedAttemptDeps {
  zone: string;
  placement: PlacementChooser;
  forwards: ForwardClient;
  metrics: RequestMetrics;
  runLocal: Attempt;
}

const NO_MEMBERS: ReadonlySet<string> = new Set();

/** Creates the attempt that runs a request locally or forwards it to the best placed member. */
export function createPlacedAttempt(deps: PlacedAttemptDeps): Attempt {
  return async (req) => {
    // A member through which an attempt failed is used again if there is no other.
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
