import {
  EntityKind,
  StopState,
  VmState,
  type ConfigView,
  type EntityChange,
  type Vm,
} from '../configuration/index.js';
import { EventName, LeavingSign } from '../events/index.js';
import { ListedVmState, type ListedVm } from '../platform/index.js';
import { commitDecision, Priority } from './commit.js';
import { ProbeResult, type ControllerContext } from './types.js';

/** VM list and probe results of a zone at one moment. */
export interface ZoneObservation {
  zone: string;
  listed: readonly ListedVm[];
  lastProbe: (vm: string) => ProbeResult;
}

/** States of a planned stop in which the VM reboots and is not expected to answer probes. */
const REBOOTING_STATES: ReadonlySet<StopState> = new Set([StopState.Stopping, StopState.Returning]);

/** Changes that update the recorded VM states of a zone to the observed ones. */
export function statusChanges(view: ConfigView, observation: ZoneObservation): EntityChange[] {
  const listed = new Map(observation.listed.map(({ id, state }) => [id, state]));
  const changes: EntityChange[] = [];
  for (const vm of view.list(EntityKind.Vm)) {
    if (vm.zone !== observation.zone) continue;
    const recorded = view.get(EntityKind.VmStatus, vm.id)?.state ?? VmState.Up;
    const observed = { listed: listed.get(vm.id), probe: observation.lastProbe(vm.id) };
    const state = observedState(view, vm, recorded, observed) ?? recorded;
    if (state === recorded) continue;
    const value = state === VmState.Up ? undefined : { id: vm.id, state };
    changes.push({ kind: EntityKind.VmStatus, id: vm.id, value });
  }
  return changes;
}

/** VM list entry and probe result of one VM. */
interface VmObservation {
  listed: ListedVmState | undefined;
  probe: ProbeResult;
}

/** The observed state; undefined when the observation does not justify a change of the record. */
function observedState(
  view: ConfigView,
  vm: Vm,
  recorded: VmState,
  { listed, probe }: VmObservation,
): VmState | undefined {
  if (listed === ListedVmState.Leaving) return VmState.Leaving;
  // A VM that has left disappears from the list before its last healthy probe is outdated.
  if (recorded === VmState.Leaving && listed === undefined) return undefined;
  const stop = view.get(EntityKind.Stop, vm.id)?.state;
  if (stop !== undefined && REBOOTING_STATES.has(stop)) return undefined;
  const isDrained = stop !== undefined || view.get(EntityKind.Move, vm.id) !== undefined;
  // A VM may refuse its probes while it is drained for planned work.
  if (probe === ProbeResult.Failed) return isDrained ? undefined : VmState.Failed;
  if (probe === ProbeResult.Unreachable) return VmState.Unreachable;
  if (probe === ProbeResult.Healthy) return VmState.Up;
  // A VM without a backend server is never probed.
  if (listed === ListedVmState.Live && !vm.executor) return VmState.Up;
  // The list lags, so a VM that it lacks is unreachable only if no probe has reached it either.
  return listed === undefined ? VmState.Unreachable : undefined;
}

/**
 * Reads the VM list of the zone periodically and records the changes as one change set. A slow
 * commit does not delay the next reading; it records the latest one.
 */
export async function runVmStatus(ctx: ControllerContext): Promise<void> {
  const announced = new Set<string>();
  let newest: readonly ListedVm[] = [];
  let recording: Promise<void> | undefined;
  while (!ctx.signal.aborted) {
    const listed = await ctx.platform.vmList.list(ctx.zone);
    if (listed.isOk) {
      newest = listed.value;
      emitLeavingEvents(ctx, newest, announced);
      recording ??= recordStatus(ctx, () => newest).finally(() => {
        recording = undefined;
      });
    }
    await ctx.clock.sleep(ctx.settings.statusIntervalMs, ctx.signal);
  }
  await recording;
}

/** Commits the VM states of the zone that differ from the VM list and the last probes. */
export async function recordStatus(
  ctx: ControllerContext,
  newestList: () => readonly ListedVm[],
): Promise<void> {
  const { zone, lastProbe } = ctx;
  const decide = (view: ConfigView) =>
    statusChanges(view, { zone, listed: newestList(), lastProbe });
  await commitDecision(ctx, 'vm_status', decide, Priority.Urgent);
}

/**
 * Emits an event for each VM that starts to leave and for each that is live again. The events do
 * not wait for the commit, since a VM may be back before its leaving could be recorded.
 */
function emitLeavingEvents(
  ctx: ControllerContext,
  listed: readonly ListedVm[],
  announced: Set<string>,
): void {
  for (const { id, state } of listed) {
    if (state !== ListedVmState.Leaving) {
      if (announced.delete(id)) void ctx.events.emit(EventName.VmReturned, { vm: id });
    } else if (!announced.has(id)) {
      announced.add(id);
      ctx.metrics.vmsLeaving.inc();
      ctx.logger.info({ event: 'vm_leaving', vm: id, sign: LeavingSign.VmList });
      void ctx.events.emit(EventName.VmLeaving, { vm: id, sign: LeavingSign.VmList });
    }
  }
}
