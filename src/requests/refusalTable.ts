import { reasonRegistry } from './reasons.js';

const HEADINGS = ['Reason', 'Status', 'Outcome', 'Come back after', 'Meaning'];

/** Renders the reasons as the Markdown table in `docs/callers.md`. */
export function renderRefusalTable(): string {
  const rows = Object.entries(reasonRegistry).map(([reason, info]) => [
    `\`${reason}\``,
    String(info.status),
    info.outcomes.join(' or '),
    info.retryAfterMs > 0 ? `${info.retryAfterMs} ms` : 'do not repeat',
    info.meaning,
  ]);
  const widths = HEADINGS.map((heading, column) =>
    Math.max(heading.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (cells: string[]) => {
    const padded = cells.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    return `| ${padded.join(' | ')} |`;
  };
  const separator = widths.map((width) => '-'.repeat(width));
  return [HEADINGS, separator, ...rows].map(formatRow).join('\n');
}
