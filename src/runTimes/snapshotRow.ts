import { EntryOutcome, type Journal } from '../batch/journal.js';
import type { RowStore } from '../batch/ports.js';
import { runTimesKey } from '../batch/rows.js';
import { SnapshotWrite, type SnapshotKeeperDeps } from './snapshotKeeper.js';

/** Reads the snapshot of a service from its row, and writes it with the journal of the holder. */
export function createSnapshotRow(
  service: string,
  store: Pick<RowStore, 'readRow'>,
  journal: Pick<Journal, 'append'>,
): Pick<SnapshotKeeperDeps, 'read' | 'write'> {
  const key = runTimesKey(service);
  return {
    read: async () => (await store.readRow(key)).map((row) => row?.value),
    write: (value) =>
      new Promise((resolve) => {
        journal.append({
          conditions: [],
          writes: [{ ...key, value }],
          removes: [],
          settle: (outcome) => {
            resolve(snapshotWriteOf(outcome));
          },
        });
      }),
  };
}

function snapshotWriteOf(outcome: EntryOutcome): SnapshotWrite {
  if (outcome === EntryOutcome.Applied) return SnapshotWrite.Written;
  return outcome === EntryOutcome.HolderLost ? SnapshotWrite.HolderLost : SnapshotWrite.Rejected;
}
