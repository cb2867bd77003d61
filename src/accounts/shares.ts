/** Lower bound on weights, so that a flow is served after a bounded number of rounds. */
const MIN_WEIGHT = 0.1;

/** An amount of each resource, as offered by a pool or held by an account. */
export interface ResourceAmounts {
  /** Thousandths of a core. */
  cpuMillis: number;
  /** MiB. */
  memoryMb: number;
  accelerators: number;
}

/** Weight used in the arithmetic of shares; a configured one that is too small is raised. */
export function effectiveWeight(weight: number): number {
  return Math.max(MIN_WEIGHT, weight);
}

/** Amount served per unit of weight; the flow with the lowest value is served next. */
export function perWeight(amount: number, weight: number): number {
  return amount / effectiveWeight(weight);
}

/** Part of a total that belongs to a weight among flows with this total weight. */
export function weightedPart(total: number, weight: number, totalWeight: number): number {
  return totalWeight > 0 ? (total * effectiveWeight(weight)) / totalWeight : total;
}

/**
 * Work served before a flow's own work is done, if all flows are served by weight: all of it, or
 * less if the flow has less than its share.
 *
 * @param own - the flow's own work, in any unit
 * @param all - work of all flows, in the same unit
 */
export function sharedWorkAhead(
  own: number,
  all: number,
  weight: number,
  totalWeight: number,
): number {
  return Math.min(all, (own * totalWeight) / effectiveWeight(weight));
}

/**
 * Work of another flow that is served while a flow's own work is done, if both are served by weight.
 *
 * @param own - the flow's own work, in any unit
 * @param other - work of the other flow, in the same unit
 */
export function otherWorkAhead(
  own: number,
  weight: number,
  other: number,
  otherWeight: number,
): number {
  return Math.min(other, perWeight(own, weight) * effectiveWeight(otherWeight));
}

/** Largest share of a pool's CPU, memory or accelerators that an amount takes; 0 of an empty pool. */
export function dominantShare(amount: ResourceAmounts, pool: ResourceAmounts): number {
  return Math.max(
    pool.cpuMillis > 0 ? amount.cpuMillis / pool.cpuMillis : 0,
    pool.memoryMb > 0 ? amount.memoryMb / pool.memoryMb : 0,
    pool.accelerators > 0 ? amount.accelerators / pool.accelerators : 0,
  );
}
