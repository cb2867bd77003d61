import type { MonitoredStore } from '../batch/monitoredStore.js';
import { decodeRelayRequest, encodeResult, type RelayAnswer } from './messages.js';
import { RelayOperation, type RelayRequest } from './types.js';

/** Longest wait of a relayed long poll, in milliseconds. */
const MAX_FEED_WAIT_MS = 5_000;

/**
 * Carries out an operation on the store for another node. Uses only this node's own path, so that
 * requests never pass from peer to peer.
 *
 * @returns the answer; undefined if the request is malformed
 */
export async function answerRelayCall(
  body: unknown,
  store: MonitoredStore,
): Promise<RelayAnswer | undefined> {
  const req = decodeRelayRequest(body);
  if (!req) return undefined;
  if (req.relay === RelayOperation.Check) return { isReachable: !store.isSuspect() };
  return encodeResult(await carryOut(req, store));
}

function carryOut(
  req: Exclude<RelayRequest, { relay: RelayOperation.Check }>,
  store: MonitoredStore,
) {
  switch (req.relay) {
    case RelayOperation.Transact:
      return store.transact(req.tx);
    case RelayOperation.ReadPart:
      return store.readPart(req.table, req.part);
    case RelayOperation.ReadRow:
      return store.readRow(req.key);
    case RelayOperation.Feed: {
      const waitMs = Math.min(MAX_FEED_WAIT_MS, Math.max(0, req.waitMs));
      return store.feed(req.table, req.after, waitMs, new AbortController().signal);
    }
  }
}
