/**
 * Renders rows as an aligned text table.
 *
 * @param rows - one object for each row; the columns are the keys of all rows
 * @param emptyText - printed when there are no rows
 */
export function renderTable(rows: readonly object[], emptyText = 'none'): string[] {
  const [first] = rows;
  if (!first) return [emptyText];
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = rows.map((row) =>
    columns.map((column) => formatCell((row as Record<string, unknown>)[column])),
  );
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...cells.map((row) => row[index]?.length ?? 0)),
  );
  const formatLine = (row: string[]) =>
    row
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd();
  return [formatLine(columns.map((column) => column.toUpperCase())), ...cells.map(formatLine)];
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (typeof value === 'string') return value;
  if (Array.isArray(value)) return value.join(',');
  return JSON.stringify(value);
}
