import type { RequestResult } from './types.js';

/**
 * A run of a request id that several callers can wait for. It is cancelled when the last of them
 * leaves.
 */
export class SharedRun {
  readonly #controller = new AbortController();
  readonly #result: Promise<RequestResult>;
  #waiters = 0;
  #resolve!: (result: RequestResult) => void;

  constructor() {
    this.#result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Aborted when no caller waits for the run any more. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Number of callers that wait for the run. */
  get waiters(): number {
    return this.#waiters;
  }

  /** Resolves with the result of the run. */
  get result(): Promise<RequestResult> {
    return this.#result;
  }

  /** Completes the run with a result for all waiting callers. */
  complete(result: RequestResult): void {
    this.#resolve(result);
  }

  /**
   * Adds a waiting caller.
   *
   * @param signal - aborted when the caller disconnects
   * @returns a function that removes the caller
   */
  join(signal: AbortSignal): () => void {
    this.#waiters += 1;
    let joined = true;
    const leave = () => {
      if (!joined) return;
      joined = false;
      signal.removeEventListener('abort', leave);
      this.#waiters -= 1;
      if (this.#waiters === 0) this.#controller.abort();
    };
    signal.addEventListener('abort', leave, { once: true });
    if (signal.aborted) leave();
    return leave;
  }
}
