import { Result } from 'true-myth';
import { runTimesDefaults } from './defaults.js';
import { KeyModel, type Moments } from './keyModel.js';
import { RunTimesError, RunTimesErrorCode, type TimedStep } from './types.js';

const { maxKeys, maxNameLength, maxSnapshotBytes } = runTimesDefaults;
const SNAPSHOT_VERSION = 1;
const MOMENT_COUNT = 7;
/** Prefix of the image in the key of steps without a declared estimate; no image contains it. */
const UNDECLARED_PREFIX = '\u0000';

/** One key in a snapshot. */
type SnapshotEntry = [queue: string, image: string, moments: Moments, ratios: [number, number][]];

/**
 * Learns per queue and image what tasks take compared with their declared estimates. Memory is
 * bounded: the least recently used key is evicted.
 */
export class RunTimes {
  /** Models by queue and image; predictions look them up without creating a key. */
  readonly #queues = new Map<string, Map<string, KeyModel>>();
  #size = 0;
  #uses = 0;
  #observed = 0;
  #evicted = 0;

  /** Number of keys. */
  get size(): number {
    return this.#size;
  }

  /** Number of samples recorded by this process. */
  get observed(): number {
    return this.#observed;
  }

  /** Number of keys evicted. */
  get evicted(): number {
    return this.#evicted;
  }

  /** Number of samples behind all keys, including those of a snapshot. */
  get samples(): number {
    let sum = 0;
    for (const [, , model] of this.#models()) sum += model.count;
    return sum;
  }

  /** Predicts the run time of a task in milliseconds. */
  predictMs(step: TimedStep, queue: string): number {
    if (step.isLasting) return step.estimateMs;
    const model = this.#find(step, queue);
    return model ? model.predictMs(step.estimateMs) : step.estimateMs;
  }

  /**
   * Run time in milliseconds that a share of the tasks like this stays below; undefined while too
   * few have run.
   */
  quantileMs(step: TimedStep, queue: string, share: number): number | undefined {
    return this.#find(step, queue)?.quantileMs(step.estimateMs, share);
  }

  /**
   * Expected time in milliseconds until a task ends that has run for `elapsedMs`. Where no run took
   * longer than that, it is expected to take as long again.
   */
  expectedRemainderMs(step: TimedStep, queue: string, elapsedMs: number): number {
    const mean = this.#find(step, queue)?.meanAboveMs(step.estimateMs, elapsedMs);
    return mean === undefined ? elapsedMs : Math.max(0, mean - elapsedMs);
  }

  /** Records the run time in milliseconds of a run that ended and was not slowed or interrupted. */
  observe(step: TimedStep, queue: string, ranMs: number): void {
    this.#observed++;
    const image = imageKeyOf(step);
    const model = this.#find(step, queue) ?? this.#create(cut(queue), image);
    model.observe(step.estimateMs, ranMs);
  }

  #find(step: TimedStep, queue: string): KeyModel | undefined {
    const model = this.#queues.get(cut(queue))?.get(imageKeyOf(step));
    if (model) model.usedAt = ++this.#uses;
    return model;
  }

  #create(queue: string, image: string): KeyModel {
    if (this.#size >= maxKeys) this.#evict();
    const model = new KeyModel(!image.startsWith(UNDECLARED_PREFIX));
    model.usedAt = ++this.#uses;
    const images = this.#queues.get(queue) ?? new Map<string, KeyModel>();
    images.set(image, model);
    this.#queues.set(queue, images);
    this.#size++;
    return model;
  }

