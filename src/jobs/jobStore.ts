import { createHash, randomUUID } from 'node:crypto';
import { Result } from 'true-myth';
import { z } from 'zod';
import type { Clock } from '../clock/index.js';
import type { Metrics } from '../metrics/index.js';
import {
  PlatformErrorCode,
  type PlatformClient,
  type PlatformError,
  type Row,
} from '../platform/index.js';
import type { Random } from '../random/index.js';
import type { JobsSettings } from './defaults.js';
import {
  digestOf,
  idOfKey,
  insertionWrites,
  jobKeys,
  type JobIdRow,
  type TeamJobRow,
} from './rows.js';
import {
  JobError,
  JobErrorCode,
  JobState,
  ParkReason,
  type JobRecord,
  type JobSpec,
  type Resources,
} from './types.js';

/** Ids and names are used as segments of row keys. */
const keySegmentSchema = z.string().regex(/^[\w.:-]{1,128}$/);

/** Schema of a job submission. */
export const jobSpecSchema = z.object({
  id: keySegmentSchema,
  team: keySegmentSchema,
  kind: keySegmentSchema,
  urgent: z.boolean().default(false),
  idempotent: z.boolean().default(false),
  cores: z.number().positive(),
  memoryMib: z.number().positive(),
  accelerators: z.int().nonnegative().default(0),
  payload: z.unknown(),
});

/** Dependencies of {@link createJobStore}. */
export interface JobStoreDeps {
  platform: PlatformClient;
  settings: JobsSettings;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  /** Zone in which new jobs are recorded. */
  zone: string;
  /** Limit on the open jobs of a team; undefined if the team is unknown. */
  maxOpenJobs: (team: string) => number | undefined;
  /** Whether some worker in the zone's inventory is large enough, in service or not. */
  fitsInventory: (kind: string, declared: Resources) => boolean;
  /**
   * Announces a new or changed job to the zone's controller. A lost notice only delays the job, as
   * the controller also scans the table.
   */
  notify: (zone: string, jobId: string, urgent: boolean) => void;
}

/** Outcome of a submission. */
export interface Submission {
  zone: string;
  /** Whether the job had already been recorded by an earlier submission. */
  existed: boolean;
}

/** Outcome of cancelling one job. */
export enum CancelOutcome {
  /** The request is durable; once the controller has applied it, no result becomes visible. */
  Requested = 'requested',
  /** The team has no open job with this id. */
  NotOpen = 'not_open',
}

type JobStoreResult<T> = Promise<Result<T, JobError>>;

/** Caller-facing job operations, offered by every entry process. */
export interface JobStore {
  /** Records a job durably. Idempotent for the same id and content. */
  submit(spec: JobSpec): JobStoreResult<Submission>;
  get(id: string): JobStoreResult<JobRecord>;
  /** Reads the result of a job and verifies its length and SHA-256. */
  readResult(id: string): JobStoreResult<Uint8Array>;
  /** Requests cancellation of a team's open jobs. The cost is linear in the number of ids. */
  cancel(team: string, ids: readonly string[]): JobStoreResult<Map<string, CancelOutcome>>;
  /** Requeues a job that was parked because it may have run. */
  release(id: string): JobStoreResult<void>;
}

