import { EntityKind, type Vm } from '../configuration/index.js';
import { DrainState, ListedVmState } from '../platform/index.js';
import { isInZone } from './context.js';
import type { ControllerContext } from './types.js';

/**
 * Cancels orphaned drains. A drain order of a paused or crashed lease holder can reach the VM after
 * its stop or move has ended, and would keep the VM out of service forever.
 *
 * A drain by the vendor looks the same until the VM list shows it, so a drain is cancelled only
 * when the VM was found drained without a stop, move or vendor drain for `orphanDrainMs`.
 */
export async function runDrainSweep(ctx: ControllerContext): Promise<void> {
  const drainedSince = new Map<string, number>();
  let next = 0;
  while (!ctx.signal.aborted) {
    const vms = ctx.config.view.list(EntityKind.Vm).filter(({ id }) => isInZone(ctx, id));
    const suspects = vms.filter(({ id }) => drainedSince.has(id));
    const batch = new Set(suspects);
    for (let i = 0; i < Math.min(ctx.settings.sweepBatch, vms.length); i += 1) {
      const vm = vms[(next + i) % vms.length];
      if (vm) batch.add(vm);
    }
    next = vms.length > 0 ? (next + ctx.settings.sweepBatch) % vms.length : 0;
    for (const vm of batch) await checkVm(ctx, vm, drainedSince);
    await ctx.clock.sleep(ctx.settings.sweepIntervalMs, ctx.signal);
  }
}

async function checkVm(
  ctx: ControllerContext,
  { id }: Vm,
  drainedSince: Map<string, number>,
): Promise<void> {
  const status = isExpectedInService(ctx, id)
    ? await ctx.platform.pools.drainStatus(id)
    : undefined;
  const isDrained =
    status?.isOk === true &&
    (status.value.state === DrainState.Draining || status.value.state === DrainState.Drained);
  if (!isDrained) {
    drainedSince.delete(id);
    return;
  }
  const now = ctx.clock.now();
  const since = drainedSince.get(id) ?? now;
  drainedSince.set(id, since);
  if (now - since < ctx.settings.orphanDrainMs) return;
  // The VM list may have changed since the state was last recorded.
  const listed = await ctx.platform.vmList.list(ctx.zone);
  const isLive =
    listed.isOk && listed.value.some((vm) => vm.id === id && vm.state === ListedVmState.Live);
  if (!isLive || !isExpectedInService(ctx, id) || !ctx.lease.isHeld) return;
  const cancelled = await ctx.platform.pools.cancelDrain(id);
  if (cancelled.isErr) return;
  drainedSince.delete(id);
  ctx.metrics.orphanDrains.inc();
  ctx.logger.warn({ event: 'orphan_drain_cancelled', vm: id });
}

/** Whether no stop, move or recorded state explains a drain of the VM. */
function isExpectedInService({ config: { view } }: ControllerContext, id: string): boolean {
  return (
    !view.get(EntityKind.Stop, id) &&
    !view.get(EntityKind.Move, id) &&
    !view.get(EntityKind.VmStatus, id)
  );
}
