/** Keeps the process from handling events for some milliseconds. */
export function blockEventLoop(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}
