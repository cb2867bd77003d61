import { configurationDefaults } from '../src/configuration/index.js';
import { run, type DisseminationRow } from './dissemination.js';
import { BenchmarkId, BoundKind, type Benchmark, type Bound, type Figure } from './types.js';

/** Design bounds on the time until a version is adopted, in milliseconds. */
const ZONE_BOUND_MS = 100;
const P99_BOUND_MS = 2_000;
const LAST_BOUND_MS = 8_000;

/** Creates the benchmark of configuration dissemination with a tenth of the members dead. */
export function createDisseminationBenchmark(): Benchmark {
  return {
    id: BenchmarkId.Dissemination,
    title: 'Dissemination of one version, a tenth of the members dead',
    run: async (seed) => (await run(seed)).flatMap(figuresOf),
  };
}

function figuresOf(row: DisseminationRow): Figure[] {
  const variant = `${row.method}, ${row.members} members`;
  const isBounded = row.method === configurationDefaults.dissemination;
  const atMost = (value: number): Bound | undefined =>
    isBounded ? { kind: BoundKind.AtMost, value } : undefined;
  const live = row.members - row.dead;
  const liveBound: Bound | undefined = isBounded
    ? { kind: BoundKind.AtLeast, value: live }
    : undefined;
  return [
    {
      variant,
      name: 'live members informed',
      value: row.informed,
      unit: `of ${live}`,
      bound: liveBound,
    },
    { variant, name: 'messages', value: row.messages, unit: '' },
    { variant, name: 'bytes', value: row.bytes, unit: '' },
    { variant, name: 'platform reads', value: row.platformReads, unit: '' },
    {
      variant,
      name: 'last member of the zone',
      value: row.zoneLastMs,
      unit: 'ms',
      bound: atMost(ZONE_BOUND_MS),
    },
    {
      variant,
      name: '99 of 100 members',
      value: row.p99Ms,
      unit: 'ms',
      bound: atMost(P99_BOUND_MS),
    },
    { variant, name: 'last member', value: row.lastMs, unit: 'ms', bound: atMost(LAST_BOUND_MS) },
  ];
}
