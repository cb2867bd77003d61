/**
 * Renders rows as an aligned text table.
 *
 * @param rows - one object a row; the keys of the first are the columns
 * @param empty - printed when there are no rows
 */
export function renderTable(rows: readonly object[], empty = 'none'): string[] {
  const [first] = rows;
  if (!first) return [empty];
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = rows.map((row) =>
    columns.map((column) => cellText((row as Record<string, unknown>)[column])),
  );
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...cells.map((row) => row[index]?.length ?? 0)),
  );
  const line = (row: string[]) =>
    row
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd();
  return [line(columns.map((column) => column.toUpperCase())), ...cells.map(line)];
}

function cellText(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (typeof value === 'string') return value;
  if (Array.isArray(value)) return value.join(',');
  return JSON.stringify(value);
}
