/** Ids of the benchmarks, as given on the command line and printed in reports. */
export enum BenchmarkId {
  HeadOfLine = 'head_of_line',
  Overload = 'overload',
  /** Services whose demand peaks one after the other. */
  RotatingPeaks = 'turns',
  Dissemination = 'dissemination',
  Buffer = 'buffer',
  PeakOrder = 'peak_order',
}

/** Whether a bound is an upper or a lower limit. */
export enum BoundKind {
  AtMost = 'at_most',
  AtLeast = 'at_least',
}

/** Limit that a figure must meet. */
export interface Bound {
  kind: BoundKind;
  value: number;
}

/** One measured value. */
export interface Figure {
  /** Measured variant, such as a policy. */
  variant: string;
  name: string;
  value: number;
  unit: string;
  bound?: Bound;
}

/** A benchmark, run under virtual time with a fixed seed. */
export interface Benchmark {
  id: BenchmarkId;
  title: string;
  run: (seed: number) => Promise<Figure[]>;
}

/** Result of one benchmark run. */
export interface BenchmarkReport {
  id: BenchmarkId;
  title: string;
  seed: number;
  figures: Figure[];
}
