import type { Timer } from '../clock/index.js';
import type { DisseminationContext, Disseminator } from './dissemination.js';
import type { ConfigDelta } from './types.js';

interface PendingPush {
  deltas: readonly ConfigDelta[];
  /** Members that were handed over and come back when the push fails. */
  handedOver: readonly string[];
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

  function spread(list: readonly string[], deltas: readonly ConfigDelta[]): void {
    let left = list;
    while (!signal.aborted) {
      const [first, ...rest] = left;
      if (first === undefined) return;
      const handedOver = rest.filter((_, index) => index % 2 === 0);
      const wasSent = context.push(first, deltas, handedOver);
      left = wasSent ? rest.filter((_, index) => index % 2 === 1) : rest;
      if (wasSent) awaitConfirmation(first, { deltas, handedOver });
    }
  }

  function awaitConfirmation(name: string, call: Omit<PendingPush, 'timer'>): void {
    // Nothing has to be taken back for the last entry; anti-entropy reaches it.
    if (call.handedOver.length === 0) return;
    // Above the limit a lost list is left to anti-entropy.
    if (pending.size >= settings.maxPendingPushes) return;
    const key = keyOf(name, lastVersion(call.deltas));
    pending.get(key)?.timer.cancel();
    const timer = clock.setTimer(settings.ackTimeoutMs, () => {
      pending.delete(key);
      spread(call.handedOver, call.deltas);
    });
    pending.set(key, { ...call, timer });
  }

  return {
    committed: (deltas) => {
      spread(random.shuffle(context.peers()), deltas);
    },
    // The list is worked off even when the versions are known here, because its members wait.
    received: ({ deltas, delegate }) => {
      spread(delegate, deltas);
    },
    acknowledged: (from, version) => {
      const key = keyOf(from, version);
      pending.get(key)?.timer.cancel();
      pending.delete(key);
    },
  };
}

function lastVersion(deltas: readonly ConfigDelta[]): number {
  return deltas.at(-1)?.version ?? 0;
}

function keyOf(name: string, version: number): string {
  return `${version}/${name}`;
}
