/** Buckets of the ratios grow by a factor of the fourth root of 2, from 1/8 to 16. */
const BUCKETS_PER_OCTAVE = 4;
const LOWEST_OCTAVE = -3;
const BUCKET_COUNT = 7 * BUCKETS_PER_OCTAVE + 1;

/**
 * Histogram of the ratio of run times to their predictions, with exponentially decaying counts in
 * fixed logarithmic buckets. It takes 116 bytes; an hdr histogram of this range takes several
 * kilobytes.
 */
export class RatioHistogram {
  readonly #counts = new Float32Array(BUCKET_COUNT);
  #total = 0;

  /** Decayed number of ratios. */
  get total(): number {
    return this.#total;
  }

  add(ratio: number, decay: number): void {
    for (let i = 0; i < BUCKET_COUNT; i++) this.#counts[i] = (this.#counts[i] ?? 0) * decay;
    const bucket = bucketOf(ratio);
    this.#counts[bucket] = (this.#counts[bucket] ?? 0) + 1;
    this.#total = this.#total * decay + 1;
  }

  /** Upper bound of the bucket that contains a quantile. */
  quantile(share: number): number {
    let remaining = share * this.#total;
    for (let i = 0; i < BUCKET_COUNT; i++) {
      remaining -= this.#counts[i] ?? 0;
      if (remaining <= 0) return upperBoundOf(i);
    }
    return upperBoundOf(BUCKET_COUNT - 1);
  }

  /** Mean of the ratios in the buckets above that of `ratio`; undefined if there are none. */
  meanAbove(ratio: number): number | undefined {
    let count = 0;
    let sum = 0;
    for (let i = bucketOf(ratio) + 1; i < BUCKET_COUNT; i++) {
      const here = this.#counts[i] ?? 0;
      count += here;
      sum += here * upperBoundOf(i - 0.5);
    }
    // Less than half a ratio is what decay has left of old ones.
    return count < 0.5 ? undefined : sum / count;
  }

  /** Pairs of a bucket and its count, for buckets that are not nearly empty. */
  encode(): [bucket: number, count: number][] {
    const pairs: [number, number][] = [];
    for (const [bucket, count] of this.#counts.entries()) {
      if (count >= 0.1) pairs.push([bucket, Math.round(count * 10) / 10]);
    }
    return pairs;
  }

  /** Replaces the counts by those of {@link encode}; returns false if they are invalid. */
  restore(pairs: readonly unknown[]): boolean {
    this.#counts.fill(0);
    this.#total = 0;
    for (const pair of pairs) {
      if (!Array.isArray(pair)) return false;
      const [bucket, count] = pair as unknown[];
      if (!Number.isInteger(bucket) || (bucket as number) < 0) return false;
      if ((bucket as number) >= BUCKET_COUNT) return false;
      if (typeof count !== 'number' || !Number.isFinite(count) || count < 0) return false;
      this.#counts[bucket as number] = count;
      this.#total += count;
    }
    return true;
  }
}

function bucketOf(ratio: number): number {
  const bucket = Math.ceil((Math.log2(ratio) - LOWEST_OCTAVE) * BUCKETS_PER_OCTAVE);
  return Math.max(0, Math.min(BUCKET_COUNT - 1, bucket));
}

function upperBoundOf(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_OCTAVE + LOWEST_OCTAVE);
}
