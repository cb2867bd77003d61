import { CapacityPolicyId } from '../src/capacity/index.js';
import { run, type BufferRow } from './buffer.js';
import { BenchmarkId, BoundKind, type Benchmark, type Bound, type Figure } from './types.js';

/** Number of seeds in one report; figures are medians over the seeds. */
const SEED_COUNT = 3;

/** Maximum moves, as a share of those of the policy that moves on every rise. */
const MAX_MOVES_SHARE = 0.1;

/** Maximum 99th percentile wait, as a ratio to that of the policy that moves on every rise. */
const MAX_WAIT_RATIO = 1.1;

/**
 * Maximum buffer, as a share of one fixed rack per pool, which the policy that moves on every rise
 * holds.
 */
const MAX_BUFFER_SHARE = 0.8;

/** Policy whose figures are compared with the bounds. */
const CANDIDATE = CapacityPolicyId.CostBased;

/** Creates the benchmark of buffers, roll-out time, moves and wait times by capacity policy. */
export function createBufferBenchmark(): Benchmark {
  return {
    id: BenchmarkId.Buffer,
    title: `Buffer and moves: medians over ${SEED_COUNT} seeds`,
    run: async (seed) => {
      const rows: BufferRow[] = [];
      for (let i = 0; i < SEED_COUNT; i++) rows.push(...(await run(seed + i)));
      return groupRows(rows).flatMap((group) => figuresOf(group, baselineRows(rows, group)));
    },
  };
}

function groupRows(rows: readonly BufferRow[]): BufferRow[][] {
  const groups = new Map<string, BufferRow[]>();
  for (const row of rows) {
    const key = `${row.deployment}/${row.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), row]);
  }
  return [...groups.values()];
}

function baselineRows(rows: readonly BufferRow[], group: readonly BufferRow[]): BufferRow[] {
  const deployment = group[0]?.deployment;
  return rows.filter(
    (row) => row.deployment === deployment && row.policy === CapacityPolicyId.MoveOnRise,
  );
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

function figuresOf(group: readonly BufferRow[], baseline: readonly BufferRow[]): Figure[] {
  const [first] = group;
  if (!first) return [];
  const isCandidate = first.policy === CANDIDATE;
  const atMost = (value: number): Bound | undefined =>
    isCandidate ? { kind: BoundKind.AtMost, value } : undefined;
  const shareOfBaseline = (share: number, valueOf: (row: BufferRow) => number) =>
    atMost(share * median(baseline.map(valueOf)));
  const figure = (name: string, unit: string, valueOf: (row: BufferRow) => number) => ({
    ...{ variant: `${first.deployment}, ${first.policy}`, name, unit },
    value: median(group.map(valueOf)),
  });
  const worstViolations = Math.max(...group.map(({ violations }) => violations));
  return [
    { ...figure('budget violations, worst seed', '', () => worstViolations), bound: atMost(0) },
    {
      ...figure('buffer held back', 'VMs', (row) => row.bufferVms),
      bound: shareOfBaseline(MAX_BUFFER_SHARE, (row) => row.bufferVms),
    },
    figure('wave reserve', 'VMs', (row) => row.waveReserveVms),
    figure('roll-out time (999 s: not finished)', 's', (row) => (row.rollOutMs ?? 999_000) / 1_000),
    {
      ...figure('moves', '', (row) => row.moves),
      bound: shareOfBaseline(MAX_MOVES_SHARE, (row) => row.moves),
    },
    figure('short wait median', 'ms', (row) => row.waitP50Ms),
    {
      ...figure('short wait p99', 'ms', (row) => row.waitP99Ms),
      bound: shareOfBaseline(MAX_WAIT_RATIO, (row) => row.waitP99Ms),
    },
    figure('short wait max', 'ms', (row) => row.waitMaxMs),
  ];
}
