/** Benchmarks; each has an entry in the registry. */
export enum BenchmarkId {
  HeadOfLine = 'head_of_line',
  Overload = 'overload',
  RotatingPeaks = 'turns',
  Dissemination = 'dissemination',
  Buffer = 'buffer',
  PeakOrder = 'peak_order',
}

/** Side on which a figure must stay of its bound. */
export enum BoundKind {
  AtMost = 'at_most',
  AtLeast = 'at_least',
}

/** What a figure must not exceed or fall below. */
export interface Bound {
  kind: BoundKind;
  value: number;
}

/** One measured value. */
export interface Figure {
  /** Variant that was measured, such as a policy. */
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

/** Figures of one benchmark. */
export interface BenchmarkReport {
  id: BenchmarkId;
  title: string;
  seed: number;
  figures: Figure[];
}
