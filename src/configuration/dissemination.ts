import type { Clock } from '../clock/index.js';
import type { Random } from '../random/index.js';
import { DisseminationMethodName, type ConfigurationSettings } from './defaults.js';
import type { ConfigDelta } from './types.js';
import { startWorkSplitting } from './workSplitting.js';

/** Dependencies of a dissemination method. */
export interface DisseminationContext {
  /** Names of the other members that count as live and have a link to this process. */
  peers: () => string[];
  /** Queues versions for sending to a member. Returns false if nothing was sent. */
  push: (name: string, deltas: readonly ConfigDelta[], delegate?: string[]) => boolean;
  clock: Clock;
  random: Random;
  settings: ConfigurationSettings;
  /** Aborted when the process shuts down. */
  signal: AbortSignal;
}

/** A push of versions received from another member. */
export interface ReceivedPush {
  from: string;
  deltas: readonly ConfigDelta[];
  /** Members to which this process is to push the versions on behalf of the sender. */
  delegate: readonly string[];
  /** Whether this process adopted a version of the push. */
  isNew: boolean;
}

/** A running dissemination method. Its handlers do not block. */
export interface Disseminator {
  /** Called when this process has committed the versions, or has read them from the platform. */
  onCommitted: (deltas: readonly ConfigDelta[]) => void;
  onReceived: (push: ReceivedPush) => void;
  /** Called when a member has acknowledged a push whose last version is the given one. */
  onAcknowledged: (from: string, version: number) => void;
}

/** A method of disseminating committed versions to the other processes. */
export interface DisseminationMethod {
  /**
   * Time in milliseconds between reads of the head row by every process; absent if only lease
   * holders read it.
   */
  pollMs?: (settings: ConfigurationSettings) => number;
  start: (context: DisseminationContext) => Disseminator;
}

const noop = () => undefined;

/** Methods by name. Anti-entropy runs with each of them, as does polling by lease holders. */
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
