/** Load of one worker. */
export interface WorkerLoad {
  id: string;
  runs: number;
}

/** Load of a service. */
export interface ServiceLoad {
  /** Thousandths of a core that tasks need which could start now. */
  waitingCpu: number;
  /** The same, counting tasks of less than a second by their share of one. */
  backlogCpu: number;
  /** What the present rate of arrivals needs, in thousandths of a core. */
  expectedCpu: number;
  /** What tasks use that last until they are cancelled. */
  lastingCpu: number;
  usedCpu: number;
  /** Capacity of the workers that take tasks, in thousandths of a core. */
  capacityCpu: number;
  workers: WorkerLoad[];
  /** Workers over which the widest lasting step with a bound per worker spreads. */
  spreadNeed: number;
}
