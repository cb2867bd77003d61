import type { ListenerLimits } from './types.js';

const MIB = 1_048_576;

/** What a process may use, in so far as it bounds its listeners. */
export interface ListenerResources {
  /** Memory of the process, in bytes. */
  memoryBytes: number;
  /** Maximum number of open descriptors of the process. */
  maxDescriptors: number;
}

/** Resources of the smallest entry VM. */
export const smallestResources: ListenerResources = {
  memoryBytes: 250 * MIB,
  maxDescriptors: 4_100,
};

/** Share of the descriptors for callers; the others are for files, the store, links and workers. */
const CONNECTION_SHARE = 0.4;
/** Memory shares; together with the connections, callers hold about a third of a small VM. */
const BODY_SHARE = 0.1;
const READ_AHEAD_SHARE = 0.08;
/** Smaller than the others, since parsed headers take about ten times their size. */
const HEADER_SHARE = 0.01;
/** Memory of an open connection, rounded up. */
const CONNECTION_BYTES = 16_384;
const CONNECTION_MEMORY_SHARE = 0.12;
/** A parsed job takes up to this many times the size of its body. */
const JOB_BYTES_PER_BODY_BYTE = 16;

/** Limits of a listener for jobs, from the resources of its process. */
export function jobListenerLimits({
  memoryBytes,
  maxDescriptors,
}: ListenerResources): ListenerLimits {
  const connectionsInMemory = (memoryBytes * CONNECTION_MEMORY_SHARE) / CONNECTION_BYTES;
  const maxConnections = Math.floor(
    Math.min(maxDescriptors * CONNECTION_SHARE, connectionsInMemory),
  );
  return {
    maxConnections,
    maxInFlight: maxConnections,
    maxHeaderBytes: 16_384,
    maxTotalHeaderBytes: memoryBytes * HEADER_SHARE,
    maxBodyBytes: 262_144,
    maxTotalBodyBytes: memoryBytes * BODY_SHARE,
    memoryPerBodyByte: JOB_BYTES_PER_BODY_BYTE,
    maxReadAheadBytes: memoryBytes * READ_AHEAD_SHARE,
    headerTimeoutMs: 3_000,
    bodyTimeoutMs: 60_000,
    bodyIdleTimeoutMs: 10_000,
    answerTimeoutMs: 60_000,
    idleTimeoutMs: 15_000,
  };
}

/** Limits of a listener that answers status checks, which have no body. */
export const statusListenerLimits: ListenerLimits = {
  ...jobListenerLimits(smallestResources),
  maxConnections: 64,
  maxInFlight: 64,
  maxBodyBytes: 0,
  maxTotalBodyBytes: 0,
  memoryPerBodyByte: 1,
  maxReadAheadBytes: 2 * MIB,
};
