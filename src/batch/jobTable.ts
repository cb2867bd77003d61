import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import type { Job } from './job.js';
import { EntryOutcome, sizeOf, type JournalEntry, type TransactionSize } from './journal.js';
import { encodeEndedJob, encodeJob, isClosedId, type EndedJobRow } from './jobCodec.js';
import { acceptanceRemoves, endedKey, inboxKey, jobKey, progressKey } from './rows.js';
import { JobState, type JobSpec, type QueuePath } from './types.js';

/** How long an ended job stays in memory; covers `status_s`. Its row is kept longer. */
const ENDED_RETENTION_MS = 180_000;

/** Outcome of writing that a job is accepted. */
export enum AcceptanceOutcome {
  Accepted = 'accepted',
  /** It was accepted before, through another process. */
  AlreadyAccepted = 'already_accepted',
  /** The service may not accept the id, see {@link isClosedId}. */
  IdClosed = 'id_closed',
  /** The store never accepts the row. */
  Unstorable = 'unstorable',
  /** This process lost the service, so that the write may have been applied or not. */
  HolderLost = 'holder_lost',
}

/** Outcomes of an acceptance by those of its journal entry. */
const acceptanceOutcomes: Record<EntryOutcome, AcceptanceOutcome> = {
  [EntryOutcome.Applied]: AcceptanceOutcome.Accepted,
  [EntryOutcome.Conflict]: AcceptanceOutcome.AlreadyAccepted,
  [EntryOutcome.Rejected]: AcceptanceOutcome.Unstorable,
  [EntryOutcome.HolderLost]: AcceptanceOutcome.HolderLost,
};

/** Dependencies of a {@link JobTable}. */
export interface JobTableDeps {
  service: string;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
}

interface EndedJob extends EndedJobRow {
  endedAt: number;
}

/** Open and recently ended jobs of a service. Tracks which of them have unsaved changes. */
export class JobTable {
  readonly #deps: JobTableDeps;
  readonly #open = new Map<string, Job>();
  readonly #ended = new Map<string, EndedJob>();
  readonly #pendingAcceptances = new Map<string, Promise<AcceptanceOutcome>>();
  readonly #dirty = new Set<Job>();
  readonly #closeWaiters = new Map<Job, ((isDurable: boolean) => void)[]>();
  /** Called when a job has been added, before any of its tasks can start. */
  onAdded: (job: Job) => void = () => undefined;
  /** Called when a job has unsaved changes. */
  onChange: () => void = () => undefined;
  /** Called when a job has succeeded. */
  onSucceeded: (job: Job) => void = () => undefined;
  /** Called when a job fails because the store never accepts its progress. */
  onUnstorable: (job: Job) => void = () => undefined;

  constructor(deps: JobTableDeps) {
    this.#deps = deps;
  }

  /** Name of the service. */
  get service(): string {
    return this.#deps.service;
  }

  get size(): number {
    return this.#open.size;
  }

  /** Open jobs in the order in which they were added. */
  open(): Iterable<Job> {
    return this.#open.values();
  }

  get(id: string): Job | undefined {
    return this.#open.get(id);
  }

