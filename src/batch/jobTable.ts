import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import type { Job } from './job.js';
import { EntryOutcome, type JournalEntry } from './journal.js';
import { endedKey, inboxKey, jobKey, progressKey } from './rows.js';
import { JobState } from './types.js';

/** How long the state of an ended job stays in memory; rows stay longer. Covers `status_s`. */
const ENDED_KEPT_MS = 180_000;
/** Row operations of one job's entry, at most. */
const OPERATIONS_PER_JOB = 5;

/** Needs of a {@link JobTable}. */
export interface JobTableDeps {
  service: string;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
}

interface EndedJob {
  state: JobState;
  at: number;
}

/** The open jobs of a service and the recently ended ones, and which of them must be written. */
export class JobTable {
  readonly #deps: JobTableDeps;
  readonly #open = new Map<string, Job>();
  readonly #ended = new Map<string, EndedJob>();
  readonly #accepting = new Map<string, Promise<EntryOutcome>>();
  readonly #dirty = new Set<Job>();
  readonly #closing = new Map<Job, ((isDurable: boolean) => void)[]>();
  /** Called when there is something new to write. */
  onChange: () => void = () => undefined;

  constructor(deps: JobTableDeps) {
    this.#deps = deps;
  }

  get size(): number {
    return this.#open.size;
  }

  /** Open jobs in order of acceptance. */
  open(): Iterable<Job> {
    return this.#open.values();
  }

  get(id: string): Job | undefined {
    return this.#open.get(id);
  }

  add(job: Job): void {
    if (!this.#open.has(job.spec.id)) this.#open.set(job.spec.id, job);
  }

  /** State of a job that is open or ended recently. */
  stateOf(id: string): JobState | undefined {
    return this.#open.get(id)?.state ?? this.#ended.get(id)?.state;
  }

  /** Whether a job is accepted, after waiting for an acceptance that is under way. */
  async awaitAcceptance(id: string): Promise<boolean> {
    if (this.stateOf(id) !== undefined) return true;
    const outcome = await this.#accepting.get(id);
    return outcome === EntryOutcome.Applied || outcome === EntryOutcome.Conflict;
  }

  /** Remembers that the acceptance of a job is under way, and returns its outcome. */
  async accept(id: string, outcome: Promise<EntryOutcome>): Promise<EntryOutcome> {
    this.#accepting.set(id, outcome);
    try {
      return await outcome;
    } finally {
      this.#accepting.delete(id);
    }
  }

  /** Tells that the progress of a job has changed. */
  markDirty(job: Job): void {
    this.#dirty.add(job);
    this.onChange();
  }

  /**
   * Ends a job: nothing of it starts any more. Its state is shown once it is durable.
   *
   * @returns whether it became durable; false when the service was lost
   */
  close(
    job: Job,
    state: JobState.Succeeded | JobState.Failed | JobState.Cancelled,
  ): Promise<boolean> {
    if (!this.#open.has(job.spec.id)) return Promise.resolve(true);
    job.finalState ??= state;
    return new Promise((resolve) => {
      const waiting = this.#closing.get(job);
      if (waiting) {
        waiting.push(resolve);
        return;
      }
      this.#closing.set(job, [resolve]);
      this.markDirty(job);
    });
  }

  /** Entries for the jobs whose rows lag behind, up to a number of row operations. */
  takeDirty(maxOperations: number): { entries: JournalEntry[]; hasMore: boolean } {
    const entries: JournalEntry[] = [];
    let left = maxOperations;
    for (const job of this.#dirty) {
      if (left < OPERATIONS_PER_JOB) break;
      left -= OPERATIONS_PER_JOB;
      this.#dirty.delete(job);
      entries.push(
        job.finalState ? this.#endingEntry(job, job.finalState) : this.#progressEntry(job),
      );
    }
    return { entries, hasMore: this.#dirty.size > 0 };
  }

  #progressEntry(job: Job): JournalEntry {
    const key = progressKey(this.#deps.service, job.spec.id);
    return {
      conditions: [],
      writes: [{ ...key, value: job.encodeProgress() }],
      removes: [],
      settle: (outcome) => {
        if (outcome === EntryOutcome.Applied) job.hasProgressRow = true;
      },
    };
  }

  #endingEntry(job: Job, state: JobState): JournalEntry {
    const { service, clock, log, counters } = this.#deps;
    const { id, queue } = job.spec;
    const removes = [...job.inboxKeys].map((key) => inboxKey(service, key));
    if (!job.inboxKeys.has(id)) removes.push(jobKey(service, id));
    if (job.hasProgressRow) removes.push(progressKey(service, id));
    return {
      conditions: [],
      writes: [{ ...endedKey(service, id), value: state }],
      removes,
      settle: (outcome) => {
        const isDurable = outcome === EntryOutcome.Applied;
        if (isDurable) {
          this.#open.delete(id);
          this.#remember(id, state);
          counters.count('jobs_ended', state);
          const tookMs = Math.round(clock.now() - job.acceptedAt);
          log.info('job_ended', { job: id, queue, service, state, took_ms: tookMs });
        }
        for (const resolve of this.#closing.get(job) ?? []) resolve(isDurable);
        this.#closing.delete(job);
      },
    };
  }

  #remember(id: string, state: JobState): void {
    const now = this.#deps.clock.now();
    this.#ended.set(id, { state, at: now });
    for (const [oldest, { at }] of this.#ended) {
      if (now - at < ENDED_KEPT_MS) break;
      this.#ended.delete(oldest);
    }
  }
}
