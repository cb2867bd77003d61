import { BaseError } from '../errors/index.js';
import type { Random } from '../random/index.js';
import { otherWorkAhead, weightedPart } from './shares.js';

/** Share of the holder's limit of open jobs above which each account gets at most its part. */
export const SHARED_FILL = 0.5;
/** Largest share of a Retry-After that is added at random, so that refused callers spread out. */
const MAX_JITTER = 0.25;
/** Longest Retry-After; a rate that was measured over seconds says nothing about later minutes. */
const MAX_RETRY_AFTER_MS = 60_000;

/** Why a job is refused under load. */
export enum AdmissionRefusalCode {
  /** The work ahead of the job takes longer than the job has value. */
  Hopeless = 'hopeless',
  /** The account has its part of the open jobs that the holder can keep. */
  AccountShare = 'account_share',
}

/** A job is refused under load; nothing was stored. */
export class AdmissionRefusal extends BaseError<AdmissionRefusalCode> {
  readonly retryAfterMs: number;
  readonly workAheadMs: number;
  readonly ratePerMs: number;

  /**
   * @param workAheadMs - milliseconds of the whole pool's work that are done before the job
   * @param ratePerMs - milliseconds of the whole pool's work that ended recently per millisecond
   */
  constructor(
    code: AdmissionRefusalCode,
    load: { retryAfterMs: number; workAheadMs: number; ratePerMs: number },
  ) {
    super(code, `refused under load: ${code}`);
    this.retryAfterMs = load.retryAfterMs;
    this.workAheadMs = load.workAheadMs;
    this.ratePerMs = load.ratePerMs;
  }
}

/** Waiting work of one step. */
export interface QueuedWork {
  account?: string;
  isBeyondRate: boolean;
  /** Whether its job has missed its objective. */
  isLate: boolean;
  /** Lower values are placed first. */
  priority: number;
  /** Run time of the longest chain of unfinished steps of its job, in milliseconds. */
  pathMs: number;
  /** Milliseconds of the whole pool's work. */
  workMs: number;
}

/** Times of a job for which admission is decided, in milliseconds. */
export interface JobTimes {
  /** Run time of the longest chain of its steps. */
  pathMs: number;
  /** Time after its acceptance within which it should complete. */
  objectiveMs: number;
  /** Time after its acceptance at which completing it has no more value. */
  valueMs: number;
}

/** A job for which admission is decided. */
export interface JobRequest extends JobTimes {
  account: string;
  isBeyondRate: boolean;
  priority: number;
}

/** Load of a service, as far as admission depends on it. */
export interface ServiceBacklog {
  queued: Iterable<QueuedWork>;
  /** Milliseconds of the whole pool's work that ended recently per millisecond. */
  ratePerMs: number;
  weightOf: (account: string) => number;
}

/** Work that is done before a job, in milliseconds of the whole pool's work. */
interface WorkAhead {
  /** Work of the job's account with the same standing to its rate. */
  own: number;
  /** All work ahead, including the own. */
  all: number;
}

/**
 * Work that is certainly done before a job, by the order of waiting steps.
 *
 * @param isInTime - whether the job can still meet its objective, so that late work of the same
 *   standing comes after it
 */
export function workAheadOf(
  job: JobRequest,
  { queued, weightOf }: ServiceBacklog,
  isInTime = false,
): WorkAhead {
  let own = 0;
  let first = 0;
  const others = new Map<string, number>();
  for (const item of queued) {
    if (item.isBeyondRate !== job.isBeyondRate) {
      if (job.isBeyondRate) first += item.workMs;
      continue;
    }
    // Late jobs are ordered by their path.
    if (item.isLate && (isInTime || item.pathMs > job.pathMs)) continue;
    if (item.priority > job.priority) continue;
    if (item.account === job.account) own += item.workMs;
    else if (item.priority < job.priority) first += item.workMs;
    else if (item.account !== undefined) {
      others.set(item.account, (others.get(item.account) ?? 0) + item.workMs);
    }
  }
  let all = own + first;
  const weight = weightOf(job.account);
  for (const [account, work] of others) {
    all += otherWorkAhead(own, weight, work, weightOf(account));
  }
  return { own, all };
}

/**
 * Refuses a job that certainly cannot end while it has value: the work ahead of it makes it late, and
 * then the work ahead of it as a late job takes too long. A job within its account's rate is refused
 * only for the waiting work of its own account.
 *
 * @returns undefined if the job is accepted
 */
export function refuseHopeless(
  job: JobRequest,
  backlog: ServiceBacklog,
  random: Pick<Random, 'next'>,
): AdmissionRefusal | undefined {
  const { ratePerMs } = backlog;
  const { pathMs, objectiveMs, valueMs, isBeyondRate } = job;
  const isDoneWithin = (ahead: WorkAhead, limitMs: number) =>
    (isBeyondRate ? ahead.all : ahead.own) / ratePerMs <= Math.max(0, limitMs - pathMs);
  const ahead = workAheadOf(job, backlog);
  if (isDoneWithin(ahead, valueMs)) return undefined;
  if (isDoneWithin(workAheadOf(job, backlog, true), objectiveMs)) return undefined;
  return new AdmissionRefusal(AdmissionRefusalCode.Hopeless, {
    retryAfterMs: withJitter(ahead.all / ratePerMs, random),
    workAheadMs: ahead.all,
    ratePerMs,
  });
}

/** Open jobs of a holder. */
export interface OpenJobs {
  limit: number;
  all: number;
  /** Open jobs of the account that submits a job. */
  own: number;
  weight: number;
  /** Weight of all accounts with open jobs, including the one that submits a job. */
  activeWeight: number;
  /** Largest weight of an account without open jobs; its part stays free for its return. */
  idleWeight: number;
}

/** Number of open jobs by which an account is above its part; 0 or less if it may have another. */
export function excessOpenJobs(open: OpenJobs): number {
  if (open.all < open.limit * SHARED_FILL) return 0;
  const part = weightedPart(open.limit, open.weight, open.activeWeight + open.idleWeight);
  return open.own + 1 - Math.max(1, Math.floor(part));
}

/** Adds up to a quarter at random and bounds the result, in milliseconds. */
export function withJitter(ms: number, random: Pick<Random, 'next'>): number {
  return Math.min(MAX_RETRY_AFTER_MS, ms * (1 + random.next() * MAX_JITTER));
}
