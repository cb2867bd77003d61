import type { Clock } from '../clock/index.js';
import { BaseError, toError } from '../errors/index.js';
import type { Logger } from '../logger/index.js';
import type { Random } from '../random/index.js';
import { Lifecycle } from './lifecycle.js';

/** Codes of {@link SupervisorError}. */
export enum SupervisorErrorCode {
  ChildKeepsFailing = 'child_keeps_failing',
}

/** A supervised child failed more often than its restart limit allows. */
export class SupervisorError extends BaseError<SupervisorErrorCode> {}

/** What a supervisor does when a child's task returns without an error. */
export enum RestartPolicy {
  /** The child runs for as long as its parent; a normal return is followed by a restart. */
  Permanent = 'permanent',
  /** The child is restarted only after a failure. */
  OnFailure = 'on_failure',
}

/** One child of a supervisor. */
export interface ChildSpec {
  name: string;
  policy: RestartPolicy;
  /** Runs until its life cycle is closed. Rejecting means failure. */
  run: (lifecycle: Lifecycle) => Promise<void>;
}

/** Options of {@link Supervisor}. */
export interface SupervisorOptions {
  clock: Clock;
  random: Random;
  logger: Pick<Logger, 'warn'>;
  /** Failures within `failureWindowMs` after which the supervisor itself fails. */
  maxFailures: number;
  failureWindowMs: number;
  /** Delay before the first restart, doubled for each failure in the window, with full jitter. */
  backoffBaseMs: number;
  backoffMaxMs: number;
  /** Called when a child failed; used for counters. */
  onFailure?: (child: string, err: Error) => void;
}

/** Default restart limits. */
export const supervisorDefaults = {
  maxFailures: 5,
  failureWindowMs: 30_000,
  backoffBaseMs: 100,
  backoffMaxMs: 5_000,
};

/** Runs children as tasks, restarts failed ones with backoff, and fails when one keeps failing. */
export class Supervisor {
  readonly #options: SupervisorOptions;
  readonly #lifecycle: Lifecycle;
  readonly #failed: Promise<never>;
  #fail: (err: Error) => void = () => undefined;

  constructor(lifecycle: Lifecycle, options: SupervisorOptions) {
    this.#lifecycle = lifecycle;
    this.#options = options;
    this.#failed = new Promise((_, reject) => {
      this.#fail = reject;
    });
    this.#failed.catch(() => undefined);
  }

  /** Rejects with a SupervisorError once a child keeps failing. Never resolves. */
  get failed(): Promise<never> {
    return this.#failed;
  }

  /** Starts a child task. It ends when the returned life cycle or the supervisor's own is closed. */
  start(spec: ChildSpec): Lifecycle {
    const lifecycle = this.#lifecycle.child(spec.name);
    const task = this.#superviseChild(spec, lifecycle);
    lifecycle.own('task', () => task);
    return lifecycle;
  }

  async #superviseChild(spec: ChildSpec, lifecycle: Lifecycle): Promise<void> {
    const { clock, random, logger } = this.#options;
    let failureTimes: number[] = [];
    while (true) {
      const err = await this.#runOnce(spec, lifecycle);
      if (lifecycle.isClosed) return;
      if (!err && spec.policy === RestartPolicy.OnFailure) return;
      if (err) {
        logger.warn({ event: 'child_failed', child: spec.name, error: err.message });
        this.#options.onFailure?.(spec.name, err);
      }
      const now = clock.now();
      const windowStart = now - this.#options.failureWindowMs;
      failureTimes = [...failureTimes.filter((time) => time > windowStart), now];
      if (failureTimes.length > this.#options.maxFailures) {
        const message = `child ${spec.name} failed ${failureTimes.length} times within ${this.#options.failureWindowMs} ms`;
        this.#fail(new SupervisorError(SupervisorErrorCode.ChildKeepsFailing, message, err));
        return;
      }
      const ceiling = Math.min(
        this.#options.backoffMaxMs,
        this.#options.backoffBaseMs * 2 ** (failureTimes.length - 1),
      );
      const elapsed = await clock.sleep(random.next() * ceiling, lifecycle.signal);
      if (!elapsed) return;
    }
  }

  async #runOnce(spec: ChildSpec, lifecycle: Lifecycle): Promise<Error | undefined> {
    const attempt = lifecycle.child('attempt');
    const close = () =>
      attempt.close().catch((err: unknown) => {
        this.#options.logger.warn({ event: 'child_close_failed', error: toError(err).message });
      });
    // Closing the child waits for its task, so the task has to be told first.
    lifecycle.signal.addEventListener('abort', () => void close(), { once: true });
    try {
      await spec.run(attempt);
      return undefined;
    } catch (err) {
      return toError(err);
    } finally {
      await close();
    }
  }
}
