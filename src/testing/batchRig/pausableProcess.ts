import { createClock, type Clock, type Timer } from '../../clock/index.js';

/**
 * A process that can be frozen: meanwhile none of its timers fires and no answer or call reaches it; all
 * of them do when it resumes. Its monotonic clock goes on, as that of a stopped process, or stands
 * still, as that of a suspended VM. The wall clock always goes on.
 */
export class PausableProcess {
  readonly clock: Clock;
  readonly #base: Clock;
  #isFrozen = false;
  #isMonotonicStopped = false;
  #frozenAt = 0;
  /** Time for which the monotonic clock stood still in earlier freezes. */
  #stoppedMs = 0;
  #onResume: (() => void)[] = [];

  /** @param wallTime - wall clock of the process, in milliseconds */
  constructor(base: Clock, wallTime: () => number) {
    this.#base = base;
    this.clock = createClock({
      setTimeout: (callback, delayMs) => this.#setTimer(callback, delayMs),
      clearTimeout: (handle) => {
        (handle as Timer).cancel();
      },
      monotonicMs: () => this.#now(),
      wallMs: wallTime,
    });
  }

  get isFrozen(): boolean {
    return this.#isFrozen;
  }

  /** @param isSuspended - whether the monotonic clock stands still */
  freeze({ isSuspended }: { isSuspended: boolean }): void {
    this.#frozenAt = this.#base.now();
    this.#isMonotonicStopped = isSuspended;
    this.#isFrozen = true;
  }

  resume(): void {
    this.#isFrozen = false;
    if (this.#isMonotonicStopped) this.#stoppedMs += this.#base.now() - this.#frozenAt;
    this.#isMonotonicStopped = false;
    const handlers = this.#onResume;
    this.#onResume = [];
    for (const handle of handlers) handle();
  }

  /** Resolves once the process is not frozen. */
  async whenRunning(): Promise<void> {
    while (this.#isFrozen) await new Promise<void>((resolve) => this.#onResume.push(resolve));
  }

  #now(): number {
    return (this.#isMonotonicStopped ? this.#frozenAt : this.#base.now()) - this.#stoppedMs;
  }

  #setTimer(callback: () => void, delayMs: number): Timer {
    const due = this.#now() + delayMs;
    let isCancelled = false;
    let timer: Timer;
    const fire = () => {
      if (isCancelled) return;
      if (this.#isFrozen) {
        this.#onResume.push(fire);
        return;
      }
      const leftMs = due - this.#now();
      if (leftMs > 0) timer = this.#base.setTimer(leftMs, fire);
      else callback();
    };
    timer = this.#base.setTimer(delayMs, fire);
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }
}
