/** One measurement at one size. */
export interface Point {
  /** Size, such as a number of VMs. */
  x: number;
  y: number;
}

/** Straight line through points by least squares. */
export interface Fit {
  slope: number;
  intercept: number;
  /** Share of the variance that the line explains, from 0 to 1. */
  r2: number;
  /** Largest distance of the median of one size from the line, relative to the largest median. */
  worstMiss: number;
  /** Largest range over the repeats of one size, relative to the largest median. */
  spread: number;
}

/** Measurements of one quantity at several sizes. */
export interface Slope {
  /** What is measured. */
  line: string;
  /** Unit of the slope, such as `bytes per VM`. */
  unit: string;
  points: Point[];
  fit: Fit;
}

/** Shortest processor time of one measurement in microseconds; shorter ones are too coarse. */
const MIN_CPU_US = 20_000;

/** Fits a line through points that may repeat sizes. */
export function fitLine(points: readonly Point[]): Fit {
  const n = points.length;
  const meanX = sum(points.map(({ x }) => x)) / n;
  const meanY = sum(points.map(({ y }) => y)) / n;
  const sxx = sum(points.map(({ x }) => (x - meanX) ** 2));
  const sxy = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const intercept = meanY - slope * meanX;
  const total = sum(points.map(({ y }) => (y - meanY) ** 2));
  const residualSum = sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2));
  const groups = [...bySize(points)].map(([x, ys]) => ({ x, ys, medianY: median(ys) }));
  const largest = Math.max(...groups.map(({ medianY }) => Math.abs(medianY)));
  const residuals = groups.map(({ x, medianY }) => Math.abs(medianY - intercept - slope * x));
  const ranges = groups.map(({ ys }) => Math.max(...ys) - Math.min(...ys));
  return {
    slope,
    intercept,
    r2: total === 0 ? 1 : 1 - residualSum / total,
    worstMiss: relative(Math.max(...residuals), largest),
    spread: relative(Math.max(...ranges), largest),
  };
}

/** Measures a quantity several times at each size and fits a line. */
export async function measureSlope(
  line: string,
  unit: string,
  sizes: readonly number[],
  repeats: number,
  measure: (size: number) => number | Promise<number>,
): Promise<Slope> {
  const points: Point[] = [];
  // The first run pays for compilation.
  for (const size of sizes) await measure(size);
  for (let repeat = 0; repeat < repeats; repeat++) {
    for (const x of sizes) points.push({ x, y: await measure(x) });
  }
  return { line, unit, points, fit: fitLine(points) };
}

/** Processor time of one call in microseconds, collection of its garbage included. */
export function cpuOf(run: () => void): number {
  run();
  let calls = 1;
  for (;;) {
    const start = process.cpuUsage();
    for (let call = 0; call < calls; call++) run();
    const { user, system } = process.cpuUsage(start);
    if (user + system >= MIN_CPU_US) return (user + system) / calls;
    calls *= 2;
  }
}

/** Heap and buffers in bytes that what `build` returns keeps alive; needs `--expose-gc`. */
export async function memoryOf(build: () => unknown): Promise<number> {
  const before = await memoryAfterGc();
  const result = await build();
  const after = await memoryAfterGc();
  // Keeps the result reachable until here.
  return result === undefined ? 0 : after - before;
}

async function memoryAfterGc(): Promise<number> {
  if (!globalThis.gc) throw new Error('memory is measured with node --expose-gc');
  for (let round = 0; round < 4; round++) {
    globalThis.gc();
    await new Promise((resolve) => setImmediate(resolve));
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Middle value, or the mean of the two middle ones. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const low = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  const high = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return (low + high) / 2;
}

/** Values by size, in the order of the sizes. */
export function bySize(points: readonly Point[]): Map<number, number[]> {
  const groups = new Map<number, number[]>();
  for (const { x, y } of points) groups.set(x, [...(groups.get(x) ?? []), y]);
  return groups;
}

function relative(part: number, whole: number): number {
  return whole === 0 ? 0 : Math.abs(part / whole);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
