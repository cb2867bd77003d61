/** CPU, memory and accelerators that a task needs or a worker has. */
export interface PlaceResources {
  /** Thousandths of a core. */
  cpuMillis: number;
  /** MiB. */
  memoryMb: number;
  accelerators: number;
}

/** A run on a worker and when it is expected to release its resources. */
export interface RunSnapshot {
  needs: PlaceResources;
  /** Expected time until it ends in milliseconds; infinite if it does not end by itself. */
  endsInMs: number;
}

/** A worker that takes new runs. */
export interface WorkerSnapshot {
  id: string;
  capacity: PlaceResources;
  free: PlaceResources;
  runs: readonly RunSnapshot[];
}

/** The workers of one rack that take new runs. */
export interface RackSnapshot {
  name: string;
  workers: readonly WorkerSnapshot[];
}

/** A step with tasks to place that run longer on some racks than on others. */
export interface WaitingStepSnapshot<K> {
  /** Identifies the step in the result. */
  key: K;
  /** Resources of one task; the CPU is 0 for a best-effort task. */
  needs: PlaceResources;
  /** Number of tasks to place. */
  tasks: number;
  /** Predicted run time of a task on the rack that suits it, in milliseconds. */
  runMs: number;
  /** Time that the job can lose and still meet its objective, in ms; negative if it is late. */
  slackMs: number;
  /** Time since the step could start, in milliseconds. */
  readyAgeMs: number;
  /** Rack that holds the input data; undefined if all racks are equally near. */
  nearRack?: string;
  /** Whether the tasks run at full speed only if all of them are on one rack. */
  isGroup: boolean;
  /** Racks on which tasks of the step run already. */
  runningRacks: readonly string[];
  /** Number of tasks of the step that a worker may take, apart from its free resources. */
  roomOn: (workerId: string) => number;
}

/** What to do with some of the waiting tasks of a step. */
export enum PlaceAction {
  /** Start on the rack that suits the task. */
  StartHere = 'start_here',
  /** Wait for that rack. */
  Wait = 'wait',
  /** Start on any rack. */
  StartElsewhere = 'start_elsewhere',
}

/** Why an action was chosen. */
export enum PlaceReason {
  /** The rack has free capacity. */
  RackFree = 'rack_free',
  /** Runs on the rack end before the wait costs more than it gains. */
  FreedSoon = 'freed_soon',
  /** The rack is freed too late, but other tasks need the little capacity that is left elsewhere. */
  CapacityScarce = 'capacity_scarce',
  /** The rack has capacity only after the wait has cost more than it gains. */
  FreedLate = 'freed_late',
  /** No run on the rack is expected to end within the longest wait. */
  NeverFreed = 'never_freed',
  /** No worker of the rack takes runs that the step may have. */
  RackGone = 'rack_gone',
  /** The job has missed its objective. */
  JobLate = 'job_late',
  /** The job would miss its objective by waiting. */
  NoSlack = 'no_slack',
  /** The step has waited as long as a wait may take. */
  WaitUsedUp = 'wait_used_up',
  /** No rack is large enough for the whole step. */
  NoRackFits = 'no_rack_fits',
  /** Tasks of the step run on several racks already. */
  AlreadySpread = 'already_spread',
}

/** The action for a number of tasks of a step. */
export interface PlaceDecision {
  action: PlaceAction;
  reason: PlaceReason;
  /** Number of tasks, in the order of the step's tasks. */
  tasks: number;
  /** Rack to start on or to wait for; undefined if any rack will do. */
  rack?: string;
  /** Expected time until the rack has capacity in milliseconds; 0 unless the tasks wait. */
  waitMs: number;
  /** How much longer the step may wait from now, in milliseconds. */
  maxWaitMs: number;
}

/** Rules of a deployment. */
export interface PlaceRules {
  /** Factor by which a task runs longer off its rack; above 1. */
  slowdown: number;
}
