/** Limits on the size of an explanation, which one frame between nodes has to hold. */
export const explainDefaults = {
  /** Maximum number of steps listed that are placed before a job. */
  maxAhead: 20,
  /** Maximum number of tasks listed. */
  maxTasks: 100,
  /** Maximum number of steps for which the workers left out are listed. */
  maxSteps: 20,
  /** Timeout of the call to the holder, in milliseconds. */
  holderTimeoutMs: 2_000,
};
