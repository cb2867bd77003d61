import { at, clone } from '../support.js';
import type { Specification, Step } from '../types.js';

/** First holder of service A, its successor, and the holder of service B. */
const FIRST = 0;
const SUCCESSOR = 1;
const OTHER = 2;
const PROCESSES = [FIRST, SUCCESSOR, OTHER];
/** Limit of the account in tasks. A task larger than the limit keeps the number of states small. */
const LIMIT = 0.5;
const MAX_RUNS = Math.floor(LIMIT + 1);
const MAX_ROW_VERSION = 3;
const MAX_MESSAGES = 2;
const MAX_ORDERS = 2;
/** Largest number of start orders in a trace; bounds the number of states. */
const MAX_STARTS = 2;

/** Budget row: grants of both services in tasks, and the epoch of the share of service A. */
interface Row {
  version: number;
  granted: [number, number];
  epoch: number;
}

interface Process {
  isActive: boolean;
  /** It may act for its service: no other process can have claimed it. */
  isAuthorized: boolean;
  /** Row as last seen. */
  known: Row;
  /** It has written its share, so that no earlier holder can change it. */
  isOwn: boolean;
  /** Tasks that it counts as running. */
  counted: number;
  /** Grant of an earlier holder, counted as used until the view is complete. */
  inherited: number;
  isViewComplete: boolean;
  /** A write without an answer: the version that it requires and the lowest grant it may leave. */
  pending: { version: number; granted: number } | null;
}

/** A transaction in transit. */
interface Message {
  process: number;
  version: number;
  granted: number;
}

interface BudgetState {
  row: Row;
  processes: Process[];
  messages: Message[];
  /** Start orders in transit, by process. */
  orders: number[];
  /** Runs on workers, by the process that tracks them. */
  running: number[];
  /** The successor has reached the worker of the first holder's runs. */
  isFenced: boolean;
  /** Every lease from the first holder has certainly expired. */
  isExpired: boolean;
  starts: number;
}

const shareOf = (process: number) => (process === OTHER ? 1 : 0);
const epochOf = (process: number) => (process === FIRST ? 1 : 2);

/** Part of the grant that counts as used. */
function usedOf({ counted, inherited, isOwn, isViewComplete, known }: Process): number {
  if (isViewComplete) return counted;
  return counted + (isOwn ? inherited : known.granted[0]);
}

/** Grant that is certain whatever becomes of a write without an answer. */
function sureGrant(process: number, { known, pending }: Process): number {
  const granted = known.granted[shareOf(process)];
  return pending ? Math.min(granted, pending.granted) : granted;
}

function mayStart(state: BudgetState, process: number, variant?: string): boolean {
  const own = at(state.processes, process);
  const mayAct = own.isAuthorized || (variant === 'startsAfterResume' && process === FIRST);
  if (!own.isActive || !mayAct || !own.isOwn) return false;
  const used = variant === 'usesInherited' ? own.counted : usedOf(own);
  return used < sureGrant(process, own);
}

function steps(state: BudgetState, variant?: string): Step[] {
  const all: Step[] = [];
  const { row, processes, messages, orders, running } = state;
  const first = at(processes, FIRST);
  const successor = at(processes, SUCCESSOR);
  if (first.isAuthorized) all.push({ type: 'authorityEnds' });
  else if (!successor.isActive) all.push({ type: 'claim' });
  if (successor.isActive && !successor.isViewComplete) {
    all.push({ type: 'reach' }, { type: 'leasesExpire' });
  }
  for (const process of PROCESSES) {
    const own = at(processes, process);
    const canOrder = orders.length < MAX_ORDERS && state.starts < MAX_STARTS;
    if (canOrder && mayStart(state, process, variant)) all.push({ type: 'start', process });
    if (at(running, process) > 0) all.push({ type: 'endListed', process });
    if (variant === 'returnsBeforeEnd' && own.counted > 0) all.push({ type: 'stop', process });
    if (!own.isActive) continue;
    if (own.known.version !== row.version) all.push({ type: 'read', process });
    if (messages.length >= MAX_MESSAGES || row.version >= MAX_ROW_VERSION) continue;
    const granted = own.known.granted[shareOf(process)];
    const sum = own.known.granted[0] + own.known.granted[1];
    if (!own.isOwn) all.push({ type: 'takeOver', process });
    if (sum < LIMIT) all.push({ type: 'raise', process });
    if (granted > usedOf(own)) all.push({ type: 'giveBack', process });
  }
  for (const peer of messages.keys()) {
    all.push({ type: 'deliver', peer }, { type: 'deliverWithoutAnswer', peer });
    all.push({ type: 'drop', peer });
  }
  for (const peer of orders.keys()) all.push({ type: 'carryOut', peer });
  return all;
}

function send(state: BudgetState, process: number, change: number): void {
  const own = at(state.processes, process);
  const before = own.known.granted[shareOf(process)];
  const granted = before + change;
  const { version } = own.known;
  const lowest = own.pending ? Math.min(own.pending.granted, granted) : granted;
  own.pending = { version, granted: lowest };
  state.messages.push({ process, version, granted });
  state.messages.sort((a, b) => a.process - b.process || a.version - b.version);
}

