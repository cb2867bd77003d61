import type { Account } from '../accounts/index.js';
import { BaseError } from '../errors/index.js';

/** CPU, memory and accelerators, offered by a worker or requested by one task. */
export interface Resources {
  /** Thousandths of a core. */
  cpuMillis: number;
  /** MiB. */
  memoryMb: number;
  accelerators: number;
}

/** One step of a job: `count` equal tasks. */
export interface StepSpec extends Resources {
  count: number;
  /** Estimated run time of one task in milliseconds, as declared by the caller. */
  estimateMs: number;
  /** Numbers of earlier steps whose tasks must all have succeeded first. */
  after: number[];
  /** All tasks must run at the same time; when one ends, they all end (gang scheduling). */
  isGang: boolean;
  /** The tasks run slower when spread over more than one rack. */
  isColocated: boolean;
  /** Label that a worker must have to run the tasks. */
  requiredLabel?: string;
  /** Label of the rack that holds the input data; preferred, not required. */
  nearRack?: string;
  /** Maximum number of tasks of the step on one worker; 0 means unlimited. */
  maxPerWorker: number;
  /** The tasks write checkpoints that a later run can resume from. */
  savesProgress: boolean;
  /** A second run of a task may be started while the first is still running. */
  allowsCopies: boolean;
  /** Long-running: the tasks run until the job is cancelled and restart whenever they end. */
  isLasting: boolean;
  /** Image that the tasks run; tasks of the same image behave alike. */
  image: string;
  /** Target for the tail latency in milliseconds; 0 when the tasks serve no requests. */
  latencyTargetMs: number;
  /** Best effort: the tasks use CPU left idle by others; their `cpuMillis` is not reserved. */
  fillsSpare: boolean;
  /** Tasks of the step that planned work may interrupt at the same time; 0 means unlimited. */
  maxAway: number;
}

/** What identifies a queue to callers; its name and its service may change with the configuration. */
export interface QueuePath {
  host: string;
  pathPrefix: string;
}

/** A job as submitted by the caller. */
export interface JobSpec {
  /** Chosen by the caller. */
  id: string;
  /** Name of the queue it was submitted to. */
  queue: string;
  /** Opaque payload that is passed to every task. */
  payload: string;
  steps: StepSpec[];
  /** How many times the steps run; 0 for an unscheduled job, which runs once. */
  occurrences: number;
  /** Unix time in milliseconds at which occurrence 0 is due. */
  firstDueMs: number;
  /** Milliseconds between occurrences. */
  periodMs: number;
  /** Unix time of acceptance in milliseconds, for ordering only. */
  acceptedMs: number;
  /** Name of the client account that submitted it; undefined for a job of a public queue. */
  account?: string;
  /**
   * Whether the account had submitted more jobs than its rate allows, as counted by the holder;
   * undefined if it was not counted.
   */
  isBeyondRate?: boolean;
  /** Path of the queue; undefined for a job that an earlier version accepted. */
  path?: QueuePath;
  /**
   * Terms of the queue when the job was submitted, for the time in which the configuration lacks it;
   * undefined for a job that an earlier version accepted.
   */
  terms?: QueueTerms;
}

/** Why a job was not accepted, or why it is unknown whether it was. */
export enum RefusalReason {
  /** The holder has reached its limit of open jobs. */
  Full = 'full',
  /** The node that received the request does not hold the service. */
  NotHolder = 'not_holder',
  /** The store is suspected to be unreachable, so nothing was sent to it. */
  StoreSuspect = 'store_away',
  /** The store was called and returned no usable response. */
  StoreUnavailable = 'store_unavailable',
  /** The store never accepts the job. */
  Unstorable = 'unstorable',
  /** The write was sent, and this node lost the service before the response arrived. */
  Unresolved = 'unresolved',
  /** The holder of the service may not know all accepted jobs. */
  CountUnknown = 'count_unknown',
  /** The holder of the service did not respond. */
  HolderUnreachable = 'holder_unreachable',
  /** The stored row of the job cannot be decoded. */
  BadRow = 'bad_row',
  /** The service may not accept the id, because the queue of the job has moved. */
  IdClosed = 'id_closed',
  /** Another account has a job with this id. */
  IdInUse = 'id_in_use',
  /** The job cannot complete while it has value, because of the work ahead of it. */
  Hopeless = 'hopeless',
  /** The account has its part of the open jobs that the holder can keep. */
  AccountShare = 'account_share',
}