/** Creates a job store, whose memory use does not grow with the number of jobs. */
export function createJobStore(deps: JobStoreDeps): JobStore {
  const { platform, settings, metrics } = deps;
  const { table, objects } = platform;
  const submissions = metrics.counter('jobs_submitted_total', 'Jobs recorded', ['existed']);
  const refusals = metrics.counter('jobs_refused_total', 'Job calls refused', ['reason']);
  const retries = metrics.counter('jobs_retries_total', 'Retried job insertions', ['reason']);

  function refuse<T>(code: JobErrorCode, message: string, cause?: unknown): Result<T, JobError> {
    refusals.inc({ reason: code });
    return Result.err(new JobError(code, message, cause));
  }

  function writeFailed<T>(err: PlatformError): Result<T, JobError> {
    const code = err.mayHaveTakenEffect
      ? JobErrorCode.OutcomeUnknown
      : JobErrorCode.PlatformUnavailable;
    return refuse(code, err.message, err);
  }

  function readFailed<T>(err: PlatformError): Result<T, JobError> {
    return refuse(JobErrorCode.PlatformUnavailable, err.message, err);
  }

  async function submit(input: JobSpec): JobStoreResult<Submission> {
    const spec = checkSpec(input, settings);
    if (spec.isErr) return refuse(spec.error.code, spec.error.message, spec.error);
    const admitted = await checkAdmission(spec.value);
    if (admitted.isErr) return Result.err(admitted.error);
    if (admitted.value) return Result.ok(admitted.value);
    const record = newRecord(spec.value, deps.zone, deps.clock.wallTime());
    const result = await insert(record);
    if (result.isOk) {
      submissions.inc({ existed: `${result.value.existed}` });
      deps.notify(result.value.zone, record.id, record.urgent);
    }
    return result;
  }

  /**
   * Checks quota and size. If a check fails for a job that is already recorded, returns its earlier
   * submission instead of refusing the repeated one.
   */
  async function checkAdmission(spec: JobSpec): JobStoreResult<Submission | undefined> {
    const limit = deps.maxOpenJobs(spec.team);
    if (limit === undefined) {
      return refuse(JobErrorCode.UnknownTeam, `unknown team ${spec.team}`);
    }
    const openPage = await table.scan(jobKeys.teamPrefix(spec.team), limit + 1);
    if (openPage.isErr) return readFailed(openPage.error);
    const isOverQuota = openPage.value.rows.length >= limit;
    if (!isOverQuota && deps.fitsInventory(spec.kind, spec)) return Result.ok(undefined);
    const earlier = await findEarlierSubmission(spec);
    if (earlier.isErr) return Result.err(earlier.error);
    if (earlier.value) return Result.ok(earlier.value);
    if (isOverQuota) {
      const message = `team ${spec.team} has reached its limit of ${limit} open jobs`;
      return refuse(JobErrorCode.TeamQuota, message);
    }
    const { cores, memoryMib, accelerators } = spec;
    const size = `${cores} cores, ${memoryMib} MiB and ${accelerators} accelerators`;
    return refuse(JobErrorCode.TooLarge, `no worker in zone ${deps.zone} has ${size}`);
  }

  /**
   * Writes a new job on the condition that its id is unused. If the response is lost, reads the id
   * row back and retries until the outcome is certain.
   */
  async function insert(record: JobRecord): JobStoreResult<Submission> {
    const conditions = [{ key: jobKeys.id(record.id), version: 0 }];
    let mayBeRecorded = false;
    for (let attempt = 0; ; attempt += 1) {
      const written = await table.transact(conditions, insertionWrites(record));
      if (written.isOk) return Result.ok({ zone: record.zone, existed: false });
      const { error } = written;
      mayBeRecorded ||= error.mayHaveTakenEffect;
      if (error.code === PlatformErrorCode.ConditionFailed || error.mayHaveTakenEffect) {
        const found = await findEarlierSubmission(record);
        if (found.isOk && found.value) return Result.ok(found.value);
        if (found.isErr && found.error.code === JobErrorCode.IdInUse) {
          return Result.err(found.error);
        }
      }
      if (!mayBeRecorded) return writeFailed(error);
      if (attempt >= settings.submitRetries) {
        return refuse(JobErrorCode.OutcomeUnknown, error.message, error);
      }
      retries.inc({ reason: error.code });
      await deps.clock.sleep(deps.random.next() * settings.submitBackoffMs * 2 ** attempt);
    }
  }

  /** Returns the earlier submission of the same job; undefined if there is none. */
  async function findEarlierSubmission(spec: JobSpec): JobStoreResult<Submission | undefined> {
    const row = await table.get(jobKeys.id(spec.id));
    if (row.isErr) return readFailed(row.error);
    if (!row.value) return Result.ok(undefined);
    const { zone, digest } = row.value.value as JobIdRow;
    if (digest !== digestOf(spec)) {
      return refuse(JobErrorCode.IdInUse, `job id ${spec.id} is already used by a different job`);
    }
    return Result.ok({ zone, existed: true });
  }

  /** Returns the open or ended row of a job. */
  async function findRow(id: string): JobStoreResult<Row> {
    const idRow = await table.get(jobKeys.id(id));
    if (idRow.isErr) return readFailed(idRow.error);
    if (!idRow.value) return refuse(JobErrorCode.NotFound, `job ${id} does not exist`);
    const { zone } = idRow.value.value as JobIdRow;
    // Read the open row first: jobs move from open to ended, never back.
    for (const key of [jobKeys.open(zone, id), jobKeys.ended(zone, id)]) {
      const row = await table.get(key);
      if (row.isErr) return readFailed(row.error);
      if (row.value) return Result.ok(row.value);
    }
    return refuse(JobErrorCode.NotFound, `job ${id} has neither an open nor an ended row`);
  }

  async function get(id: string): JobStoreResult<JobRecord> {
    return (await findRow(id)).map((row) => row.value as JobRecord);
  }

  async function readResult(id: string): JobStoreResult<Uint8Array> {
    const job = await get(id);
    if (job.isErr) return Result.err(job.error);
    const { result, state } = job.value;
    if (!result)
      return refuse(JobErrorCode.NoResult, `job ${id} has no result; its state is ${state}`);
    const body = await objects.get(result.key);
    if (body.isErr) return readFailed(body.error);
    const bytes = body.value ?? new Uint8Array();
    const sha256 = createHash('sha256').update(bytes).digest('hex');
    if (bytes.length !== result.bytes || sha256 !== result.sha256) {
      const message = `result object ${result.key} has ${bytes.length} bytes and SHA-256 ${sha256}, expected ${result.bytes} and ${result.sha256}`;
      return refuse(JobErrorCode.ResultDamaged, message);
    }
    return Result.ok(bytes);
  }

  async function cancel(
    team: string,
    ids: readonly string[],
  ): JobStoreResult<Map<string, CancelOutcome>> {
    const zones = await openZones(team, ids);
    if (zones.isErr) return Result.err(zones.error);
    const outcomes = new Map<string, CancelOutcome>();
    for (const id of ids) outcomes.set(id, CancelOutcome.NotOpen);
    const openEntries = [...zones.value];
    for (let start = 0; start < openEntries.length; start += settings.pageSize) {
      const batch = openEntries.slice(start, start + settings.pageSize);
      const writes = batch.map(([id, zone]) => ({ key: jobKeys.cancel(zone, id), value: {} }));
      const written = await table.transact([], writes);
      if (written.isErr) return writeFailed(written.error);
      for (const [id] of batch) outcomes.set(id, CancelOutcome.Requested);
    }
    for (const [id, zone] of openEntries.slice(0, 1)) deps.notify(zone, id, false);
    return Result.ok(outcomes);
  }

  /**
   * Returns the zones of the team's open jobs among `ids`. Reads a single row for one id, and scans
   * the team's index for several.
   */
  async function openZones(
    team: string,
    ids: readonly string[],
  ): JobStoreResult<Map<string, string>> {
    const requestedIds = new Set(ids);
    const zones = new Map<string, string>();
    if (requestedIds.size === 1) {
      const [id = ''] = requestedIds;
      const row = await table.get(jobKeys.team(team, id));
      if (row.isErr) return readFailed(row.error);
      if (row.value) zones.set(id, (row.value.value as TeamJobRow).zone);
      return Result.ok(zones);
    }
    let after: string | undefined;
    do {
      const page = await table.scan(jobKeys.teamPrefix(team), settings.pageSize, after);
      if (page.isErr) return readFailed(page.error);
      for (const { key, value } of page.value.rows) {
        const id = idOfKey(key);
        if (requestedIds.has(id)) zones.set(id, (value as TeamJobRow).zone);
      }
      after = page.value.next;
    } while (after !== undefined && zones.size < requestedIds.size);
    return Result.ok(zones);
  }

  async function release(id: string): JobStoreResult<void> {
    const row = await findRow(id);
    if (row.isErr) return Result.err(row.error);
    const job = row.value.value as JobRecord;
    if (job.state !== JobState.Parked || job.parkReason !== ParkReason.MayHaveRun) {
      return refuse(JobErrorCode.WrongState, `job ${id} in state ${job.state} cannot be released`);
    }
    const next: JobRecord = {
      ...job,
      state: JobState.Queued,
      parkReason: undefined,
      attempts: 0,
      writeId: randomUUID(),
    };
    const { key, version } = row.value;
    const written = await table.transact([{ key, version }], [{ key, value: next }]);
    if (written.isOk) {
      deps.notify(job.zone, id, job.urgent);
      return Result.ok(undefined);
    }
    if (written.error.code === PlatformErrorCode.ConditionFailed) {
      return refuse(JobErrorCode.WrongState, `job ${id} was modified concurrently`, written.error);
    }
    return writeFailed(written.error);
  }

  return { submit, get, readResult, cancel, release };
}

function checkSpec(input: JobSpec, settings: JobsSettings): Result<JobSpec, JobError> {
  const parsed = jobSpecSchema.safeParse(input);
  if (!parsed.success) {
    return Result.err(new JobError(JobErrorCode.Invalid, z.prettifyError(parsed.error)));
  }
  const bytes = Buffer.byteLength(JSON.stringify(parsed.data.payload ?? null));
  if (bytes > settings.maxPayloadBytes) {
    const message = `payload of ${bytes} bytes exceeds the limit of ${settings.maxPayloadBytes} bytes`;
    return Result.err(new JobError(JobErrorCode.Invalid, message));
  }
  return Result.ok(parsed.data);
}

function newRecord(spec: JobSpec, zone: string, submittedAt: number): JobRecord {
  return {
    ...spec,
    zone,
    state: JobState.Queued,
    submittedAt,
    attempts: 0,
    epoch: 0,
    runs: [],
    avoid: [],
    writeId: randomUUID(),
  };
}
