/** Limits the number of concurrent holders; further callers wait in FIFO order. */
export class Semaphore {
  readonly #waiters: (() => void)[] = [];
  #available: number;

  /** @param limit - maximum number of concurrent holders */
  constructor(limit: number) {
    this.#available = limit;
  }

  /** Waits for a permit. The returned function releases it and must be called exactly once. */
  async acquire(): Promise<() => void> {
    if (this.#available > 0) this.#available -= 1;
    else await new Promise<void>((resolve) => this.#waiters.push(resolve));
    return () => {
      const next = this.#waiters.shift();
      if (next) next();
      else this.#available += 1;
    };
  }
}