/** State of a job as reported to callers. */
export enum JobState {
  Queued = 'queued',
  Running = 'running',
  Succeeded = 'succeeded',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** How a run ended on its worker. */
export enum RunEnd {
  Done = 'done',
  /** The task or its worker failed; counts as an attempt. */
  Failed = 'failed',
  Stopped = 'stopped',
  LeaseExpired = 'lapsed',
  /** Another task of its gang ended. */
  GangBroken = 'broken',
  /** The other tasks of its gang did not start in time. */
  GangIncomplete = 'alone',
}

/** Settings of a queue whose steps may run only on workers approved by the advice service. */
export interface AdvicePolicy {
  /** How long a ticket issued by the advice service is valid, in milliseconds. */
  ticketLifeMs: number;
}

/** How the jobs of a queue are scheduled. */
export interface QueueTerms {
  /** A job's completion objective is `stretch` times its critical path plus this, in ms. */
  objectiveMs: number;
  stretch: number;
  /** Lower values are placed first. */
  priority: number;
  /** Failed runs of one task after which the job fails. */
  maxAttempts: number;
  advice?: AdvicePolicy;
}

/** A queue that accepts jobs. */
export interface Queue extends QueueTerms, QueuePath {
  name: string;
  /** Service whose workers run the tasks. */
  service: string;
  /** Whether callers need no key; its jobs belong to no client account. */
  isPublic?: boolean;
}

/** A service; its tasks run on the workers of one pool. */
export interface Service {
  name: string;
  /** Whether its workers reject runs that exceed their free resources. */
  hasAdmissionControl: boolean;
  /** Whether this is the standby pool, whose VMs are switched off and cost nothing. */
  isStandby: boolean;
}

/** Limits on requests from callers. */
export interface RequestLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** Configuration of the batch subsystem. */
export interface BatchConfig {
  version: number;
  queues: Queue[];
  services: Service[];
  limits: RequestLimits;
  /** Client accounts; undefined if the deployment has none. */
  accounts?: Account[];
}

/** Optional parts of the batch subsystem that the settings of a deployment enable. */
export interface Features {
  /** Learns run times instead of relying on declared estimates, and copies stragglers. */
  learnsRunTimes: boolean;
  /** Gives no new tasks to workers that fail or are slow compared with the others of their pool. */
  judgesWorkers: boolean;
  /** Sizes pools by the demand that is forecast for the time at which an ordered VM arrives. */
  forecastsDemand: boolean;
  /** Empties VMs of a pool that has more than it needs when another one is short of VMs. */
  relocatesRuns: boolean;
  /** Reaches the store through other nodes while it does not answer this one. */
  relaysStore: boolean;
}

/** Features of a deployment whose settings enable none. */
export const noFeatures: Features = {
  learnsRunTimes: false,
  judgesWorkers: false,
  forecastsDemand: false,
  relocatesRuns: false,
  relaysStore: false,
};

/** A maintenance wave as requested by the operator. */
export interface WaveSpec {
  id: string;
  vms: string[];
  /** Time limit for the maintenance of all VMs, in seconds. */
  timeLimitS: number;
  /** Maximum number of VMs of this wave that may be down at the same time. */
  maxDown: number;
}

/** Registration of a worker. */
export interface WorkerRecord {
  id: string;
  service: string;
  /** `IP:port` */
  address: string;
  zone: string;
  isDraining: boolean;
  capacity: Resources;
  labels: string[];
  /** Unix time of its start in milliseconds; a change means a new incarnation. */
  bornMs: number;
}

/** Codes of {@link BatchError}. */
export enum BatchErrorCode {
  /** A job is malformed. */
  InvalidJob = 'invalid_job',
  /** A stored row cannot be decoded. */
  BadRow = 'bad_row',
}

/** A job or a stored row is invalid. */
export class BatchError extends BaseError<BatchErrorCode> {}

/** A job was not accepted. */
export interface RefusedSubmission {
  isAccepted: false;
  reason: RefusalReason;
  retryAfterMs: number;
  /** Input of a refusal under load, for logs. */
  load?: { workAheadMs: number; ratePerMs: number };
}

/** Result of submitting a job. */
export type SubmitOutcome = { isAccepted: true } | RefusedSubmission;

/** Number of the jobs of a queue that have not started any task. */
export interface PendingCount {
  /** Undefined if the holder cannot know it. */
  count?: number;
  /** Time since the holder last knew all accepted jobs, in milliseconds. */
  ageMs: number;
}
