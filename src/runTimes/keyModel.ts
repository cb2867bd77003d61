import { runTimesDefaults } from './defaults.js';
import { RatioHistogram } from './ratioHistogram.js';

const { minSamples, windowSamples, minRatios } = runTimesDefaults;
const DECAY = 1 - 1 / windowSamples;
/** Samples by which the correction of the declared estimates is pulled towards none. */
const OFFSET_PRIOR_SAMPLES = 5;
/** Sum of squares by which the weight of the declared estimate is pulled towards 1. */
const SLOPE_PRIOR = 0.5;
/** Limits of the weight of the declared estimate, less 1. */
const MIN_SLOPE = -1;
const MAX_SLOPE = 0.2;
/**
 * Samples farther from the prediction than this many standard deviations, and at least this
 * logarithm, count as if they were there. 3 of 100 runs take seven times as long, and runs on slow
 * workers five times; they would raise all predictions otherwise.
 */
const CLIP_DEVIATIONS = 2;
const MIN_CLIP = 0.7;

/** Numbers that a snapshot holds of a model, apart from its histogram. */
export type Moments = [
  count: number,
  weight: number,
  meanX: number,
  meanZ: number,
  sumXX: number,
  sumXZ: number,
  sumZZ: number,
];

/**
 * What the tasks of one queue and image take. It is a linear regression of the logarithm of run
 * times on that of declared estimates, with exponentially decaying weights: where declared
 * estimates tell little about the run times, the prediction approaches the learned mean, and where
 * they tell much, it follows the declared estimate.
 */
export class KeyModel {
  readonly ratios = new RatioHistogram();
  /** Order of the last use, for eviction. */
  usedAt = 0;
  readonly #isDeclared: boolean;
  #count = 0;
  #weight = 0;
  /** `x` is the logarithm of the declared estimate, `z` that of run time by declared estimate. */
  #meanX = 0;
  #meanZ = 0;
  #sumXX = 0;
  #sumXZ = 0;
  #sumZZ = 0;
  /** Coefficients, computed after each change: the logarithm is `x + offset + slope * x`. */
  #offset = 0;
  #slope = 0;
  #clip = Infinity;

  /** @param isDeclared - false for a model of steps without a declared estimate */
  constructor(isDeclared: boolean) {
    this.#isDeclared = isDeclared;
  }

  /** Number of samples. */
  get count(): number {
    return this.#count;
  }

  /** Predicted run time in milliseconds; the declared estimate while there are few samples. */
  predictMs(declaredMs: number): number {
    if (this.#count < minSamples) return declaredMs;
    const x = this.#logOf(declaredMs);
    return Math.exp(x + this.#offset + this.#slope * x);
  }

  /** Run time in milliseconds that a share of the tasks stays below; undefined if unknown. */
  quantileMs(declaredMs: number, share: number): number | undefined {
    if (this.ratios.total < minRatios) return undefined;
    return this.predictMs(declaredMs) * this.ratios.quantile(share);
  }

  /** Mean run time in milliseconds of the runs that took longer than `elapsedMs`, if there are. */
  meanAboveMs(declaredMs: number, elapsedMs: number): number | undefined {
    const predictedMs = this.predictMs(declaredMs);
    if (predictedMs <= 0) return undefined;
    const ratio = this.ratios.meanAbove(elapsedMs / predictedMs);
    return ratio === undefined ? undefined : ratio * predictedMs;
  }

  observe(declaredMs: number, ranMs: number): void {
    const x = this.#logOf(declaredMs);
    const y = Math.log(Math.max(1, ranMs));
    const expected = x + this.#offset + this.#slope * x;
    if (this.#count >= minSamples) this.ratios.add(Math.exp(y - expected), DECAY);
    const clipped = Math.max(expected - this.#clip, Math.min(expected + this.#clip, y));
    this.#add(x, clipped - x);
    this.#update();
  }

  #logOf(declaredMs: number): number {
    return this.#isDeclared ? Math.log(Math.max(1, declaredMs)) : 0;
  }

  #add(x: number, z: number): void {
    this.#count++;
    this.#weight = this.#weight * DECAY + 1;
    const dx = x - this.#meanX;
    const dz = z - this.#meanZ;
    this.#meanX += dx / this.#weight;
    this.#meanZ += dz / this.#weight;
    this.#sumXX = this.#sumXX * DECAY + dx * (x - this.#meanX);
    this.#sumXZ = this.#sumXZ * DECAY + dx * (z - this.#meanZ);
    this.#sumZZ = this.#sumZZ * DECAY + dz * (z - this.#meanZ);
  }

  #update(): void {
    if (this.#count < minSamples) return;
    const fitted = this.#sumXZ / (this.#sumXX + SLOPE_PRIOR);
    const slope = Math.max(MIN_SLOPE, Math.min(MAX_SLOPE, fitted));
    // Without a declared estimate there is nothing to pull the learned mean towards.
    const prior = this.#isDeclared ? OFFSET_PRIOR_SAMPLES : 0;
    const trust = this.#weight / (this.#weight + prior);
    this.#slope = slope * trust;
    this.#offset = trust * (this.#meanZ - slope * this.#meanX);
    const squares = this.#sumZZ - 2 * slope * this.#sumXZ + slope ** 2 * this.#sumXX;
    const deviation = Math.sqrt(Math.max(0, squares) / this.#weight);
    this.#clip = Math.max(MIN_CLIP, CLIP_DEVIATIONS * deviation);
  }

  encode(): Moments {
    const round = (value: number) => Number(value.toPrecision(5));
    return [
      this.#count,
      round(this.#weight),
      round(this.#meanX),
      round(this.#meanZ),
      round(this.#sumXX),
      round(this.#sumXZ),
      round(this.#sumZZ),
    ];
  }

  /** Replaces the state by that of {@link encode}. */
  restore([count, weight, meanX, meanZ, sumXX, sumXZ, sumZZ]: Moments): void {
    this.#count = count;
    this.#weight = weight;
    this.#meanX = meanX;
    this.#meanZ = meanZ;
    this.#sumXX = sumXX;
    this.#sumXZ = sumXZ;
    this.#sumZZ = sumZZ;
    this.#update();
  }
}
