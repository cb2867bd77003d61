import {
  createCapacityCommit,
  createCapacityMetrics,
  fleetLoad,
  runCapacityPolicy,
} from '../capacity/index.js';
import { AdoptionSource, runConfigSync } from '../configuration/index.js';
import { createControllerMetrics, runZoneController, type HeldLease } from '../controller/index.js';
import { RestartPolicy, type ChildSpec, type Lifecycle } from '../lifecycle/index.js';
import { CallPurpose } from '../platform/index.js';
import { runHousekeeping } from './housekeeping.js';
import type { JobSubsystem } from './jobSubsystem.js';
import { runOwnershipSync } from './ownership.js';
import type { EntryComponents } from './components.js';
import { runStandbyVmListReader } from './standbyVmList.js';
import type { EntryContext } from './types.js';

/** Returns the supervised tasks of an entry process. */
export function childSpecs(
  ctx: EntryContext,
  components: EntryComponents,
  jobs: JobSubsystem,
): ChildSpec[] {
  return [
    permanentChild('membership', (lifecycle) => components.membership.run(lifecycle)),
    permanentChild('config-sync', (lifecycle) => syncConfig(ctx, components, lifecycle)),
    permanentChild('ownership', (lifecycle) => syncOwnership(ctx, components, lifecycle)),
    permanentChild('vm-probes', (lifecycle) => components.probes.run(lifecycle)),
    permanentChild('vm-list', (lifecycle) => runVmListReader(ctx, components, lifecycle)),
    permanentChild('controller', createControllerTask(ctx, components, jobs)),
  ];
}

function permanentChild(name: string, run: ChildSpec['run']): ChildSpec {
  return { name, policy: RestartPolicy.Permanent, run };
}

function syncConfig(
  ctx: EntryContext,
  components: EntryComponents,
  lifecycle: Lifecycle,
): Promise<void> {
  const { store, history, network, membership, state } = components;
  return runConfigSync(
    {
      ...ctx,
      ...{ store, history, network },
      settings: ctx.settings.configuration,
      peers: () => membership.members().map(({ info }) => info),
      onPeerVersion: (listener) =>
        membership.onHeartbeat((member, { configVersion }) => {
          listener(member.info, configVersion);
        }),
      isLeaseHolder: () => state.holdsZoneLease,
    },
    lifecycle,
  );
}

function syncOwnership(
  { events }: EntryContext,
  { store, membership, request }: EntryComponents,
  lifecycle: Lifecycle,
): Promise<void> {
  return runOwnershipSync({ events, membership, view: store.view, ...request }, lifecycle);
}

function runVmListReader(
  ctx: EntryContext,
  components: EntryComponents,
  lifecycle: Lifecycle,
): Promise<void> {
  const { membership, platform, state } = components;
  return runStandbyVmListReader(
    {
      ...ctx,
      membership,
      vmList: platform.vmList,
      intervalMs: ctx.settings.controller.statusIntervalMs,
      holdsZoneLease: () => state.holdsZoneLease,
    },
    lifecycle,
  );
}

function createControllerTask(
  ctx: EntryContext,
  components: EntryComponents,
  jobs: JobSubsystem,
): ChildSpec['run'] {
  const { store, history, network, membership, platform, probes, request } = components;
  const { zone, name, incarnation } = network.self;
  const deps = {
    ...ctx,
    ...{ zone, membership },
    holder: `${name}/${incarnation}`,
    config: {
      view: store.view,
      history,
      adopt: (deltas: Parameters<typeof store.adoptDelta>[0][]) => {
        for (const delta of deltas) store.adoptDelta(delta, AdoptionSource.Local);
      },
    },
    platform: platform.forPurpose(CallPurpose.Lease),
    settings: ctx.settings.controller,
    metrics: createControllerMetrics(ctx.metrics),
    vacate: (vm: string) => jobs.vacate(vm),
    inFlight: (vm: string) => request.backends.inFlight(vm),
    probe: (vm: string) => probes.probe(vm),
    lastProbe: (vm: string) => probes.lastProbe(vm),
  };
  const capacityMetrics = createCapacityMetrics(ctx.metrics);
  const policy = (lease: HeldLease, term: Lifecycle) =>
    runCapacityPolicy(
      {
        ...ctx,
        ...{ zone, view: store.view, metrics: capacityMetrics },
        settings: ctx.settings.capacity,
        loads: () => fleetLoad(membership, request.scheduler.load()),
        commit: createCapacityCommit(deps, lease, term.signal),
      },
      term,
    );
  const runAdditionalWork = async (lease: HeldLease, term: Lifecycle) => {
    await Promise.all([
      jobs.runWhileLeaseHeld(lease, term),
      policy(lease, term),
      runHousekeeping(ctx, components, term),
    ]);
  };
  return (lifecycle) => runZoneController({ ...deps, runAdditionalWork }, lifecycle);
}
