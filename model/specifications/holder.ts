import { at, clone } from '../support.js';
import type { Specification, Step } from '../types.js';

/** Phases after the claim of the second holder, in the order in which their time limits pass. */
enum Phase {
  /** Only the first holder exists. */
  Unclaimed = 0,
  Claimed = 1,
  /** The first holder no longer sends orders. */
  OrdersStopped = 2,
  /** Every lease granted by the first holder has expired. */
  LeasesExpired = 3,
}

/** A holder's view of the task, which may be outdated. */
type TaskStatus = 'idle' | 'running' | 'lost' | 'done';

/** How the task's job was submitted. */
type Origin = 'none' | 'accepted' | 'inbox';

interface Holder {
  /** Epoch of the claim, also used as fencing token; 0 before the claim. */
  epoch: number;
  isAlive: boolean;
  /** Whether it has learned of the job. */
  knowsJob: boolean;
  /** Another holder may already have started the job, so a start requires certain ownership. */
  needsCertainOwnership: boolean;
  taskStatus: TaskStatus;
  /** Worker of the run, as far as this holder knows. */
  worker: number;
  /** Per worker, whether this holder has reached it under its fencing token. */
  reached: boolean[];
}

interface WorkerState {
  /** Highest fencing token that the worker has seen. */
  fence: number;
  isRunning: boolean;
  /** The run has completed, and the worker still lists its end for acknowledgement. */
  listsEnd: boolean;
}

/** An order to start the task. */
interface Order {
  worker: number;
  fence: number;
}

interface HolderState {
  phase: Phase;
  origin: Origin;
  /** The job is older than the second holder's claim, so that holder must expect earlier starts. */
  isInherited: boolean;
  holders: Holder[];
  workers: WorkerState[];
  /** Start orders in transit, which may arrive late or never. */
  orders: Order[];
  /** The end of the task is recorded in the store. */
  isRecorded: boolean;
  /** History variables for the invariants. */
  hasCompletedRun: boolean;
  endWasAcknowledged: boolean;
  startedAfterEnd: boolean;
}

const WORKERS = [0, 1];
const MAX_ORDERS = 2;

function maySendOrders(state: HolderState, holder: number): boolean {
  const { isAlive, epoch } = at(state.holders, holder);
  if (!isAlive || epoch === 0) return false;
  return holder === 1 || state.phase < Phase.OrdersStopped;
}

function mayStart(state: HolderState, holder: number, worker: number, variant?: string): boolean {
  const self = at(state.holders, holder);
  if (!maySendOrders(state, holder) || !self.reached[worker] || !self.knowsJob) return false;
  if (self.needsCertainOwnership && variant !== 'trustsInbox') return false;
  if (self.taskStatus === 'lost') {
    // Another holder may have reached the worker and continued the run.
    return state.phase === Phase.Unclaimed || holder === 1 || variant === 'restartsLostRuns';
  }
  if (self.taskStatus !== 'idle') return false;
  if (holder === 0 || variant === 'startsBeforeAllAreReached') return true;
  if (!state.isInherited) return true;
  return self.reached.every((isReached) => isReached) || state.phase === Phase.LeasesExpired;
}

