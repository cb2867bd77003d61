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
import type { JobParts } from './jobParts.js';
import { runOwnership } from './ownership.js';
import type { EntryParts } from './parts.js';
import { runStandbyVmList } from './standbyVmList.js';
import type { EntryContext } from './types.js';

/** The supervised tasks of an entry process. */
export function childSpecs(ctx: EntryContext, parts: EntryParts, jobs: JobParts): ChildSpec[] {
  return [
    permanent('membership', (lifecycle) => parts.membership.run(lifecycle)),
    permanent('config-sync', (lifecycle) => syncConfig(ctx, parts, lifecycle)),
    permanent('ownership', (lifecycle) => followOwnership(ctx, parts, lifecycle)),
    permanent('vm-probes', (lifecycle) => parts.probes.run(lifecycle)),
    permanent('vm-list', (lifecycle) => watchVmList(ctx, parts, lifecycle)),
    permanent('controller', createControllerTask(ctx, parts, jobs)),
  ];
}

function permanent(name: string, run: ChildSpec['run']): ChildSpec {
  return { name, policy: RestartPolicy.Permanent, run };
}

function syncConfig(ctx: EntryContext, parts: EntryParts, lifecycle: Lifecycle): Promise<void> {
  const { store, history, network, membership, state } = parts;
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

function followOwnership(
  { events }: EntryContext,
  { store, membership, request }: EntryParts,
  lifecycle: Lifecycle,
): Promise<void> {
  return runOwnership({ events, membership, view: store.view, ...request }, lifecycle);
}

function watchVmList(ctx: EntryContext, parts: EntryParts, lifecycle: Lifecycle): Promise<void> {
  const { membership, platform, state } = parts;
  return runStandbyVmList(
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
  parts: EntryParts,
  jobs: JobParts,
): ChildSpec['run'] {
  const { store, history, network, membership, platform, probes, request } = parts;
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
      jobs.runWhileHeld(lease, term),
      policy(lease, term),
      runHousekeeping(ctx, parts, term),
    ]);
  };
  return (lifecycle) => runZoneController({ ...deps, runAdditionalWork }, lifecycle);
}
