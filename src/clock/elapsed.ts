import type { Clock } from './types.js';

/** A moment on both clocks of a process, in milliseconds. */
export interface Moment {
  monotonicMs: number;
  /** Unix time. */
  wallMs: number;
}

/**
 * Milliseconds since a moment, by the clock that shows more: the monotonic clock stops while the VM is
 * suspended.
 */
export function elapsedMs(
  clock: Pick<Clock, 'now' | 'wallTime'>,
  { monotonicMs, wallMs }: Moment,
): number {
  return Math.max(clock.now() - monotonicMs, clock.wallTime() - wallMs);
}
