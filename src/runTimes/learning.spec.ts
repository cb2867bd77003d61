import test from 'ava';
import { runTimesKey } from '../batch/rows.js';
import { RunEnd } from '../batch/types.js';
import { BatchRig, required, type RigNode } from '../testing/batchRig/index.js';

const SERVICE = 'motions';
/** True and declared run times of the two images; the declared ones put the longer tasks first. */
const SHORT = { image: 'short', ranMs: 200, estimateMs: 1_000 };
const LONG = { image: 'long', ranMs: 1_500, estimateMs: 400 };
/** Objectives by the true run times, see the queues of the rig. */
const SHORT_OBJECTIVE_MS = 1.6 * SHORT.ranMs + 600;
const LONG_OBJECTIVE_MS = 1.6 * LONG.ranMs + 600;
/** CPU tasks that run at once. */
const CAPACITY = 12;

/** Jobs submitted at once, and when they ended. */
class Peak {
  readonly #rig: BatchRig;
  readonly #images = new Map<string, typeof SHORT>();

  constructor(rig: BatchRig) {
    this.#rig = rig;
    rig.fleet.script = (task) => ({
      runMs: this.#images.get(task.split('.')[0] ?? '')?.ranMs ?? 100,
    });
  }

  async submit(node: RigNode, kind: typeof SHORT, count: number): Promise<string[]> {
    const rig = this.#rig;
    const { image, estimateMs } = kind;
    const specs = Array.from({ length: count }, () =>
      rig.createJob(SERVICE, [{ image, estimateMs }]),
    );
    for (const { id } of specs) this.#images.set(id, kind);
    const queue = rig.queue(SERVICE);
    await rig.settle(
      Promise.all(specs.map((spec) => node.node.gateway.submit(queue, spec, 3_000))),
    );
    return specs.map(({ id }) => id);
  }

  /** Longest time in milliseconds from submission to the end, by image. */
  async run(node: RigNode): Promise<{ shortMs: number; longMs: number }> {
    const startedAt = this.#rig.clock.now();
    const [longs, shorts] = await Promise.all([
      this.submit(node, LONG, CAPACITY),
      this.submit(node, SHORT, CAPACITY),
    ]);
    await this.#rig.advance(6_000);
    const tookMs = (ids: string[]) => {
      const runs = this.#rig.fleet
        .runs()
        .filter(({ task }) => ids.includes(task.split('.')[0] ?? ''));
      return Math.max(...runs.map(({ endedAt = Infinity }) => endedAt - startedAt));
    };
    return { shortMs: tookMs(shorts), longMs: tookMs(longs) };
  }

  /** Runs enough jobs of both images for learning, without a queue. */
  async learn(node: RigNode): Promise<void> {
    for (let i = 0; i < 8; i++) {
      await this.submit(node, SHORT, 4);
      await this.submit(node, LONG, 4);
      await this.#rig.advance(2_000);
    }
  }
}

test('short jobs that are late at a peak with declared estimates are in time with learned ones', async (t) => {
  const rig = new BatchRig({ features: { learnsRunTimes: true } });
  await rig.ready();
  const holder = required(rig.holderOf(SERVICE));
  const peak = new Peak(rig);
  const declared = await peak.run(holder);
  t.log(declared);
  t.true(declared.shortMs > SHORT_OBJECTIVE_MS);
  await peak.learn(holder);
  const learned = await peak.run(holder);
  t.log(learned);
  t.true(learned.shortMs <= SHORT_OBJECTIVE_MS);
  t.true(learned.longMs <= LONG_OBJECTIVE_MS);
  t.deepEqual(rig.violations(), []);
});

test('a successor knows the run times from the snapshot', async (t) => {
  const rig = new BatchRig({ features: { learnsRunTimes: true } });
  await rig.ready();
  const holder = required(rig.holderOf(SERVICE));
  const peak = new Peak(rig);
  await peak.learn(holder);
  t.true(rig.store.rowsOfPart('run_times', SERVICE).length === 1);
  holder.isDead = true;
  t.true(await rig.until(() => rig.holderOf(SERVICE) !== undefined));
  await rig.advance(3_000);
  const successor = required(rig.holderOf(SERVICE));
  t.true(successor.logLines.some((line) => line.includes('event=run_times_loaded')));
  const learned = await peak.run(successor);
  t.true(learned.shortMs <= SHORT_OBJECTIVE_MS, JSON.stringify(learned));
});

