import { BaseError } from '../errors/index.js';
import type { HolderExplanation } from '../explain/index.js';
import type { ServiceLoad } from './serviceLoad.js';
import type { JobSpec, JobState, PendingCount, SubmitOutcome } from './types.js';
import type { VacateStatus } from './vacating.js';

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
  /** Planned work has ended all runs on a worker. */
  RunsEnded = 'ended',
  /** No VM runs a worker any more. */
  WorkerGone = 'gone',
  Load = 'load',
  /** What would be done with a job, without submitting it. */
  Explain = 'explain',
}

/** A call to the holder of a service. */
export type NodeCall = { service: string } & (
  | { kind: NodeCallKind.Submit | NodeCallKind.Explain; spec: JobSpec }
  | { kind: NodeCallKind.Status; job: string }
  | { kind: NodeCallKind.Cancel; job: string; account?: string }
  | { kind: NodeCallKind.Pending; queue: string }
  | { kind: NodeCallKind.Vacate; worker: string; isUrgent: boolean; relocatesRuns?: boolean }
  | { kind: NodeCallKind.Readmit | NodeCallKind.RunsEnded; worker: string }
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

const isText = (value: unknown): value is string => typeof value === 'string';
const isOptionalText = (value: unknown): boolean => value === undefined || isText(value);

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isJobSpec(value: unknown): boolean {
  if (!isObject(value) || !isText(value.id) || !isText(value.queue) || !isText(value.payload))
    return false;
  const { steps, account } = value;
  return (
    isOptionalText(account) &&
    Array.isArray(steps) &&
    steps.length > 0 &&
    steps.every((step) => isObject(step) && Array.isArray(step.after))
  );
}

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
      return isText(call.queue);
    case NodeCallKind.Vacate:
      return isText(call.worker) && typeof call.isUrgent === 'boolean';
    case NodeCallKind.Readmit:
    case NodeCallKind.RunsEnded:
      return isText(call.worker);
    case NodeCallKind.WorkerGone:
      return isText(call.worker) && typeof call.bornMs === 'number';
    case NodeCallKind.Load:
      return true;
  }
}

/** Decodes a call from another node; returns undefined if it is malformed. */
export function decodeNodeCall(body: unknown): NodeCall | undefined {
  if (!isObject(body) || !isText(body.service) || !callKinds.has(body.kind)) return undefined;
  return hasFieldsOfKind(body) ? (body as unknown as NodeCall) : undefined;
}

/** Decodes an answer from another node; returns undefined if it is malformed. */
export function decodeNodeAnswer(body: unknown): NodeAnswer | undefined {
  if (!isObject(body) || typeof body.isHolder !== 'boolean') return undefined;
  const { submitted, pending, vacating, load, explained, account } = body;
  if (!isOptionalText(account)) return undefined;
  const parts = [submitted, pending, vacating, load, explained];
  if (!parts.every((part) => part === undefined || part === null || isObject(part)))
    return undefined;
  return body as unknown as NodeAnswer;
}