/** Applies a transaction if its condition holds, and delivers the answer if there is one. */
function deliver(state: BudgetState, index: number, isAnswered: boolean, variant?: string): void {
  const message = at(state.messages, index);
  state.messages.splice(index, 1);
  const { process, version, granted } = message;
  const { row } = state;
  const own = at(state.processes, process);
  const isApplied = row.version === version || variant === 'grantsWithoutCondition';
  const before = row.granted[shareOf(process)];
  if (isApplied) {
    row.version++;
    row.granted[shareOf(process)] = granted;
    if (process !== OTHER) row.epoch = epochOf(process);
  }
  if (!isAnswered || !own.isActive) return;
  if (isApplied && !own.isOwn) {
    own.isOwn = true;
    if (!own.isViewComplete) own.inherited = before;
  }
  see(state, process);
}

/** A process learns the row. */
function see(state: BudgetState, process: number): void {
  const own = at(state.processes, process);
  own.known = clone(state.row);
  if (own.pending && own.known.version > own.pending.version) own.pending = null;
  if (process === FIRST && own.known.epoch > epochOf(FIRST)) own.isActive = false;
}

/** A start order reaches its worker, perhaps late. */
function carryOut(state: BudgetState, index: number, variant?: string): void {
  const process = at(state.orders, index);
  state.orders.splice(index, 1);
  const first = at(state.processes, FIRST);
  // An order after the resumption has a new lease; the others are rejected once theirs is over.
  const isLeaseOver = state.isExpired && variant !== 'startsAfterResume';
  const isRejected = process === FIRST && (state.isFenced || isLeaseOver);
  if (isRejected) first.counted = Math.max(0, first.counted - 1);
  else state.running[process] = at(state.running, process) + 1;
}

/** The successor knows all runs of the first holder: it adopts them, or they are over. */
function completeView(state: BudgetState, isReached: boolean): void {
  const successor = at(state.processes, SUCCESSOR);
  Object.assign(successor, { isViewComplete: true, inherited: 0 });
  if (isReached) {
    state.isFenced = true;
    successor.counted += at(state.running, FIRST);
    state.running[SUCCESSOR] = at(state.running, SUCCESSOR) + at(state.running, FIRST);
  } else state.isExpired = true;
  state.running[FIRST] = 0;
}

function next(before: BudgetState, step: Step, variant?: string): BudgetState {
  const state = clone(before);
  const process = step.process ?? FIRST;
  const own = at(state.processes, process);
  switch (step.type) {
    case 'authorityEnds':
      at(state.processes, FIRST).isAuthorized = false;
      return state;
    case 'claim': {
      const successor = at(state.processes, SUCCESSOR);
      Object.assign(successor, { isActive: true, isAuthorized: true });
      see(state, SUCCESSOR);
      return state;
    }
    case 'reach':
      completeView(state, true);
      return state;
    case 'leasesExpire':
      completeView(state, false);
      return state;
    case 'start':
      own.counted++;
      state.starts++;
      state.orders.push(process);
      state.orders.sort();
      return state;
    case 'endListed':
      // Before its end is listed, a run counts although it is over, which is on the safe side.
      state.running[process] = at(state.running, process) - 1;
      own.counted = Math.max(0, own.counted - 1);
      return state;
    case 'stop':
      own.counted--;
      return state;
    case 'read':
      see(state, process);
      return state;
    case 'raise':
      send(state, process, 1);
      return state;
    case 'takeOver':
      send(state, process, 0);
      return state;
    case 'giveBack':
      send(state, process, -1);
      return state;
    case 'drop':
      state.messages.splice(step.peer ?? 0, 1);
      return state;
    case 'carryOut':
      carryOut(state, step.peer ?? 0, variant);
      return state;
    default:
      deliver(state, step.peer ?? 0, step.type === 'deliver', variant);
      return state;
  }
}

const initialRow: Row = { version: 1, granted: [1, 0], epoch: 1 };

function createProcess(isActive: boolean, isViewComplete: boolean): Process {
  return {
    isActive,
    isAuthorized: isActive,
    known: initialRow,
    isOwn: isActive,
    counted: 0,
    inherited: 0,
    isViewComplete,
    pending: null,
  };
}

/**
 * An account with a limit that two services share, one of which passes to a successor. Service B never
 * changes its holder.
 */
export const budgetSpecification: Specification<BudgetState> = {
  id: 'budget',
  text: 'the holders of all services keep what an account runs within its limit',
  initial: {
    row: initialRow,
    processes: [createProcess(true, true), createProcess(false, false), createProcess(true, true)],
    messages: [],
    orders: [],
    running: PROCESSES.map(() => 0),
    isFenced: false,
    isExpired: false,
    starts: 0,
  },
  steps,
  next,
  invariants: [
    {
      id: 'withinLimit',
      text: 'an account never runs more than one task beyond its limit',
      holds: ({ running }) => running.reduce((sum, count) => sum + count, 0) <= MAX_RUNS,
    },
  ],
  faultyVariants: [
    {
      id: 'returnsBeforeEnd',
      text: 'the grant of a run is returned when it is stopped, before its end is listed',
      violates: 'withinLimit',
    },
    {
      id: 'grantsWithoutCondition',
      text: 'a raise that was decided on a stale read does not require the version of that read',
      violates: 'withinLimit',
    },
    {
      id: 'startsAfterResume',
      text: 'a holder that was frozen uses a grant that its successor has returned',
      violates: 'withinLimit',
    },
    {
      id: 'usesInherited',
      text: 'a successor uses the inherited grant before it knows all runs of its predecessor',
      violates: 'withinLimit',
    },
  ],
};
