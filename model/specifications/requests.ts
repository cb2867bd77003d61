import { at, clone } from '../support.js';
import type { Specification, Step } from '../types.js';

type LedgerState = 'unseen' | 'queued' | 'sent' | 'answered' | 'unknown';
type Answer = 'answered' | 'notRun' | 'unknown';

interface Owner {
  process: number;
  incarnation: number;
}

interface EntryProcess {
  incarnation: number;
  /** Ledger entry of the one request, for ids of the present incarnation. */
  ledger: LedgerState;
}

/** One attempt of the caller, all with the same caller-chosen key. */
interface Attempt {
  /** Where it is: at an entry process, claiming, forwarded to the owner, or waiting there. */
  phase: 'arrived' | 'claimUnread' | 'forwarded' | 'waiting';
  process: number;
  incarnation: number;
  owner: Owner | null;
}

interface RequestState {
  isPlatformUp: boolean;
  claim: Owner | null;
  entries: EntryProcess[];
  attempts: (Attempt | null)[];
  sent: number;
  /** A copy travels to the backend server; it names who sent it. */
  toBackend: Owner[];
  /** The backend server's answer travels back. */
  fromBackend: Owner[];
  runs: number;
  answers: number;
  /** A refusal said "not run" although the request had run or was running. */
  wasUntrue: boolean;
  hasOutage: boolean;
  crashes: number;
}

const PROCESSES = [0, 1];
const MAX_ATTEMPTS = 3;
const MAX_CRASHES = 1;

function steps(state: RequestState): Step[] {
  const all: Step[] = [];
  if (state.isPlatformUp && !state.hasOutage) all.push({ type: 'platformDown' });
  if (!state.isPlatformUp) all.push({ type: 'platformUp' });
  for (const process of PROCESSES) {
    if (state.sent < MAX_ATTEMPTS) all.push({ type: 'callerSends', process });
    if (state.crashes < MAX_CRASHES) all.push({ type: 'restart', process });
    const { ledger } = at(state.entries, process);
    if (ledger === 'queued') all.push({ type: 'dispatch', process }, { type: 'expire', process });
    if (ledger === 'sent') all.push({ type: 'backendConnectionLost', process });
  }
  state.attempts.forEach((attempt, index) => {
    if (!attempt) return;
    const step = (type: string) => all.push({ type, process: attempt.process, peer: index });
    if (attempt.phase === 'arrived') {
      step('claim');
      if (state.isPlatformUp) step('claimAnswerLost');
    }
    if (attempt.phase === 'claimUnread') step('readClaim');
    if (attempt.phase === 'forwarded') {
      step('deliverToOwner');
      step('linkLost');
    }
  });
  state.toBackend.forEach((_, index) => all.push({ type: 'backendRuns', peer: index }));
  state.fromBackend.forEach((_, index) => all.push({ type: 'backendAnswers', peer: index }));
  return all;
}

function next(before: RequestState, step: Step, variant?: string): RequestState {
  const state = clone(before);
  const process = step.process ?? 0;
  const index = step.peer ?? 0;
  const entry = at(state.entries, process);
  switch (step.type) {
    case 'platformDown':
      state.isPlatformUp = false;
      state.hasOutage = true;
      return state;
    case 'platformUp':
      state.isPlatformUp = true;
      return state;
    case 'callerSends':
      state.attempts[state.sent] = {
        phase: 'arrived',
        process,
        incarnation: entry.incarnation,
        owner: null,
      };
      state.sent += 1;
      return state;
    case 'restart':
      restart(state, process, variant);
      return state;
    case 'claim':
      claim(state, index, false, variant);
      return state;
    case 'claimAnswerLost':
      claim(state, index, true, variant);
      return state;
    case 'readClaim':
      readClaim(state, index, variant);
      return state;
    case 'deliverToOwner':
      deliverToOwner(state, index, variant);
      return state;
    case 'linkLost':
      answer(state, index, variant === 'lostLinkMeansNotRun' ? 'notRun' : 'unknown');
      return state;
    case 'dispatch':
      entry.ledger = 'sent';
      state.toBackend.push({ process, incarnation: entry.incarnation });
      return state;
    case 'expire':
      answerWaiting(state, process, 'notRun');
      entry.ledger = 'unseen';
      return state;
    case 'backendConnectionLost':
      answerWaiting(state, process, variant === 'lostConnectionMeansNotRun' ? 'notRun' : 'unknown');
      entry.ledger = 'unknown';
      return state;
    case 'backendRuns':
      state.runs += 1;
      state.fromBackend.push(...state.toBackend.splice(index, 1));
      return state;
    default:
      backendAnswers(state, index);
      return state;
  }
}

/** A restarted process forgets its ledger and drops the attempts that it was handling. */
function restart(state: RequestState, process: number, variant?: string): void {
  const entry = at(state.entries, process);
  state.crashes += 1;
  entry.ledger = 'unseen';
  if (variant !== 'idsWithoutIncarnation') entry.incarnation += 1;
  state.attempts = state.attempts.map((attempt) => {
    if (!attempt) return null;
    const isHere = attempt.process === process;
    const waitsHere = attempt.phase === 'waiting' && attempt.owner?.process === process;
    return isHere || waitsHere ? null : attempt;
  });
}

