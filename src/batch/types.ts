import { BaseError } from '../errors/index.js';

/** Processor, memory and accelerators; of a worker, or needed by one task. */
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
  /** Rough run time of one task in milliseconds, as the caller declared it. */
  estimateMs: number;
  /** Numbers of earlier steps of which all tasks must have succeeded. */
  after: number[];
  /** The tasks work only together and end together. */
  isGang: boolean;
  /** The tasks run slower on more than one rack. */
  isColocated: boolean;
  /** Label that a worker must have. */
  requiredLabel?: string;
  /** Label of the rack that holds the input. */
  nearRack?: string;
  /** Tasks of the step on one worker at most; 0 means any number. */
  maxPerWorker: number;
  savesProgress: boolean;
  allowsCopies: boolean;
  /** The tasks run until the job is cancelled and are restarted however they end. */
  isLasting: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  image: string;
  /** Bound of the response time tail in milliseconds; 0 when the tasks serve nobody. */
  latencyTargetMs: number;
  /** The tasks use the processor that others leave; their `cpuMillis` is not reserved. */
  fillsSpare: boolean;
  /** Tasks of the step that planned work may have away at the same time. */
  maxAway: number;
}

/** A job as the caller handed it in. */
export interface JobSpec {
  /** Chosen by the caller. */
  id: string;
  /** Name of the queue it was handed in to. */
  queue: string;
  /** Opaque description that every task receives. */
  payload: string;
  steps: StepSpec[];
  /** How many times the steps run; 0 for a job without set times, which runs once. */
  occurrences: number;
  /** Unix milliseconds at which occurrence 0 is due. */
  firstDueMs: number;
  /** Milliseconds between occurrences. */
  periodMs: number;
  /** Unix milliseconds of acceptance, for ordering only. */
  acceptedMs: number;
}

/** Why a job was not accepted, or is not known to be. */
export enum RefusalReason {
  /** The holder keeps as many open jobs as it may. */
  Full = 'full',
  /** The node that was asked does not hold the service. */
  NotHolder = 'not_holder',
  /** The store does not answer; nothing was sent to it. */
  StoreSuspect = 'store_away',
  /** The store was asked and gave no usable answer. */
  StoreUnavailable = 'store_unavailable',
  /** The write was sent and the service was lost before its answer. */
  Unresolved = 'unresolved',
  /** The holder of the service gave no answer. */
  HolderUnreachable = 'holder_unreachable',
  /** The row of the job cannot be read. */
  BadRow = 'bad_row',
}

/** State of a job as callers see it. */
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
  /** By its own fault or the worker's; counts as an attempt. */
  Failed = 'failed',
  Stopped = 'stopped',
  /** Its lease expired. */
  LeaseExpired = 'lapsed',
  /** Another member of its gang ended. */
  GangBroken = 'broken',
  /** Its gang did not become complete in time. */
  GangIncomplete = 'alone',
}

/** Advice service of a queue: which workers may run a step. Milliseconds. */
export interface AdvicePolicy {
  ticketLifeMs: number;
}

/** A queue: where callers hand jobs in, and how these are treated. */
export interface Queue {
  name: string;
  host: string;
  pathPrefix: string;
  /** Service whose workers run the tasks. */
  service: string;
  /** The objective of a job is `stretch` times its critical path plus this, in milliseconds. */
  objectiveMs: number;
  stretch: number;
  /** 0 comes first. */
  priority: number;
  /** Failed runs of one task after which the job has failed. */
  maxAttempts: number;
  advice?: AdvicePolicy;
}

/** A service, which is a pool of workers. */
export interface Service {
  name: string;
  /** Whether its workers refuse what does not fit. */
  hasAdmissionControl: boolean;
  /** Whether its VMs are switched off and cost nothing. */
  isStandby: boolean;
}

/** Bounds of requests from callers. */
export interface RequestLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** The configuration in force. */
export interface BatchConfig {
  version: number;
  queues: Queue[];
  services: Service[];
  limits: RequestLimits;
}

/** A maintenance wave as the operator asked for it. */
export interface WaveSpec {
  id: string;
  vms: string[];
  /** Seconds in which all must have had their upkeep. */
  timeLimitS: number;
  /** VMs down for this wave at the same time, at most. */
  maxDown: number;
}

/** A worker as it registered itself. */
export interface WorkerRecord {
  id: string;
  service: string;
  /** `IP:port` */
  address: string;
  zone: string;
  isDraining: boolean;
  capacity: Resources;
  labels: string[];
  /** Unix milliseconds of its start; a change means a new incarnation. */
  bornMs: number;
}

/** Codes of {@link BatchError}. */
export enum BatchErrorCode {
  /** A job is malformed. */
  InvalidJob = 'invalid_job',
  /** A stored row cannot be read. */
  BadRow = 'bad_row',
}

/** A job or a row of the batch subsystem was refused. */
export class BatchError extends BaseError<BatchErrorCode> {}
