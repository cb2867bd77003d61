import { EntityKind, type IndexedConfigView, type Vm } from '../configuration/index.js';
import { planWave } from '../controller/index.js';
import type { OperatorDeps, PlannedMaintenance, WaveSelection } from '../operators/index.js';
import { PartitionDirection } from '../peers/index.js';
import { operatorToken } from './identity.js';
import type { JobParts } from './jobParts.js';
import type { EntryParts } from './parts.js';
import type { EntryContext } from './types.js';

/** Versions read at once for the history. */
const HISTORY_PAGE = 1_000;

/** Expected time of one planned stop, for the estimate of a plan, in milliseconds. */
const EXPECTED_STOP_MS = 300_000;

/** Creates what the operator listener works with. */
export async function createOperatorDeps(
  ctx: EntryContext,
  parts: EntryParts,
  jobs: JobParts,
): Promise<OperatorDeps> {
  const { store, history, network, membership, state } = parts;
  const { view } = store;
  return {
    ...ctx,
    ...{ view, membership },
    self: network.self,
    settings: ctx.settings.operators,
    token: await operatorToken(ctx),
    readiness: () => state.readiness(),
    snapshot: () => store.snapshot(),
    commit: parts.commit,
    committedVersion: (changeId) => history.committedVersion(changeId),
    history: (limit) => {
      const count = Math.min(limit, HISTORY_PAGE);
      return history.deltasAfter(Math.max(0, view.version - count), count);
    },
    planWaves: (id, selection) => plan(ctx, view, id, selection),
    setCut: ctx.settings.allowFaults
      ? (target, on) => {
          network.setPartition(target, PartitionDirection.Both, on);
        }
      : undefined,
    jobs: (zone, limit) => jobs.list(zone, limit),
  };
}

/** Plans the maintenance of the selected VMs. */
function plan(
  { settings }: EntryContext,
  view: IndexedConfigView,
  id: string,
  selection: WaveSelection,
): PlannedMaintenance {
  const vms = view.list(EntityKind.Vm).filter((vm) => isSelected(view, vm, selection));
  const { waveReserve: reserve, maxWaveVms } = settings.controller;
  const planned = planWave(view, {
    ...{ id, reserve, maxWaveVms },
    vms: vms.map((vm) => vm.id),
    stopMs: EXPECTED_STOP_MS,
  });
  if (planned.isOk) return planned.value;
  const impossible = planned.error.message;
  return { waves: [], batches: 0, lowerBound: 0, expectedMs: 0, impossible };
}

function isSelected(view: IndexedConfigView, vm: Vm, selection: WaveSelection): boolean {
  const { vms, pools, zones } = selection;
  return (
    (vms?.includes(vm.id) ?? true) &&
    (pools?.includes(view.poolOf(vm.id) ?? '') ?? true) &&
    (zones?.includes(vm.zone) ?? true)
  );
}
