import { BaseError } from '../errors/index.js';
import type { HolderExplanation } from '../explain/index.js';
import {
  countRange,
  durationRange,
  isFields,
  isFlag,
  isNumberIn,
  isOptionalFlag,
  isOptionalText,
  isText,
  isWholeNumberIn,
  timeRange,
  type NumberRange,
} from '../validation/index.js';
import { isJobSpec, isQueuePath } from './jobCodec.js';
import type { ServiceLoad } from './serviceLoad.js';
import {
  JobState,
  RefusalReason,
  type JobSpec,
  type PendingCount,
  type QueuePath,
  type SubmitOutcome,
} from './types.js';
import type { VmListing, VacateOptions, VacateStatus } from './vacating.js';

/** Codes of {@link NodeCallError}. */
export enum NodeCallErrorCode {
  Malformed = 'malformed',
}

/** A call from another node cannot be answered. */
export class NodeCallError extends BaseError<NodeCallErrorCode> {}

/** Kinds of calls to the holder of a service. */
export enum NodeCallKind {
  Submit = 'submit',
  Status = 'status',
  Cancel = 'cancel',
  Pending = 'pending',
  Vacate = 'vacate',
  Readmit = 'readmit',
  /** Planned work has ended all runs on the worker of a VM. */
  RunsEnded = 'ended',
  /** No VM runs a worker any more. */
  WorkerGone = 'gone',
  Load = 'load',
  /** What would be done with a job, without submitting it. */
  Explain = 'explain',
}

/** A call to the holder of a service. */
export type NodeCall = { service: string } & (
  | { kind: NodeCallKind.Submit; spec: JobSpec }
  | { kind: NodeCallKind.Explain; spec: JobSpec }
  | { kind: NodeCallKind.Status; job: string }
  | { kind: NodeCallKind.Cancel; job: string; account?: string }
  | { kind: NodeCallKind.Pending; queue: string; path?: QueuePath }
  | ({ kind: NodeCallKind.Vacate } & VmListing & VacateOptions)
  | { kind: NodeCallKind.Readmit; vm: string }
  | { kind: NodeCallKind.RunsEnded; vm: string; worker?: string }
  | { kind: NodeCallKind.WorkerGone; worker: string; bornMs: number }
  | { kind: NodeCallKind.Load }
);

/** Answer to a {@link NodeCall}; `isHolder` is false when the node does not hold the service. */
export interface NodeAnswer {
  isHolder: boolean;
  submitted?: SubmitOutcome;
  /** State of the job; undefined when the holder has no such job. */
  state?: JobState;
  /** Account of the job whose state is reported, if it has one. */
  account?: string;
  /** Whether the cancellation is durable; undefined when the holder has no such open job. */
  isCancelled?: boolean;
  pending?: PendingCount;
  vacating?: VacateStatus;
  load?: ServiceLoad;
  explained?: HolderExplanation;
}

const callKinds: ReadonlySet<unknown> = new Set(Object.values(NodeCallKind));

/** Whether a call has the fields of its kind. */
function hasFieldsOfKind(call: Record<string, unknown>): boolean {
  switch (call.kind as NodeCallKind) {
    case NodeCallKind.Submit:
    case NodeCallKind.Explain:
      return isJobSpec(call.spec);
    case NodeCallKind.Status:
      return isText(call.job);
    case NodeCallKind.Cancel:
      return isText(call.job) && isOptionalText(call.account);
    case NodeCallKind.Pending:
      return isText(call.queue) && isOptional(call.path, isQueuePath);
    case NodeCallKind.Vacate:
      return (
        isText(call.vm) &&
        isOptionalText(call.worker) &&
        isNumberIn(call.listAgeMs, ageRange) &&
        isFlag(call.isUrgent) &&
        isOptionalFlag(call.relocatesRuns)
      );
    case NodeCallKind.Readmit:
      return isText(call.vm);
    case NodeCallKind.RunsEnded:
      return isText(call.vm) && isOptionalText(call.worker);
    case NodeCallKind.WorkerGone:
      return isText(call.worker) && isNumberIn(call.bornMs, timeRange);
    case NodeCallKind.Load:
      return true;
  }
}

