import { rendezvousScore } from '../membership/rendezvous.js';

/** Cores that the holder of a busy service uses in large deployments. */
const CORES_PER_SERVICE = 0.25;
/** Bandwidth in Mbit/s that a busy service's holder uses for orders, worker reports and journal. */
const BANDWIDTH_PER_SERVICE_MBPS = 20;

/** Resources of a node's VM. */
export interface NodeResources {
  /** CPU capacity in cores of standard speed. */
  cores: number;
  /** Bandwidth of the VM's network link, in Mbit/s. */
  bandwidthMbps: number;
}

/** A node that could hold a service. */
export interface Candidate {
  node: string;
  /** Number of busy services that the node can hold, see {@link nodeWeight}. */
  weight: number;
  /** Number of services that the node holds. */
  held: number;
}

/** Number of busy services that a VM can hold, by its scarcest resource; below 1 for a small VM. */
export function nodeWeight({ cores, bandwidthMbps }: NodeResources): number {
  return Math.min(cores / CORES_PER_SERVICE, bandwidthMbps / BANDWIDTH_PER_SERVICE_MBPS);
}

/**
 * Rank of a node for holding a service: the number of candidates that are preferred to it. A
 * candidate is preferred when its load by weight would be lower with the service; ties are broken
 * by rendezvous hash.
 */
export function rankForService(node: string, service: string, candidates: Candidate[]): number {
  const self = candidates.find((candidate) => candidate.node === node);
  if (!self) return candidates.length;
  const ownLoad = loadAfterClaim(self);
  const ownScore = rendezvousScore(node, service);
  return candidates.filter((other) => {
    if (other.node === node) return false;
    const load = loadAfterClaim(other);
    return load < ownLoad || (load === ownLoad && rendezvousScore(other.node, service) > ownScore);
  }).length;
}

function loadAfterClaim({ held, weight }: Candidate): number {
  return (held + 1) / weight;
}
