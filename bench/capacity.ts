import { baseCosts, type BaseCost } from './capacityBase.js';
import { platformSlopes } from './capacityPlatform.js';
import { cpuSlopes, memorySlopes } from './capacityState.js';
import { trafficSlopes } from './capacityTraffic.js';
import { bySize, median, type Slope } from './slopes.js';

// Measures how resource costs scale with the size of the system. Run by hand:
// npm run capacity -- [--json] [--only=PART]

const parts: Readonly<Record<string, () => Promise<Slope[]>>> = {
  memory: memorySlopes,
  cpu: cpuSlopes,
  traffic: trafficSlopes,
  platform: platformSlopes,
};

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function round(value: number): string {
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 1 ? 2 : 5;
  return value.toFixed(digits);
}

function percent(value: number): string {
  return `${(value * 100).toFixed(1)}%`;
}

function slopeRow({ line, unit, points, fit }: Slope): string {
  const groups = [...bySize(points)];
  const sizes = groups.map(([x]) => x).join(', ');
  const medians = groups.map(([, ys]) => round(median(ys))).join(', ');
  const cells = [line, unit, sizes, medians, round(fit.slope), round(fit.intercept)];
  const quality = [fit.r2.toFixed(4), percent(fit.worstMiss), percent(fit.spread)];
  return `| ${[...cells, ...quality].join(' | ')} |`;
}

function baseRow({ process: name, residentMib, anonymousMib, cpuPercent }: BaseCost): string {
  const cells = [residentMib.toFixed(1), anonymousMib.toFixed(1), cpuPercent.toFixed(2)];
  return `| ${[name, ...cells].join(' | ')} |`;
}

function printTable(slopes: readonly Slope[], bases: readonly BaseCost[]): void {
  print(
    '| line | unit of the slope | sizes | medians | slope | intercept | r2 | largest residual | spread of repeats |',
  );
  print('|---|---|---|---|---|---|---|---|---|');
  for (const slope of slopes) print(slopeRow(slope));
  if (bases.length === 0) return;
  print('');
  print('| process | resident MiB | anonymous MiB | % of a core |');
  print('|---|---|---|---|');
  for (const base of bases) print(baseRow(base));
}

const only = process.argv.find((arg) => arg.startsWith('--only='))?.slice('--only='.length);
const slopes: Slope[] = [];
for (const [name, measure] of Object.entries(parts)) {
  if (only === undefined || only === name) slopes.push(...(await measure()));
}
const bases = only === undefined || only === 'base' ? await baseCosts() : [];
if (process.argv.includes('--json')) print(JSON.stringify({ slopes, bases }, undefined, 2));
else printTable(slopes, bases);
