import express, {
  Router,
  type ErrorRequestHandler,
  type Request,
  type RequestHandler,
  type Response,
} from 'express';
import type { Result } from 'true-myth';
import { z } from 'zod';
import { messageOf } from '../errors/index.js';
import type { JobsSettings } from './defaults.js';
import { jobSpecSchema, type JobStore } from './jobStore.js';
import { JobError, JobErrorCode, type JobRecord } from './types.js';

/** Header with the name of the caller's team. */
const TEAM_HEADER = 'team';

/** Allowance in the body of a submission for everything except the payload. */
const JOB_OVERHEAD_BYTES = 16 * 1024;

/** Maximum number of jobs in one cancellation call. */
const MAX_IDS_PER_CANCELLATION = 10_000;

interface JobErrorInfo {
  status: number;
  /** Delay in milliseconds before a retry; 0 if a retry of the same call cannot succeed. */
  retryAfterMs: number;
}

/** HTTP status and retry delay of each job error. */
export const jobErrorInfo: Readonly<Record<JobErrorCode, JobErrorInfo>> = {
  [JobErrorCode.Invalid]: { status: 400, retryAfterMs: 0 },
  [JobErrorCode.UnknownTeam]: { status: 403, retryAfterMs: 0 },
  [JobErrorCode.TeamQuota]: { status: 429, retryAfterMs: 10_000 },
  [JobErrorCode.TooLarge]: { status: 422, retryAfterMs: 0 },
  [JobErrorCode.IdInUse]: { status: 409, retryAfterMs: 0 },
  [JobErrorCode.PlatformUnavailable]: { status: 503, retryAfterMs: 2_000 },
  [JobErrorCode.OutcomeUnknown]: { status: 504, retryAfterMs: 1_000 },
  [JobErrorCode.NotFound]: { status: 404, retryAfterMs: 0 },
  [JobErrorCode.NoResult]: { status: 409, retryAfterMs: 2_000 },
  [JobErrorCode.ResultDamaged]: { status: 502, retryAfterMs: 0 },
  [JobErrorCode.WrongState]: { status: 409, retryAfterMs: 0 },
};

const cancelSchema = z.strictObject({
  ids: z.array(z.string()).min(1).max(MAX_IDS_PER_CANCELLATION),
});

/** Dependencies of {@link createJobRoutes}. */
export interface JobRouteDeps {
  store: JobStore;
  settings: JobsSettings;
}

/**
 * Creates the job routes of the caller listener: submit, look up, fetch the result and cancel. The
 * response to a submission is 201 only after the job has been recorded durably.
 */
export function createJobRoutes({ store, settings }: JobRouteDeps): Router {
  const router = Router();
  const json = express.json({ limit: settings.maxPayloadBytes + JOB_OVERHEAD_BYTES });
  router.post(
    '/v1/jobs',
    json,
    jsonHandler(201, (req) => submit(store, req)),
  );
  router.post(
    '/v1/jobs/cancel',
    json,
    jsonHandler(202, (req) => cancel(store, req)),
  );
  router.get(
    '/v1/jobs/:id',
    jsonHandler(200, async (req) => jobSummary(await findTeamJob(store, req))),
  );
  router.get('/v1/jobs/:id/result', (req, res, next) => {
    sendResult(store, req, res).catch(next);
  });
  const onError: ErrorRequestHandler = (err: unknown, _req, res, _next) => {
    sendError(res, err);
  };
  router.use('/v1/jobs', onError);
  return router;
}

function jsonHandler(status: number, handle: (req: Request) => Promise<unknown>): RequestHandler {
  return (req, res, next) => {
    handle(req)
      .then((body) => res.status(status).json(body))
      .catch(next);
  };
}

async function submit(store: JobStore, req: Request): Promise<unknown> {
  const body = req.body as unknown;
  const parsed = jobSpecSchema.safeParse({ ...(body as object), team: teamOf(req) });
  if (!parsed.success) throw new JobError(JobErrorCode.Invalid, z.prettifyError(parsed.error));
  const { zone, existed } = valueOrThrow(await store.submit(parsed.data));
  return { id: parsed.data.id, zone, existed };
}

async function cancel(store: JobStore, req: Request): Promise<unknown> {
  const parsed = cancelSchema.safeParse(req.body);
  if (!parsed.success) throw new JobError(JobErrorCode.Invalid, z.prettifyError(parsed.error));
  const outcomes = valueOrThrow(await store.cancel(teamOf(req), parsed.data.ids));
  return { outcomes: Object.fromEntries(outcomes) };
}

/** Returns a job, which is visible only to the team that submitted it. */
async function findTeamJob(store: JobStore, req: Request): Promise<JobRecord> {
  const { id } = req.params;
  const jobId = typeof id === 'string' ? id : '';
  const job = valueOrThrow(await store.get(jobId));
  if (job.team === teamOf(req)) return job;
  throw new JobError(JobErrorCode.NotFound, `job ${jobId} does not exist`);
}

function jobSummary(job: JobRecord): unknown {
  const { id, state, urgent, attempts, parkReason, error, result } = job;
  return { id, state, urgent, attempts, parkReason, error, result };
}

async function sendResult(store: JobStore, req: Request, res: Response): Promise<void> {
  const job = await findTeamJob(store, req);
  const body = valueOrThrow(await store.readResult(job.id));
  res.setHeader('SHA-256', job.result?.sha256 ?? '');
  res.type('application/octet-stream').send(Buffer.from(body));
}

function teamOf(req: Request): string {
  const team = req.headers[TEAM_HEADER];
  if (typeof team === 'string' && team !== '') return team;
  throw new JobError(JobErrorCode.Invalid, 'missing Team header; expected the name of the team');
}

function valueOrThrow<T>(result: Result<T, JobError>): T {
  if (result.isOk) return result.value;
  throw result.error;
}

function sendError(res: Response, err: unknown): void {
  const jobError =
    err instanceof JobError ? err : new JobError(JobErrorCode.Invalid, messageOf(err));
  const { status, retryAfterMs } = jobErrorInfo[jobError.code];
  if (retryAfterMs > 0) res.setHeader('Retry-After', Math.ceil(retryAfterMs / 1000));
  res.status(status).json({ reason: jobError.code, message: jobError.message, retryAfterMs });
}
