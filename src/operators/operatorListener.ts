import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import express, { type Express, type Request, type Response, type NextFunction } from 'express';
import { EntityKind } from '../configuration/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { jsonHandler, parseBody, createErrorHandler } from './responses.js';
import { isAuthorized } from './auth.js';
import { applyChanges, requestMove, setWaveState, startWaves } from './changes.js';
import type { OperatorDeps } from './deps.js';
import { poolStatuses, processStatus, vmSummaries } from './status.js';
import {
  changeRequestSchema,
  cutRequestSchema,
  moveRequestSchema,
  OperatorError,
  OperatorErrorCode,
  waveRequestSchema,
  waveSelectionSchema,
  waveStateRequestSchema,
} from './types.js';

/** Maximum number of items in a list response. */
const MAX_LIST_ITEMS = 1_000;

/** Maximum total size of the request headers. */
const MAX_HEADER_BYTES = 16 * 1024;

/**
 * Starts the HTTP listener for operators, with routes for health, metrics, status, configuration,
 * maintenance and jobs.
 *
 * @returns the port it listens on
 */
export async function startOperatorListener(
  deps: OperatorDeps,
  lifecycle: Lifecycle,
): Promise<number> {
  const { settings } = deps;
  const server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: settings.requestTimeoutMs },
    createOperatorApp(deps),
  );
  server.maxConnections = settings.maxConnections;
  await listen(server, settings.port, settings.host);
  lifecycle.own('operator listener', () => closeServer(server));
  return (server.address() as AddressInfo).port;
}

function listen(server: Server, port: number, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

function createOperatorApp(deps: OperatorDeps): Express {
  const app = express();
  app.disable('x-powered-by');
  addHealthRoutes(app, deps);
  app.use('/v1', requireToken(deps), express.json({ limit: deps.settings.maxBodyBytes }));
  addReadRoutes(app, deps);
  addChangeRoutes(app, deps);
  addFaultRoutes(app, deps);
  app.use((req, _res, next) => {
    next(new OperatorError(OperatorErrorCode.NotFound, `unknown route ${req.method} ${req.path}`));
  });
  app.use(createErrorHandler(deps.logger));
  return app;
}

function requireToken(deps: OperatorDeps) {
  const unauthorized = deps.metrics.counter(
    'operator_unauthorized_total',
    'Operator requests without a valid token',
  );
  return (req: Request, _res: Response, next: NextFunction): void => {
    if (isAuthorized(req.headers.authorization, deps.token)) {
      next();
      return;
    }
    unauthorized.inc();
    next(new OperatorError(OperatorErrorCode.Unauthorized, 'a valid bearer token is required'));
  };
}

function addHealthRoutes(app: Express, deps: OperatorDeps): void {
  app.get('/healthz', (_req, res) => {
    res.json({ healthy: true });
  });
  app.get('/readyz', (_req, res) => {
    const { ready, reason } = deps.readiness();
    res.status(ready ? 200 : 503).json({ ready, reason });
  });
  app.get('/metrics', (_req, res, next) => {
    deps.metrics.registry
      .metrics()
      .then((text) => res.type(deps.metrics.registry.contentType).send(text))
      .catch(next);
  });
}

function addReadRoutes(app: Express, deps: OperatorDeps): void {
  const { view } = deps;
  app.get(
    '/v1/status',
    jsonHandler(() => processStatus(deps)),
  );
  app.get(
    '/v1/config',
    jsonHandler(() => deps.snapshot()),
  );
  app.get(
    '/v1/config/history',
    jsonHandler(async (req) => {
      const deltas = await deps.history(listLimit(req));
      if (deltas.isOk) return deltas.value;
      throw new OperatorError(OperatorErrorCode.PlatformUnavailable, deltas.error.message);
    }),
  );
  app.get(
    '/v1/pools',
    jsonHandler(() => poolStatuses(view)),
  );
  app.get(
    '/v1/vms',
    jsonHandler((req) => vmSummaries(view, queryText(req, 'pool'), queryText(req, 'zone'))),
  );
  app.get(
    '/v1/maintenance/waves',
    jsonHandler(() => view.list(EntityKind.Wave)),
  );
  app.get(
    '/v1/jobs',
    jsonHandler(async (req) => {
      const zone = queryText(req, 'zone') ?? deps.self.zone;
      const jobs = await deps.jobs(zone, listLimit(req));
      if (jobs.isOk) return jobs.value;
      throw new OperatorError(OperatorErrorCode.PlatformUnavailable, jobs.error.message);
    }),
  );
}

function addChangeRoutes(app: Express, deps: OperatorDeps): void {
  app.post(
    '/v1/config/changes',
    jsonHandler((req) => {
      requireReady(deps);
      return applyChanges(deps, parseBody(req, changeRequestSchema));
    }),
  );
  app.post(
    '/v1/maintenance/plan',
    jsonHandler((req) => deps.planWaves('plan', parseBody(req, waveSelectionSchema))),
  );
  app.post(
    '/v1/maintenance/waves',
    jsonHandler((req) => startWaves(deps, parseBody(req, waveRequestSchema))),
  );
  app.post(
    '/v1/maintenance/waves/:id/state',
    jsonHandler((req) => {
      const { state, author } = parseBody(req, waveStateRequestSchema);
      return setWaveState(deps, pathId(req), state, author);
    }),
  );
  app.post(
    '/v1/vms/:id/move',
    jsonHandler((req) => {
      const { pool, author } = parseBody(req, moveRequestSchema);
      return requestMove(deps, pathId(req), pool, author);
    }),
  );
}

/** Adds the routes that inject faults for tests, if the settings allow them. */
function addFaultRoutes(app: Express, { setCut }: OperatorDeps): void {
  if (!setCut) return;
  app.post(
    '/v1/faults/cut',
    jsonHandler((req) => {
      const { target, on } = parseBody(req, cutRequestSchema);
      setCut(target, on);
      return { target, on };
    }),
  );
}

/**
 * Rejects changes while the process is not ready: without a configuration it cannot validate them.
 *
 * @throws OperatorError when the process is not ready
 */
function requireReady(deps: OperatorDeps): void {
  const { ready, reason } = deps.readiness();
  if (ready) return;
  throw new OperatorError(
    OperatorErrorCode.NotReady,
    reason ?? 'no configuration has been loaded yet',
  );
}

function pathId(req: Request): string {
  const { id } = req.params;
  return typeof id === 'string' ? id : '';
}

function queryText(req: Request, name: string): string | undefined {
  const value = req.query[name];
  return typeof value === 'string' ? value : undefined;
}

function listLimit(req: Request): number {
  const limit = Number(queryText(req, 'limit') ?? MAX_LIST_ITEMS);
  return Number.isInteger(limit) && limit > 0 ? Math.min(limit, MAX_LIST_ITEMS) : MAX_LIST_ITEMS;
}
