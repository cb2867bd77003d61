import type { Timer } from '../clock/index.js';
import type { DisseminationContext, Disseminator } from './dissemination.js';
import type { ConfigDelta } from './types.js';

interface PendingPush {
  deltas: readonly ConfigDelta[];
  /** Members that were handed over and come back when the push fails. */
  delegated: readonly string[];
  timer: Timer;
}

/**
 * Starts randomized work-splitting push (Doerr, Doerr, Moran, Moran). The origin permutes the
 * other members. A process with a list calls its first entry; when the call succeeds it hands
 * over every second one of the remaining entries and keeps the others; when it fails the entry is
 * dropped. With n members this takes n-1 calls.
 *
 * A call succeeds when it is confirmed in time. Calls do not wait for each other: the next one
 * starts as if the former one had succeeded, and what was handed over in vain is taken back.
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
    // Nothing has to be taken back for the last entry; anti-entropy reaches it.
    if (push.delegated.length === 0) return;
    // Above the limit a lost list is left to anti-entropy.
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
    // The list is worked off even when the versions are known here, because its members wait.
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
