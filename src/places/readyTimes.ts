import type { Job, Step } from '../batch/job.js';

/**
 * Tells since when steps could start, which bounds their waits. The time is not stored: a first step
 * could start at the acceptance or the due time of its job, a later one when this holder found its
 * preceding steps done. Where that happened under an earlier holder, it counts from the acceptance, so
 * that a takeover never adds a second full wait.
 */
export class ReadyTimes {
  /** Jobs that were open in an earlier round. */
  readonly #knownJobs = new WeakSet<Job>();
  readonly #readySince = new WeakMap<Step, number>();

  /**
   * Time since a waiting step could start, in milliseconds.
   *
   * @param now - monotonic time in milliseconds
   * @param wallTimeMs - Unix time in milliseconds
   */
  ageMs(step: Step, now: number, wallTimeMs: number): number {
    const since = this.#sinceOf(step, now, wallTimeMs);
    this.#readySince.set(step, since);
    return Math.max(0, now - since);
  }

  /** Like {@link ageMs}, but records nothing. */
  peekAgeMs(step: Step, now: number, wallTimeMs: number): number {
    return Math.max(0, now - this.#sinceOf(step, now, wallTimeMs));
  }

  #sinceOf(step: Step, now: number, wallTimeMs: number): number {
    const { job, occurrence, spec } = step;
    const known = this.#readySince.get(step);
    if (known !== undefined) return known;
    if (spec.after.length > 0 && this.#knownJobs.has(job)) return now;
    const { firstDueMs, periodMs } = job.spec;
    const sinceStartMs = job.hasSchedule
      ? wallTimeMs - (firstDueMs + occurrence.number * periodMs)
      : now - job.acceptedAt;
    return now - sinceStartMs;
  }

  /** Records the open jobs; to be called at the end of each round. */
  recordJobs(jobs: Iterable<Job>): void {
    for (const job of jobs) this.#knownJobs.add(job);
  }
}
