import type { Clock } from '../clock/index.js';
import { Outcome, type MemberId } from '../peers/index.js';
import type { RequestsSettings } from './defaults.js';
import { formatRequestId, isSameMember, parseRequestId } from './requestId.js';
import { SharedRun } from './sharedRun.js';
import type { CallerAnswer, RequestResult } from './types.js';

/** State of a request id in the ledger of its issuer. */
export enum LedgerState {
  /** Issued and not run yet; it may run. */
  Unseen = 'unseen',
  Running = 'running',
  /** It ran and its response is kept for replay. */
  Answered = 'answered',
  /** It ran, or its record was dropped; it never runs again. */
  Ended = 'ended',
  /** This incarnation did not issue the id. */
  NotIssued = 'not_issued',
  /** The id is bound to different content than that of the request. */
  Mismatch = 'mismatch',
}

/** Decision of the ledger on a request that carries an id. */
export type LedgerDecision =
  | { state: LedgerState.Unseen; run: SharedRun }
  | { state: LedgerState.Running; run: SharedRun }
  | { state: LedgerState.Answered; answer: CallerAnswer }
  | { state: LedgerState.Ended | LedgerState.NotIssued | LedgerState.Mismatch };

interface UnseenEntry {
  team: string;
  /** Digest of the content that the id is bound to; undefined before its first use. */
  fingerprint?: string;
  expiresAt: number;
}

interface RunningEntry {
  team: string;
  fingerprint: string;
  run: SharedRun;
}

interface AnsweredEntry {
  team: string;
  fingerprint: string;
  answer: CallerAnswer;
  expiresAt: number;
}

/**
 * Request ids issued by this incarnation of the process. Only ids that have not run, are running or
 * have a kept response use memory. Every other issued id counts as ended, so dropping a record
 * never permits a second run.
 */
export class RequestLedger {
  readonly #self: MemberId;
  readonly #clock: Clock;
  readonly #settings: RequestsSettings;
  /** Ordered by expiry like the kept responses, since a map keeps the insertion order. */
  readonly #unseen = new Map<string, UnseenEntry>();
  readonly #running = new Map<string, RunningEntry>();
  readonly #answered = new Map<string, AnsweredEntry>();
  #answeredBytes = 0;
  #lastCounter = 0;

  constructor(self: MemberId, clock: Clock, settings: RequestsSettings) {
    this.#self = self;
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Number of records by state and total size of the kept responses. */
  get size(): { unseen: number; running: number; answered: number; answeredBytes: number } {
    return {
      unseen: this.#unseen.size,
      running: this.#running.size,
      answered: this.#answered.size,
      answeredBytes: this.#answeredBytes,
    };
  }

  /** Creates an id without a record; it counts as ended until it is added. */
  newId(): string {
    this.#lastCounter += 1;
    return formatRequestId(this.#self, this.#lastCounter);
  }

  /** Whether `count` more unused ids fit within the limit. */
  hasRoom(count: number): boolean {
    this.#expire();
    return this.#unseen.size + count <= this.#settings.maxUnusedIds;
  }

  /**
   * Records an id as unseen.
   *
   * @param fingerprint - digest of the content that the id is bound to, if it is known
   * @returns false if the ledger is full; the id then counts as ended
   */
  add(id: string, team: string, fingerprint?: string): boolean {
    if (!this.hasRoom(1)) return false;
    const expiresAt = this.#clock.now() + this.#settings.ledgerRetentionMs;
    this.#unseen.set(id, { team, fingerprint, expiresAt });
    return true;
  }

  /** Drops the record of an id that has not run; it then counts as ended. */
  drop(id: string): void {
    this.#unseen.delete(id);
  }

  state(id: string): LedgerState {
    this.#expire();
    if (this.#unseen.has(id)) return LedgerState.Unseen;
    if (this.#running.has(id)) return LedgerState.Running;
    if (this.#answered.has(id)) return LedgerState.Answered;
    return this.#wasIssued(id) ? LedgerState.Ended : LedgerState.NotIssued;
  }

  /** Decides how to handle a request; an unseen id becomes running. */
  begin(id: string, team: string, fingerprint: string): LedgerDecision {
    this.#expire();
    const unseen = this.#unseen.get(id);
    if (unseen) {
      if (unseen.team !== team) return { state: LedgerState.NotIssued };
      if ((unseen.fingerprint ?? fingerprint) !== fingerprint)
        return { state: LedgerState.Mismatch };
      this.#unseen.delete(id);
      const run = new SharedRun();
      this.#running.set(id, { team, fingerprint, run });
      return { state: LedgerState.Unseen, run };
    }
    const known = this.#running.get(id) ?? this.#answered.get(id);
    if (!known) {
      return { state: this.#wasIssued(id) ? LedgerState.Ended : LedgerState.NotIssued };
    }
    if (known.team !== team) return { state: LedgerState.NotIssued };
    if (known.fingerprint !== fingerprint) return { state: LedgerState.Mismatch };
    if ('run' in known) return { state: LedgerState.Running, run: known.run };
    return { state: LedgerState.Answered, answer: known.answer };
  }

  /** Records the result of a run. An id that certainly did not run becomes unseen again. */
  finish(id: string, result: RequestResult): void {
    const entry = this.#running.get(id);
    if (!entry) return;
    this.#running.delete(id);
    if (result.isErr && result.error.outcome === Outcome.NotRun) {
      this.add(id, entry.team, entry.fingerprint);
    }
    if (result.isOk) this.#retainAnswer(id, entry, result.value);
    entry.run.complete(result);
  }

  #retainAnswer(id: string, { team, fingerprint }: RunningEntry, answer: CallerAnswer): void {
    if (answer.body.byteLength > this.#settings.maxKeptAnswerBytes) return;
    const expiresAt = this.#clock.now() + this.#settings.ledgerRetentionMs;
    this.#answered.set(id, { team, fingerprint, answer, expiresAt });
    this.#answeredBytes += answer.body.byteLength;
    this.#dropAnswersWhile(
      () =>
        this.#answered.size > this.#settings.maxKeptAnswers ||
        this.#answeredBytes > this.#settings.maxKeptAnswerBytes,
    );
  }

  #expire(): void {
    const now = this.#clock.now();
    for (const [id, entry] of this.#unseen) {
      if (entry.expiresAt > now) break;
      this.#unseen.delete(id);
    }
    this.#dropAnswersWhile((oldest) => oldest.expiresAt <= now);
  }

  #dropAnswersWhile(condition: (oldest: AnsweredEntry) => boolean): void {
    for (const [id, entry] of this.#answered) {
      if (!condition(entry)) break;
      this.#answered.delete(id);
      this.#answeredBytes -= entry.answer.body.byteLength;
    }
  }

  #wasIssued(id: string): boolean {
    const parts = parseRequestId(id);
    if (!parts || !isSameMember(parts.issuer, this.#self)) return false;
    return parts.counter <= this.#lastCounter;
  }
}
