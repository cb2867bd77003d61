import { at, clone } from '../support.js';
import type { Specification, Step } from '../types.js';

/** Change to a VM that a controller may commit. */
type Operation = 'stop' | 'return' | 'fail' | 'recover' | 'move';

interface VmRecord {
  pool: 'a' | 'b';
  stopped: boolean;
  failed: boolean;
}

interface PendingCommit {
  base: number;
  epoch: number;
  operation: Operation;
  vm: number;
  /** The commit took effect, but its response was lost. */
  isApplied: boolean;
}

interface ControllerProcess {
  /** Lease epoch that this process assumes it holds; 0 if none. */
  epoch: number;
  /** Version in force; 0 after a restart, while the process serves nothing. */
  version: number;
  vms: VmRecord[];
  pending?: PendingCommit;
}

interface ConfigurationState {
  isPlatformUp: boolean;
  version: number;
  epoch: number;
  vms: VmRecord[];
  processes: ControllerProcess[];
  /** History variables for the invariants. */
  wasBudgetExceeded: boolean;
  wasWrittenUnderStaleEpoch: boolean;
  hasVersionRegressed: boolean;
  wasAppliedTwice: boolean;
}

const PROCESSES = [0, 1];
const VMS = [0, 1];
const MAX_AWAY = 1;
const MAX_VERSION = 3;
const MAX_EPOCH = 2;

const isAway = (vm: VmRecord) => vm.stopped || vm.failed;
const countAway = (vms: readonly VmRecord[]) => vms.filter(isAway).length;

/** Whether a controller whose view of the VMs is `vms` decides on the operation. */
function isAllowed(operation: Operation, vm: VmRecord, vms: readonly VmRecord[]): boolean {
  switch (operation) {
    case 'stop':
      return !isAway(vm) && countAway(vms) < MAX_AWAY;
    case 'return':
      return vm.stopped;
    case 'fail':
      return !vm.failed;
    case 'recover':
      return vm.failed;
    case 'move':
      return vm.pool === 'a' && !isAway(vm);
  }
}

function applyOperation(vm: VmRecord, operation: Operation): VmRecord {
  switch (operation) {
    case 'stop':
      return { ...vm, stopped: true };
    case 'return':
      return { ...vm, stopped: false };
    case 'fail':
      return { ...vm, failed: true };
    case 'recover':
      return { ...vm, failed: false };
    case 'move':
      return { ...vm, pool: 'b' };
  }
}

const OPERATIONS: readonly Operation[] = ['stop', 'return', 'fail', 'move'];

function steps(state: ConfigurationState, variant?: string): Step[] {
  const all: Step[] = [{ type: state.isPlatformUp ? 'platformDown' : 'platformUp' }];
  for (const process of PROCESSES) {
    const self = at(state.processes, process);
    if (state.isPlatformUp) {
      if (state.epoch < MAX_EPOCH) all.push({ type: 'takeLease', process });
      if (self.version < state.version) all.push({ type: 'read', process });
      if (self.pending) {
        all.push({ type: 'commit', process });
        if (!self.pending.isApplied) all.push({ type: 'commitAnswerLost', process });
      }
    }
    if (self.version > 0) all.push({ type: 'restart', process });
    const peer = 1 - process;
    const peerVersion = at(state.processes, peer).version;
    const mayAdoptOlder = variant === 'adoptsOlderVersion' && peerVersion > 0;
    if (peerVersion > self.version || (mayAdoptOlder && peerVersion < self.version)) {
      all.push({ type: 'adoptFromPeer', process, peer });
    }
    if (self.epoch === 0 || self.pending || self.version === 0) continue;
    if (state.version >= MAX_VERSION) continue;
    for (const vm of VMS) {
      for (const operation of OPERATIONS) {
        const record = at(self.vms, vm);
        if (isAllowed(operation, record, self.vms)) {
          all.push({ type: `decide:${operation}`, process, vm });
        }
      }
    }
  }
  return all;
}

