import { at, clone } from '../support.js';
import type { Specification, Step } from '../types.js';

type LedgerState = 'unseen' | 'queued' | 'sent' | 'answered' | 'unknown';
type Answer = 'answered' | 'notRun' | 'unknown';

interface ProcessIncarnation {
  process: number;
  incarnation: number;
}

interface EntryProcess {
  incarnation: number;
  /** Ledger state of the request, for ids of the current incarnation. */
  ledger: LedgerState;
}

/** One attempt of the caller. All attempts carry the same caller-chosen key. */
interface Attempt {
  /**
   * Arrived at an entry process, waiting to read the claim after a lost response, forwarded to the
   * owner, or waiting there for the outcome.
   */
  phase: 'arrived' | 'claimUnread' | 'forwarded' | 'waiting';
  process: number;
  incarnation: number;
  owner: ProcessIncarnation | null;
}

interface RequestState {
  isPlatformUp: boolean;
  claim: ProcessIncarnation | null;
  entries: EntryProcess[];
  attempts: (Attempt | null)[];
  attemptsSent: number;
  /** Senders of the copies in transit to the backend server. */
  toBackend: ProcessIncarnation[];
  /** Senders whose response from the backend server is in transit. */
  fromBackend: ProcessIncarnation[];
  runs: number;
  answers: number;
  /** The request was refused as "not run" after it had run or while it was in transit. */
  hasFalseRefusal: boolean;
  hadOutage: boolean;
  crashes: number;
}

const PROCESSES = [0, 1];
const MAX_ATTEMPTS = 3;
const MAX_CRASHES = 1;

function steps(state: RequestState): Step[] {
  const all: Step[] = [];
  if (state.isPlatformUp && !state.hadOutage) all.push({ type: 'platformDown' });
  if (!state.isPlatformUp) all.push({ type: 'platformUp' });
  for (const process of PROCESSES) {
    if (state.attemptsSent < MAX_ATTEMPTS) all.push({ type: 'callerSends', process });
    if (state.crashes < MAX_CRASHES) all.push({ type: 'restart', process });
    const { ledger } = at(state.entries, process);
    if (ledger === 'queued') all.push({ type: 'dispatch', process }, { type: 'expire', process });
    if (ledger === 'sent') all.push({ type: 'backendConnectionLost', process });
  }
  state.attempts.forEach((attempt, index) => {
    if (!attempt) return;
    const addStep = (type: string) => all.push({ type, process: attempt.process, peer: index });
    if (attempt.phase === 'arrived') {
      addStep('claim');
      if (state.isPlatformUp) addStep('claimAnswerLost');
    }
    if (attempt.phase === 'claimUnread') addStep('readClaim');
    if (attempt.phase === 'forwarded') {
      addStep('deliverToOwner');
      addStep('linkLost');
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
      state.hadOutage = true;
      return state;
    case 'platformUp':
      state.isPlatformUp = true;
      return state;
    case 'callerSends':
      state.attempts[state.attemptsSent] = {
        phase: 'arrived',
        process,
        incarnation: entry.incarnation,
        owner: null,
      };
      state.attemptsSent += 1;
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
      answerAttempt(state, index, variant === 'lostLinkMeansNotRun' ? 'notRun' : 'unknown');
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

/** A restart clears the ledger and drops the attempts that the process was handling. */
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

/** Conditionally inserts the claim row. The response may be lost. */
function claim(state: RequestState, index: number, isAnswerLost: boolean, variant?: string): void {
  const attempt = state.attempts[index];
  if (!attempt) return;
  const self = { process: attempt.process, incarnation: attempt.incarnation };
  if (!state.isPlatformUp) {
    answerAttempt(state, index, variant === 'outageMeansNotRun' ? 'notRun' : 'unknown');
    return;
  }
  if (state.claim === null || variant === 'claimOverwrites') state.claim = self;
  if (isAnswerLost) {
    attempt.phase = 'claimUnread';
    return;
  }
  forwardToOwner(state, index, state.claim);
}

function readClaim(state: RequestState, index: number, variant?: string): void {
  const attempt = state.attempts[index];
  if (!attempt) return;
  if (!state.isPlatformUp) {
    answerAttempt(state, index, variant === 'outageMeansNotRun' ? 'notRun' : 'unknown');
  } else if (state.claim) {
    forwardToOwner(state, index, state.claim);
  }
}

function forwardToOwner(state: RequestState, index: number, owner: ProcessIncarnation): void {
  const attempt = state.attempts[index];
  if (!attempt) return;
  attempt.owner = owner;
  attempt.phase = 'forwarded';
}

/** Answers or queues an attempt according to the ledger of the owner. */
function deliverToOwner(state: RequestState, index: number, variant?: string): void {
  const attempt = state.attempts[index];
  if (!attempt?.owner) return;
  const owner = at(state.entries, attempt.owner.process);
  if (owner.incarnation !== attempt.owner.incarnation) {
    answerAttempt(state, index, 'unknown');
    return;
  }
  if (owner.ledger === 'answered') {
    answerAttempt(state, index, 'answered');
    return;
  }
  if (owner.ledger === 'unknown' && variant !== 'unknownMayRunAgain') {
    answerAttempt(state, index, 'unknown');
    return;
  }
  if (owner.ledger === 'unseen' || owner.ledger === 'unknown') owner.ledger = 'queued';
  attempt.phase = 'waiting';
}

function backendAnswers(state: RequestState, index: number): void {
  const [sender] = state.fromBackend.splice(index, 1);
  if (!sender) return;
  const entry = at(state.entries, sender.process);
  // Drops a response to an earlier incarnation or one that arrives after the connection was lost.
  if (entry.incarnation !== sender.incarnation || entry.ledger !== 'sent') return;
  entry.ledger = 'answered';
  answerWaiting(state, sender.process, 'answered');
}

function answerWaiting(state: RequestState, process: number, outcome: Answer): void {
  state.attempts.forEach((attempt, index) => {
    if (attempt?.phase === 'waiting' && attempt.owner?.process === process) {
      answerAttempt(state, index, outcome);
    }
  });
}

function answerAttempt(state: RequestState, index: number, outcome: Answer): void {
  state.attempts[index] = null;
  state.answers += 1;
  const hasStarted = state.runs > 0 || state.toBackend.length > 0;
  if (outcome === 'notRun' && hasStarted) state.hasFalseRefusal = true;
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
    attemptsSent: 0,
    toBackend: [],
    fromBackend: [],
    runs: 0,
    answers: 0,
    hasFalseRefusal: false,
    hadOutage: false,
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
      text: 'a request is refused as "not run" only if it has neither run nor been sent',
      holds: (state) => !state.hasFalseRefusal,
    },
  ],
  faultyVariants: [
    {
      id: 'idsWithoutIncarnation',
      text: 'a restarted process accepts request ids of its earlier incarnation',
      violates: 'atMostOnce',
    },
    {
      id: 'claimOverwrites',
      text: 'the claim row is written unconditionally',
      violates: 'atMostOnce',
    },
    {
      id: 'unknownMayRunAgain',
      text: 'a request that ended without a known outcome may be sent again',
      violates: 'atMostOnce',
    },
    {
      id: 'lostConnectionMeansNotRun',
      text: 'a request is reported as not run after its backend connection was lost',
      violates: 'trueRefusal',
    },
    {
      id: 'lostLinkMeansNotRun',
      text: 'a request is reported as not run after the link was lost while forwarding it',
      violates: 'trueRefusal',
    },
    {
      id: 'outageMeansNotRun',
      text: 'a request is reported as not run when its claim cannot be looked up',
      violates: 'trueRefusal',
    },
  ],
};