function steps(state: HolderState, variant?: string): Step[] {
  const all: Step[] = [];
  if (state.phase === Phase.Unclaimed) all.push({ type: 'claim' });
  else if (state.phase < Phase.LeasesExpired) all.push({ type: 'timePasses' });
  if (at(state.holders, 0).isAlive) all.push({ type: 'kill', process: 0 });
  if (state.origin === 'none') {
    if (maySendOrders(state, 0) && state.phase === Phase.Unclaimed) all.push({ type: 'accept' });
    all.push({ type: 'submitThroughStore' });
  }
  for (const process of [0, 1]) {
    const isUnread = state.origin === 'inbox' && !at(state.holders, process).knowsJob;
    if (isUnread && maySendOrders(state, process)) all.push({ type: 'takeFromInbox', process });
  }
  for (const [index] of state.orders.entries()) all.push({ type: 'deliver', peer: index });
  for (const vm of WORKERS) {
    const worker = at(state.workers, vm);
    if (worker.isRunning) all.push({ type: 'end', vm });
    for (const process of [0, 1]) {
      const self = at(state.holders, process);
      if (mayStart(state, process, vm, variant) && state.orders.length < MAX_ORDERS) {
        all.push({ type: 'start', process, vm });
      }
      if (process === 1 && maySendOrders(state, 1) && !self.reached[vm]) {
        all.push({ type: 'reach', process, vm });
      }
      if (!maySendOrders(state, process) || !self.reached[vm]) continue;
      if (worker.listsEnd && worker.fence <= self.epoch) {
        if (self.taskStatus !== 'done') all.push({ type: 'seeEnd', process, vm });
        else if (state.isRecorded || variant === 'acknowledgesFirst') {
          all.push({ type: 'acknowledge', process, vm });
        }
      }
      const mayLoseRun = !worker.isRunning || at(state.holders, 1 - process).reached[vm];
      if (process === 0 && self.taskStatus === 'running' && self.worker === vm && mayLoseRun) {
        // The worker's lease expired without a response.
        if (!worker.listsEnd && state.orders.length === 0) all.push({ type: 'lose', process, vm });
      }
    }
  }
  for (const process of [0, 1]) {
    const self = at(state.holders, process);
    const isCurrentHolder = process === 1 || state.phase === Phase.Unclaimed;
    if (self.isAlive && self.taskStatus === 'done' && isCurrentHolder && !state.isRecorded) {
      all.push({ type: 'record', process });
    }
  }
  return all;
}

function next(before: HolderState, step: Step, variant?: string): HolderState {
  const state = clone(before);
  const self = at(state.holders, step.process ?? 0);
  const vm = step.vm ?? 0;
  const worker = at(state.workers, vm);
  switch (step.type) {
    case 'claim': {
      state.phase = Phase.Claimed;
      const successor = at(state.holders, 1);
      successor.epoch = 2;
      successor.taskStatus = state.isRecorded ? 'done' : 'idle';
      successor.knowsJob = state.origin !== 'none';
      return state;
    }
    case 'accept':
      state.origin = 'accepted';
      state.isInherited = true;
      self.knowsJob = true;
      return state;
    case 'submitThroughStore':
      state.origin = 'inbox';
      state.isInherited = state.phase === Phase.Unclaimed;
      return state;
    case 'takeFromInbox':
      self.knowsJob = true;
      // The model has no third holder, so the ownership of the second holder is certain.
      self.needsCertainOwnership = step.process === 0 && state.phase !== Phase.Unclaimed;
      return state;
    case 'timePasses':
      state.phase = state.phase === Phase.Claimed ? Phase.OrdersStopped : Phase.LeasesExpired;
      if (state.phase === Phase.LeasesExpired) expireLeases(state);
      return state;
    case 'kill':
      self.isAlive = false;
      return state;
    case 'start':
      state.orders.push({ worker: vm, fence: self.epoch });
      self.taskStatus = 'running';
      self.worker = vm;
      return state;
    case 'deliver':
      deliver(state, step.peer ?? 0, variant);
      return state;
    case 'reach':
      if (variant !== 'noFence') worker.fence = self.epoch;
      self.reached[vm] = true;
      if (worker.isRunning && self.taskStatus === 'idle') {
        self.taskStatus = 'running';
        self.worker = vm;
      }
      // The first list includes ends, and is applied before the worker counts as reached.
      if (worker.listsEnd && variant !== 'reachesWithoutEnds') self.taskStatus = 'done';
      return state;
    case 'end':
      worker.isRunning = false;
      worker.listsEnd = true;
      state.hasCompletedRun = true;
      return state;
    case 'seeEnd':
      self.taskStatus = 'done';
      return state;
    case 'record':
      state.isRecorded = true;
      return state;
    case 'acknowledge':
      worker.listsEnd = false;
      state.endWasAcknowledged = true;
      return state;
    default:
      self.taskStatus = 'lost';
      return state;
  }
}

