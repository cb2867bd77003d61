import { BaseError, toError } from '../errors/index.js';

/** Codes of {@link LifecycleError}. */
export enum LifecycleErrorCode {
  Closed = 'closed',
  CloseFailed = 'close_failed',
}

/** A resource was registered on a closed lifecycle, or releasing a resource failed. */
export class LifecycleError extends BaseError<LifecycleErrorCode> {}

type Dispose = () => void | Promise<void>;

interface OwnedResource {
  name: string;
  dispose: Dispose;
}

/**
 * Owns resources and releases them in reverse order of registration. Each component receives a
 * lifecycle from its parent and registers everything that must be released.
 */
export class Lifecycle {
  readonly name: string;
  readonly #controller = new AbortController();
  readonly #resources: OwnedResource[] = [];
  #closing: Promise<void> | undefined;

  constructor(name: string) {
    this.name = name;
  }

  /** Aborted as soon as closing starts; pass it to tasks so that they stop waiting. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** True from the start of closing, before all resources are released. */
  get isClosed(): boolean {
    return this.#closing !== undefined;
  }

  /**
   * Registers a resource to release on close.
   *
   * @param name - name of the resource in error messages
   * @param dispose - releases the resource; called once
   * @returns a function that releases the resource early
   * @throws LifecycleError when the lifecycle is closed
   */
  own(name: string, dispose: Dispose): () => Promise<void> {
    if (this.isClosed) {
      throw new LifecycleError(
        LifecycleErrorCode.Closed,
        `cannot register ${name}: lifecycle ${this.name} is closed`,
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

  /** Creates a child lifecycle that is closed together with this one. */
  child(name: string): Lifecycle {
    const child = new Lifecycle(`${this.name}/${name}`);
    const release = this.own(name, () => child.close());
    // Whoever closes the child directly receives its error, so the error is ignored here.
    child.signal.addEventListener('abort', () => void release().catch(() => undefined), {
      once: true,
    });
    return child;
  }

  /**
   * Releases all resources, the last registered first. Later calls return the same promise.
   *
   * @throws LifecycleError when a resource failed to close; the others are released nevertheless
   */
  close(): Promise<void> {
    this.#closing ??= this.#closeAll();
    return this.#closing;
  }

  async #closeAll(): Promise<void> {
    // Yields once, so that isClosed is true when the abort listeners run.
    await Promise.resolve();
    this.#controller.abort();
    const failures: string[] = [];
    for (let resource = this.#resources.pop(); resource; resource = this.#resources.pop()) {
      try {
        await resource.dispose();
      } catch (err) {
        failures.push(`${resource.name}: ${toError(err).message}`);
      }
    }
    if (failures.length > 0) {
      throw new LifecycleError(
        LifecycleErrorCode.CloseFailed,
        `lifecycle ${this.name} closed with failures: ${failures.join('; ')}`,
      );
    }
  }
}
