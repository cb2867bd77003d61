import { at, clone } from '../support.js';
import type { Specification, Step } from '../types.js';

type Pool = 'a' | 'b';

interface EntryProcess {
  /** Configuration version in force: 1 in service, 2 draining, 3 stopped or moved; 0 not ready. */
  version: number;
  /** Whether messages pass between this process and the controller. */
  isConnected: boolean;
  /** The controller treats this process's view of the configuration as expired. */
  isExpired: boolean;
  /** Version in the newest heartbeat that the controller received. */
  reportedVersion: number;
  /** Requests in flight on the VM, from the same heartbeat. */
  reportedInFlight: number;
}

interface DrainState {
  /** Committed version of the configuration, as in {@link EntryProcess.version}. */
  version: number;
  goal: 'stop' | 'move';
  entries: EntryProcess[];
  /** Target pool of the request that each entry process has running on the VM, or null. */
  running: (Pool | null)[];
  /** The VM refuses new requests because its pool interface was ordered to drain. */
  isVmDraining: boolean;
  /** History variables for the invariants. */
  wasRequestInterrupted: boolean;
  ranForWrongPool: boolean;
}

const ENTRIES = [0, 1];

/** Whether an entry process with this version in force sends requests to the VM. */
const maySendToVm = (version: number, goal: DrainState['goal']) =>
  version === 1 || (version === 3 && goal === 'move');
/** Pool that an entry process with this version in force sends the requests for. */
const targetPool = (version: number): Pool => (version === 3 ? 'b' : 'a');

function steps(state: DrainState, variant?: string): Step[] {
  const all: Step[] = [];
  if (state.version === 1) all.push({ type: 'commitDraining' });
  if (state.version === 2) {
    if (!state.isVmDraining) all.push({ type: 'drainVm' });
    if (mayCommitFinal(state, variant)) all.push({ type: 'commitFinal' });
  }
  for (const process of ENTRIES) {
    const self = at(state.entries, process);
    all.push({ type: self.isConnected ? 'cut' : 'heal', process });
    if (self.isConnected) {
      if (self.version < state.version) all.push({ type: 'adopt', process });
      if (self.version > 0) all.push({ type: 'heartbeat', process });
    } else if (!self.isExpired) {
      all.push({ type: 'expire', process });
    }
    const peer = 1 - process;
    const peerVersion = at(state.entries, peer).version;
    if (peerVersion > self.version) all.push({ type: 'adoptFromPeer', process, peer });
    if (self.version > 0) all.push({ type: 'restart', process });
    if (maySendToVm(self.version, state.goal) && state.running[process] === null) {
      all.push({ type: 'send', process });
    }
    if (state.running[process] !== null) all.push({ type: 'finish', process });
  }
  return all;
}

/** Whether the controller may stop the VM or assign it to the other pool. */
function mayCommitFinal(state: DrainState, variant?: string): boolean {
  if (variant === 'noWait') return true;
  const isIdle = state.running.every((pool) => pool === null);
  const isVmDrained = state.isVmDraining && isIdle;
  return state.entries.every((entry) => {
    if (entry.isExpired) return variant === 'expiryWithoutVmDrain' || isVmDrained;
    if (entry.reportedVersion < 2) return false;
    return variant === 'inFlightNotReported' || entry.reportedInFlight === 0;
  });
}

function next(before: DrainState, step: Step, variant?: string): DrainState {
  const state = clone(before);
  const process = step.process ?? 0;
  const self = at(state.entries, process);
  switch (step.type) {
    case 'commitDraining':
      state.version = 2;
      return state;
    case 'drainVm':
      state.isVmDraining = true;
      return state;
    case 'commitFinal':
      state.version = 3;
      if (state.running.some((pool) => pool !== null)) state.wasRequestInterrupted = true;
      // A stopped VM accepts nothing; a moved VM serves its new pool.
      state.isVmDraining = state.goal === 'stop';
      return state;
    case 'cut':
      self.isConnected = false;
      return state;
    case 'heal':
      self.isConnected = true;
      self.isExpired = false;
      return state;
    case 'expire':
      self.isExpired = true;
      return state;
    case 'adopt':
      self.version = state.version;
      return state;
    case 'adoptFromPeer':
      self.version = at(state.entries, step.peer ?? 0).version;
      return state;
    case 'heartbeat':
      self.reportedVersion = self.version;
      self.reportedInFlight = state.running[process] === null ? 0 : 1;
      self.isExpired = false;
      return state;
    case 'restart':
      // The request keeps running on the VM. The new incarnation must report its state again.
      self.version = 0;
      self.reportedVersion = 0;
      self.reportedInFlight = 0;
      return state;
    case 'send':
      accept(state, process, targetPool(self.version), variant);
      return state;
    default:
      state.running[process] = null;
      return state;
  }
}

/** Starts a request unless the VM is draining, stopped, or assigned to another pool. */
function accept(state: DrainState, process: number, pool: Pool, variant?: string): void {
  const vmPool: Pool = state.version === 3 && state.goal === 'move' ? 'b' : 'a';
  const isStopped = state.version === 3 && state.goal === 'stop';
  if (state.isVmDraining || isStopped) return;
  if (pool !== vmPool) {
    if (variant !== 'vmAcceptsAnyPool') return;
    state.ranForWrongPool = true;
  }
  state.running[process] = pool;
}

function initial(goal: DrainState['goal']): DrainState {
  return {
    version: 1,
    goal,
    entries: ENTRIES.map(() => ({
      version: 1,
      isConnected: true,
      isExpired: false,
      reportedVersion: 1,
      reportedInFlight: 0,
    })),
    running: ENTRIES.map(() => null),
    isVmDraining: false,
    wasRequestInterrupted: false,
    ranForWrongPool: false,
  };
}

const invariants: Specification<DrainState>['invariants'] = [
  {
    id: 'graceful',
    text: 'no request is in flight on a VM when it is stopped or moved to another pool',
    holds: (state) => !state.wasRequestInterrupted,
  },
  {
    id: 'onePool',
    text: 'a VM runs only requests for its own pool',
    holds: (state) => !state.ranForWrongPool,
  },
];

/** A planned stop of one VM with two entry processes. */
export const stopSpecification: Specification<DrainState> = {
  id: 'stop',
  text: 'a VM is drained and stopped while entry processes disconnect, restart and lag behind',
  initial: initial('stop'),
  steps,
  next,
  invariants,
  faultyVariants: [
    {
      id: 'noWait',
      text: 'the controller does not wait for entry processes',
      violates: 'graceful',
    },
    {
      id: 'expiryWithoutVmDrain',
      text: 'an expired view counts as drained although the VM itself was not drained',
      violates: 'graceful',
    },
    {
      id: 'inFlightNotReported',
      text: 'heartbeats report the version but not the requests in flight',
      violates: 'graceful',
    },
  ],
};

/** A move of one VM to another pool with two entry processes. */
export const moveSpecification: Specification<DrainState> = {
  id: 'move',
  text: 'a VM is drained and assigned to another pool',
  initial: initial('move'),
  steps,
  next,
  invariants,
  faultyVariants: [
    {
      id: 'noWait',
      text: 'the controller does not wait for entry processes',
      violates: 'graceful',
    },
    {
      id: 'vmAcceptsAnyPool',
      text: 'the VM does not check the target pool of a request',
      violates: 'onePool',
    },
  ],
};
