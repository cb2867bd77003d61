/** One measurement at one size. */
export interface Point {
  /** Size, such as a number of VMs. */
  x: number;
  y: number;
}

/** Straight line fitted to points by least squares. */
export interface Fit {
  slope: number;
  intercept: number;
  /** Coefficient of determination, from 0 to 1. */
  r2: number;
  /** Largest residual of the median of a size, relative to the largest median. */
  worstMiss: number;
  /** Largest range over the repeats of a size, relative to the largest median. */
  spread: number;
}

/** Measurements of one quantity at several sizes, and the line fitted to them. */
export interface Slope {
  /** Name of the measured quantity. */
  line: string;
  /** Unit of the slope, such as `bytes per VM`. */
  unit: string;
  points: Point[];
  fit: Fit;
}

/** Minimum CPU time of one measurement in microseconds; shorter measurements are too imprecise. */
const MIN_CPU_US = 20_000;

/** Fits a line to points; several points may have the same size. */
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
  // Warm-up, so that JIT compilation is not measured.
  for (const size of sizes) await measure(size);
  for (let repeat = 0; repeat < repeats; repeat++) {
    for (const x of sizes) points.push({ x, y: await measure(x) });
  }
  return { line, unit, points, fit: fitLine(points) };
}

/** Measures the CPU time of one call in microseconds, garbage collection included. */
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

/**
 * Measures the bytes of heap and array buffers retained by the result of `build`. Requires
 * `--expose-gc`.
 */
export async function memoryOf(build: () => unknown): Promise<number> {
  const before = await memoryAfterGc();
  const result = await build();
  const after = await memoryAfterGc();
  // This use keeps the result reachable until here.
  return result === undefined ? 0 : after - before;
}

async function memoryAfterGc(): Promise<number> {
  if (!globalThis.gc) throw new Error('measuring memory requires node --expose-gc');
  for (let round = 0; round < 4; round++) {
    globalThis.gc();
    await new Promise((resolve) => setImmediate(resolve));
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Median, with the mean of the two middle values if their number is even. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const low = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  const high = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return (low + high) / 2;
}

/** Groups values by size, in the order in which sizes first occur. */
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
