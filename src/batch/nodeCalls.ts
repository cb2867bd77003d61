import type { PendingCount, SubmitOutcome } from './holder.js';
import type { ServiceLoad } from './serviceLoad.js';
import type { JobSpec, JobState } from './types.js';
import type { VacateStatus } from './vacating.js';

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
  Load = 'load',
}

/** A call to the holder of a service. */
export type NodeCall = { service: string } & (
  | { kind: NodeCallKind.Submit; spec: JobSpec }
  | { kind: NodeCallKind.Status; job: string }
  | { kind: NodeCallKind.Cancel; job: string }
  | { kind: NodeCallKind.Pending; queue: string }
  | { kind: NodeCallKind.Vacate; worker: string; isUrgent: boolean }
  | { kind: NodeCallKind.Readmit | NodeCallKind.RunsEnded; worker: string }
  | { kind: NodeCallKind.Load }
);

/** Answer to a {@link NodeCall}; `isHolder` is false when the node does not hold the service. */
export interface NodeAnswer {
  isHolder: boolean;
  submitted?: SubmitOutcome;
  /** State of the job; undefined when the holder has no such job. */
  state?: JobState;
  /** Whether the cancellation is durable; undefined when the holder has no such open job. */
  isCancelled?: boolean;
  pending?: PendingCount;
  vacating?: VacateStatus;
  load?: ServiceLoad;
}
