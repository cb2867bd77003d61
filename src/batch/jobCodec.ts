import { Result } from 'true-myth';
import {
  countRange,
  durationRange,
  isFields,
  isNumberIn,
  isOptionalFlag,
  isOptionalText,
  isText,
  isWholeNumberIn,
  parseJson,
  runNumberRange,
  timeRange,
  type NumberRange,
} from '../validation/index.js';
import { CrashRole } from './crashSuspects.js';
import type { Row } from './ports.js';
import { ENDED_TABLE } from './rows.js';
import {
  BatchError,
  BatchErrorCode,
  JobState,
  type JobSpec,
  type Queue,
  type QueuePath,
  type QueueTerms,
  type StepSpec,
} from './types.js';

/** Maximum number of tasks in all steps of a job; bounds the memory that a job can use. */
export const MAX_TASKS_PER_JOB = 5_000;

/** Shortest time between the occurrences of a job; bounds how fast these can fall due. */
const MIN_PERIOD_MS = 1;

/** Numbers of failed runs after which a job may fail. */
const attemptRange: NumberRange = { min: 1, max: Number.MAX_SAFE_INTEGER };

/** Fields of a step that count tasks. */
const wholeFields = ['maxPerWorker', 'maxAway'] as const;

const defaultStep: StepSpec = {
  count: 1,
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
  estimateMs: 0,
  after: [],
  isGang: false,
  isColocated: false,
  maxPerWorker: 0,
  savesProgress: false,
  allowsCopies: false,
  isLasting: false,
  image: '',
  latencyTargetMs: 0,
  fillsSpare: false,
  maxAway: 0,
};

/** Fills in the default values of a step's missing fields. */
export function withStepDefaults(fields: Partial<StepSpec>): StepSpec {
  return { ...defaultStep, ...fields };
}

/** Validates what the types cannot express. The error names the step and the expected value. */
export function validateJob(spec: JobSpec): Result<JobSpec, BatchError> {
  const problem = findProblem(spec);
  if (problem === undefined) return Result.ok(spec);
  return Result.err(new BatchError(BatchErrorCode.InvalidJob, problem));
}

function findProblem({ steps, occurrences, periodMs }: JobSpec): string | undefined {
  if (steps.length === 0) return 'a job needs at least one step';
  let tasks = 0;
  for (const [number, step] of steps.entries()) {
    const problem = findStepProblem(step, number);
    if (problem !== undefined) return `step ${number}: ${problem}`;
    tasks += step.count;
  }
  if (tasks > MAX_TASKS_PER_JOB) return `${tasks} tasks, expected at most ${MAX_TASKS_PER_JOB}`;
  if (!isWhole(occurrences, countRange))
    return `number of occurrences is ${occurrences}, expected a whole number of 0 or more`;
  if (occurrences > 1 && periodMs < MIN_PERIOD_MS)
    return `period is ${periodMs} ms, expected ${MIN_PERIOD_MS} or more`;
  return undefined;
}

/** Without the type of a guard, so that a number that fails stays a number. */
const isWhole = (value: number, range: NumberRange): boolean => isWholeNumberIn(value, range);

function findStepProblem(step: StepSpec, number: number): string | undefined {
  const { count, after } = step;
  if (!isWhole(count, { min: 1, max: MAX_TASKS_PER_JOB }))
    return `count is ${count}, expected a whole number of 1 to ${MAX_TASKS_PER_JOB}`;
  const earlierSteps = { min: 0, max: number - 1 };
  const invalidStep = after.find((earlier) => !isWhole(earlier, earlierSteps));
  if (invalidStep !== undefined)
    return `after contains ${invalidStep}, expected only earlier steps`;
  const fractional = wholeFields.find((field) => !isWhole(step[field], countRange));
  if (fractional === undefined) return undefined;
  return `${fractional} is ${step[fractional]}, expected a whole number of 0 or more`;
}

/** The part of a queue that is kept with its jobs. */
export function termsOf({
  objectiveMs,
  stretch,
  priority,
  maxAttempts,
  advice,
}: Queue): QueueTerms {
  return { objectiveMs, stretch, priority, maxAttempts, ...(advice && { advice }) };
}

/** What a job keeps of its queue: the path, without the other fields. */
export function pathOf({ host, pathPrefix }: QueuePath): QueuePath {
  return { host, pathPrefix };
}

/** Encodes the value of a job row; step fields with default values are omitted. */
export function encodeJob(spec: JobSpec): string {
  const steps = spec.steps.map((step) => {
    const fields = Object.entries(step).filter(([name, value]) => {
      const defaultValue: unknown = defaultStep[name as keyof StepSpec];
      return Array.isArray(value) ? value.length > 0 : value !== defaultValue;
    });
    return Object.fromEntries(fields);
  });
  return JSON.stringify({ ...spec, steps });
}

