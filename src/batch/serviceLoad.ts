/** Load of one worker. */
export interface WorkerLoad {
  id: string;
  runs: number;
  /** Number of long-running tasks among the runs; undefined if an earlier version reports the load. */
  lastingRuns?: number;
  /** Start time of its process, as in its record, if it did not answer the last call. */
  silentBornMs?: number;
}

/** Load of a service. */
export interface ServiceLoad {
  /** CPU requested by tasks ready to start, without best-effort ones, in thousandths of a core. */
  waitingCpu: number;
  /** Like `waitingCpu`, with tasks shorter than a second weighted by their run time in seconds. */
  backlogCpu: number;
  /** CPU needed to keep up with the current arrival rate, in thousandths of a core. */
  expectedCpu: number;
  /** CPU requested by long-running tasks that have a run, in thousandths of a core. */
  lastingCpu: number;
  /** CPU reserved by all runs, in thousandths of a core. */
  usedCpu: number;
  /** CPU of the workers that are admitted and not being emptied, in thousandths of a core. */
  capacityCpu: number;
  workers: WorkerLoad[];
  /** Largest number of workers that a long-running step needs because of its `maxPerWorker`. */
  spreadNeed: number;
}
