import type { Random } from '../random/index.js';
import {
  AdmissionRefusal,
  AdmissionRefusalCode,
  excessOpenJobs,
  refuseHopeless,
  withJitter,
  workAheadOf,
  type JobRequest,
  type QueuedWork,
} from './admission.js';
import { CompletionRate } from './completionRate.js';
import { JobRates, type CountedJob } from './jobRates.js';
import { effectiveWeight } from './shares.js';
import type { Account } from './types.js';

/** Weight of an account whose jobs are open and that has left the configuration. */
const REMOVED_ACCOUNT_WEIGHT = 0;

/** Rates, weights and admission of the accounts of one service. */
export class AccountControl {
  readonly #rates: JobRates;
  readonly #completion = new CompletionRate();
  readonly #random: Random;
  #weights: ReadonlyMap<string, number> = new Map();

  constructor({ rateWindowMs, random }: { rateWindowMs: number; random: Random }) {
    this.#random = random;
    this.#rates = new JobRates(rateWindowMs, (account) => this.weightOf(account));
  }

  /** Applies the accounts of a configuration. */
  configure(accounts: readonly Account[] = []): void {
    this.#weights = new Map(accounts.map(({ name, weight }) => [name, weight]));
  }

  /** Whether the configuration has accounts; if not, order and admission do not depend on them. */
  get isActive(): boolean {
    return this.#weights.size > 0;
  }

  weightOf(account: string): number {
    return this.#weights.get(account) ?? REMOVED_ACCOUNT_WEIGHT;
  }

  /** Whether a job submitted now would be beyond its account's rate. */
  isBeyondRate(account: string, now: number): boolean {
    return !this.#rates.hasRoom(account, now);
  }

  /** Like {@link isBeyondRate}, for a job that is not submitted. */
  wouldBeBeyondRate(account: string, now: number): boolean {
    return !this.#rates.peekRoom(account, now);
  }

  /** Counts a job; returns whether it is beyond its account's rate. */
  countJob(account: string, now: number): boolean {
    return !this.#rates.take(account, now);
  }

  /** Takes back the count of a job within the rate that was not accepted. */
  giveBack(account: string, now: number): void {
    this.#rates.giveBack(account, now);
  }

  /** Counts the open jobs of an earlier holder, see {@link JobRates.restore}. */
  restore<T extends CountedJob>(
    jobs: Iterable<T>,
    decide: (job: T, isBeyondRate: boolean) => void,
  ): void {
    this.#rates.restore(jobs, decide);
  }

  /** Records work that ended, in milliseconds of the whole pool's work. */
  addEndedWork(workMs: number, now: number): void {
    this.#completion.add(workMs, now);
  }

  /** Records whether the pool is in use while tasks wait. */
  updateSaturation(isSaturated: boolean, now: number): void {
    this.#completion.update(isSaturated, now);
  }

  /**
   * Refuses a job that certainly cannot end while it has value.
   *
   * @param queued - called only if the rate at which work ends is known
   * @param random - source of the jitter of the Retry-After
   */
  refuseHopeless(
    job: JobRequest,
    queued: () => Iterable<QueuedWork>,
    now: number,
    random: Pick<Random, 'next'> = this.#random,
  ): AdmissionRefusal | undefined {
    const ratePerMs = this.#completion.perMs(now);
    if (ratePerMs === undefined) return undefined;
    const weightOf = (account: string) => this.weightOf(account);
    return refuseHopeless(job, { queued: queued(), ratePerMs, weightOf }, random);
  }

  /**
   * Refuses a job whose account has its part of the open jobs.
   *
   * @param accounts - accounts of the open jobs, undefined for jobs of none
   * @param defaultRetryMs - Retry-After while the rate at which work ends is unknown
   */
  refuseAboveShare(
    job: JobRequest,
    open: { accounts: readonly (string | undefined)[]; limit: number; defaultRetryMs: number },
    queued: () => Iterable<QueuedWork>,
    now: number,
    random: Pick<Random, 'next'> = this.#random,
  ): AdmissionRefusal | undefined {
    const counts = new Map<string, number>([[job.account, 0]]);
    for (const name of open.accounts)
      if (name !== undefined) counts.set(name, (counts.get(name) ?? 0) + 1);
    let activeWeight = 0;
    for (const name of counts.keys()) activeWeight += effectiveWeight(this.weightOf(name));
    let idleWeight = 0;
    for (const [name, weight] of this.#weights)
      if (!counts.has(name)) idleWeight = Math.max(idleWeight, effectiveWeight(weight));
    const own = counts.get(job.account) ?? 0;
    const { limit, defaultRetryMs } = open;
    const weight = this.weightOf(job.account);
    const all = open.accounts.length;
    const excess = excessOpenJobs({ limit, all, own, weight, activeWeight, idleWeight });
    if (excess <= 0) return undefined;
    const ratePerMs = this.#completion.perMs(now) ?? 0;
    const weightOf = (account: string) => this.weightOf(account);
    const ahead = workAheadOf(job, { queued: queued(), ratePerMs, weightOf });
    // The account may have another job once as many have ended as it has too many.
    const waitMs = ratePerMs > 0 ? (ahead.all / ratePerMs) * (excess / own) : defaultRetryMs;
    return new AdmissionRefusal(AdmissionRefusalCode.AccountShare, {
      retryAfterMs: withJitter(waitMs, random),
      workAheadMs: ahead.all,
      ratePerMs,
    });
  }
}