/** Decodes a value written by {@link encodeJob}. */
export function decodeJob(text: string): Result<JobSpec, BatchError> {
  const fields = parseJson(text);
  const steps: unknown = isFields(fields) ? fields.steps : undefined;
  if (!isFields(fields) || !Array.isArray(steps) || !steps.every(isFields))
    return badJobRow('steps');
  const { terms, path, ...others } = fields;
  const spec = {
    ...others,
    steps: steps.map((step) => withStepDefaults(step)),
    // The job can do without terms for as long as the configuration has its queue.
    ...(isQueueTerms(terms) && { terms }),
    // The job can do without its path for as long as its queue keeps its name.
    ...(isQueuePath(path) && { path }),
  };
  return isJobSpec(spec) ? Result.ok(spec) : badJobRow('a field');
}

function badJobRow(part: string): Result<never, BatchError> {
  const message = `job row: ${part} is missing or malformed`;
  return Result.err(new BatchError(BatchErrorCode.BadRow, message));
}

/**
 * Whether a value from a row or another node is a complete job. A job that another version of this
 * program accepted is as valid as one that is submitted now, so the same limits hold.
 */
export function isJobSpec(value: unknown): value is JobSpec {
  if (!isFields(value)) return false;
  const { id, queue, payload, steps, account, isBeyondRate, terms, path } = value;
  const { occurrences, firstDueMs, periodMs, acceptedMs } = value;
  return (
    [id, queue, payload].every(isText) &&
    isOptionalText(account) &&
    isOptionalFlag(isBeyondRate) &&
    (terms === undefined || terms === null || isQueueTerms(terms)) &&
    (path === undefined || path === null || isQueuePath(path)) &&
    [occurrences, firstDueMs, periodMs, acceptedMs].every((number) => Number.isFinite(number)) &&
    Array.isArray(steps) &&
    steps.every(isStepSpec) &&
    findProblem(value as unknown as JobSpec) === undefined
  );
}

/** Whether a value from a row or another node is the path of a queue. */
export function isQueuePath(value: unknown): value is QueuePath {
  return isFields(value) && isText(value.host) && isText(value.pathPrefix);
}

function isQueueTerms(value: unknown): value is QueueTerms {
  if (!isFields(value)) return false;
  const { objectiveMs, stretch, priority, maxAttempts, advice } = value;
  return (
    [objectiveMs, stretch, priority].every((number) => Number.isFinite(number)) &&
    isWholeNumberIn(maxAttempts, attemptRange) &&
    (advice === undefined ||
      advice === null ||
      (isFields(advice) && isNumberIn(advice.ticketLifeMs, durationRange)))
  );
}

function isStepSpec(value: unknown): value is StepSpec {
  if (!isFields(value)) return false;
  const hasTypeOf = ([name, example]: [string, unknown]) => {
    const field = value[name];
    if (Array.isArray(example)) return Array.isArray(field);
    if (typeof example === 'number') return isNumberIn(field, { min: 0, max: Number.MAX_VALUE });
    return typeof field === typeof example;
  };
  const { requiredLabel, nearRack } = value;
  return (
    Object.entries(defaultStep).every(hasTypeOf) &&
    isOptionalText(requiredLabel) &&
    isOptionalText(nearRack)
  );
}

/** A run that may have crashed its worker, as stored for a later holder. */
export interface SuspectRun {
  run: number;
  /** Id of the worker. */
  worker: string;
  /** Start of the incarnation of the worker; Unix milliseconds. */
  bornMs: number;
}

/** Progress of a job, as stored in its progress row. */
export interface StoredProgress {
  /** Indexes of completed tasks by `occurrence.step`. */
  done: Record<string, number[]>;
  /** Numbers of failed runs by `occurrence.step.index`. */
  failures: Record<string, number[]>;
  /** Occurrences below this number have ended and are omitted from `done`. */
  ended?: number;
  /** Roles in crashes of workers by run number, by `occurrence.step.index`. */
  crashes?: Record<string, [run: number, role: CrashRole][]>;
  /** Runs that may have crashed their worker, by `occurrence.step.index`. */
  suspectRuns?: Record<string, SuspectRun>;
}

/** A progress row whose entries can be applied to any job. */
export interface DecodedProgress extends Required<StoredProgress> {
  /** Number of entries that could not be read. */
  unreadableCount: number;
}

const isIndex = (value: unknown): value is number => isWholeNumberIn(value, countRange);
const isRunNumber = (value: unknown): value is number => isWholeNumberIn(value, runNumberRange);
const isIndexList = (value: unknown): value is number[] =>
  Array.isArray(value) && value.every(isIndex);
const isRunList = (value: unknown): value is number[] =>
  Array.isArray(value) && value.every(isRunNumber);

const crashRoles: ReadonlySet<unknown> = new Set(Object.values(CrashRole));

