import { Result } from 'true-myth';
import {
  checkChangeSet,
  ConfigError,
  AdoptionSource,
  ConfigErrorCode,
  createCommitter,
  createConfigHistory,
  createConfigStore,
  EntityKind,
  runConfigSync,
  type ChangeSet,
} from '../configuration/index.js';
import { createControllerMetrics, planWave, runZoneController } from '../controller/index.js';
import { EventName } from '../events/index.js';
import {
  Lifecycle,
  RestartPolicy,
  Supervisor,
  supervisorDefaults,
  type ChildSpec,
} from '../lifecycle/index.js';
import { createMembership } from '../membership/index.js';
import { startOperatorListener, type OperatorDeps } from '../operators/index.js';
import { createPeerNetwork, type DrainingVm } from '../peers/index.js';
import { CallPurpose, createPlatformClient } from '../platform/index.js';
import { createCallerListener, createRequestRouter } from '../requests/index.js';
import { newIdentity, operatorToken, peerSecret } from './identity.js';
import { runOwnership } from './ownership.js';
import { createRequestParts } from './requestParts.js';
import { createVmProbes } from './vmProbes.js';
import { EntryError, EntryErrorCode, type EntryContext, type EntryProcess } from './types.js';

/** Versions shown by the history of the operator listener at most, read in one go. */
const HISTORY_PAGE = 1_000;

/**
 * Starts an entry process: a supervisor tree with the listeners, the links to other members, the
 * configuration, and the control duties of the zone.
 *
 * @throws EntryError when a listener or secret cannot be set up
 */
export async function createEntryProcess(ctx: EntryContext): Promise<EntryProcess> {
  const lifecycle = new Lifecycle('entry');
  try {
    return await startAll(ctx, lifecycle);
  } catch (err) {
    await lifecycle.close().catch(() => undefined);
    throw err;
  }
}

