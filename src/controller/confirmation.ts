import { registeredNames } from '../membership/index.js';
import { DrainState } from '../platform/index.js';
import type { ControllerContext } from './types.js';

/** How the wait for a drain ended. */
export enum DrainOutcome {
  /** No entry process sends to the VM, and the VM has nothing active. */
  Drained = 'drained',
  /** The caller asked to give the drain up. */
  GivenUp = 'given_up',
  TimedOut = 'timed_out',
  /** The lease was lost or the process shuts down. */
  Closed = 'closed',
}

/** What to wait for. */
export interface DrainOptions {
  vm: string;
  /** Configuration version from which entry processes send nothing new to the VM. */
  version: number;
  /** Asked at each check; true ends the wait. */
  isCancelled: () => boolean;
}

/** Last time, on this process's clock, at which a member showed a sign of life. */
type LastHeardTimes = Map<string, number>;

/**
 * Drains a VM and waits until every member of the zone has confirmed that it sends nothing to it
 * any more, and the VM reports that it is drained with nothing active. A member confirms with a
 * heartbeat that carries the version and no request in flight on the VM. A member without contact
 * for `viewTtlMs` counts as expired; the VM itself refuses what it may still send.
 *
 * The drain order and the checkpoint of jobs are repeated until they have taken effect, so the call
 * can be made again by the next holder of the lease.
 */
export async function awaitDrained(
  ctx: ControllerContext,
  options: DrainOptions,
): Promise<DrainOutcome> {
  const startedAt = ctx.clock.now();
  const lastHeardTimes: LastHeardTimes = new Map();
  let isRegistryRead = false;
  let isVacated = false;
  let isOrdered = false;
  while (!ctx.signal.aborted && ctx.lease.isHeld) {
    if (options.isCancelled()) return DrainOutcome.GivenUp;
    if (ctx.clock.now() - startedAt > ctx.settings.drainTimeoutMs) return DrainOutcome.TimedOut;
    if (!isRegistryRead)
      isRegistryRead = await addRegisteredMembers(ctx, lastHeardTimes, startedAt);
    if (!isVacated) isVacated = await ctx.vacate(options.vm);
    const isConfirmed = isConfirmedByMembers(ctx, options, lastHeardTimes);
    if (!isOrdered || isConfirmed) {
      // Once the drain is ordered, the VM is asked only when its answer can end the wait.
      const drain = await ensureDrainOrdered(ctx, options.vm);
      isOrdered = drain.isOrdered;
      if (drain.isDrained && isConfirmed && isRegistryRead && isVacated)
        return DrainOutcome.Drained;
    }
    await ctx.clock.sleep(ctx.settings.confirmIntervalMs, ctx.signal);
  }
  return DrainOutcome.Closed;
}

/**
 * Members that registered but are unknown to this process may hold an older view, so their
 * silence is counted from the start of the wait.
 */
async function addRegisteredMembers(
  ctx: ControllerContext,
  lastHeardTimes: LastHeardTimes,
  startedAt: number,
): Promise<boolean> {
  const names = await registeredNames(ctx.platform.table, ctx.zone);
  if (names.isErr) return false;
  for (const name of names.value) {
    if (name !== ctx.membership.self.name && !lastHeardTimes.has(name))
      lastHeardTimes.set(name, startedAt);
  }
  return true;
}

/** What the VM reports; orders the drain when it is in service. */
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
  lastHeardTimes: LastHeardTimes,
): boolean {
  const { membership, settings } = ctx;
  const now = ctx.clock.now();
  const confirmed = new Set<string>();
  for (const member of membership.members()) {
    if (member.info.zone !== ctx.zone) continue;
    const { name } = member.info;
    lastHeardTimes.set(name, member.lastHeardAt);
    const inFlight = member.draining.find(({ vm }) => vm === options.vm)?.inFlight ?? 0;
    if (member.configVersion >= options.version && inFlight === 0) confirmed.add(name);
  }
  // A member that was removed from the membership keeps its last contact here until it expires.
  for (const [name, lastHeardAt] of lastHeardTimes) {
    if (!confirmed.has(name) && now - lastHeardAt < settings.viewTtlMs) return false;
  }
  return ctx.config.view.version >= options.version && ctx.inFlight(options.vm) === 0;
}