function isCrashList(value: unknown): value is [run: number, role: CrashRole][] {
  const isCrash = (entry: unknown) =>
    Array.isArray(entry) && isRunNumber(entry[0]) && crashRoles.has(entry[1]);
  return Array.isArray(value) && value.every(isCrash);
}

function isSuspectRun(value: unknown): value is SuspectRun {
  if (!isFields(value) || !isRunNumber(value.run) || !isText(value.worker)) return false;
  return isNumberIn(value.bornMs, timeRange);
}

/**
 * Decodes a progress row. Entries that cannot be read are left out, because each of the others tells
 * of a task that must not start again.
 *
 * @returns undefined if the value has no entries at all
 */
export function decodeProgress(text: string): DecodedProgress | undefined {
  const fields = parseJson(text);
  if (!isFields(fields)) return undefined;
  let unreadableCount = 0;
  const entriesOf = <T>(value: unknown, depth: number, isValid: (entry: unknown) => entry is T) => {
    const entries: Record<string, T> = {};
    if (value === undefined) return entries;
    if (!isFields(value)) unreadableCount++;
    else {
      for (const [key, entry] of Object.entries(value)) {
        if (isTaskKey(key, depth) && isValid(entry)) entries[key] = entry;
        else unreadableCount++;
      }
    }
    return entries;
  };
  if (fields.ended !== undefined && !isIndex(fields.ended)) unreadableCount++;
  return {
    ended: isIndex(fields.ended) ? fields.ended : 0,
    done: entriesOf(fields.done, STEP_KEY_DEPTH, isIndexList),
    failures: entriesOf(fields.failures, TASK_KEY_DEPTH, isRunList),
    crashes: entriesOf(fields.crashes, TASK_KEY_DEPTH, isCrashList),
    suspectRuns: entriesOf(fields.suspectRuns, TASK_KEY_DEPTH, isSuspectRun),
    unreadableCount,
  };
}

/** Numbers in the key of a step (`occurrence.step`) and of a task (`occurrence.step.index`). */
const STEP_KEY_DEPTH = 2;
const TASK_KEY_DEPTH = 3;

function isTaskKey(key: string, depth: number): boolean {
  const numbers = key.split('.');
  return numbers.length === depth && numbers.every((part) => part !== '' && isIndex(Number(part)));
}

/** An ended job, as stored in its row. */
export interface EndedJobRow {
  state: JobState;
  account?: string;
}

const statesByText = new Map<unknown, JobState>(
  Object.values(JobState).map((state) => [state, state]),
);

/** Encodes the row of an ended job; that of a job without an account is its state alone. */
export function encodeEndedJob({ state, account }: EndedJobRow): string {
  return account === undefined ? state : JSON.stringify({ state, account });
}

/** Decodes a value written by {@link encodeEndedJob}; returns undefined if it is malformed. */
export function decodeEndedJob(text: string): EndedJobRow | undefined {
  const plainState = statesByText.get(text);
  if (plainState) return { state: plainState };
  const row = parseJson(text);
  if (!isFields(row)) return undefined;
  const state = statesByText.get(row.state);
  return state && isText(row.account) ? { state, account: row.account } : undefined;
}

/**
 * Value of the row of an ended job by which a service refuses an id: the job belongs to another
 * service, to which its queue has moved.
 */
export const CLOSED_ID = 'closed';

/** Whether a row closes an id, see {@link CLOSED_ID}. */
export function isClosedId({ table, value }: Row): boolean {
  return table === ENDED_TABLE && value === CLOSED_ID;
}

/** Decodes the account of a job from its row, its inbox row or its row as an ended job. */
export function decodeStoredAccount({
  table,
  key,
  value,
}: Row): Result<string | undefined, BatchError> {
  if (table !== ENDED_TABLE) return decodeJob(value).map(({ account }) => account);
  const ended = decodeEndedJob(value);
  if (ended) return Result.ok(ended.account);
  return Result.err(new BatchError(BatchErrorCode.BadRow, `cannot decode ended job ${key}`));
}

/** Name of a task: `job.occurrence.step.index`. */
export function taskName(job: string, occurrence: number, step: number, index: number): string {
  return `${job}.${occurrence}.${step}.${index}`;
}

/** Components of a task name. */
export interface TaskAddress {
  job: string;
  occurrence: number;
  step: number;
  index: number;
}

/** Parses a name created by {@link taskName}; returns undefined for any other text. */
export function parseTaskName(name: string): TaskAddress | undefined {
  const [job, occurrence, step, index, ...rest] = name.split('.');
  if (job === undefined || index === undefined || rest.length > 0) return undefined;
  const numbers = [occurrence, step, index].map(Number);
  if (!numbers.every((value) => Number.isSafeInteger(value) && value >= 0)) return undefined;
  const [occurrenceNumber = 0, stepNumber = 0, taskIndex = 0] = numbers;
  return { job, occurrence: occurrenceNumber, step: stepNumber, index: taskIndex };
}
