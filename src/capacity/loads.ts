import { EntityKind, type ConfigView } from '../configuration/index.js';
import { MemberState, type Membership } from '../membership/index.js';
import type { ServiceLoad } from '../peers/index.js';
import type { PoolLoad } from './types.js';

/** Sums the loads of this process and of the alive members of all zones by service. */
export function fleetLoad(
  membership: Pick<Membership, 'members'>,
  own: readonly ServiceLoad[],
): ServiceLoad[] {
  const alive = membership.members().filter(({ state }) => state === MemberState.Alive);
  return sumLoads([...own, ...alive.flatMap(({ load }) => load)]);
}

function sumLoads(loads: readonly ServiceLoad[]): ServiceLoad[] {
  const sums = new Map<string, ServiceLoad>();
  for (const { service, slots, freeSlots, queued } of loads) {
    const sum = sums.get(service) ?? { service, slots: 0, freeSlots: 0, queued: 0 };
    sum.slots += slots;
    sum.freeSlots += freeSlots;
    sum.queued += queued;
    sums.set(service, sum);
  }
  return [...sums.values()];
}

/** Sums the loads by pool; services missing from the configuration are left out. */
export function loadByPool(view: ConfigView, loads: readonly ServiceLoad[]): Map<string, PoolLoad> {
  const byPool = new Map<string, PoolLoad>();
  for (const { service, slots, freeSlots, queued } of loads) {
    const pool = view.get(EntityKind.Service, service)?.pool;
    if (pool === undefined) continue;
    const load = byPool.get(pool) ?? { pool, slots: 0, freeSlots: 0, queued: 0 };
    load.slots += slots;
    load.freeSlots += freeSlots;
    load.queued += queued;
    byPool.set(pool, load);
  }
  return byPool;
}
