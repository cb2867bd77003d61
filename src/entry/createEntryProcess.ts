import { Lifecycle, Supervisor, supervisorDefaults } from '../lifecycle/index.js';
import { startOperatorListener } from '../operators/index.js';
import { createCallerListener } from '../requests/index.js';
import { childSpecs } from './children.js';
import { createJobSubsystem, type JobSubsystem } from './jobSubsystem.js';
import { createOperatorDeps } from './operatorDeps.js';
import { createComponents, unwrap, type EntryComponents } from './components.js';
import type { EntryContext, EntryProcess } from './types.js';

/**
 * Starts an entry process: the caller and operator listeners, the links to other members, and the
 * supervised tasks, such as the configuration sync and the zone controller.
 *
 * @throws EntryError when a listener cannot be started, or a secret is missing or invalid
 */
export async function createEntryProcess(ctx: EntryContext): Promise<EntryProcess> {
  const lifecycle = new Lifecycle('entry');
  try {
    return await start(ctx, lifecycle);
  } catch (err) {
    await lifecycle.close().catch(() => undefined);
    throw err;
  }
}

/**
 * Child lifecycles close in reverse order of creation: the caller listener first, the peer links
 * and the platform client last.
 */
async function start(ctx: EntryContext, lifecycle: Lifecycle): Promise<EntryProcess> {
  const { logger } = ctx;
  const components = await createComponents(ctx, lifecycle.child('components'));
  const jobs = createJobSubsystem(ctx, components);
  const supervisor = startChildren(ctx, components, jobs, lifecycle.child('children'));
  const operators = await startOperatorListener(
    await createOperatorDeps(ctx, components, jobs),
    lifecycle.child('operators'),
  );
  const callers = lifecycle.child('callers');
  const callerPort = await startCallerListener(ctx, components, jobs, callers);
  const { name: member, zone, port: peers } = components.network.self;
  const ports = { callers: callerPort, operators, peers };
  logger.info({ event: 'listening', member, zone, ...ports });
  const stop = () => shutDown(ctx, components, callers, lifecycle);
  return { ports, failed: supervisor.failed, stop };
}

function startChildren(
  ctx: EntryContext,
  components: EntryComponents,
  jobs: JobSubsystem,
  lifecycle: Lifecycle,
): Supervisor {
  const help = 'Failures of supervised tasks';
  const failures = ctx.metrics.counter('child_failures_total', help, ['child']);
  const supervisor = new Supervisor(lifecycle, {
    ...supervisorDefaults,
    ...ctx,
    onFailure: (child) => {
      failures.inc({ child });
    },
  });
  for (const spec of childSpecs(ctx, components, jobs)) supervisor.start(spec);
  return supervisor;
}

async function startCallerListener(
  ctx: EntryContext,
  { router }: EntryComponents,
  { routes }: JobSubsystem,
  lifecycle: Lifecycle,
): Promise<number> {
  const { callers, requests } = ctx.settings;
  const started = await createCallerListener({
    ...ctx,
    ...callers,
    ...{ router, routes, lifecycle },
    settings: requests,
  });
  return unwrap(started).port;
}

/**
 * Reports not ready, leaves the membership, and waits for requests in flight up to the grace
 * period. Closing the lifecycle then releases the leases.
 */
async function shutDown(
  { clock, logger, settings }: EntryContext,
  components: EntryComponents,
  callers: Lifecycle,
  lifecycle: Lifecycle,
): Promise<void> {
  const { router, state, membership, network, request } = components;
  const { name: member } = network.self;
  state.startShutdown();
  logger.info({ event: 'stopping', member, inFlight: router.inFlight() });
  await membership.leave();
  const finished = Promise.all([router.close(), callers.close()]);
  await Promise.race([finished, clock.sleep(settings.shutdownGraceMs)]);
  request.scheduler.close();
  await lifecycle.close();
  logger.info({ event: 'stopped', member });
}
