import { createBufferBenchmark } from './bufferBenchmark.js';
import { createDisseminationBenchmark } from './disseminationBenchmark.js';
import { createHeadOfLine } from './headOfLine.js';
import { createOverload } from './overload.js';
import { createPeakOrder } from './peakOrder.js';
import { createTurns } from './turns.js';
import { BenchmarkId, type Benchmark } from './types.js';

/** Benchmarks by id, in the order in which they run. */
export const benchmarks: Record<BenchmarkId, Benchmark> = {
  [BenchmarkId.HeadOfLine]: createHeadOfLine(),
  [BenchmarkId.Overload]: createOverload(),
  [BenchmarkId.Turns]: createTurns(),
  [BenchmarkId.Dissemination]: createDisseminationBenchmark(),
  [BenchmarkId.Buffer]: createBufferBenchmark(),
  [BenchmarkId.PeakOrder]: createPeakOrder(),
};
