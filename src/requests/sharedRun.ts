import type { RequestResult } from './types.js';

/**
 * One run of a request id that several callers wait for. It is cancelled when the last of them has
 * gone away.
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

  /** Aborted when no caller waits any more. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Callers that wait. */
  get waiters(): number {
    return this.#waiters;
  }

  /** Resolves with the end of the run. */
  get result(): Promise<RequestResult> {
    return this.#result;
  }

  /** Ends the run for all who wait. */
  complete(result: RequestResult): void {
    this.#resolve(result);
  }

  /**
   * Adds a caller.
   *
   * @param signal - aborted when the caller goes away
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