function next(before: ConfigurationState, step: Step, variant?: string): ConfigurationState {
  const state = clone(before);
  const self = at(state.processes, step.process ?? 0);
  switch (step.type) {
    case 'platformDown':
      state.isPlatformUp = false;
      return state;
    case 'platformUp':
      state.isPlatformUp = true;
      return state;
    case 'takeLease':
      state.epoch += 1;
      self.epoch = state.epoch;
      return state;
    case 'read':
      self.version = state.version;
      self.vms = clone(state.vms);
      return state;
    case 'adoptFromPeer': {
      const peer = at(state.processes, step.peer ?? 0);
      if (peer.version < self.version) state.hasVersionRegressed = true;
      self.version = peer.version;
      self.vms = clone(peer.vms);
      return state;
    }
    case 'restart':
      self.epoch = 0;
      self.version = 0;
      self.vms = [];
      self.pending = undefined;
      return state;
    case 'commit':
      commit(state, self, variant);
      self.pending = undefined;
      return state;
    case 'commitAnswerLost': {
      const wasApplied = commit(state, self, variant);
      if (self.pending) self.pending.isApplied = wasApplied;
      return state;
    }
    default:
      self.pending = {
        base: self.version,
        epoch: self.epoch,
        operation: step.type.slice('decide:'.length) as Operation,
        vm: step.vm ?? 0,
        isApplied: false,
      };
      return state;
  }
}

/** A transaction on the platform's table. Returns whether it took effect. */
function commit(state: ConfigurationState, self: ControllerProcess, variant?: string): boolean {
  const { pending } = self;
  if (!pending) return false;
  const { operation, base, epoch, vm, isApplied } = pending;
  if (isApplied && variant !== 'noChangeId') return false;
  const ignoresHead = variant === 'permitCountedOutsideTransaction' || variant === 'noChangeId';
  if (base !== state.version && !ignoresHead) return false;
  if (epoch !== state.epoch && variant !== 'noEpochCheck') return false;
  if (state.version >= MAX_VERSION) return false;
  if (isApplied) state.wasAppliedTwice = true;
  if (epoch !== state.epoch) state.wasWrittenUnderStaleEpoch = true;
  const isStopOverBudget = operation === 'stop' && countAway(state.vms) >= MAX_AWAY;
  if (isStopOverBudget) state.wasBudgetExceeded = true;
  state.vms[vm] = applyOperation(at(state.vms, vm), operation);
  state.version += 1;
  return true;
}

/** Configuration history, controller lease, permits and assignments. */
export const configurationSpecification: Specification<ConfigurationState> = {
  id: 'configuration',
  text: 'two controllers commit changes to one head row under a lease with epochs',
  initial: {
    isPlatformUp: true,
    version: 1,
    epoch: 0,
    vms: VMS.map(() => ({ pool: 'a', stopped: false, failed: false })),
    processes: PROCESSES.map(() => ({ epoch: 0, version: 0, vms: [] })),
    wasBudgetExceeded: false,
    wasWrittenUnderStaleEpoch: false,
    hasVersionRegressed: false,
    wasAppliedTwice: false,
  },
  steps,
  next,
  invariants: [
    {
      id: 'budget',
      text: 'no stop is granted while the maximum number of VMs is away',
      holds: (state) => !state.wasBudgetExceeded,
    },
    {
      id: 'fencing',
      text: 'a controller with a stale lease epoch writes nothing',
      holds: (state) => !state.wasWrittenUnderStaleEpoch,
    },
    {
      id: 'versions',
      text: 'the version in force on a process never decreases',
      holds: (state) => !state.hasVersionRegressed,
    },
    {
      id: 'once',
      text: 'a change whose response was lost is not applied twice',
      holds: (state) => !state.wasAppliedTwice,
    },
    {
      id: 'head',
      text: 'no process has an uncommitted version in force',
      holds: (state) => state.processes.every((process) => process.version <= state.version),
    },
  ],
  faultyVariants: [
    {
      id: 'permitCountedOutsideTransaction',
      text: 'the commit does not check the version on which the permit is based',
      violates: 'budget',
    },
    { id: 'noEpochCheck', text: 'the commit does not check the lease epoch', violates: 'fencing' },
    {
      id: 'adoptsOlderVersion',
      text: 'a process adopts any version of a peer, even an older one',
      violates: 'versions',
    },
    {
      id: 'noChangeId',
      text: 'a commit whose response was lost is retried against the newest version',
      violates: 'once',
    },
  ],
};
