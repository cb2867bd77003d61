import type { Clock } from '../clock/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Random } from '../random/index.js';
import type { PlatformSettings } from './defaults.js';

/** Dependencies of {@link Reachability}. */
export interface ReachabilityDeps {
  clock: Clock;
  random: Random;
  lifecycle: Lifecycle;
  settings: PlatformSettings;
  /** Sends one probe; resolves to true when the platform responded. */
  probe: () => Promise<boolean>;
  /** Called on each change, and once when the first call shows the initial state. */
  onChange: (reachable: boolean) => void;
}

/**
 * Tracks whether the platform is reachable. While it is not, one task probes it with jittered
 * exponential backoff, and all other calls are to be refused without being sent.
 */
export class Reachability {
  readonly #deps: ReachabilityDeps;
  #reachable: boolean | undefined;
  #failures = 0;
  #probing: Promise<void> = Promise.resolve();

  constructor(deps: ReachabilityDeps) {
    this.#deps = deps;
    deps.lifecycle.own('platform probe', () => this.#probing);
  }

  /** Whether calls may be sent. */
  get allowsCalls(): boolean {
    return this.#reachable !== false;
  }

  /** Records a response of the platform, whatever its status. */
  recordResponse(): void {
    this.#failures = 0;
    this.#setReachable(true);
  }

  /**
   * Records a call without a response. A failed connection attempt marks the platform as
   * unreachable at once, other failures only after `failuresUntilDown` in a row.
   *
   * @param connected - false when the connection attempt failed
   */
  recordFailure(connected: boolean): void {
    this.#failures += 1;
    if (connected && this.#failures < this.#deps.settings.failuresUntilDown) return;
    const wasReachable = this.allowsCalls;
    this.#setReachable(false);
    if (wasReachable && !this.#deps.lifecycle.isClosed) this.#probing = this.#probeUntilReachable();
  }

  #setReachable(reachable: boolean): void {
    if (this.#reachable === reachable) return;
    this.#reachable = reachable;
    this.#deps.onChange(reachable);
  }

  async #probeUntilReachable(): Promise<void> {
    const { clock, random, lifecycle, settings, probe } = this.#deps;
    for (let attempt = 0; !this.allowsCalls; attempt += 1) {
      const maxDelayMs = Math.min(settings.backoffMaxMs, settings.backoffBaseMs * 2 ** attempt);
      // Half of the delay is fixed, so that several small random numbers cause no burst of probes.
      const delayMs = (maxDelayMs * (1 + random.next())) / 2;
      if (!(await clock.sleep(delayMs, lifecycle.signal))) return;
      if (await probe()) this.recordResponse();
    }
  }
}
