/** Returns the share of time, from 0 to 1, in which the process was busy since the last call. */
export type BusyMeter = () => number;

/** Creates a meter of the time in which the event loop was not waiting for input or timers. */
export function createBusyMeter(): BusyMeter {
  let last = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, last);
    last = current;
    return utilization;
  };
}
