import { rendezvousScore } from '../membership/rendezvous.js';

/** Share of a core that the holder of a busy service uses; measured on the grown sites. */
const CORES_PER_SERVICE = 0.25;
/** Bandwidth that the holder of a busy service uses for starts, reports and its journal, in Mbit/s. */
const LINK_PER_SERVICE_MBPS = 20;

/** What a node's VM has. */
export interface NodeResources {
  /** Processor in cores of ordinary speed. */
  cores: number;
  /** Bandwidth of the VM's own link, in Mbit/s. */
  bandwidthMbps: number;
}

/** A node that could hold a service. */
export interface Candidate {
  node: string;
  /** How many busy services the node can carry, see {@link nodeWeight}. */
  weight: number;
  /** Services that it holds. */
  held: number;
}

/** How many busy services a VM can carry, by what it has least of; below 1 for a small VM. */
export function nodeWeight({ cores, bandwidthMbps }: NodeResources): number {
  return Math.min(cores / CORES_PER_SERVICE, bandwidthMbps / LINK_PER_SERVICE_MBPS);
}

/**
 * How many nodes are better placed than one of them to hold a service: less loaded for their
 * weight with it than that node, then by rendezvous hash.
 */
export function rankForService(node: string, service: string, candidates: Candidate[]): number {
  const self = candidates.find((candidate) => candidate.node === node);
  if (!self) return candidates.length;
  const ownLoad = loadWithOneMore(self);
  const ownScore = rendezvousScore(node, service);
  return candidates.filter((other) => {
    if (other.node === node) return false;
    const load = loadWithOneMore(other);
    return load < ownLoad || (load === ownLoad && rendezvousScore(other.node, service) > ownScore);
  }).length;
}

function loadWithOneMore({ held, weight }: Candidate): number {
  return (held + 1) / weight;
}
