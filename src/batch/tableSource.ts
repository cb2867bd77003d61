import type { Changes, ChangeSource } from './follow.js';
import type { FeedRow, Row, RowStore } from './ports.js';

/**
 * One part of a table of the store, as a source of changes. Rows that cannot be read count as
 * removed. Of several changes of a row in one answer only the last one counts.
 *
 * @param store - store that has the table
 * @param table - name of the table
 * @param part - part of the table
 * @param decode - item of a row; undefined when the row cannot be read
 */
export function tableSource<T>(
  store: RowStore,
  table: string,
  part: string,
  decode: (row: Row) => T | undefined,
): ChangeSource<T> {
  const split = (rows: readonly (Row | FeedRow)[], version: number): Changes<T> => {
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
      return res.map(({ rows, version }) => split(rows, version));
    },
    changes: async (after, waitMs, signal) => {
      const res = await store.feed(table, after, waitMs, signal);
      return res.map(({ rows, version }) => {
        const own = rows.filter((row) => row.part === part);
        return split(own, version);
      });
    },
  };
}
