import meow from 'meow';
import { benchmarks } from './registry.js';
import { violatedFigures, formatReport } from './report.js';
import type { Benchmark, BenchmarkReport } from './types.js';

const DEFAULT_SEED = 20_240;

/** Exit codes of the command. */
enum ExitCode {
  Ok = 0,
  BoundViolated = 1,
  WrongUsage = 2,
}

const cli = meow(
  `
  Usage: npm run bench -- [--json] [--seed N] [benchmark ...]

  Runs benchmarks under virtual time and compares their figures with bounds.
  Exits with 1 if a bound is violated and with 2 on wrong usage.

  Benchmarks: ${Object.keys(benchmarks).join(', ')}
`,
  {
    importMeta: import.meta,
    flags: {
      json: { type: 'boolean', default: false },
      seed: { type: 'number', default: DEFAULT_SEED },
    },
  },
);

function selectBenchmarks(ids: readonly string[]): Benchmark[] | undefined {
  const all = Object.values(benchmarks);
  if (ids.length === 0) return all;
  const selected = all.filter(({ id }) => ids.includes(id));
  return selected.length === new Set(ids).size ? selected : undefined;
}

async function main(): Promise<ExitCode> {
  const selected = selectBenchmarks(cli.input);
  if (!selected) {
    process.stderr.write(`unknown benchmark in: ${cli.input.join(', ')}\n${cli.help}\n`);
    return ExitCode.WrongUsage;
  }
  const { seed, json } = cli.flags;
  const reports: BenchmarkReport[] = [];
  for (const { id, title, run } of selected) {
    const report = { id, title, seed, figures: await run(seed) };
    reports.push(report);
    if (!json) process.stdout.write(`${formatReport(report)}\n`);
  }
  const broken = violatedFigures(reports);
  if (json) process.stdout.write(`${JSON.stringify({ reports, broken }, null, 2)}\n`);
  return broken.length > 0 ? ExitCode.BoundViolated : ExitCode.Ok;
}

process.exitCode = await main();
