/** Load of one worker. */
export interface WorkerLoad {
  id: string;
  runs: number;
}

/** Load of a service. */
export interface ServiceLoad {
  /** CPU requested by tasks that are ready to start, in thousandths of a core. */
  waitingCpu: number;
  /** Like `waitingCpu`, with tasks shorter than a second weighted by their run time in seconds. */
  backlogCpu: number;
  /** CPU needed to keep up with the current arrival rate, in thousandths of a core. */
  expectedCpu: number;
  /** CPU reserved by long-running tasks, in thousandths of a core. */
  lastingCpu: number;
  /** CPU reserved by all runs, in thousandths of a core. */
  usedCpu: number;
  /** CPU of the workers that are available for tasks, in thousandths of a core. */
  capacityCpu: number;
  workers: WorkerLoad[];
  /** Workers needed by the widest long-running step with a maximum number of tasks per worker. */
  spreadNeed: number;
}
