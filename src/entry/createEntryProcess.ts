import { Lifecycle, Supervisor, supervisorDefaults } from '../lifecycle/index.js';
import { startOperatorListener } from '../operators/index.js';
import { createCallerListener } from '../requests/index.js';
import { childSpecs } from './children.js';
import { createJobParts, type JobParts } from './jobParts.js';
import { createOperatorDeps } from './operatorDeps.js';
import { createParts, unwrap, type EntryParts } from './parts.js';
import type { EntryContext, EntryProcess } from './types.js';

/**
 * Starts an entry process: a supervisor tree with the listeners, the links to other members, the
 * configuration, and the control duties of the zone.
 *
 * @throws EntryError when a listener or secret cannot be set up
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

/** Life cycles close in reverse order: callers first, the links and the platform client last. */
async function start(ctx: EntryContext, lifecycle: Lifecycle): Promise<EntryProcess> {
  const { logger } = ctx;
  const parts = await createParts(ctx, lifecycle.child('parts'));
  const jobs = createJobParts(ctx, parts);
  const supervisor = startChildren(ctx, parts, jobs, lifecycle.child('children'));
  const operators = await startOperatorListener(
    await createOperatorDeps(ctx, parts, jobs),
    lifecycle.child('operators'),
  );
  const callers = lifecycle.child('callers');
  const callerPort = await startCallerListener(ctx, parts, jobs, callers);
  const { name: member, zone, port: peers } = parts.network.self;
  const ports = { callers: callerPort, operators, peers };
  logger.info({ event: 'listening', member, zone, ...ports });
  const stop = () => shutDown(ctx, parts, callers, lifecycle);
  return { ports, failed: supervisor.failed, stop };
}

function startChildren(
  ctx: EntryContext,
  parts: EntryParts,
  jobs: JobParts,
  lifecycle: Lifecycle,
): Supervisor {
  const help = 'Failures of supervised children';
  const failures = ctx.metrics.counter('child_failures_total', help, ['child']);
  const supervisor = new Supervisor(lifecycle, {
    ...supervisorDefaults,
    ...ctx,
    onFailure: (child) => {
      failures.inc({ child });
    },
  });
  for (const spec of childSpecs(ctx, parts, jobs)) supervisor.start(spec);
  return supervisor;
}

async function startCallerListener(
  ctx: EntryContext,
  { router }: EntryParts,
  { routes }: JobParts,
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

/** Readiness goes off, members are told, requests in flight finish, and leases are released. */
async function shutDown(
  { clock, logger, settings }: EntryContext,
  parts: EntryParts,
  callers: Lifecycle,
  lifecycle: Lifecycle,
): Promise<void> {
  const { router, state, membership, network, request } = parts;
  const { name: member } = network.self;
  state.startStopping();
  logger.info({ event: 'stopping', member, inFlight: router.inFlight() });
  await membership.leave();
  const finished = Promise.all([router.close(), callers.close()]);
  await Promise.race([finished, clock.sleep(settings.shutdownGraceMs)]);
  request.scheduler.close();
  await lifecycle.close();
  logger.info({ event: 'stopped', member });
}
