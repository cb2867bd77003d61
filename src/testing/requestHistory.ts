import type { Clock } from '../clock/index.js';
import { Outcome } from '../peers/index.js';

/** Invariants that a {@link RequestHistory} checks. */
export enum HistoryRule {
  /** Each non-idempotent request runs at most once. */
  RunsAtMostOnce = 'runs_at_most_once',
  /** A request that was refused as not run has not run, and does not run because of that attempt. */
  NotRunIsCorrect = 'not_run_is_true',
  /** Each answer is whole and belongs to the request. */
  AnswerBelongsToRequest = 'answer_is_own',
  /** Each attempt ends exactly once. */
  EndsOnce = 'ends_once',
  /** Each refusal has an outcome that the registry of reasons lists. */
  ReasonIsRegistered = 'reason_is_listed',
}

/** How an attempt ended for its caller. */
export type ObservedEnd =
  | { outcome: Outcome.Answered; body: string }
  | { outcome: Outcome.NotRun | Outcome.Unknown }
  /** The connection closed without an answer. */
  | { outcome: 'closed' };

/** A broken invariant. */
export interface HistoryViolation {
  rule: HistoryRule;
  /** The request. */
  tag: string;
  detail: string;
}

interface AttemptRecord {
  id: number;
  tag: string;
  idempotent: boolean;
  ends: { at: number; end: ObservedEnd; runsBefore: number }[];
}

interface RunRecord {
  tag: string;
  at: number;
  /** Attempts that were open or had ended other than by a not-run refusal. */
  causes: number;
}

/** The answer body that a backend server gives to the request with this tag. */
export function expectedAnswer(tag: string): string {
  return `answer to ${tag}`;
}

/**
 * Records what callers saw and what backend servers ran. A request is named by a tag that all its
 * attempts share and that its body carries.
 */
export class RequestHistory {
  readonly #clock: Pick<Clock, 'now'>;
  readonly #attempts: AttemptRecord[] = [];
  readonly #runs: RunRecord[] = [];

  constructor(clock: Pick<Clock, 'now'>) {
    this.#clock = clock;
  }

  /** Number of runs of a request so far. */
  runCount(tag: string): number {
    return this.#runs.filter((run) => run.tag === tag).length;
  }

  /** Outcomes of all attempts in the order in which they began; undefined for open ones. */
  outcomes(): (ObservedEnd['outcome'] | undefined)[] {
    return this.#attempts.map(({ ends }) => ends[0]?.end.outcome);
  }

  /**
   * Records that a caller starts an attempt.
   *
   * @returns the function that records its end
   */
  startAttempt(tag: string, idempotent: boolean): (end: ObservedEnd) => void {
    const attempt: AttemptRecord = { id: this.#attempts.length, tag, idempotent, ends: [] };
    this.#attempts.push(attempt);
    return (end) => {
      attempt.ends.push({ at: this.#clock.now(), end, runsBefore: this.runCount(tag) });
    };
  }

  /** Records that a backend server starts to run a request. */
  recordRun(tag: string): void {
    const mayCause = this.#attempts.filter(
      (attempt) => attempt.tag === tag && attempt.ends[0]?.end.outcome !== Outcome.NotRun,
    );
    this.#runs.push({ tag, at: this.#clock.now(), causes: mayCause.length });
  }

  /** Checks all invariants, at a time when nothing is in progress any more. */
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
      const times = runs.map(({ at }) => at).join(', ');
      found.push({ rule: HistoryRule.RunsAtMostOnce, tag, detail: `runs at ${times} ms` });
    }
    for (const run of runs.filter(({ causes }) => causes === 0)) {
      const detail = `runs at ${run.at} ms after all its attempts were refused as not run`;
      found.push({ rule: HistoryRule.NotRunIsCorrect, tag, detail });
    }
    return found;
  }
}

function checkAttempt({ tag, ends }: AttemptRecord): HistoryViolation[] {
  const found: HistoryViolation[] = [];
  const add = (rule: HistoryRule, detail: string) => found.push({ rule, tag, detail });
  if (ends.length !== 1) add(HistoryRule.EndsOnce, `${ends.length} ends`);
  for (const { at, end, runsBefore } of ends) {
    if (end.outcome === Outcome.NotRun && runsBefore > 0) {
      add(HistoryRule.NotRunIsCorrect, `refused as not run at ${at} ms after ${runsBefore} runs`);
    }
    if (end.outcome !== Outcome.Answered) continue;
    if (end.body !== expectedAnswer(tag))
      add(HistoryRule.AnswerBelongsToRequest, `answer "${end.body}"`);
    if (runsBefore === 0)
      add(HistoryRule.AnswerBelongsToRequest, `answered at ${at} ms without a run`);
  }
  return found;
}