  add(job: Job): void {
    if (this.#open.has(job.spec.id)) return;
    this.#open.set(job.spec.id, job);
    this.onAdded(job);
  }

  /** State of an open or recently ended job. */
  stateOf(id: string): JobState | undefined {
    return this.find(id)?.state;
  }

  /** State and account of an open or recently ended job. */
  find(id: string): EndedJobRow | undefined {
    const job = this.#open.get(id);
    if (job) return { state: job.state, account: job.spec.account };
    const ended = this.#ended.get(id);
    return ended && { state: ended.state, account: ended.account };
  }

  /** Whether the acceptance of a job is being written. */
  isPending(id: string): boolean {
    return this.#pendingAcceptances.has(id);
  }

  /** Whether a job has been accepted; waits for a pending acceptance. */
  async awaitAcceptance(id: string): Promise<boolean> {
    if (this.stateOf(id) !== undefined) return true;
    const outcome = await this.#pendingAcceptances.get(id);
    return outcome === AcceptanceOutcome.Accepted || outcome === AcceptanceOutcome.AlreadyAccepted;
  }

  /** Tracks a pending acceptance of a job and returns its outcome. */
  async trackAcceptance(
    id: string,
    outcome: Promise<AcceptanceOutcome>,
  ): Promise<AcceptanceOutcome> {
    this.#pendingAcceptances.set(id, outcome);
    try {
      return await outcome;
    } finally {
      this.#pendingAcceptances.delete(id);
    }
  }

  /** Marks a job as having unsaved changes. */
  markDirty(job: Job): void {
    this.#dirty.add(job);
    this.onChange();
  }

  /**
   * Ends a job, so that no more of its tasks start. The new state is visible once it is durable.
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
      const waiting = this.#closeWaiters.get(job);
      if (waiting) {
        waiting.push(resolve);
        return;
      }
      this.#closeWaiters.set(job, [resolve]);
      this.markDirty(job);
    });
  }

  /**
   * Takes jobs with unsaved changes and returns their journal entries, as far as they fit in the
   * rest of a transaction.
   */
  takeDirty(remaining: TransactionSize): { entries: JournalEntry[]; hasMore: boolean } {
    const entries: JournalEntry[] = [];
    let { operations, bytes } = remaining;
    for (const job of this.#dirty) {
      const entry = job.finalState
        ? this.#closeEntry(job, job.finalState)
        : this.#progressEntry(job);
      const size = sizeOf(entry);
      operations -= size.operations;
      bytes -= size.bytes;
      if (operations < 0 || bytes < 0) break;
      this.#dirty.delete(job);
      entries.push(entry);
    }
    return { entries, hasMore: this.#dirty.size > 0 };
  }

  /**
   * Number of open jobs of a queue that have not started any task.
   *
   * @param name - name of the queue, for jobs that do not tell its path
   * @param path - undefined if a node of an earlier version asks
   */
  countQueued(name: string, path?: QueuePath): number {
    let count = 0;
    for (const job of this.open())
      if (isOfQueue(job.spec, name, path) && job.state === JobState.Queued) count++;
    return count;
  }

  /**
   * Journal entry with which a job is accepted.
   *
   * @param closedVersion - version of the row that closes its id here, see `IdClaim`
   */
  acceptanceEntry(
    spec: JobSpec,
    closedVersion: number,
    settle: (outcome: AcceptanceOutcome) => void,
  ): Omit<JournalEntry, 'account'> {
    const { service } = this.#deps;
    const { id } = spec;
    return {
      settle: (outcome, conflicts = []) => {
        const closing = conflicts.some((row) => row.key === id && isClosedId(row));
        settle(closing ? AcceptanceOutcome.IdClosed : acceptanceOutcomes[outcome]);
      },
      conditions: [
        { ...inboxKey(service, id), version: 0 },
        { ...endedKey(service, id), version: closedVersion },
      ],
      writes: [{ ...jobKey(service, id), value: encodeJob(spec) }],
      removes: acceptanceRemoves(service, id, closedVersion),
    };
  }

  #progressEntry(job: Job): JournalEntry {
    const key = progressKey(this.#deps.service, job.spec.id);
    return {
      conditions: [],
      writes: [{ ...key, value: job.encodeProgress() }],
      removes: [],
      settle: (outcome) => {
        if (outcome === EntryOutcome.Applied) job.hasProgressRow = true;
        if (outcome !== EntryOutcome.Rejected) return;
        // Without its progress, a later holder would run completed tasks again.
        void this.close(job, JobState.Failed);
        this.onUnstorable(job);
      },
    };
  }

  #closeEntry(job: Job, state: JobState): JournalEntry {
    const { service, clock, log, counters } = this.#deps;
    const { id, queue, account } = job.spec;
    const removes = [...job.inboxKeys].map((key) => inboxKey(service, key));
    if (!job.inboxKeys.has(id)) removes.push(jobKey(service, id));
    if (job.hasProgressRow) removes.push(progressKey(service, id));
    return {
      conditions: [],
      writes: [{ ...endedKey(service, id), value: encodeEndedJob({ state, account }) }],
      removes,
      settle: (outcome) => {
        const isDurable = outcome === EntryOutcome.Applied;
        if (isDurable) {
          this.#open.delete(id);
          this.#recordEnded(id, { state, account });
          counters.count('jobs_ended', state);
          if (state === JobState.Succeeded) this.onSucceeded(job);
          const tookMs = Math.round(clock.now() - job.acceptedAt);
          log.info('job_ended', { job: id, queue, service, account, state, took_ms: tookMs });
        }
        for (const resolve of this.#closeWaiters.get(job) ?? []) resolve(isDurable);
        this.#closeWaiters.delete(job);
      },
    };
  }

  #recordEnded(id: string, row: EndedJobRow): void {
    const now = this.#deps.clock.now();
    this.#ended.set(id, { ...row, endedAt: now });
    for (const [oldest, { endedAt }] of this.#ended) {
      if (now - endedAt < ENDED_RETENTION_MS) break;
      this.#ended.delete(oldest);
    }
  }
}

function isOfQueue({ queue, path: own }: JobSpec, name: string, path?: QueuePath): boolean {
  if (!own || !path) return queue === name;
  return own.host === path.host && own.pathPrefix === path.pathPrefix;
}
