import type { Clock } from '../clock/index.js';
import { Outcome } from '../peers/index.js';

/** Invariants checked by {@link RequestHistory}. */
export enum HistoryRule {
  /** Each non-idempotent request runs at most once. */
  RunsAtMostOnce = 'runs_at_most_once',
  /** A request refused as not run has not run before, and does not run because of that attempt. */
  NotRunIsCorrect = 'not_run_is_true',
  /** Each answer is complete and belongs to the request. */
  AnswerBelongsToRequest = 'answer_is_own',
  /** Each attempt ends exactly once. */
  EndsOnce = 'ends_once',
  /** Each refusal has an outcome that the reason registry allows for its reason. */
  ReasonIsRegistered = 'reason_is_listed',
}

/** How an attempt ended from the view of its caller. */
export type ObservedEnd =
  | { outcome: Outcome.Answered; body: string }
  | { outcome: Outcome.NotRun | Outcome.Unknown }
  /** The connection was closed without an answer. */
  | { outcome: 'closed' };

/** A violation of an invariant. */
export interface HistoryViolation {
  rule: HistoryRule;
  /** Tag of the request; empty if the violation concerns a whole process. */
  tag: string;
  detail: string;
}

interface AttemptRecord {
  id: number;
  tag: string;
  idempotent: boolean;
  ends: { atMs: number; end: ObservedEnd; runsBefore: number }[];
}

interface RunRecord {
  tag: string;
  atMs: number;
  /** Number of attempts that can have caused the run; excludes those already refused as not run. */
  possibleCauses: number;
}

/** Body with which a backend server answers the request with this tag. */
export function expectedAnswer(tag: string): string {
  return `answer to ${tag}`;
}

/**
 * Records the ends that callers observed and the runs on backend servers. A request is identified
 * by a tag that all its attempts share and that its body carries.
 */
export class RequestHistory {
  readonly #clock: Pick<Clock, 'now'>;
  readonly #attempts: AttemptRecord[] = [];
  readonly #runs: RunRecord[] = [];

  constructor(clock: Pick<Clock, 'now'>) {
    this.#clock = clock;
  }

  /** Returns the number of runs of a request so far. */
  runCount(tag: string): number {
    return this.#runs.filter((run) => run.tag === tag).length;
  }

  /** Returns the outcomes of all attempts in order of their start; undefined for open ones. */
  outcomes(): (ObservedEnd['outcome'] | undefined)[] {
    return this.#attempts.map(({ ends }) => ends[0]?.end.outcome);
  }

  /**
   * Records the start of an attempt by a caller.
   *
   * @returns a function that records the end of the attempt
   */
  startAttempt(tag: string, idempotent: boolean): (end: ObservedEnd) => void {
    const attempt: AttemptRecord = { id: this.#attempts.length, tag, idempotent, ends: [] };
    this.#attempts.push(attempt);
    return (end) => {
      attempt.ends.push({ atMs: this.#clock.now(), end, runsBefore: this.runCount(tag) });
    };
  }

  /** Records that a backend server runs a request. */
  recordRun(tag: string): void {
    const possibleCauses = this.#attempts.filter(
      (attempt) => attempt.tag === tag && attempt.ends[0]?.end.outcome !== Outcome.NotRun,
    );
    this.#runs.push({ tag, atMs: this.#clock.now(), possibleCauses: possibleCauses.length });
  }

  /** Checks all invariants; requires that no request is in progress. */
  violations(): HistoryViolation[] {
    return [
      ...this.#tags().flatMap((tag) => this.#checkRuns(tag)),
      ...this.#attempts.flatMap((attempt) => checkAttempt(attempt)),
    ];
  }

  #tags(): string[] {
    return [...new Set(this.#attempts.map(({ tag }) => tag))];
  }

  #checkRuns(tag: string): HistoryViolation[] {
    const found: HistoryViolation[] = [];
    const runs = this.#runs.filter((run) => run.tag === tag);
    const isIdempotent = this.#attempts.every((a) => a.tag !== tag || a.idempotent);
    if (runs.length > 1 && !isIdempotent) {
      const times = runs.map(({ atMs }) => atMs).join(', ');
      found.push({ rule: HistoryRule.RunsAtMostOnce, tag, detail: `runs at ${times} ms` });
    }
    for (const run of runs.filter(({ possibleCauses }) => possibleCauses === 0)) {
      const detail = `runs at ${run.atMs} ms after all its attempts were refused as not run`;
      found.push({ rule: HistoryRule.NotRunIsCorrect, tag, detail });
    }
    return found;
  }
}

function checkAttempt({ tag, ends }: AttemptRecord): HistoryViolation[] {
  const found: HistoryViolation[] = [];
  const add = (rule: HistoryRule, detail: string) => found.push({ rule, tag, detail });
  if (ends.length !== 1) add(HistoryRule.EndsOnce, `${ends.length} ends`);
  for (const { atMs, end, runsBefore } of ends) {
    if (end.outcome === Outcome.NotRun && runsBefore > 0) {
      add(HistoryRule.NotRunIsCorrect, `refused as not run at ${atMs} ms after ${runsBefore} runs`);
    }
    if (end.outcome !== Outcome.Answered) continue;
    if (end.body !== expectedAnswer(tag))
      add(HistoryRule.AnswerBelongsToRequest, `answer "${end.body}"`);
    if (runsBefore === 0)
      add(HistoryRule.AnswerBelongsToRequest, `answered at ${atMs} ms without a run`);
  }
  return found;
}
