import test from 'ava';
import { createRandom, type Random } from '../random/index.js';
import { runTimesDefaults } from './defaults.js';
import { RunTimes } from './runTimes.js';
import { RunTimesErrorCode, type TimedStep } from './types.js';

const QUEUE = 'queue';

function step(estimateMs: number, image = 'image', isLasting = false): TimedStep {
  return { estimateMs, image, isLasting };
}

/** A step of the measured day: its true mean, what its caller declared, and its tasks' times. */
interface SampleStep {
  meanMs: number;
  step: TimedStep;
  times: number[];
}

/** Options of {@link sampleStep}. */
interface Load {
  /** Largest share by which a declared estimate deviates from the true mean. */
  deviation: number;
  /** Largest factor between the true means of steps of one image. */
  range: number;
}

/** Tasks vary by 0.5 around the mean of their step; 3 of 100 take seven times as long. */
function sampleStep(random: Random, image: string, { deviation, range }: Load): SampleStep {
  const meanMs = 400 * range ** random.next();
  const declared = meanMs * (1 + deviation * (2 * random.next() - 1));
  const times = Array.from({ length: 13 }, () => {
    const ranMs = meanMs * (0.5 + random.next());
    return random.next() < 0.03 ? ranMs * 7 : ranMs;
  });
  return { meanMs, step: step(declared, image), times };
}

/** Mean absolute log errors of predictions and of declared estimates after `learned` steps. */
function measureErrors(load: Load, learned: number): { predicted: number; declared: number } {
  const random = createRandom(7);
  const runTimes = new RunTimes();
  const images = ['a', 'b', 'c'];
  for (let i = 0; i < learned; i++) {
    const sample = sampleStep(random, random.pick(images), load);
    for (const ranMs of sample.times) runTimes.observe(sample.step, QUEUE, ranMs);
  }
  let predicted = 0;
  let declared = 0;
  const checks = 500;
  for (let i = 0; i < checks; i++) {
    const sample = sampleStep(random, random.pick(images), load);
    const logError = (ms: number) => Math.abs(Math.log(ms / sample.meanMs)) / checks;
    predicted += logError(runTimes.predictMs(sample.step, QUEUE));
    declared += logError(sample.step.estimateMs);
  }
  return { predicted, declared };
}

interface ErrorCase extends Load {
  /** Largest error of the predictions as a share of that of the declared estimates. */
  maxShare: number;
}

// Guards against predictions that are worse than the declared estimates which they replace.
const errorCases: ErrorCase[] = [
  { deviation: 0.2, range: 1.2, maxShare: 0.9 },
  { deviation: 0.5, range: 1.2, maxShare: 0.5 },
  { deviation: 0.9, range: 1.2, maxShare: 0.3 },
  { deviation: 0.2, range: 4, maxShare: 1.1 },
  { deviation: 0.5, range: 4, maxShare: 0.95 },
  { deviation: 0.9, range: 4, maxShare: 0.8 },
];

for (const { maxShare, ...load } of errorCases) {
  const { deviation, range } = load;
  test(`estimates off by ${deviation}, means within a factor of ${range}: error at most ${maxShare} of the declared`, (t) => {
    const { predicted, declared } = measureErrors(load, 300);
    t.log(`predicted ${predicted.toFixed(3)}, declared ${declared.toFixed(3)}`);
    t.true(predicted <= declared * maxShare);
  });
}

test('declared estimates that are right stay nearly as they are', (t) => {
  // Guards against learned noise that makes exact estimates worse.
  for (const range of [1, 1.2, 4, 20]) {
    const { predicted } = measureErrors({ deviation: 0, range }, 300);
    t.log(`range ${range}: ${predicted.toFixed(3)}`);
    t.true(predicted < 0.08);
  }
});

interface ExactCase {
  title: string;
  step: TimedStep;
  /** Run times recorded for the step before, in milliseconds. */
  times: number[];
}

const repeat = (count: number, ms: number): number[] => Array.from({ length: count }, () => ms);

