import { EventEmitter, once } from 'node:events';

/** Effect of a fault on a call that it applies to. */
export enum FaultKind {
  /** The call is held for `ms` milliseconds, then takes effect and is answered. */
  Delay = 'delay',
  /** The call is answered with status 500 and has no effect. */
  Fail = 'fail',
  /** The call takes effect and the connection is closed without a response. */
  DropResponse = 'drop_answer',
  /** The call has no effect and hangs until the faults are cleared; then its connection is closed. */
  Freeze = 'freeze',
  /** The process exits at once. */
  Crash = 'crash',
  /** The call takes effect at once and its response is sent after `ms` milliseconds. */
  DelayResponse = 'answer_late',
  /** The call takes effect and the connection is closed after half of the response body. */
  TruncateBody = 'cut_body',
  /** Two calls take effect and each receives the response of the other. */
  SwapResponses = 'cross_answers',
}

/** A fault as posted to `/control/faults`. */
export interface Fault {
  kind: FaultKind;
  /** Path prefix of the calls that it applies to; all calls if absent. */
  path?: string;
  method?: string;
  /** Number of calls that it applies to; unlimited if absent. */
  times?: number;
  /** For Delay and DelayResponse, in milliseconds. */
  ms?: number;
}

const KNOWN_KINDS = new Set<string>(Object.values(FaultKind));

/** The faults that are injected at present. */
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

  /** Resolves the next time that the faults are cleared. */
  async whenCleared(): Promise<void> {
    await once(this.#cleared, 'cleared');
  }

  /** Returns the first fault that applies to a call and counts this use of it. */
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