/** Conditional insert of the claim row, whose answer may be lost. */
function claim(state: RequestState, index: number, isLost: boolean, variant?: string): void {
  const attempt = state.attempts[index];
  if (!attempt) return;
  const self = { process: attempt.process, incarnation: attempt.incarnation };
  if (!state.isPlatformUp) {
    answer(state, index, variant === 'outageMeansNotRun' ? 'notRun' : 'unknown');
    return;
  }
  if (state.claim === null || variant === 'claimOverwrites') state.claim = self;
  if (isLost) {
    attempt.phase = 'claimUnread';
    return;
  }
  follow(state, index, state.claim);
}

function readClaim(state: RequestState, index: number, variant?: string): void {
  const attempt = state.attempts[index];
  if (!attempt) return;
  if (!state.isPlatformUp) {
    answer(state, index, variant === 'outageMeansNotRun' ? 'notRun' : 'unknown');
  } else if (state.claim) {
    follow(state, index, state.claim);
  }
}

function follow(state: RequestState, index: number, owner: Owner): void {
  const attempt = state.attempts[index];
  if (!attempt) return;
  attempt.owner = owner;
  attempt.phase = 'forwarded';
}

/** The owner's ledger decides. */
function deliverToOwner(state: RequestState, index: number, variant?: string): void {
  const attempt = state.attempts[index];
  if (!attempt?.owner) return;
  const owner = at(state.entries, attempt.owner.process);
  if (owner.incarnation !== attempt.owner.incarnation) {
    answer(state, index, 'unknown');
    return;
  }
  if (owner.ledger === 'answered') {
    answer(state, index, 'answered');
    return;
  }
  if (owner.ledger === 'unknown' && variant !== 'unknownMayRunAgain') {
    answer(state, index, 'unknown');
    return;
  }
  if (owner.ledger === 'unseen' || owner.ledger === 'unknown') owner.ledger = 'queued';
  attempt.phase = 'waiting';
}

function backendAnswers(state: RequestState, index: number): void {
  const [sender] = state.fromBackend.splice(index, 1);
  if (!sender) return;
  const entry = at(state.entries, sender.process);
  // A late answer to an earlier incarnation, or after the connection was given up, is dropped.
  if (entry.incarnation !== sender.incarnation || entry.ledger !== 'sent') return;
  entry.ledger = 'answered';
  answerWaiting(state, sender.process, 'answered');
}

function answerWaiting(state: RequestState, process: number, text: Answer): void {
  state.attempts.forEach((attempt, index) => {
    if (attempt?.phase === 'waiting' && attempt.owner?.process === process) {
      answer(state, index, text);
    }
  });
}

function answer(state: RequestState, index: number, text: Answer): void {
  state.attempts[index] = null;
  state.answers += 1;
  const hasStarted = state.runs > 0 || state.toBackend.length > 0;
  if (text === 'notRun' && hasStarted) state.wasUntrue = true;
}

/** Ownership of request ids and caller-chosen keys. */
export const requestSpecification: Specification<RequestState> = {
  id: 'requests',
  text: 'a caller sends one non-idempotent request up to three times through any entry process',
  initial: {
    isPlatformUp: true,
    claim: null,
    entries: PROCESSES.map(() => ({ incarnation: 1, ledger: 'unseen' })),
    attempts: Array.from({ length: MAX_ATTEMPTS }, () => null),
    sent: 0,
    toBackend: [],
    fromBackend: [],
    runs: 0,
    answers: 0,
    wasUntrue: false,
    hasOutage: false,
    crashes: 0,
  },
  steps,
  next,
  invariants: [
    {
      id: 'atMostOnce',
      text: 'a non-idempotent request runs at most once',
      holds: (state) => state.runs <= 1,
    },
    {
      id: 'trueRefusal',
      text: 'a refusal that says "not run" is true when it is given',
      holds: (state) => !state.wasUntrue,
    },
  ],
  wrongVariants: [
    {
      id: 'idsWithoutIncarnation',
      text: 'a restarted process takes up ids of its earlier incarnation',
      breaks: 'atMostOnce',
    },
    {
      id: 'claimOverwrites',
      text: 'the claim row is written without a condition',
      breaks: 'atMostOnce',
    },
    {
      id: 'unknownMayRunAgain',
      text: 'a request that ended without a known outcome may be sent again',
      breaks: 'atMostOnce',
    },
    {
      id: 'lostConnectionMeansNotRun',
      text: 'a connection lost after sending is reported as not run',
      breaks: 'trueRefusal',
    },
    {
      id: 'lostLinkMeansNotRun',
      text: 'a link lost while forwarding is reported as not run',
      breaks: 'trueRefusal',
    },
    {
      id: 'outageMeansNotRun',
      text: 'a key that cannot be looked up is reported as not run',
      breaks: 'trueRefusal',
    },
  ],
};