const exactCases: ExactCase[] = [
  { title: 'nothing was recorded', step: step(512.25), times: [] },
  { title: 'one sample too few was recorded', step: step(512.25), times: repeat(9, 2_000) },
  { title: 'no estimate was declared', step: step(0), times: [] },
  { title: 'the task is long-running', step: step(300, 'i', true), times: repeat(50, 900) },
];

for (const { title, step: its, times } of exactCases) {
  test(`the prediction is exactly the declared estimate when ${title}`, (t) => {
    const runTimes = new RunTimes();
    for (const ranMs of times) runTimes.observe({ ...its, isLasting: false }, QUEUE, ranMs);
    t.is(runTimes.predictMs(its, QUEUE), its.estimateMs);
  });
}

test('a step without a declared estimate is predicted by what its image took', (t) => {
  const runTimes = new RunTimes();
  for (let i = 0; i < 50; i++) runTimes.observe(step(0), QUEUE, 800);
  for (let i = 0; i < 50; i++) runTimes.observe(step(100), QUEUE, 100);
  t.true(Math.abs(runTimes.predictMs(step(0), QUEUE) - 800) < 10);
});

test('what a queue and image take does not affect others', (t) => {
  const runTimes = new RunTimes();
  for (let i = 0; i < 50; i++) runTimes.observe(step(500, 'slow'), QUEUE, 2_000);
  t.is(runTimes.predictMs(step(500, 'other'), QUEUE), 500);
  t.is(runTimes.predictMs(step(500, 'slow'), 'other'), 500);
  t.true(runTimes.predictMs(step(500, 'slow'), QUEUE) > 1_500);
});

test('the 95th percentile lies between usual runs and stragglers', (t) => {
  const random = createRandom(3);
  const runTimes = new RunTimes();
  t.is(runTimes.quantileMs(step(500), QUEUE, 0.95), undefined);
  for (let i = 0; i < 400; i++) {
    const ranMs = 500 * (0.5 + random.next());
    runTimes.observe(step(500), QUEUE, i % 33 === 0 ? ranMs * 7 : ranMs);
  }
  const p95 = runTimes.quantileMs(step(500), QUEUE, 0.95) ?? 0;
  t.true(p95 >= 600 && p95 <= 1_000, String(p95));
  // A run that is beyond the usual ones is expected to take several times as long.
  t.true(runTimes.expectedRemainderMs(step(500), QUEUE, 1_100) > 1_000);
  t.is(runTimes.expectedRemainderMs(step(500, 'unknown'), QUEUE, 700), 700);
});

test('runs that take seven times as long do not raise the predictions of the others', (t) => {
  const predictWith = (stragglerShare: number) => {
    const random = createRandom(11);
    const runTimes = new RunTimes();
    for (let i = 0; i < 1_000; i++) {
      const factor = random.next() < stragglerShare ? 7 : 1;
      runTimes.observe(step(500), QUEUE, 500 * (0.5 + random.next()) * factor);
    }
    return runTimes.predictMs(step(500), QUEUE);
  };
  const usualMs = predictWith(0);
  t.true(predictWith(0.03) < usualMs * 1.05);
  t.true(predictWith(0.1) < usualMs * 1.15);
});

test('10,000 keys take the memory of 256, and the keys in use stay', (t) => {
  const runTimes = new RunTimes();
  const used = step(500, 'used');
  for (let i = 0; i < 50; i++) runTimes.observe(used, QUEUE, 1_000);
  for (let i = 0; i < 10_000; i++) {
    runTimes.observe(
      step(500, `${'registry/'.repeat(100)}${i}`),
      `${'q'.repeat(1_000)}${i % 40}`,
      900,
    );
    runTimes.predictMs(used, QUEUE);
  }
  t.is(runTimes.size, runTimesDefaults.maxKeys);
  t.is(runTimes.evicted, 10_001 - runTimesDefaults.maxKeys);
  t.true(runTimes.predictMs(used, QUEUE) > 800);
  const snapshot = runTimes.encode();
  t.true(Buffer.byteLength(snapshot) <= runTimesDefaults.maxSnapshotBytes);
  const { keys } = JSON.parse(snapshot) as { keys: [queue: string, image: string][] };
  t.true(keys.length > 30);
  const { maxNameLength } = runTimesDefaults;
  t.true(keys.every(([queue, image]) => Math.max(queue.length, image.length) <= maxNameLength));
});

