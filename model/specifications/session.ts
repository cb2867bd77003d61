import { at, clone } from '../support.js';
import type { Specification, Step } from '../types.js';

/** Process that renews its session and holds the service. */
const HOLDER = 0;
/** Processes that may claim the service. A second one does the same as a slower first one. */
const CLAIMERS = [1];
const MAX_ROW_VERSION = 4;
const MAX_SESSION = 3;
const MAX_EPOCH = 3;
const MAX_MESSAGES = 2;

/** Node row of the holder. */
interface NodeRow {
  session: number;
  version: number;
  isFenced: boolean;
}

/** Owner row of the service; its epoch also stands for its version. */
interface OwnerRow {
  process: number;
  session: number;
  epoch: number;
}

interface HolderProcess {
  session: number;
  /** Version of the node row that the next renewal requires. */
  rowVersion: number;
  /** Epoch that it holds, 0 if none. */
  epoch: number;
  /** Its last renewal was sent so recently that it may act for the service. */
  isAuthorized: boolean;
}

interface Claimer {
  /** Node row as last read. */
  read?: NodeRow;
  /** The row has been unchanged for longer than the holder's authority lasts. */
  isSilent: boolean;
  /** Owner row as last seen. */
  owner: OwnerRow;
  /** The node row was read after the owner row was seen. */
  isReadAfterOwner: boolean;
}

/** A transaction in transit; the store may apply it at any later time. */
interface Message {
  type: 'renewal' | 'fence' | 'claim';
  process: number;
  /** Version or epoch that the transaction requires. */
  expected: number;
  session: number;
  /** It was sent longer ago than the holder's authority lasts. */
  isOld: boolean;
}

interface SessionState {
  row: NodeRow;
  owner: OwnerRow;
  holder: HolderProcess;
  claimers: Claimer[];
  messages: Message[];
}

function hasEnded(claimer: Claimer, variant?: string): boolean {
  const { read, owner, isSilent, isReadAfterOwner } = claimer;
  if (!read) return false;
  if (read.session !== owner.session) return isReadAfterOwner || variant === 'trustsOldRead';
  return read.isFenced || (isSilent && variant === 'claimsWithoutFence');
}

function steps(state: SessionState, variant?: string): Step[] {
  const all: Step[] = [];
  const { holder, row, owner, messages } = state;
  const maySend = messages.length < MAX_MESSAGES;
  const isStale = state.claimers.some(({ read, isSilent }) => read !== undefined && !isSilent);
  if (holder.isAuthorized || isStale || messages.some(({ isOld }) => !isOld)) {
    all.push({ type: 'timePasses' });
  }
  if (maySend && row.version < MAX_ROW_VERSION) all.push({ type: 'renew', process: HOLDER });
  const isOwn = owner.process === HOLDER && holder.epoch === 0;
  if (isOwn && owner.session === holder.session) all.push({ type: 'seeClaim', process: HOLDER });
  const isEarlier = isOwn && owner.session !== holder.session;
  if (maySend && isEarlier && holder.isAuthorized && owner.epoch < MAX_EPOCH) {
    all.push({ type: 'claim', process: HOLDER });
  }
  for (const process of CLAIMERS) {
    const claimer = at(state.claimers, process - 1);
    if (claimer.read?.version !== row.version || !claimer.isReadAfterOwner) {
      all.push({ type: 'read', process });
    }
    if (claimer.owner.epoch !== owner.epoch) all.push({ type: 'seeOwner', process });
    if (!maySend || claimer.owner.process !== HOLDER) continue;
    const { read, isSilent } = claimer;
    const isCurrent = read?.session === claimer.owner.session;
    if (read && isCurrent && isSilent && !read.isFenced) all.push({ type: 'fence', process });
    if (hasEnded(claimer, variant) && claimer.owner.epoch < MAX_EPOCH) {
      all.push({ type: 'claim', process });
    }
  }
  for (const [peer] of messages.entries()) {
    all.push({ type: 'deliver', peer }, { type: 'deliverWithoutAnswer', peer });
    all.push({ type: 'drop', peer });
  }
  return all;
}

