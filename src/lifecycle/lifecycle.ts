import { BaseError, toError } from '../errors/index.js';

/** Codes of {@link LifecycleError}. */
export enum LifecycleErrorCode {
  Closed = 'closed',
  CloseFailed = 'close_failed',
}

/** A resource was added to a closed life cycle, or clean-up failed. */
export class LifecycleError extends BaseError<LifecycleErrorCode> {}

type Dispose = () => void | Promise<void>;

interface OwnedResource {
  name: string;
  dispose: Dispose;
}

/**
 * Owns resources and releases them in reverse order of acquisition. Each component receives a
 * life cycle from its parent and registers everything that must be released.
 */
export class Lifecycle {
  readonly name: string;
  readonly #controller = new AbortController();
  readonly #resources: OwnedResource[] = [];
  #closing: Promise<void> | undefined;

  constructor(name: string) {
    this.name = name;
  }

  /** Aborted as soon as closing starts; tasks stop waiting on it. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether closing has started. */
  get isClosed(): boolean {
    return this.#closing !== undefined;
  }

  /**
   * Registers a resource.
   *
   * @param name - used in errors
   * @param dispose - releases the resource; called once
   * @returns a function that releases the resource early
   * @throws LifecycleError when the life cycle is closed
   */
  own(name: string, dispose: Dispose): () => Promise<void> {
    if (this.isClosed) {
      throw new LifecycleError(
        LifecycleErrorCode.Closed,
        `cannot add ${name}: life cycle ${this.name} is closed`,
      );
    }
    const resource: OwnedResource = { name, dispose };
    this.#resources.push(resource);
    return async () => {
      const index = this.#resources.indexOf(resource);
      if (index < 0) return;
      this.#resources.splice(index, 1);
      await resource.dispose();
    };
  }

  /** Creates a life cycle that is closed with this one. */
  child(name: string): Lifecycle {
    const child = new Lifecycle(`${this.name}/${name}`);
    const release = this.own(name, () => child.close());
    // A failure to close is reported to whoever closes the child.
    child.signal.addEventListener('abort', () => void release().catch(() => undefined), {
      once: true,
    });
    return child;
  }

  /**
   * Releases everything, last acquired first. Later calls return the same promise.
   *
   * @throws LifecycleError when a resource failed to close; the others are closed all the same
   */
  close(): Promise<void> {
    this.#closing ??= this.#closeAll();
    return this.#closing;
  }

  async #closeAll(): Promise<void> {
    // A child's abort listener must find the life cycle marked as closed.
    await Promise.resolve();
    this.#controller.abort();
    const failures: string[] = [];
    for (let next = this.#resources.pop(); next; next = this.#resources.pop()) {
      try {
        await next.dispose();
      } catch (err) {
        failures.push(`${next.name}: ${toError(err).message}`);
      }
    }
    if (failures.length > 0) {
      throw new LifecycleError(
        LifecycleErrorCode.CloseFailed,
        `life cycle ${this.name} closed with failures: ${failures.join('; ')}`,
      );
    }
  }
}
