import { registeredMemberNames } from '../membership/index.js';
import { DrainState } from '../platform/index.js';
import type { ControllerContext } from './types.js';

/** Outcome of waiting for a VM to drain. */
export enum DrainOutcome {
  /** No entry process sends requests to the VM, and nothing is active on the VM. */
  Drained = 'drained',
  /** The caller cancelled the drain. */
  Cancelled = 'given_up',
  TimedOut = 'timed_out',
  /** The lease was lost or the process shuts down. */
  Closed = 'closed',
}

/** Options of {@link awaitDrained}. */
export interface DrainOptions {
  vm: string;
  /** Configuration version from which entry processes send no new requests to the VM. */
  version: number;
  /** Called at each check; true ends the wait. */
  isCancelled: () => boolean;
}

/** Time on this process's clock at which each member was last heard from, by member name. */
type LastHeardTimes = Map<string, number>;

/**
 * Drains a VM and waits until every member of the zone has confirmed that it no longer sends
 * requests to it, and the VM reports that it is drained with nothing active. A member confirms with
 * a heartbeat that carries the version and no request in flight on the VM. A member that was not
 * heard from for `viewTtlMs` counts as expired; the VM refuses the requests that it still sends.
 *
 * The drain order and the checkpoint of jobs are repeated until they have taken effect, so the next
 * holder of the lease can make the same call again.
 */
export async function awaitDrained(
  ctx: ControllerContext,
  options: DrainOptions,
): Promise<DrainOutcome> {
  const startedAt = ctx.clock.now();
  const lastHeard: LastHeardTimes = new Map();
  let hasRegistry = false;
  let isVacated = false;
  let isOrdered = false;
  while (!ctx.signal.aborted && ctx.lease.isHeld) {
    if (options.isCancelled()) return DrainOutcome.Cancelled;
    if (ctx.clock.now() - startedAt > ctx.settings.drainTimeoutMs) return DrainOutcome.TimedOut;
    if (!hasRegistry) hasRegistry = await addRegisteredMembers(ctx, lastHeard, startedAt);
    if (!isVacated) isVacated = await ctx.vacate(options.vm);
    const isConfirmed = isConfirmedByMembers(ctx, options, lastHeard);
    if (!isOrdered || isConfirmed) {
      // Once the drain is ordered, the VM is queried only when its answer can end the wait.
      const drain = await ensureDrainOrdered(ctx, options.vm);
      isOrdered = drain.isOrdered;
      if (drain.isDrained && isConfirmed && hasRegistry && isVacated) return DrainOutcome.Drained;
    }
    await ctx.clock.sleep(ctx.settings.confirmIntervalMs, ctx.signal);
  }
  return DrainOutcome.Closed;
}

/**
 * Adds registered members that are unknown to this process. They may hold an older view, so their
 * expiry is measured from the start of the wait.
 *
 * @returns whether the registered members could be read
 */
async function addRegisteredMembers(
  ctx: ControllerContext,
  lastHeard: LastHeardTimes,
  startedAt: number,
): Promise<boolean> {
  const names = await registeredMemberNames(ctx.platform.table, ctx.zone);
  if (names.isErr) return false;
  for (const name of names.value) {
    if (name !== ctx.membership.self.name && !lastHeard.has(name)) lastHeard.set(name, startedAt);
  }
  return true;
}

/** Reads the drain state of the VM, and orders the drain if the VM is in service. */
async function ensureDrainOrdered(
  ctx: ControllerContext,
  vm: string,
): Promise<{ isOrdered: boolean; isDrained: boolean }> {
  const status = await ctx.platform.pools.drainStatus(vm);
  if (status.isErr) return { isOrdered: false, isDrained: false };
  const { state, active } = status.value;
  const isInService = state === DrainState.InService;
  if (isInService) await ctx.platform.pools.drain(vm);
  return { isOrdered: !isInService, isDrained: state === DrainState.Drained && active === 0 };
}

function isConfirmedByMembers(
  ctx: ControllerContext,
  options: DrainOptions,
  lastHeard: LastHeardTimes,
): boolean {
  const { membership, settings } = ctx;
  const now = ctx.clock.now();
  const confirmed = new Set<string>();
  for (const member of membership.members()) {
    if (member.info.zone !== ctx.zone) continue;
    const { name } = member.info;
    lastHeard.set(name, member.lastHeardAt);
    const inFlight = member.draining.find(({ vm }) => vm === options.vm)?.inFlight ?? 0;
    if (member.configVersion >= options.version && inFlight === 0) confirmed.add(name);
  }
  // Members that were removed from the membership stay in this map until they expire.
  for (const [name, lastHeardAt] of lastHeard) {
    if (!confirmed.has(name) && now - lastHeardAt < settings.viewTtlMs) return false;
  }
  return ctx.config.view.version >= options.version && ctx.inFlight(options.vm) === 0;
}