async function startAll(ctx: EntryContext, lifecycle: Lifecycle): Promise<EntryProcess> {
  const { settings, clock, random, logger, metrics, events } = ctx;
  const foundation = lifecycle.child('foundation');
  const platform = createPlatformClient({
    ...{ clock, random, logger, metrics, events },
    settings: settings.platform,
    lifecycle: foundation,
  });
  const store = createConfigStore({ events, metrics, ...settings.configuration });
  const { view } = store;
  const history = createConfigHistory(platform.forPurpose(CallPurpose.Change).table, {
    ...{ clock, random, logger, metrics },
    ...settings.configuration,
  });
  const network = unwrap(
    await createPeerNetwork(
      {
        ...{ clock, random, logger, metrics },
        self: newIdentity(ctx),
        settings: { ...settings.peers, secret: peerSecret(ctx) },
      },
      foundation,
    ),
  );
  const { self } = network;
  const parts = createRequestParts(ctx, view, foundation);
  const { backends, health, scheduler } = parts;
  const membership = createMembership({
    ...{ clock, random, logger, metrics, events, network },
    settings: settings.membership,
    table: platform.table,
    heartbeat: {
      configVersion: () => view.version,
      load: () => scheduler.load(),
      draining: () => drainingVms(),
    },
  });
  const router = createRequestRouter({
    ...{ self, clock, random, logger, metrics, events, view, membership },
    ...{ scheduler, backends, health },
    peers: network,
    table: platform.forPurpose(CallPurpose.Request).table,
    settings: settings.requests,
  });
  const commitAndAdopt = createCommitter(history, store);
  const supervisor = new Supervisor(lifecycle.child('children'), {
    ...supervisorDefaults,
    ...{ clock, random, logger },
    onFailure: countRestarts(ctx),
  });
  const state = { isReachable: true, holdsLease: false, isStopping: false, adoptedAt: clock.now() };
  foundation.own(
    'platform events',
    events.on(EventName.PlatformReachability, ({ reachable }) => {
      state.isReachable = reachable;
    }),
  );
  foundation.own(
    'lease events',
    events.on(EventName.LeaseChanged, ({ held }) => {
      state.holdsLease = held;
    }),
  );
  foundation.own(
    'config events',
    events.on(EventName.ConfigInForce, () => {
      state.adoptedAt = clock.now();
    }),
  );
  const configAge = metrics.gauge(
    'config_age_seconds',
    'Time since the configuration in force was adopted',
  );
  configAge.collect = () => {
    configAge.set((clock.now() - state.adoptedAt) / 1000);
  };
  const memberGauge = metrics.gauge('members', 'Live members by zone', ['zone']);
  foundation.own(
    'member gauge',
    events.on(EventName.MembersChanged, () => {
      memberGauge.reset();
      for (const { info } of membership.members()) {
        const { zone } = info;
        memberGauge.set({ zone }, membership.liveMembers(zone).length);
      }
      memberGauge.set({ zone: self.zone }, membership.liveMembers(self.zone).length);
    }),
  );

  function drainingVms(): DrainingVm[] {
    const stops = view.list(EntityKind.Stop);
    const moves = view.list(EntityKind.Move);
    return [...stops, ...moves]
      .filter(({ id }) => view.get(EntityKind.Vm, id)?.zone === self.zone)
      .map(({ id }) => ({ vm: id, inFlight: backends.inFlight(id) }))
      .filter(({ inFlight }) => inFlight > 0);
  }

  async function commitChecked(base: number, changeSet: ChangeSet) {
    const [problem, ...others] = checkChangeSet(view, changeSet);
    if (!problem) return commitAndAdopt(base, changeSet);
    const more = others.length > 0 ? ` (and ${others.length} more)` : '';
    const text = `${problem.message}${more}; nothing was applied`;
    return Result.err(new ConfigError(ConfigErrorCode.Invalid, text)) as never;
  }

  const probes = createVmProbes({ view, zone: self.zone, clock, random, probe: parts.probe });
  const controllerMetrics = createControllerMetrics(metrics);
  const children: ChildSpec[] = [
    child('membership', (term) => membership.run(term)),
    child('config-sync', (term) =>
      runConfigSync(
        {
          ...{ store, history, network, clock, random, logger, metrics },
          settings: settings.configuration,
          peers: () => membership.members().map(({ info }) => info),
          onPeerVersion: (listener) => {
            membership.onHeartbeat((member, { configVersion }) => {
              listener(member.info, configVersion);
            });
          },
          isLeaseHolder: () => state.holdsLease,
        },
        term,
      ),
    ),
    child('ownership', (term) =>
      runOwnership({ view, membership, events, scheduler, backends, health }, term),
    ),
    child('vm-probes', (term) => probes.run(term)),
    child('controller', (term) =>
      runZoneController(
        {
          ...{ clock, random, logger, events, membership },
          zone: self.zone,
          holder: `${self.name}/${self.incarnation}`,
          config: {
            view,
            history,
            adopt: (deltas) => {
              for (const delta of deltas) store.adoptDelta(delta, AdoptionSource.Local);
            },
          },
          platform: platform.forPurpose(CallPurpose.Lease),
          settings: settings.controller,
          metrics: controllerMetrics,
          vacate: () => Promise.resolve(true),
          inFlight: (vm) => backends.inFlight(vm),
          probe: (vm) => probes.probe(vm),
          lastProbe: (vm) => probes.lastProbe(vm),
        },
        term,
      ),
    ),
  ];
  for (const spec of children) supervisor.start(spec);

  const operators = lifecycle.child('operators');
  const operatorDeps: OperatorDeps = {
    ...{ self, clock, logger, metrics, view, membership },
    settings: settings.operators,
    token: await operatorToken(ctx),
    readiness: () => {
      const ready = store.isReady && !state.isStopping;
      const reason = state.isStopping ? 'the process shuts down' : 'no configuration was read yet';
      return {
        ready,
        reason: ready ? undefined : reason,
        configAgeMs: clock.now() - state.adoptedAt,
        platformReachable: state.isReachable,
        holdsZoneLease: state.holdsLease,
      };
    },
    snapshot: () => store.snapshot(),
    commit: commitChecked,
    committedVersion: (changeId) => history.committedVersion(changeId),
    history: (limit) =>
      history.deltasAfter(Math.max(0, view.version - limit), Math.min(limit, HISTORY_PAGE)),
    planWave: (selection) => planWave(view, selection),
    jobs: () => Promise.resolve(Result.ok([])),
  };
  const operatorPort = await startOperatorListener(operatorDeps, operators);

  const callers = lifecycle.child('callers');
  const listener = unwrap(
    await createCallerListener({
      ...{ router, clock, logger, metrics, lifecycle: callers },
      ...settings.callers,
      settings: settings.requests,
    }),
  );
  const ports = { callers: listener.port, operators: operatorPort, peers: self.port };
  logger.info({ event: 'listening', member: self.name, zone: self.zone, ...ports });

  async function stop(): Promise<void> {
    state.isStopping = true;
    logger.info({ event: 'stopping', member: self.name, inFlight: router.inFlight() });
    await membership.leave();
    const drained = Promise.all([router.close(), callers.close()]);
    await Promise.race([drained, clock.sleep(settings.shutdownGraceMs)]);
    scheduler.close();
    await lifecycle.close();
    logger.info({ event: 'stopped', member: self.name });
  }

  return { ports, failed: supervisor.failed, stop };
}

function child(name: string, run: ChildSpec['run']): ChildSpec {
  return { name, policy: RestartPolicy.Permanent, run };
}

function countRestarts(ctx: EntryContext): (name: string) => void {
  const failures = ctx.metrics.counter('child_failures_total', 'Failures of supervised children', [
    'child',
  ]);
  return (name) => {
    failures.inc({ child: name });
  };
}

/** Returns the value, or throws an EntryError that names the failure. */
function unwrap<T, E extends Error>(result: Result<T, E>): T {
  if (result.isOk) return result.value;
  throw new EntryError(EntryErrorCode.StartFailed, result.error.message, result.error);
}
