import { CapacityPolicyId } from '../src/capacity/index.js';
import type { BufferRow } from './buffer.js';
import { DeploymentId, deployments, VMS_PER_RACK } from './bufferFleet.js';

/** Targets of the cost-based policy. */
export const bufferTargets = {
  /** Maximum moves, as a share of those of the policy that moves on every rise. */
  movesShare: 0.1,
  /** Maximum wait time, as a ratio to that of the policy that moves on every rise. */
  waitFactor: 1.1,
  /** Maximum buffer, as a share of one fixed rack per pool. */
  bufferShare: 0.8,
  /** Maximum number of budget violations. */
  violations: 0,
};

/** A target and the measured values. */
export interface TargetFigure {
  deployment: DeploymentId;
  target: string;
  /** Largest value that meets the target. */
  limit: number;
  /** Median over the seeds. */
  medianValue: number;
  /** Maximum over the seeds. */
  worst: number;
  /** Whether the median meets the target. */
  isMet: boolean;
}

/** Median of values; the upper of the two middle ones if their number is even. */
function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

/** Ratio of two figures; 0 if both are 0. */
function ratio(part: number, whole: number): number {
  return part === 0 ? 0 : part / whole;
}

/** Compares the runs of one or more seeds with the targets. */
export function compareWithTargets(rows: readonly BufferRow[]): TargetFigure[] {
  return [DeploymentId.First, DeploymentId.Second].flatMap((deployment) => {
    const rowsOf = (policy: CapacityPolicyId) =>
      rows.filter((row) => row.deployment === deployment && row.policy === policy);
    const costBased = rowsOf(CapacityPolicyId.CostBased);
    const moveOnRise = rowsOf(CapacityPolicyId.MoveOnRise);
    if (costBased.length === 0 || moveOnRise.length === 0) return [];
    const ratiosToMoveOnRise = (figure: (row: BufferRow) => number) =>
      costBased.map((row, i) => ratio(figure(row), moveOnRise[i] ? figure(moveOnRise[i]) : NaN));
    const pools = Object.keys(deployments[deployment].services).length;
    const { movesShare, waitFactor, bufferShare, violations } = bufferTargets;
    const bufferShares = costBased.map(({ bufferVms }) => bufferVms / (pools * VMS_PER_RACK));
    const waveReserveShares = costBased.map(
      ({ waveReserveVms }) => waveReserveVms / (pools * VMS_PER_RACK),
    );
    const violationCount = rows
      .filter((row) => row.deployment === deployment)
      .reduce((sum, row) => sum + row.violations, 0);
    const figures: [string, number, number[]][] = [
      ['moves / moves on every rise', movesShare, ratiosToMoveOnRise(({ moves }) => moves)],
      ['mean wait / on every rise', waitFactor, ratiosToMoveOnRise(({ waitMeanMs }) => waitMeanMs)],
      ['p99 wait / on every rise', waitFactor, ratiosToMoveOnRise(({ waitP99Ms }) => waitP99Ms)],
      ['buffer / fixed rack per pool', bufferShare, bufferShares],
      ['wave reserve / fixed rack per pool', bufferShare, waveReserveShares],
      ['budget violations, all runs', violations, [violationCount]],
    ];
    return figures.map(([target, limit, values]) => {
      const medianValue = median(values);
      return {
        deployment,
        target,
        limit,
        medianValue,
        worst: Math.max(...values),
        isMet: medianValue <= limit,
      };
    });
  });
}

const columns: readonly [string, (row: BufferRow) => number][] = [
  ['buffer VMs', ({ bufferVms }) => bufferVms],
  ['wave reserve VMs', ({ waveReserveVms }) => waveReserveVms],
  ['roll-out s', ({ rollOutMs }) => (rollOutMs === undefined ? Infinity : rollOutMs / 1_000)],
  ['moves', ({ moves }) => moves],
  ['wait p50 ms', ({ waitP50Ms }) => waitP50Ms],
  ['wait p99 ms', ({ waitP99Ms }) => waitP99Ms],
  ['wait max ms', ({ waitMaxMs }) => waitMaxMs],
  ['wait mean ms', ({ waitMeanMs }) => waitMeanMs],
  ['lost', ({ lost }) => lost],
  ['violations', ({ violations }) => violations],
];

/** Returns the lines of two Markdown tables: medians with ranges over the seeds, and targets. */
export function summarizeBuffer(rows: readonly BufferRow[]): string[] {
  const names = columns.map(([name]) => name);
  const lines = [
    `| deployment | policy | ${names.join(' | ')} |`,
    `|${'---|'.repeat(names.length + 2)}`,
  ];
  for (const deployment of Object.values(DeploymentId)) {
    for (const policy of Object.values(CapacityPolicyId)) {
      const group = rows.filter((row) => row.deployment === deployment && row.policy === policy);
      if (group.length === 0) continue;
      const cells = columns.map(([, figure]) => formatRange(group.map(figure)));
      lines.push(`| ${deployment} | ${policy} | ${cells.join(' | ')} |`);
    }
  }
  lines.push(
    '',
    '| deployment | target | at most | median | worst seed | met |',
    '|---|---|---|---|---|---|',
  );
  for (const { deployment, target, limit, medianValue, worst, isMet } of compareWithTargets(rows)) {
    const figures = [format(limit), medianValue.toFixed(2), worst.toFixed(2)];
    const cells = [deployment, target, ...figures, isMet ? 'yes' : 'NO'];
    lines.push(`| ${cells.join(' | ')} |`);
  }
  return lines;
}

function formatRange(values: readonly number[]): string {
  const [min, max] = [Math.min(...values), Math.max(...values)];
  const medianText = format(median(values));
  return min === max ? medianText : `${medianText} (${format(min)} to ${format(max)})`;
}

function format(value: number): string {
  if (value === Infinity) return 'not finished';
  return String(Math.round(value * 10) / 10);
}
