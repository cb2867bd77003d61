import { toError } from '../errors/index.js';

/** Runs tasks, at most one at a time for each key. */
export class TaskGroup {
  readonly #running = new Map<string, Promise<void>>();
  readonly #failed: Promise<never>;
  #fail: (err: Error) => void = () => undefined;

  constructor() {
    this.#failed = new Promise((_, reject) => {
      this.#fail = reject;
    });
    this.#failed.catch(() => undefined);
  }

  /** Rejects with the first failure of a task. Never resolves. */
  get failed(): Promise<never> {
    return this.#failed;
  }

  get size(): number {
    return this.#running.size;
  }

  /** Starts a task unless one with the same key is running. */
  start(key: string, run: () => Promise<unknown>): void {
    if (this.#running.has(key)) return;
    const task = run()
      .catch((err: unknown) => {
        this.#fail(toError(err));
      })
      .then(() => {
        this.#running.delete(key);
      });
    this.#running.set(key, task);
  }

  /** Resolves when no task is running. */
  async finished(): Promise<void> {
    while (this.#running.size > 0) await Promise.all(this.#running.values());
  }
}
