import { createBufferBenchmark } from './bufferBenchmark.js';
import { createDisseminationBenchmark } from './disseminationBenchmark.js';
import { createHeadOfLineBenchmark } from './headOfLine.js';
import { createOverloadBenchmark } from './overload.js';
import { createPeakOrderBenchmark } from './peakOrder.js';
import { createRotatingPeaksBenchmark } from './rotatingPeaks.js';
import { BenchmarkId, type Benchmark } from './types.js';

/** Benchmarks by id, in execution order. */
export const benchmarks: Record<BenchmarkId, Benchmark> = {
  [BenchmarkId.HeadOfLine]: createHeadOfLineBenchmark(),
  [BenchmarkId.Overload]: createOverloadBenchmark(),
  [BenchmarkId.RotatingPeaks]: createRotatingPeaksBenchmark(),
  [BenchmarkId.Dissemination]: createDisseminationBenchmark(),
  [BenchmarkId.Buffer]: createBufferBenchmark(),
  [BenchmarkId.PeakOrder]: createPeakOrderBenchmark(),
};
