import { CapacityPolicyId } from '../src/capacity/index.js';
import type { BufferRow } from './buffer.js';
import { DeploymentId, deployments, RACK_SIZE } from './bufferFleet.js';

/** Targets of the cost-based policy. */
export const bufferTargets = {
  /** Most moves, as a share of those of the policy that moves on every rise. */
  movesShare: 0.1,
  /** Longest waiting, as a factor on that of the policy that moves on every rise. */
  waitFactor: 1.1,
  /** Largest buffer, as a share of a fixed rack in each pool. */
  bufferShare: 0.8,
  violations: 0,
};

/** One target beside what was measured. */
export interface TargetFigure {
  deployment: DeploymentId;
  target: string;
  /** Largest figure that meets the target. */
  limit: number;
  /** Median over the seeds. */
  found: number;
  /** Largest over the seeds. */
  worst: number;
  /** Whether the median meets the target. */
  isMet: boolean;
}

/** Median of values; the upper one of an even number. */
function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

/** Ratio of two figures; nothing against nothing counts as 0. */
function ratio(part: number, whole: number): number {
  return part === 0 ? 0 : part / whole;
}

/** Compares the runs of one or more seeds with the targets. */
export function compareWithTargets(rows: readonly BufferRow[]): TargetFigure[] {
  return [DeploymentId.First, DeploymentId.Second].flatMap((deployment) => {
    const of = (policy: CapacityPolicyId) =>
      rows.filter((row) => row.deployment === deployment && row.policy === policy);
    const cost = of(CapacityPolicyId.CostBased);
    const eager = of(CapacityPolicyId.MoveOnRise);
    if (cost.length === 0 || eager.length === 0) return [];
    const overEager = (figure: (row: BufferRow) => number) =>
      cost.map((row, i) => ratio(figure(row), eager[i] ? figure(eager[i]) : NaN));
    const pools = Object.keys(deployments[deployment].services).length;
    const { movesShare, waitFactor, bufferShare, violations } = bufferTargets;
    const buffer = cost.map(({ bufferVms }) => bufferVms / (pools * RACK_SIZE));
    const waveReserve = cost.map(({ waveReserveVms }) => waveReserveVms / (pools * RACK_SIZE));
    const broken = rows
      .filter((row) => row.deployment === deployment)
      .reduce((sum, row) => sum + row.violations, 0);
    const figures: [string, number, number[]][] = [
      ['moves / moves on every rise', movesShare, overEager(({ moves }) => moves)],
      ['mean wait / on every rise', waitFactor, overEager(({ waitMeanMs }) => waitMeanMs)],
      ['p99 wait / on every rise', waitFactor, overEager(({ waitP99Ms }) => waitP99Ms)],
      ['buffer / fixed rack per pool', bufferShare, buffer],
      ['wave reserve / fixed rack per pool', bufferShare, waveReserve],
      ['budget violations, all runs', violations, [broken]],
    ];
    return figures.map(([target, limit, values]) => {
      const found = median(values);
      return {
        deployment,
        target,
        limit,
        found,
        worst: Math.max(...values),
        isMet: found <= limit,
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

/** Lines of Markdown tables: the measures as median (least to most), and the targets. */
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
      const cells = columns.map(([, figure]) => spread(group.map(figure)));
      lines.push(`| ${deployment} | ${policy} | ${cells.join(' | ')} |`);
    }
  }
  lines.push(
    '',
    '| deployment | target | at most | median | worst seed | met |',
    '|---|---|---|---|---|---|',
  );
  for (const { deployment, target, limit, found, worst, isMet } of compareWithTargets(rows)) {
    const figures = [format(limit), found.toFixed(2), worst.toFixed(2)];
    const cells = [deployment, target, ...figures, isMet ? 'yes' : 'NO'];
    lines.push(`| ${cells.join(' | ')} |`);
  }
  return lines;
}

function spread(values: readonly number[]): string {
  const [least, most] = [Math.min(...values), Math.max(...values)];
  const middle = format(median(values));
  return least === most ? middle : `${middle} (${format(least)} to ${format(most)})`;
}

function format(value: number): string {
  if (value === Infinity) return 'not finished';
  return String(Math.round(value * 10) / 10);
}
