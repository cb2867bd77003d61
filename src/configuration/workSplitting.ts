import type { Timer } from '../clock/index.js';
import type { DisseminationContext, Disseminator } from './dissemination.js';
import type { ConfigDelta } from './types.js';

interface PendingPush {
  deltas: readonly ConfigDelta[];
  /** Members delegated to the receiver; they are taken over again if the push fails. */
  delegated: readonly string[];
  timer: Timer;
}

/**
 * Starts randomized work-splitting push (Doerr, Doerr, Moran, Moran). The origin shuffles the other
 * members. A process with a list pushes to the first entry. If the push succeeds, it delegates
 * every second one of the remaining entries to the receiver and keeps the others; if it fails, the
 * entry is dropped. With n members this takes n-1 pushes.
 *
 * A push succeeds if it is acknowledged in time. Pushes are not serialized: the next one starts on
 * the assumption that the previous one succeeds. Entries delegated to a receiver that does not
 * acknowledge the push are distributed again by the sender.
 */
export function startWorkSplitting(context: DisseminationContext): Disseminator {
  const { clock, random, settings, signal } = context;
  const pending = new Map<string, PendingPush>();
  signal.addEventListener('abort', () => {
    for (const { timer } of pending.values()) timer.cancel();
    pending.clear();
  });

  function distribute(list: readonly string[], deltas: readonly ConfigDelta[]): void {
    let remaining = list;
    while (!signal.aborted) {
      const [first, ...rest] = remaining;
      if (first === undefined) return;
      const delegated = rest.filter((_, index) => index % 2 === 0);
      const wasSent = context.push(first, deltas, delegated);
      remaining = wasSent ? rest.filter((_, index) => index % 2 === 1) : rest;
      if (wasSent) awaitAck(first, { deltas, delegated });
    }
  }

  function awaitAck(name: string, push: Omit<PendingPush, 'timer'>): void {
    // Nothing was delegated, so no retry is needed: anti-entropy updates the receiver itself.
    if (push.delegated.length === 0) return;
    // Above the limit, members of a lost list are updated by anti-entropy.
    if (pending.size >= settings.maxPendingPushes) return;
    const key = pushKey(name, lastVersion(push.deltas));
    pending.get(key)?.timer.cancel();
    const timer = clock.setTimer(settings.ackTimeoutMs, () => {
      pending.delete(key);
      distribute(push.delegated, push.deltas);
    });
    pending.set(key, { ...push, timer });
  }

  return {
    onCommitted: (deltas) => {
      distribute(random.shuffle(context.peers()), deltas);
    },
    // The list is processed even if the versions are known here, as its members depend on it.
    onReceived: ({ deltas, delegate }) => {
      distribute(delegate, deltas);
    },
    onAcknowledged: (from, version) => {
      const key = pushKey(from, version);
      pending.get(key)?.timer.cancel();
      pending.delete(key);
    },
  };
}

function lastVersion(deltas: readonly ConfigDelta[]): number {
  return deltas.at(-1)?.version ?? 0;
}

function pushKey(name: string, version: number): string {
  return `${version}/${name}`;
}