test('a successor predicts what its predecessor predicted', (t) => {
  const random = createRandom(5);
  const before = new RunTimes();
  for (let i = 0; i < 2_000; i++) {
    const estimateMs = 200 + 800 * random.next();
    const image = `image-${i % 5}`;
    before.observe(
      step(estimateMs, image),
      QUEUE,
      estimateMs * (1 + (i % 5)) * (0.5 + random.next()),
    );
  }
  const after = new RunTimes();
  t.is(after.restore(before.encode()).unwrapOr(0), 5);
  for (let i = 0; i < 5; i++) {
    const its = step(500, `image-${i}`);
    const expected = before.predictMs(its, QUEUE);
    t.true(Math.abs(after.predictMs(its, QUEUE) / expected - 1) < 0.001);
    const quantileMs = before.quantileMs(its, QUEUE, 0.95) ?? 0;
    t.true(Math.abs((after.quantileMs(its, QUEUE, 0.95) ?? 0) / quantileMs - 1) < 0.001);
  }
});

test('what was learned here is not replaced by a snapshot', (t) => {
  const before = new RunTimes();
  for (let i = 0; i < 100; i++) before.observe(step(500), QUEUE, 5_000);
  const after = new RunTimes();
  for (let i = 0; i < 100; i++) after.observe(step(500), QUEUE, 500);
  t.is(after.restore(before.encode()).unwrapOr(-1), 0);
  t.true(after.predictMs(step(500), QUEUE) < 600);
});

const moments = '[20,19,6,0.5,1,0,1]';
const unreadable: [title: string, text: string, code: RunTimesErrorCode][] = [
  ['no JSON', '{"version":1,"keys":[', RunTimesErrorCode.NotJson],
  ['an empty text', '', RunTimesErrorCode.NotJson],
  ['null', 'null', RunTimesErrorCode.Malformed],
  ['another version', '{"version":2,"keys":[]}', RunTimesErrorCode.Malformed],
  ['keys that are no list', '{"version":1,"keys":{}}', RunTimesErrorCode.Malformed],
  ['an entry that is no list', '{"version":1,"keys":[7]}', RunTimesErrorCode.Malformed],
  [
    'a missing number',
    '{"version":1,"keys":[["q","i",[20,19,6,0.5,1,0],[]]]}',
    RunTimesErrorCode.Malformed,
  ],
  [
    'a number that is a text',
    '{"version":1,"keys":[["q","i",[20,19,"6",0.5,1,0,1],[]]]}',
    RunTimesErrorCode.Malformed,
  ],
  [
    'a negative weight',
    '{"version":1,"keys":[["q","i",[20,-19,6,0.5,1,0,1],[]]]}',
    RunTimesErrorCode.Malformed,
  ],
  [
    'a bucket out of range',
    `{"version":1,"keys":[["q","i",${moments},[[99,1]]]]}`,
    RunTimesErrorCode.Malformed,
  ],
  [
    'an endless count',
    `{"version":1,"keys":[["q","i",${moments},[[1,1e999]]]]}`,
    RunTimesErrorCode.Malformed,
  ],
  [
    'too many keys',
    `{"version":1,"keys":[${Array(257).fill(`["q","i",${moments},[]]`).join(',')}]}`,
    RunTimesErrorCode.Malformed,
  ],
];

for (const [title, text, code] of unreadable) {
  test(`a snapshot that is ${title} is refused as a whole`, (t) => {
    const runTimes = new RunTimes();
    const restored = runTimes.restore(text);
    t.is(restored.isErr && restored.error.code, code);
    t.is(runTimes.size, 0);
  });
}
