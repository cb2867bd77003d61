import { Result } from 'true-myth';
import type { Row } from './ports.js';
import { ENDED_TABLE } from './rows.js';
import { BatchError, BatchErrorCode, JobState, type JobSpec, type StepSpec } from './types.js';

/** Maximum number of tasks in all steps of a job; bounds the memory that a job can use. */
export const MAX_TASKS_PER_JOB = 5_000;

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
    if (step.count < 1) return `step ${number}: count is ${step.count}, expected 1 or more`;
    const invalidStep = step.after.find((earlier) => earlier < 0 || earlier >= number);
    if (invalidStep !== undefined)
      return `step ${number}: after contains ${invalidStep}, expected only earlier steps`;
    tasks += step.count;
  }
  if (tasks > MAX_TASKS_PER_JOB) return `${tasks} tasks, expected at most ${MAX_TASKS_PER_JOB}`;
  if (occurrences > 1 && periodMs <= 0) return `period is ${periodMs} ms, expected more than 0`;
  return undefined;
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
  try {
    const row = JSON.parse(text) as Omit<JobSpec, 'steps'> & { steps: Partial<StepSpec>[] };
    return Result.ok({ ...row, steps: row.steps.map(withStepDefaults) });
  } catch (err) {
    return Result.err(new BatchError(BatchErrorCode.BadRow, 'cannot parse job row', err));
  }
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
  try {
    const row = JSON.parse(text) as Partial<Record<keyof EndedJobRow, unknown>> | null;
    const state = statesByText.get(row?.state);
    const account = row?.account;
    return state && typeof account === 'string' ? { state, account } : undefined;
  } catch {
    return undefined;
  }
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
