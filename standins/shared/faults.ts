import { EventEmitter, once } from 'node:events';

/** What happens to a call that a fault applies to. */
export enum FaultKind {
  /** The call takes effect and is answered after `ms` milliseconds. */
  Delay = 'delay',
  /** The call is answered with status 500 and has no effect. */
  Fail = 'fail',
  /** The call takes effect and the connection is closed without an answer. */
  DropResponse = 'drop_answer',
  /** The call has no effect and is not answered until the faults are cleared; then it is dropped. */
  Freeze = 'freeze',
  /** The process exits at once. */
  Crash = 'crash',
  /** The call takes effect at once and is answered after `ms` milliseconds. */
  DelayResponse = 'answer_late',
  /** The call takes effect and half of the answer's body is sent. */
  TruncateBody = 'cut_body',
  /** Two calls take effect and each gets the answer of the other. */
  SwapResponses = 'cross_answers',
}

/** A fault as posted to `/control/faults`. */
export interface Fault {
  kind: FaultKind;
  /** Applies to paths with this prefix; to all if absent. */
  path?: string;
  method?: string;
  /** Number of calls it applies to; until cleared if absent. */
  times?: number;
  /** For Delay and AnswerLate, in milliseconds. */
  ms?: number;
}

const KNOWN_KINDS = new Set<string>(Object.values(FaultKind));

/** The faults in force. */
export class FaultPlan {
  #faults: Fault[] = [];
  readonly #cleared = new EventEmitter().setMaxListeners(0);

  /** @throws TypeError when the fault's kind is unknown */
  add(fault: Fault): void {
    if (!KNOWN_KINDS.has(fault.kind)) throw new TypeError(`unknown fault kind ${fault.kind}`);
    this.#faults.push({ ...fault });
  }

  clear(): void {
    this.#faults = [];
    this.#cleared.emit('cleared');
  }

  /** Resolves when the faults are cleared next. */
  async whenCleared(): Promise<void> {
    await once(this.#cleared, 'cleared');
  }

  /** Takes the first fault that applies to a call. */
  take(method: string, path: string): Fault | undefined {
    const fault = this.#faults.find(
      (candidate) =>
        path.startsWith(candidate.path ?? '') && (candidate.method ?? method) === method,
    );
    if (fault?.times === undefined) return fault;
    fault.times -= 1;
    if (fault.times <= 0) this.#faults = this.#faults.filter((other) => other !== fault);
    return fault;
  }
}