/** Decodes a call from another node; returns undefined if it is malformed. */
export function decodeNodeCall(body: unknown): NodeCall | undefined {
  if (!isFields(body) || !isText(body.service) || !callKinds.has(body.kind)) return undefined;
  return hasFieldsOfKind(body) ? (body as unknown as NodeCall) : undefined;
}

/** Decodes an answer from another node; returns undefined if it is malformed. */
export function decodeNodeAnswer(body: unknown): NodeAnswer | undefined {
  if (!isFields(body) || !isFlag(body.isHolder)) return undefined;
  const { account, state, isCancelled, explained } = body;
  const areFieldsValid =
    isOptionalText(account) &&
    (state === undefined || jobStates.has(state)) &&
    isOptionalFlag(isCancelled) &&
    isOptional(body.submitted, isSubmitOutcome) &&
    isOptional(body.pending, isPendingCount) &&
    isOptional(body.vacating, isVacateStatus) &&
    isOptional(body.load, isServiceLoad) &&
    isOptional(explained, isFields);
  return areFieldsValid ? (body as unknown as NodeAnswer) : undefined;
}

/** CBOR has null where an encoder has no value. */
function isOptional(value: unknown, isValid: (value: unknown) => boolean): boolean {
  return value === undefined || value === null || isValid(value);
}

const jobStates: ReadonlySet<unknown> = new Set(Object.values(JobState));
const refusalReasons: ReadonlySet<unknown> = new Set(Object.values(RefusalReason));

function isSubmitOutcome(value: unknown): boolean {
  if (!isFields(value) || !isFlag(value.isAccepted)) return false;
  if (value.isAccepted) return true;
  return (
    refusalReasons.has(value.reason) &&
    isNumberIn(value.retryAfterMs, durationRange) &&
    isOptional(value.load, isRefusedLoad)
  );
}

function isRefusedLoad(value: unknown): boolean {
  return isFields(value) && [value.workAheadMs, value.ratePerMs].every(Number.isFinite);
}

function isPendingCount(value: unknown): boolean {
  if (!isFields(value)) return false;
  const { count, ageMs } = value;
  return (
    isOptional(count, (number) => isWholeNumberIn(number, countRange)) &&
    isNumberIn(ageMs, ageRange)
  );
}

function isVacateStatus(value: unknown): boolean {
  return isFields(value) && isFlag(value.isReady) && isWholeNumberIn(value.runs, countRange);
}

/** Ages; infinite before the first event. */
const ageRange: NumberRange = { min: 0, max: Infinity };
/**
 * CPU of all tasks or workers of a service, in thousandths of a core. Sums of fractional requests may
 * end slightly below 0.
 */
const totalCpuRange: NumberRange = { min: -1, max: Number.MAX_SAFE_INTEGER };

const loadAmounts = [
  'waitingCpu',
  'backlogCpu',
  'expectedCpu',
  'lastingCpu',
  'usedCpu',
  'capacityCpu',
] as const;

function isServiceLoad(value: unknown): boolean {
  if (!isFields(value)) return false;
  const { workers, spreadNeed } = value;
  return (
    loadAmounts.every((name) => isNumberIn(value[name], totalCpuRange)) &&
    isWholeNumberIn(spreadNeed, countRange) &&
    Array.isArray(workers) &&
    workers.every(isWorkerLoad)
  );
}

function isWorkerLoad(value: unknown): boolean {
  if (!isFields(value)) return false;
  const { id, runs, lastingRuns, silentBornMs } = value;
  return (
    isText(id) &&
    isWholeNumberIn(runs, countRange) &&
    isOptional(lastingRuns, (count) => isWholeNumberIn(count, countRange)) &&
    isOptional(silentBornMs, (time) => isNumberIn(time, timeRange))
  );
}
