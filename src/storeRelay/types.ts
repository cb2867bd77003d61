import type { FeedRow, Row, RowKey, Transaction, TransactionOutcome } from '../batch/ports.js';

/** Operations of the store that a node carries out for another one. */
export enum RelayOperation {
  /** Asks whether the node reaches the store; nothing is sent to the store. */
  Check = 'check',
  Transact = 'transact',
  ReadPart = 'read_part',
  ReadRow = 'read_row',
  Feed = 'feed',
}

/** A request to carry out an operation on the store. */
export type RelayRequest =
  | { relay: RelayOperation.Check }
  | { relay: RelayOperation.Transact; tx: Transaction }
  | { relay: RelayOperation.ReadPart; table: string; part: string }
  | { relay: RelayOperation.ReadRow; key: RowKey }
  | { relay: RelayOperation.Feed; table: string; after: number; waitMs: number };

/** Results of the operations, by operation. */
export interface RelayResults {
  [RelayOperation.Transact]: TransactionOutcome;
  [RelayOperation.ReadPart]: { rows: Row[]; version: number };
  [RelayOperation.ReadRow]: Row | undefined;
  [RelayOperation.Feed]: { rows: FeedRow[]; version: number };
}
