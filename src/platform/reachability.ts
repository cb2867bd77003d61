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
  /** Sends one probe; true when the platform answered. */
  probe: () => Promise<boolean>;
  /** Called on each change, and once when the first call ended. */
  onChange: (reachable: boolean) => void;
}

/**
 * Tracks whether the platform answers. While it does not, one task probes it with jittered
 * exponential backoff, and all other calls are refused without being sent.
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

  /** Records that the platform answered a call, whatever the answer. */
  answered(): void {
    this.#failures = 0;
    this.#set(true);
  }

  /**
   * Records that a call got no answer.
   *
   * @param connected - false when no connection could be made
   */
  unanswered(connected: boolean): void {
    this.#failures += 1;
    if (connected && this.#failures < this.#deps.settings.failuresUntilDown) return;
    const wasReachable = this.allowsCalls;
    this.#set(false);
    if (wasReachable && !this.#deps.lifecycle.isClosed) this.#probing = this.#probeUntilAnswered();
  }

  #set(reachable: boolean): void {
    if (this.#reachable === reachable) return;
    this.#reachable = reachable;
    this.#deps.onChange(reachable);
  }

  async #probeUntilAnswered(): Promise<void> {
    const { clock, random, lifecycle, settings, probe } = this.#deps;
    for (let attempt = 0; !this.allowsCalls; attempt += 1) {
      const ceiling = Math.min(settings.backoffMaxMs, settings.backoffBaseMs * 2 ** attempt);
      // Half of the delay is fixed, so that a row of small random numbers causes no burst of probes.
      const delayMs = (ceiling * (1 + random.next())) / 2;
      if (!(await clock.sleep(delayMs, lifecycle.signal))) return;
      if (await probe()) this.answered();
    }
  }
}
