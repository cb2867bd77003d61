import type { Clock } from '../clock/index.js';
import type { Random } from '../random/index.js';
import { DisseminationMethodName, type ConfigurationSettings } from './defaults.js';
import type { ConfigDelta } from './types.js';
import { startWorkSplitting } from './workSplitting.js';

/** What a method may use. */
export interface DisseminationContext {
  /** Names of the members that count as live and have a link. */
  peers: () => string[];
  /** Hands versions to the link of a member. False means that nothing was sent. */
  push: (name: string, deltas: readonly ConfigDelta[], delegate?: string[]) => boolean;
  clock: Clock;
  random: Random;
  settings: ConfigurationSettings;
  /** Aborted when the process stops. */
  signal: AbortSignal;
}

/** Versions pushed by another member. */
export interface ReceivedPush {
  from: string;
  deltas: readonly ConfigDelta[];
  /** Members that the sender asks this process to inform. */
  delegate: readonly string[];
  /** Whether a version came into force here. */
  isNew: boolean;
}

/** A running method; each function returns at once. */
export interface Disseminator {
  /** This process committed the versions, or was the first of its zone to read them. */
  onCommitted: (deltas: readonly ConfigDelta[]) => void;
  onReceived: (push: ReceivedPush) => void;
  /** A member confirmed a push up to a version. */
  onAcknowledged: (from: string, version: number) => void;
}

/** A way in which committed versions reach the other processes. */
export interface DisseminationMethod {
  /** Time in milliseconds between reads of the head row by every process; absent for none. */
  pollMs?: (settings: ConfigurationSettings) => number;
  start: (context: DisseminationContext) => Disseminator;
}

const noop = () => undefined;

/** Methods by name. Anti-entropy and the poll by lease holders come with each of them. */
export const disseminationMethods: Readonly<Record<DisseminationMethodName, DisseminationMethod>> =
  {
    [DisseminationMethodName.Polling]: {
      pollMs: ({ pollMs }) => pollMs,
      start: () => ({ onCommitted: noop, onReceived: noop, onAcknowledged: noop }),
    },
    [DisseminationMethodName.Flooding]: { start: startFlooding },
    [DisseminationMethodName.DirectPush]: {
      start: (context) => ({
        onCommitted: (deltas) => {
          pushToAll(context, deltas);
        },
        onReceived: noop,
        onAcknowledged: noop,
      }),
    },
    [DisseminationMethodName.WorkSplitting]: { start: startWorkSplitting },
  };

function startFlooding(context: DisseminationContext): Disseminator {
  return {
    onCommitted: (deltas) => {
      pushToAll(context, deltas);
    },
    onReceived: ({ from, deltas, isNew }) => {
      if (isNew) pushToAll(context, deltas, from);
    },
    onAcknowledged: noop,
  };
}

function pushToAll(
  { peers, push }: DisseminationContext,
  deltas: readonly ConfigDelta[],
  except?: string,
): void {
  for (const name of peers()) if (name !== except) push(name, deltas);
}
