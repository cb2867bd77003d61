import { EntityKind, type IndexedConfigView, type Vm } from '../configuration/index.js';
import { planWave } from '../controller/index.js';
import type { OperatorDeps, PlannedMaintenance, WaveSelection } from '../operators/index.js';
import { PartitionDirection } from '../peers/index.js';
import { operatorToken } from './identity.js';
import type { JobSubsystem } from './jobSubsystem.js';
import type { EntryComponents } from './components.js';
import type { EntryContext } from './types.js';

/** Maximum number of versions returned by one history request. */
const MAX_HISTORY_VERSIONS = 1_000;

/** Assumed duration of a planned stop when the duration of a maintenance plan is estimated. */
const EXPECTED_STOP_MS = 300_000;

/**
 * Creates the dependencies of the operator listener.
 *
 * @throws EntryError when there is no operator token
 */
export async function createOperatorDeps(
  ctx: EntryContext,
  components: EntryComponents,
  jobs: JobSubsystem,
): Promise<OperatorDeps> {
  const { store, history, network, membership, state } = components;
  const { view } = store;
  return {
    ...ctx,
    ...{ view, membership },
    self: network.self,
    settings: ctx.settings.operators,
    token: await operatorToken(ctx),
    readiness: () => state.readiness(),
    snapshot: () => store.snapshot(),
    commit: components.commit,
    committedVersion: (changeId) => history.committedVersion(changeId),
    history: (limit) => {
      const count = Math.min(limit, MAX_HISTORY_VERSIONS);
      return history.deltasAfter(Math.max(0, view.version - count), count);
    },
    planWaves: (id, selection) => planMaintenance(ctx, view, id, selection),
    setCut: ctx.settings.allowFaults
      ? (target, on) => {
          network.setPartition(target, PartitionDirection.Both, on);
        }
      : undefined,
    jobs: (zone, limit) => jobs.listOpenJobs(zone, limit),
  };
}

function planMaintenance(
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