/** Executes a start order unless the worker has seen a higher token or the lease has expired. */
function deliver(state: HolderState, index: number, variant?: string): void {
  const { worker: vm, fence } = at(state.orders, index);
  state.orders.splice(index, 1);
  const worker = at(state.workers, vm);
  if (fence < worker.fence && variant !== 'noFence') return;
  if (state.phase === Phase.LeasesExpired && fence === 1) return;
  if (worker.isRunning || worker.listsEnd) return;
  worker.fence = Math.max(worker.fence, fence);
  worker.isRunning = true;
  if (state.hasCompletedRun) state.startedAfterEnd = true;
}

/** Ends the first holder's runs on workers that the second holder has not reached. */
function expireLeases(state: HolderState): void {
  const successor = at(state.holders, 1);
  for (const vm of WORKERS) {
    if (successor.reached[vm]) continue;
    const worker = at(state.workers, vm);
    worker.isRunning = false;
    // An end does not count if the worker's lease expired before the acknowledgement.
    if (worker.listsEnd) state.hasCompletedRun = false;
    worker.listsEnd = false;
  }
}

function createHolder(epoch: number): Holder {
  const isReached = epoch > 0;
  const reached = WORKERS.map(() => isReached);
  const job = { knowsJob: false, needsCertainOwnership: false };
  return { epoch, isAlive: true, ...job, taskStatus: 'idle', worker: 0, reached };
}

/** One task, two workers, and a holder that may keep running after its successor claims. */
export const holderSpecification: Specification<HolderState> = {
  id: 'holder',
  text: 'a task is started under leases and fencing tokens while its holder is replaced',
  initial: {
    phase: Phase.Unclaimed,
    origin: 'none',
    isInherited: false,
    holders: [createHolder(1), createHolder(0)],
    workers: WORKERS.map(() => ({ fence: 1, isRunning: false, listsEnd: false })),
    orders: [],
    isRecorded: false,
    hasCompletedRun: false,
    endWasAcknowledged: false,
    startedAfterEnd: false,
  },
  steps,
  next,
  invariants: [
    {
      id: 'oneRun',
      text: 'at most one run of a task is active at any time',
      holds: ({ workers }) => workers.filter(({ isRunning }) => isRunning).length <= 1,
    },
    {
      id: 'noStartAfterEnd',
      text: 'no run starts after an end that is acknowledged',
      holds: ({ startedAfterEnd, endWasAcknowledged }) => !(startedAfterEnd && endWasAcknowledged),
    },
    {
      id: 'nothingLost',
      text: 'an acknowledged end is recorded in the store',
      holds: ({ endWasAcknowledged, isRecorded }) => !endWasAcknowledged || isRecorded,
    },
  ],
  faultyVariants: [
    { id: 'noFence', text: 'workers do not compare fencing tokens', violates: 'oneRun' },
    {
      id: 'startsBeforeAllAreReached',
      text: 'a new holder starts tasks before it has reached all workers or their leases have expired',
      violates: 'oneRun',
    },
    {
      id: 'restartsLostRuns',
      text: 'a holder without certain ownership restarts a lost run',
      violates: 'oneRun',
    },
    {
      id: 'trustsInbox',
      text: 'a holder without certain ownership starts a job that it takes from the inbox',
      violates: 'oneRun',
    },
    {
      id: 'reachesWithoutEnds',
      text: 'a worker counts as reached before the ends that it lists are applied',
      violates: 'noStartAfterEnd',
    },
    {
      id: 'acknowledgesFirst',
      text: 'an end is acknowledged before it is recorded in the store',
      violates: 'nothingLost',
    },
  ],
};
