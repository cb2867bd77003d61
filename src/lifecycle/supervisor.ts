import type { Clock } from '../clock/index.js';
import { BaseError, toError } from '../errors/index.js';
import type { Logger } from '../logger/index.js';
import type { Random } from '../random/index.js';
import { Lifecycle } from './lifecycle.js';

/** Codes of {@link SupervisorError}. */
export enum SupervisorErrorCode {
  ChildKeepsFailing = 'child_keeps_failing',
}

/** A supervised child exceeded its restart limit. */
export class SupervisorError extends BaseError<SupervisorErrorCode> {}

/** Whether a supervisor restarts a child whose task returned without an error. */
export enum RestartPolicy {
  /**
   * The child runs as long as its parent: it is restarted after a normal return too, which counts
   * towards the restart limit.
   */
  Permanent = 'permanent',
  /** The child is restarted only after a failure. */
  OnFailure = 'on_failure',
}

/** Describes one child task of a supervisor. */
export interface ChildSpec {
  name: string;
  policy: RestartPolicy;
  /** The task. It must end when its lifecycle is closed; a rejection is a failure. */
  run: (lifecycle: Lifecycle) => Promise<void>;
}

/** Options of {@link Supervisor}. */
export interface SupervisorOptions {
  clock: Clock;
  random: Random;
  logger: Pick<Logger, 'warn'>;
  /** Restart limit: with more failures within `failureWindowMs`, the supervisor itself fails. */
  maxFailures: number;
  failureWindowMs: number;
  /** Delay before the first restart, with full jitter; doubled for each failure in the window. */
  backoffBaseMs: number;
  backoffMaxMs: number;
  /** Called on each failure of a child, for example to count it. */
  onFailure?: (child: string, err: Error) => void;
}

/** Default restart limits. */
export const supervisorDefaults = {
  maxFailures: 5,
  failureWindowMs: 30_000,
  backoffBaseMs: 100,
  backoffMaxMs: 5_000,
};

/** Runs child tasks and restarts failed ones with backoff; fails when one exceeds its limit. */
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

  /** Rejects with a SupervisorError once a child exceeds its restart limit. Never resolves. */
  get failed(): Promise<never> {
    return this.#failed;
  }

  /** Starts a child task, which ends with the returned lifecycle or that of the supervisor. */
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
      const maxDelayMs = Math.min(
        this.#options.backoffMaxMs,
        this.#options.backoffBaseMs * 2 ** (failureTimes.length - 1),
      );
      const elapsed = await clock.sleep(random.next() * maxDelayMs, lifecycle.signal);
      if (!elapsed) return;
    }
  }

  async #runOnce(spec: ChildSpec, lifecycle: Lifecycle): Promise<Error | undefined> {
    const attempt = lifecycle.child('attempt');
    const closeAttempt = () =>
      attempt.close().catch((err: unknown) => {
        this.#options.logger.warn({ event: 'child_close_failed', error: toError(err).message });
      });
    // Closing the child waits for its task, so the attempt is closed as soon as closing starts.
    lifecycle.signal.addEventListener('abort', () => void closeAttempt(), { once: true });
    try {
      await spec.run(attempt);
      return undefined;
    } catch (err) {
      return toError(err);
    } finally {
      await closeAttempt();
    }
  }
}
