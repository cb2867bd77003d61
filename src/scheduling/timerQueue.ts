import type { Clock, Timer } from '../clock/index.js';

/** Entry of a {@link TimerQueue}. */
export interface TimerEntry<T> {
  readonly value: T;
  readonly dueAt: number;
  /** Index in the heap; -1 once removed. */
  index: number;
}

/**
 * Delivers values at their due time, with a binary heap and a single timer. Adding and removing are
 * O(log n).
 */
export class TimerQueue<T> {
  readonly #clock: Clock;
  readonly #onDue: (value: T) => void;
  readonly #heap: TimerEntry<T>[] = [];
  #timer: Timer | undefined;
  #timerAt = Infinity;

  constructor(clock: Clock, onDue: (value: T) => void) {
    this.#clock = clock;
    this.#onDue = onDue;
  }

  get size(): number {
    return this.#heap.length;
  }

  /**
   * Adds a value.
   *
   * @param dueAt - monotonic time in milliseconds; a value with Infinity is never due
   */
  add(dueAt: number, value: T): TimerEntry<T> {
    const entry: TimerEntry<T> = { value, dueAt, index: this.#heap.length };
    this.#heap.push(entry);
    this.#siftUp(entry);
    this.#arm();
    return entry;
  }

  /** Removes an entry; has no effect if it is no longer in the queue. */
  remove(entry: TimerEntry<T>): void {
    const index = entry.index;
    if (index < 0) return;
    entry.index = -1;
    const last = this.#heap.pop();
    if (!last || last === entry) return;
    this.#place(last, index);
    this.#siftUp(last);
    this.#siftDown(last);
  }

  /** Removes all entries and cancels the timer. */
  clear(): void {
    for (const entry of this.#heap) entry.index = -1;
    this.#heap.length = 0;
    this.#timer?.cancel();
    this.#timer = undefined;
    this.#timerAt = Infinity;
  }

  #arm(): void {
    const earliest = this.#heap[0]?.dueAt ?? Infinity;
    // A timer that fires too early is rearmed, so removals need not reschedule it.
    if (earliest >= this.#timerAt) return;
    this.#timer?.cancel();
    this.#timerAt = earliest;
    const delayMs = Math.max(0, Math.ceil(earliest - this.#clock.now()));
    this.#timer = this.#clock.setTimer(Math.min(delayMs, MAX_TIMER_DELAY_MS), () => {
      this.#fire();
    });
  }

  #fire(): void {
    this.#timer = undefined;
    this.#timerAt = Infinity;
    const now = this.#clock.now();
    for (let next = this.#heap[0]; next && next.dueAt <= now; next = this.#heap[0]) {
      this.remove(next);
      this.#onDue(next.value);
    }
    this.#arm();
  }

  #place(entry: TimerEntry<T>, index: number): void {
    this.#heap[index] = entry;
    entry.index = index;
  }

  #siftUp(entry: TimerEntry<T>): void {
    while (entry.index > 0) {
      const parentIndex = (entry.index - 1) >> 1;
      const parent = this.#heap[parentIndex];
      if (!parent || parent.dueAt <= entry.dueAt) return;
      this.#place(parent, entry.index);
      this.#place(entry, parentIndex);
    }
  }

  #siftDown(entry: TimerEntry<T>): void {
    while (true) {
      const left = this.#heap[2 * entry.index + 1];
      const right = this.#heap[2 * entry.index + 2];
      if (!left) return;
      const child = right && right.dueAt < left.dueAt ? right : left;
      if (entry.dueAt <= child.dueAt) return;
      const childIndex = child.index;
      this.#place(child, entry.index);
      this.#place(entry, childIndex);
    }
  }
}

/** Maximum delay of Node.js timers, in milliseconds; timers with longer delays fire at once. */
const MAX_TIMER_DELAY_MS = 2 ** 31 - 1;
