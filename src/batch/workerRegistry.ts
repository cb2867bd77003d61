import Emittery from 'emittery';
import type { Clock } from '../clock/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { follow, type Changes, type ChangeSource } from './follow.js';
import type { WorkerRecord } from './types.js';

/** Pause between reads of the registrations, which change continuously, in milliseconds. */
const READ_PAUSE_MS = 150;
/** Long-poll time of the call that follows the registrations, in milliseconds. */
const FEED_WAIT_MS = 2_000;

interface RegistryEvents {
  used: undefined;
  loaded: undefined;
}

/** Dependencies of a {@link WorkerRegistry}. */
export interface WorkerRegistryDeps {
  registry: ChangeSource<WorkerRecord>;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
}

/**
 * Local copy of the worker registrations. It is updated only while a holder on this node uses it,
 * because registrations change continuously and most nodes of a large deployment hold no service.
 */
export class WorkerRegistry {
  readonly #deps: WorkerRegistryDeps;
  readonly #events = new Emittery<RegistryEvents>();
  readonly #records = new Map<string, WorkerRecord>();
  #userCount = 0;
  #isLoaded = false;
  #releaseController = new AbortController();

  constructor(deps: WorkerRegistryDeps) {
    this.#deps = deps;
  }

  /** Registered workers as last read; empty while the registry is not in use. */
  records(): Iterable<WorkerRecord> {
    return this.#records.values();
  }

  /**
   * Keeps the registry up to date until the user's lifecycle is closed. Resolves once it is
   * complete, because a worker that is missing from it is treated as gone.
   *
   * @returns whether it is complete; false if the lifecycle was closed first
   */
  async use(user: Lifecycle): Promise<boolean> {
    this.#userCount++;
    user.own('worker registry', () => {
      this.#release();
    });
    void this.#events.emit('used');
    while (!this.#isLoaded && !user.signal.aborted) await this.#waitFor('loaded', user.signal);
    return !user.signal.aborted;
  }

  #release(): void {
    this.#userCount--;
    if (this.#userCount > 0) return;
    this.#isLoaded = false;
    this.#records.clear();
    this.#releaseController.abort();
  }

  /** Follows the registrations while in use, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { registry: source, clock, log, counters } = this.#deps;
    const waits = { waitMs: FEED_WAIT_MS, pauseMs: READ_PAUSE_MS };
    const apply = (changes: Changes<WorkerRecord>, isComplete: boolean) => {
      this.#apply(changes, isComplete);
    };
    while (!signal.aborted) {
      if (this.#userCount === 0) {
        await this.#waitFor('used', signal);
        continue;
      }
      this.#releaseController = new AbortController();
      const whileUsed = AbortSignal.any([signal, this.#releaseController.signal]);
      await follow({ name: 'registry', source, clock, log, counters, ...waits, apply }, whileUsed);
    }
  }

  #apply({ items, removed }: Changes<WorkerRecord>, isComplete: boolean): void {
    if (isComplete) this.#records.clear();
    for (const id of removed) this.#records.delete(id);
    for (const record of items) this.#records.set(record.id, record);
    if (this.#isLoaded) return;
    this.#isLoaded = true;
    void this.#events.emit('loaded');
  }

  /** Resolves at the next event of the given name, or once the signal is aborted. */
  async #waitFor(event: keyof RegistryEvents, signal: AbortSignal): Promise<void> {
    const next = this.#events.once(event);
    const aborted = new Promise<void>((resolve) => {
      if (signal.aborted) resolve();
      signal.addEventListener(
        'abort',
        () => {
          resolve();
        },
        { once: true },
      );
    });
    await Promise.race([next, aborted]);
    next.off();
  }
}
