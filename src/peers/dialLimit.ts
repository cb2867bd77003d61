/** Limits how many tasks do something at once; the others wait in order. */
export class DialLimit {
  readonly #waiting: (() => void)[] = [];
  #free: number;

  /** @param limit - most holders at once */
  constructor(limit: number) {
    this.#free = limit;
  }

  /** Waits for a place. Call the returned function exactly once to give it back. */
  async acquire(): Promise<() => void> {
    if (this.#free > 0) this.#free -= 1;
    else await new Promise<void>((resolve) => this.#waiting.push(resolve));
    return () => {
      const next = this.#waiting.shift();
      if (next) next();
      else this.#free += 1;
    };
  }
}