  #evict(): void {
    let oldest: [queue: string, image: string, model: KeyModel] | undefined;
    for (const entry of this.#models()) {
      if (!oldest || entry[2].usedAt < oldest[2].usedAt) oldest = entry;
    }
    if (!oldest) return;
    const [queue, image] = oldest;
    const images = this.#queues.get(queue);
    images?.delete(image);
    if (images?.size === 0) this.#queues.delete(queue);
    this.#size--;
    this.#evicted++;
  }

  *#models(): Generator<[queue: string, image: string, model: KeyModel]> {
    for (const [queue, images] of this.#queues) {
      for (const [image, model] of images) yield [queue, image, model];
    }
  }

  /** Encodes what was learned for a successor; most recently used keys first, up to a size. */
  encode(maxBytes = maxSnapshotBytes): string {
    const models = [...this.#models()].sort(([, , a], [, , b]) => b.usedAt - a.usedAt);
    const entries: string[] = [];
    let bytes = `{"version":${SNAPSHOT_VERSION},"keys":[]}`.length;
    for (const [queue, image, model] of models) {
      const entry: SnapshotEntry = [queue, image, model.encode(), model.ratios.encode()];
      const text = JSON.stringify(entry);
      bytes += Buffer.byteLength(text) + 1;
      if (bytes > Math.min(maxBytes, maxSnapshotBytes)) break;
      entries.push(text);
    }
    return `{"version":${SNAPSHOT_VERSION},"keys":[${entries.join(',')}]}`;
  }

  /**
   * Adds the keys of a snapshot for which nothing was learned here. A snapshot that is invalid in
   * any part is ignored as a whole.
   *
   * @returns number of keys added
   */
  restore(text: string): Result<number, RunTimesError> {
    const decoded = decode(text);
    if (decoded.isErr) return Result.err(decoded.error);
    let added = 0;
    // Most recently used keys come first in a snapshot, and have to be added last.
    for (const [queue, image, model] of decoded.value.reverse()) {
      if (this.#size >= maxKeys || this.#queues.get(queue)?.has(image)) continue;
      const images = this.#queues.get(queue) ?? new Map<string, KeyModel>();
      model.usedAt = ++this.#uses;
      this.#queues.set(queue, images.set(image, model));
      this.#size++;
      added++;
    }
    return Result.ok(added);
  }
}

function decode(text: string): Result<[string, string, KeyModel][], RunTimesError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    const message = 'snapshot of run times is not JSON';
    return Result.err(new RunTimesError(RunTimesErrorCode.NotJson, message, err));
  }
  const { version, keys } = (value ?? {}) as { version?: unknown; keys?: unknown };
  if (version !== SNAPSHOT_VERSION || !Array.isArray(keys)) return malformed('version or keys');
  if (keys.length > maxKeys) return malformed(`${keys.length} keys`);
  const models: [string, string, KeyModel][] = [];
  for (const [index, entry] of keys.entries()) {
    const model = decodeEntry(entry);
    if (!model) return malformed(`key ${index}`);
    models.push(model);
  }
  return Result.ok(models);
}

function malformed(where: string): Result<never, RunTimesError> {
  const message = `snapshot of run times: ${where} not as expected`;
  return Result.err(new RunTimesError(RunTimesErrorCode.Malformed, message));
}

function decodeEntry(entry: unknown): [string, string, KeyModel] | undefined {
  if (!Array.isArray(entry)) return undefined;
  const [queue, image, moments, ratios] = entry as unknown[];
  if (typeof queue !== 'string' || typeof image !== 'string') return undefined;
  if (queue.length > maxNameLength || image.length > maxNameLength + 1) return undefined;
  if (!Array.isArray(moments) || !Array.isArray(ratios)) return undefined;
  if (moments.length !== MOMENT_COUNT || !moments.every(isReasonable)) return undefined;
  const [count, weight, , , sumXX, , sumZZ] = moments as Moments;
  if (count < 1 || weight <= 0 || sumXX < 0 || sumZZ < 0) return undefined;
  const model = new KeyModel(!image.startsWith(UNDECLARED_PREFIX));
  if (!model.ratios.restore(ratios)) return undefined;
  model.restore(moments as Moments);
  return [queue, image, model];
}

/** Whether a value is a number whose use cannot overflow. */
function isReasonable(value: unknown): boolean {
  return typeof value === 'number' && Math.abs(value) < 1e9;
}

/** Keeps the end of a long name, which tells images of one registry apart. */
function cut(name: string): string {
  return name.length > maxNameLength ? name.slice(-maxNameLength) : name;
}

function imageKeyOf({ image, estimateMs }: TimedStep): string {
  return estimateMs > 0 ? cut(image) : UNDECLARED_PREFIX + cut(image);
}