test('a successor that cannot read the snapshot serves by declared estimates and learns anew', async (t) => {
  const rig = new BatchRig({ features: { learnsRunTimes: true } });
  await rig.ready();
  const holder = required(rig.holderOf(SERVICE));
  const peak = new Peak(rig);
  await peak.learn(holder);
  holder.isDead = true;
  rig.store.put(runTimesKey(SERVICE), '{"version":1,"keys":[[');
  t.true(await rig.until(() => rig.holderOf(SERVICE) !== undefined));
  await rig.advance(3_000);
  const successor = required(rig.holderOf(SERVICE));
  t.is(successor.counters.value('run_times_snapshots', 'not_json'), 1);
  t.true(successor.logLines.some((line) => line.includes('event=run_times_unreadable')));
  t.true((await peak.run(successor)).shortMs > SHORT_OBJECTIVE_MS);
  await peak.learn(successor);
  t.true((await peak.run(successor)).shortMs <= SHORT_OBJECTIVE_MS);
  t.true(
    rig.store.rowsOfPart('run_times', SERVICE)[0]?.value.startsWith('{"version":1,"keys":[["'),
  );
});

interface ExcludedCase {
  title: string;
  /** Starts a run of 1.5 s, and lets it end in a way that says nothing about its run time. */
  run: (rig: BatchRig, holder: RigNode, peak: Peak) => Promise<void>;
}

const excludedCases: ExcludedCase[] = [
  {
    title: 'whose worker was silent when it ended',
    run: async (rig, holder, peak) => {
      await peak.submit(holder, LONG, 1);
      await rig.advance(500);
      const worker = required(rig.fleet.runs()[0]).worker;
      rig.fleet.cuts.add(`${holder.name}>${worker}`);
      await rig.advance(2_500);
      rig.fleet.cuts.clear();
    },
  },
  {
    title: 'that an earlier holder started',
    run: async (rig, holder, peak) => {
      rig.fleet.script = () => ({ runMs: 9_000 });
      await peak.submit(holder, LONG, 1);
      await rig.advance(500);
      holder.isDead = true;
      await rig.until(() => rig.holderOf(SERVICE) !== undefined);
      await rig.advance(4_000);
    },
  },
  {
    title: 'away from the rack of its data',
    run: async (rig, holder) => {
      const spec = rig.createJob(SERVICE, [{ nearRack: 'r9-9' }]);
      void holder.node.gateway.submit(rig.queue(SERVICE), spec, 3_000);
      await rig.advance(500);
    },
  },
  {
    title: 'that failed',
    run: async (rig, holder, peak) => {
      rig.fleet.script = () => ({ runMs: 300, end: RunEnd.Failed });
      await peak.submit(holder, LONG, 1);
    },
  },
];

for (const { title, run } of excludedCases) {
  // Guards against predictions spoiled by times that tasks do not take on healthy workers.
  test(`a run ${title} is not counted`, async (t) => {
    const rig = new BatchRig({ features: { learnsRunTimes: true } });
    await rig.ready();
    const peak = new Peak(rig);
    await run(rig, required(rig.holderOf(SERVICE)), peak);
    await rig.until(() => rig.fleet.runs().some(({ endedAt }) => endedAt !== undefined));
    await rig.advance(2_000);
    const ends = rig.nodes.map(
      ({ counters }) =>
        counters.value('task_ends', RunEnd.Done) + counters.value('task_ends', RunEnd.Failed),
    );
    t.true(ends.some((count) => count > 0));
    const counted = rig.nodes.map(({ counters }) =>
      counters.value('run_times_measured_ms', SERVICE),
    );
    t.deepEqual(
      counted.filter((ms) => ms > 0),
      [],
    );
  });
}
