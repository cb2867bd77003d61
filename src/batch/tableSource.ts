import type { Changes, ChangeSource } from './follow.js';
import type { FeedRow, Row, RowStore } from './ports.js';

/**
 * Creates a change source for one part of a table of the store. Rows that cannot be decoded count
 * as removed. If one answer contains several changes of a row, only the last one counts.
 *
 * @param store - store that contains the table
 * @param table - name of the table
 * @param part - part of the table
 * @param decode - returns the item of a row, or undefined if the row cannot be decoded
 */
export function tableSource<T>(
  store: RowStore,
  table: string,
  part: string,
  decode: (row: Row) => T | undefined,
): ChangeSource<T> {
  const toChanges = (rows: readonly (Row | FeedRow)[], version: number): Changes<T> => {
    const items: T[] = [];
    const removed: string[] = [];
    const latest = new Map(rows.map((row) => [row.key, row]));
    for (const row of latest.values()) {
      const isRemoved = 'isRemoved' in row && row.isRemoved;
      const item = isRemoved ? undefined : decode(row);
      if (item === undefined) removed.push(row.key);
      else items.push(item);
    }
    return { items, removed, version };
  };
  return {
    readAll: async () => {
      const res = await store.readPart(table, part);
      return res.map(({ rows, version }) => toChanges(rows, version));
    },
    changes: async (after, waitMs, signal) => {
      const res = await store.feed(table, after, waitMs, signal);
      return res.map(({ rows, version }) => {
        const partRows = rows.filter((row) => row.part === part);
        return toChanges(partRows, version);
      });
    },
  };
}
