import { BoundKind, type BenchmarkReport, type Bound, type Figure } from './types.js';

/** Whether a figure meets its bound; true for a figure without a bound. */
export function isWithinBound({ value, bound }: Figure): boolean {
  if (!bound) return true;
  return bound.kind === BoundKind.AtMost ? value <= bound.value : value >= bound.value;
}

/** Returns the figures that violate their bounds. */
export function violatedFigures(reports: readonly BenchmarkReport[]): Figure[] {
  return reports.flatMap(({ figures }) => figures.filter((figure) => !isWithinBound(figure)));
}

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}

function formatBound(bound: Bound | undefined): string {
  if (!bound) return '';
  const sign = bound.kind === BoundKind.AtMost ? '<=' : '>=';
  return `${sign} ${formatNumber(bound.value)}`;
}

function formatVerdict(figure: Figure): string {
  if (!figure.bound) return '';
  return isWithinBound(figure) ? 'ok' : 'BROKEN';
}

/** Formats a report as a text table with the bound beside each figure. */
export function formatReport({ title, seed, figures }: BenchmarkReport): string {
  const rows = [
    ['variant', 'figure', 'value', 'unit', 'bound', ''],
    ...figures.map((figure) => [
      figure.variant,
      figure.name,
      formatNumber(figure.value),
      figure.unit,
      formatBound(figure.bound),
      formatVerdict(figure),
    ]),
  ];
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const lines = rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return [`${title} (seed ${seed})`, ...lines, ''].join('\n');
}