function next(before: SessionState, step: Step, variant?: string): SessionState {
  const state = clone(before);
  const { holder, messages } = state;
  const process = step.process ?? HOLDER;
  const claimer = state.claimers[process - 1];
  const send = (type: Message['type'], expected: number, session = 0) => {
    messages.push({ type, process, expected, session, isOld: false });
  };
  switch (step.type) {
    case 'timePasses':
      holder.isAuthorized = false;
      for (const message of messages) message.isOld = true;
      for (const each of state.claimers) each.isSilent = each.read !== undefined;
      return state;
    case 'renew':
      send('renewal', holder.rowVersion, holder.session);
      return state;
    case 'seeClaim':
      holder.epoch = state.owner.epoch;
      return state;
    case 'claim':
      if (claimer) send('claim', claimer.owner.epoch);
      else send('claim', state.owner.epoch, holder.session);
      return state;
    case 'read':
      if (!claimer) return state;
      claimer.isSilent &&= claimer.read?.version === state.row.version;
      claimer.read = { ...state.row };
      claimer.isReadAfterOwner = true;
      return state;
    case 'seeOwner':
      if (!claimer) return state;
      claimer.owner = { ...state.owner };
      claimer.isReadAfterOwner = false;
      return state;
    case 'fence':
      send('fence', claimer?.read?.version ?? 0);
      return state;
    case 'drop':
      messages.splice(step.peer ?? 0, 1);
      return state;
    default:
      deliver(state, step.peer ?? 0, step.type === 'deliver', variant);
      return state;
  }
}

/** Applies a transaction if its condition holds, and delivers the answer if there is one. */
function deliver(state: SessionState, index: number, isAnswered: boolean, variant?: string): void {
  const message = at(state.messages, index);
  state.messages.splice(index, 1);
  switch (message.type) {
    case 'renewal':
      deliverRenewal(state, message, isAnswered, variant);
      return;
    case 'fence': {
      if (state.row.version !== message.expected) return;
      state.row.isFenced = true;
      state.row.version++;
      const claimer = state.claimers[message.process - 1];
      if (isAnswered && claimer) claimer.read = { ...state.row };
      return;
    }
    case 'claim': {
      if (state.owner.epoch !== message.expected) return;
      const { process, session } = message;
      state.owner = { process, session, epoch: message.expected + 1 };
      const { holder } = state;
      const isOwn = process === HOLDER && session === holder.session;
      if (isAnswered && isOwn) holder.epoch = state.owner.epoch;
    }
  }
}

function deliverRenewal(
  state: SessionState,
  { expected, session, isOld }: Message,
  isAnswered: boolean,
  variant?: string,
): void {
  const { holder, row } = state;
  if (row.version === expected || variant === 'renewsWithoutCondition') {
    state.row = { session, version: row.version + 1, isFenced: false };
    if (!isAnswered || session !== holder.session) return;
    holder.rowVersion = state.row.version;
    holder.isAuthorized = !isOld;
    return;
  }
  if (!isAnswered) return;
  holder.rowVersion = row.version;
  if (row.session === holder.session && !row.isFenced) return;
  holder.epoch = 0;
  holder.isAuthorized = false;
  if (variant !== 'keepsSession') holder.session = Math.min(MAX_SESSION, holder.session + 1);
}

const initialOwner: OwnerRow = { process: HOLDER, session: 0, epoch: 1 };

/**
 * A service whose holder has just restarted, so that the rows show its earlier session, and a process
 * that may claim the service in two transactions of one part each.
 */
export const sessionSpecification: Specification<SessionState> = {
  id: 'session',
  text: 'a service is claimed after the session of its holder was fenced in the node row',
  initial: {
    row: { session: 0, version: 1, isFenced: false },
    owner: initialOwner,
    holder: { session: 1, rowVersion: 1, epoch: 0, isAuthorized: false },
    claimers: CLAIMERS.map(() => ({
      isSilent: false,
      owner: initialOwner,
      isReadAfterOwner: false,
    })),
    messages: [],
  },
  steps,
  next,
  invariants: [
    {
      id: 'oneHolder',
      text: 'a process that may act for the service is the one in the owner row',
      holds: ({ holder, owner }) =>
        holder.epoch === 0 ||
        !holder.isAuthorized ||
        (owner.process === HOLDER && owner.epoch === holder.epoch),
    },
  ],
  faultyVariants: [
    {
      id: 'renewsWithoutCondition',
      text: 'a renewal does not require the version of the previous one and overwrites a fence',
      violates: 'oneHolder',
    },
    {
      id: 'claimsWithoutFence',
      text: 'a service is claimed as soon as the node row has not changed for long enough',
      violates: 'oneHolder',
    },
    {
      id: 'keepsSession',
      text: 'a fenced process continues with the same session',
      violates: 'oneHolder',
    },
    {
      id: 'trustsOldRead',
      text: 'a read of the node row from before the owner row was seen proves the end of a session',
      violates: 'oneHolder',
    },
  ],
};
