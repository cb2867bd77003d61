import { Result } from 'true-myth';
import {
  checkChangeSet,
  ConfigError,
  ConfigErrorCode,
  createCommitter,
  createConfigHistory,
  createConfigStore,
  EntityKind,
  type ChangeSet,
  type Commit,
  type ConfigStore,
  type TableConfigHistory,
} from '../configuration/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { createMembership, type RunningMembership } from '../membership/index.js';
import { createPeerNetwork, type DrainingVm, type TcpPeerNetwork } from '../peers/index.js';
import {
  CallPurpose,
  createPlatformClient,
  type MeteredPlatformClient,
} from '../platform/index.js';
import { createRequestRouter, type RequestRouter } from '../requests/index.js';
import { newIdentity, peerSecret } from './identity.js';
import { applyLeavingReports } from './leavingReports.js';
import { registerMemberGauge, createProcessState, type ProcessState } from './processState.js';
import { createRequestComponents, type RequestComponents } from './requestComponents.js';
import { EntryError, EntryErrorCode, type EntryContext } from './types.js';
import { createVmProbes, allowsRetry, type VmProbes } from './vmProbes.js';

/** Components that the listeners and supervised tasks of an entry process share. */
export interface EntryComponents {
  platform: MeteredPlatformClient;
  store: ConfigStore;
  history: TableConfigHistory;
  network: TcpPeerNetwork;
  request: RequestComponents;
  membership: RunningMembership;
  router: RequestRouter;
  probes: VmProbes;
  state: ProcessState;
  /** Validates a change set, commits it and applies it in this process. */
  commit: (base: number, changeSet: ChangeSet) => Promise<Result<Commit, ConfigError>>;
}

/**
 * Creates the components of an entry process. They are closed with the lifecycle.
 *
 * @throws EntryError when the peer network cannot be started
 */
export async function createComponents(
  ctx: EntryContext,
  lifecycle: Lifecycle,
): Promise<EntryComponents> {
  const { settings, clock, random, logger, metrics, events } = ctx;
  const shared = { clock, random, logger, metrics, events };
  const platform = createPlatformClient({ ...shared, settings: settings.platform, lifecycle });
  const store = createConfigStore({ events, metrics, ...settings.configuration });
  const { view } = store;
  const changeTable = platform.forPurpose(CallPurpose.Change).table;
  const history = createConfigHistory(changeTable, { ...shared, ...settings.configuration });
  const peerSettings = { ...settings.peers, secret: peerSecret(ctx) };
  const network = unwrap(
    await createPeerNetwork(
      { ...shared, self: newIdentity(ctx), settings: peerSettings },
      lifecycle,
    ),
  );
  const mayReturn = (vm: string) => allowsRetry(probes.lastProbe(vm));
  const request = createRequestComponents(ctx, view, mayReturn, lifecycle);
  const probes = createVmProbes({ ...shared, view, zone: settings.zone, probe: request.probe });
  const membership = createMembership({
    ...shared,
    network,
    settings: settings.membership,
    table: platform.table,
    heartbeat: {
      configVersion: () => view.version,
      load: () => request.scheduler.load(),
      spills: (service) => view.get(EntityKind.Service, service)?.spill ?? false,
      draining: () => drainingVms(store, request, settings.zone),
      leaving: () => request.leaving.locallyObserved(),
    },
  });
  applyLeavingReports(membership, request.leaving);
  registerMemberGauge(ctx, membership);
  const router = createRequestRouter({
    ...{ ...shared, view, membership },
    ...{ scheduler: request.scheduler, backends: request.backends, health: request.health },
    self: network.self,
    peers: network,
    table: platform.forPurpose(CallPurpose.Request).table,
    settings: settings.requests,
  });
  const state = createProcessState(ctx, store, lifecycle);
  const commit = createValidatedCommit(store, history);
  return { platform, store, history, network, request, membership, router, probes, state, commit };
}

/** VMs of the zone with a stop or move that still have requests of this process in flight. */
function drainingVms(
  { view }: ConfigStore,
  { backends }: RequestComponents,
  zone: string,
): DrainingVm[] {
  return [...view.list(EntityKind.Stop), ...view.list(EntityKind.Move)]
    .filter(({ id }) => view.get(EntityKind.Vm, id)?.zone === zone)
    .map(({ id }) => ({ vm: id, inFlight: backends.inFlight(id) }))
    .filter(({ inFlight }) => inFlight > 0);
}

function createValidatedCommit(
  store: ConfigStore,
  history: TableConfigHistory,
): EntryComponents['commit'] {
  const commitAndAdopt = createCommitter(history, store);
  return (base, changeSet) => {
    const [problem, ...others] = checkChangeSet(store.view, changeSet);
    if (!problem) return commitAndAdopt(base, changeSet);
    const suffix = others.length > 0 ? ` (and ${others.length} more problems)` : '';
    const message = `${problem.message}${suffix}; nothing was applied`;
    return Promise.resolve(Result.err(new ConfigError(ConfigErrorCode.Invalid, message)));
  };
}

/**
 * Returns the value of a successful result.
 *
 * @throws EntryError with the message of a failed result
 */
export function unwrap<T, E extends Error>(result: Result<T, E>): T {
  if (result.isOk) return result.value;
  throw new EntryError(EntryErrorCode.StartFailed, result.error.message, result.error);
}
