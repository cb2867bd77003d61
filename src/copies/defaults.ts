/** Limits of copies. */
export const copiesDefaults = {
  /** Share of the tasks like a run's that are done in less time than a straggler has taken. */
  stragglerQuantile: 0.95,
  /** Largest share of the CPU of a service's workers that copies may reserve. */
  maxCpuShare: 0.05,
  /** Time between two searches for stragglers, in milliseconds. */
  searchIntervalMs: 100,
};
