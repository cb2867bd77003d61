import test, { type ExecutionContext } from 'ava';
import { JobState, RunEnd, type JobSpec, type StepSpec } from '../batch/types.js';
import { BatchRig, required, StoreFault, type RigNode } from '../testing/batchRig/index.js';
import type { ObservedRun, TaskScript } from '../testing/batchRig/fakeExecutors.js';

const SERVICE = 'motions';
const IMAGE = 'image';
const RUN_MS = 500;
/** A straggler takes seven times as long. */
const SLOW_MS = 7 * RUN_MS;
const WORKERS = 10;
const WORKER_CPU_MILLIS = 4_000;

const TASK = { cpuMillis: 300, memoryMb: 100, estimateMs: RUN_MS, image: IMAGE };

/** Options of {@link Scene.create}. */
type SceneOptions = Partial<Pick<Case, 'step' | 'next' | 'maxAttempts'>>;

/** A service that has learned run times, and a job of which task 0 is a straggler. */
class Scene {
  readonly rig: BatchRig;
  readonly holder: RigNode;
  readonly job: JobSpec;
  /** Script of task 0 of the job, by run number. */
  script: (run: number) => TaskScript = (run) => ({ runMs: run === 1 ? SLOW_MS : RUN_MS });

  private constructor(rig: BatchRig, { step, next }: SceneOptions) {
    this.rig = rig;
    this.holder = required(rig.holderOf(SERVICE));
    const steps = [{ ...TASK, count: 4, allowsCopies: true, ...step }];
    this.job = rig.createJob(SERVICE, next ? [...steps, { ...TASK, after: [0], ...next }] : steps);
    rig.fleet.script = (task, run) => {
      if (task === this.task(0)) return this.script(run);
      if (task.startsWith(`${this.job.id}.0.1.`)) return { runMs: next?.estimateMs ?? RUN_MS };
      // Run times of 400 to 600 ms, by the number of the task.
      return { runMs: RUN_MS - 100 + 20 * (Number(task.split('.')[3]) % 11) };
    };
  }

  static async create(options: SceneOptions = {}): Promise<Scene> {
    const { maxAttempts } = options;
    const rig = new BatchRig({
      features: { learnsRunTimes: true },
      workersPerService: WORKERS,
      maxAttempts,
    });
    await rig.ready();
    const scene = new Scene(rig, options);
    for (let i = 0; i < 5; i++) {
      await scene.submit(rig.createJob(SERVICE, [{ ...TASK, count: 20 }]));
      await rig.advance(1_000);
    }
    return scene;
  }

  task(index: number): string {
    return `${this.job.id}.0.0.${index}`;
  }

  async submit(spec: JobSpec): Promise<void> {
    const { rig, holder } = this;
    await rig.settle(holder.node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
  }

  /** Submits the job and waits until its straggler has a copy that runs. */
  async startCopy(): Promise<{ first: ObservedRun; copy: ObservedRun }> {
    await this.submit(this.job);
    await this.rig.until(() => this.runs().length === 2, 3_000);
    await this.rig.advance(40);
    const [first, copy] = this.runs();
    return { first: required(first), copy: required(copy) };
  }

  /** Lets workers that do not run the straggler carry out orders late and without an answer. */
  delayOrders(delayMs: number): void {
    const [first] = this.runs();
    for (const [id, executor] of this.rig.fleet.executors) {
      if (id !== first?.worker) executor.unansweredDelayMs = delayMs;
    }
  }

  /** Kills the holder and waits for its successor. */
  async kill(): Promise<void> {
    const { rig, holder } = this;
    holder.isDead = true;
    await rig.until(() => rig.holderOf(SERVICE) !== undefined);
  }

  /** Runs of a task of the job, in the order of their starts. */
  runs(index = 0): ObservedRun[] {
    return this.rig.fleet
      .runs()
      .filter(({ task }) => task === this.task(index))
      .sort((a, b) => a.startedAt - b.startedAt);
  }

  executor({ worker }: ObservedRun) {
    return required(this.rig.fleet.executors.get(worker));
  }

  copies(reason: string): number {
    return this.rig.nodes.reduce((sum, { counters }) => sum + counters.value('copies', reason), 0);
  }

  async state(): Promise<JobState | undefined> {
    const { rig, job } = this;
    const node = required(rig.holderOf(SERVICE)).node;
    return (await rig.settle(node.gateway.status(rig.queue(SERVICE), job.id))).state;
  }

  /** Checks that the job has ended so, that nothing of it runs and that no rule was broken. */
  async check(t: ExecutionContext, state: JobState, runCount?: number): Promise<void> {
    for (let seconds = 0; seconds < 30 && (await this.state()) !== state; seconds++) {
      await this.rig.advance(1_000);
    }
    await this.rig.advance(3_000);
    t.is(await this.state(), state);
    if (runCount !== undefined) t.is(this.runs().length, runCount, JSON.stringify(this.runs()));
    t.true(this.runs().every(({ endedAt }) => endedAt !== undefined));
    t.deepEqual(this.rig.violations(), []);
    t.deepEqual(this.overcommitted(), []);
  }

  /** Workers that ran more than they have capacity for. */
  overcommitted(): string[] {
    const runs = this.rig.fleet.runs();
    return runs
      .filter(({ worker, startedAt }) => {
        const atStart = runs.filter(
          (run) =>
            run.worker === worker &&
            run.startedAt <= startedAt &&
            (run.endedAt ?? Infinity) > startedAt,
        );
        return atStart.length * TASK.cpuMillis > WORKER_CPU_MILLIS;
      })
      .map(({ task, worker }) => `${task}@${worker}`);
  }
}

interface Case {
  /** The failure that the case guards against. */
  title: string;
  step?: Partial<StepSpec>;
  /** A step that follows it. */
  next?: Partial<StepSpec>;
  maxAttempts?: number;
  run: (t: ExecutionContext, scene: Scene) => Promise<void>;
}

const cases: Case[] = [
  {
    title: 'the copy of a straggler ends first, counts once, and the straggler is stopped',
    run: async (t, scene) => {
      const { first, copy } = await scene.startCopy();
      t.not(first.worker, copy.worker);
      await scene.check(t, JobState.Succeeded, 2);
      t.is(first.end, RunEnd.Stopped);
      t.is(copy.end, RunEnd.Done);
      t.true(required(first.endedAt) - first.startedAt < SLOW_MS / 2);
      t.is(scene.copies('started'), 1);
      t.is(scene.copies('won'), 1);
      const lines = scene.holder.logLines.filter((line) => line.includes(scene.task(0)));
      for (const event of ['straggler_found', 'copy_started', 'copy_won']) {
        t.is(lines.filter((line) => line.includes(`event=${event} `)).length, 1, event);
      }
    },
  },
  {
    title: 'the straggler ends first, and the copy is stopped',
    run: async (t, scene) => {
      scene.script = (run) => ({ runMs: run === 1 ? 1_000 : RUN_MS });
      const { first, copy } = await scene.startCopy();
      await scene.check(t, JobState.Succeeded, 2);
      t.is(first.end, RunEnd.Done);
      t.is(copy.end, RunEnd.Stopped);
      t.is(scene.copies('lost'), 1);
    },
  },
  {
    title: 'a copy that fails counts as an attempt, and gets no successor beside the straggler',
    run: async (t, scene) => {
      scene.script = (run) => (run === 1 ? { runMs: SLOW_MS } : { runMs: 200, end: RunEnd.Failed });
      await scene.startCopy();
      await scene.check(t, JobState.Succeeded, 2);
      t.is(scene.copies('failed'), 1);
    },
  },
  {
    title: 'the failure of a copy fails the job when it was the last attempt',
    maxAttempts: 1,
    run: async (t, scene) => {
      scene.script = (run) => (run === 1 ? { runMs: SLOW_MS } : { runMs: 200, end: RunEnd.Failed });
      await scene.startCopy();
      await scene.check(t, JobState.Failed, 2);
    },
  },
  {
    title: 'the failures of both runs count',
    maxAttempts: 2,
    run: async (t, scene) => {
      scene.script = (run) => ({ runMs: run === 1 ? 1_500 : 200, end: RunEnd.Failed });
      await scene.startCopy();
      await scene.check(t, JobState.Failed, 2);
    },
  },
  {
    title: 'a straggler that fails leaves its copy as the only run',
    run: async (t, scene) => {
      scene.script = (run) => (run === 1 ? { runMs: 1_000, end: RunEnd.Failed } : { runMs: 1_500 });
      await scene.startCopy();
      await scene.check(t, JobState.Succeeded, 2);
    },
  },
  {
    title: 'a straggler that fails after its copy has ended does not fail the job',
    maxAttempts: 1,
    // Keeps the job open after the copy has ended.
    next: { estimateMs: 3_000, image: 'next' },
    run: async (t, scene) => {
      scene.script = (run) =>
        run === 1 ? { runMs: 2_000, end: RunEnd.Failed } : { runMs: RUN_MS };
      const { first } = await scene.startCopy();
      scene.rig.fleet.cuts.add(`${scene.holder.name}>${first.worker}`);
      await scene.rig.until(() => first.endedAt !== undefined);
      scene.rig.fleet.cuts.clear();
      t.is(first.end, RunEnd.Failed);
      await scene.check(t, JobState.Succeeded, 2);
    },
  },
  {
    title: 'the worker of the straggler is lost, and the copy goes on',
    run: async (t, scene) => {
      scene.script = (run) => ({ runMs: run === 1 ? SLOW_MS : 1_500 });
      const { first, copy } = await scene.startCopy();
      scene.rig.fleet.crash(scene.executor(first));
      await scene.check(t, JobState.Succeeded, 2);
      t.is(copy.end, RunEnd.Done);
    },
  },
  {
    title: 'the worker of the copy is lost, and the straggler goes on',
    run: async (t, scene) => {
      const { first, copy } = await scene.startCopy();
      scene.rig.fleet.crash(scene.executor(copy));
      await scene.check(t, JobState.Succeeded, 2);
      t.is(first.end, RunEnd.Done);
      t.is(scene.copies('worker_lost'), 1);
    },
  },
  {
    title: 'the workers of both are lost, and the task waits and runs again',
    run: async (t, scene) => {
      const { first, copy } = await scene.startCopy();
      scene.rig.fleet.crash(scene.executor(copy));
      scene.rig.fleet.crash(scene.executor(first));
      t.true(await scene.rig.until(() => scene.runs().length === 3));
      await scene.check(t, JobState.Succeeded, 3);
    },
  },
  {
    title: 'a cancelled job stops both runs and starts none',
    run: async (t, scene) => {
      const { rig, holder, job } = scene;
      const { first, copy } = await scene.startCopy();
      await rig.settle(holder.node.gateway.cancel(rig.queue(SERVICE), job.id));
      await scene.check(t, JobState.Cancelled, 2);
      t.deepEqual([first.end, copy.end], [RunEnd.Stopped, RunEnd.Stopped]);
    },
  },
  {
    title: 'both runs keep their resources until their ends are listed',
    run: async (t, scene) => {
      const { rig } = scene;
      rig.fleet.stopMs = 1_400;
      const { first, copy } = await scene.startCopy();
      await rig.until(() => copy.endedAt !== undefined);
      // More tasks than fit, while the straggler is being stopped.
      const fill = rig.createJob(SERVICE, [{ ...TASK, image: 'fill', count: 200 }]);
      await scene.submit(fill);
      await rig.advance(1_000);
      t.is(first.endedAt, undefined);
      await scene.check(t, JobState.Succeeded, 2);
    },
  },
  {
    title: 'no copy while tasks that can be in time wait, and at most a twentieth of the CPU',
    step: { count: 40 },
    run: async (t, scene) => {
      const { rig, job } = scene;
      const isSlow = (task: string) => Number(task.split('.')[3]) >= 20;
      const script = rig.fleet.script;
      rig.fleet.script = (task, run, worker) =>
        task.startsWith(job.id) && isSlow(task)
          ? { runMs: run === 1 ? SLOW_MS : 1_500 }
          : script(task, run, worker);
      await scene.submit(job);
      await rig.advance(300);
      // Each task needs an empty worker; the copies would fit beside those that run.
      const whole = { ...TASK, image: 'fill', cpuMillis: WORKER_CPU_MILLIS, estimateMs: 9_000 };
      const fill = rig.createJob(SERVICE, [{ ...whole, count: 20 }]);
      await scene.submit(fill);
      let maxCopies = 0;
      for (let elapsed = 0; elapsed < 5_000; elapsed += 20) {
        await rig.advance(20);
        const own = rig.fleet.runs().filter(({ task }) => task.startsWith(job.id));
        const copies = own.filter(({ run, endedAt }) => run > 1 && endedAt === undefined).length;
        const started = rig.fleet.runs().filter(({ task }) => task.startsWith(fill.id)).length;
        if (started < 20) t.is(copies, 0);
        maxCopies = Math.max(maxCopies, copies);
      }
      t.is(maxCopies, 6);
      t.deepEqual(rig.violations(), []);
    },
  },
  {
    title: 'a copy whose order is carried out late does not start after the acknowledged end',
    run: async (t, scene) => {
      const { rig } = scene;
      scene.script = (run) => ({ runMs: run === 1 ? 1_500 : RUN_MS });
      await scene.submit(scene.job);
      await rig.until(() => scene.runs().length === 1);
      await rig.advance(660);
      scene.delayOrders(3_000);
      await rig.advance(4_000);
      t.is(scene.runs().length, 2);
      scene.delayOrders(0);
      await scene.check(t, JobState.Succeeded, 2);
    },
  },
  {
    title:
      'an order for a copy that a restarted worker carries out starts before the acknowledgement',
    // Keeps the job open.
    next: { estimateMs: 6_000, image: 'next' },
    run: async (t, scene) => {
      const { rig, holder } = scene;
      rig.restartMs = 300;
      scene.script = (run) => ({ runMs: run === 1 ? 1_500 : RUN_MS });
      await scene.submit(scene.job);
      await rig.until(() => scene.runs().length === 1);
      scene.delayOrders(4_000);
      const copyStarted = () => holder.logLines.find((line) => line.includes('event=copy_started'));
      await rig.until(() => copyStarted() !== undefined);
      const worker = / worker=(\S+)/.exec(required(copyStarted()))?.[1];
      await rig.advance(100);
      rig.fleet.crash(required(rig.fleet.executors.get(required(worker))));
      await rig.until(() => scene.runs().length === 2, 6_000);
      t.is(scene.runs().length, 2);
      scene.delayOrders(0);
      await scene.check(t, JobState.Succeeded, 2);
    },
  },
  {
    title: 'a holder that may have a successor starts no copy',
    run: async (t, scene) => {
      const { rig, holder, job } = scene;
      const script = rig.fleet.script;
      // The first end of the step, without which there is no straggler, comes after 4 s.
      rig.fleet.script = (task, run, worker) =>
        task.startsWith(job.id) && run === 1
          ? { runMs: task === scene.task(0) ? 12_000 : 4_000 }
          : script(task, run, worker);
      await scene.submit(job);
      await rig.until(() => scene.runs().length === 1);
      for (const { name } of rig.nodes) {
        if (name === holder.name) rig.store.faults.set(name, StoreFault.DropCall);
        else for (const id of rig.fleet.executors.keys()) rig.fleet.cuts.add(`${name}>${id}`);
      }
      await rig.advance(6_000);
      t.is(holder.counters.value('stragglers', SERVICE), 0);
      t.is(holder.counters.value('copies', 'started'), 0);
      rig.store.faults.clear();
      rig.fleet.cuts.clear();
      await scene.check(t, JobState.Succeeded);
    },
  },
  {
    title: 'a holder is killed while both run, and its successor adopts both',
    run: async (t, scene) => {
      scene.script = () => ({ runMs: 9_000 });
      const { first, copy } = await scene.startCopy();
      await scene.kill();
      await scene.check(t, JobState.Succeeded, 2);
      t.is(required(scene.rig.holderOf(SERVICE)).counters.value('runs_adopted', 'takeover'), 2);
      t.deepEqual([first.end, copy.end].sort(), [RunEnd.Done, RunEnd.Stopped]);
    },
  },
  {
    title: 'a holder is killed between the end of the copy and the stop of the straggler',
    next: { estimateMs: 9_000, image: 'next' },
    run: async (t, scene) => {
      scene.script = (run) => ({ runMs: run === 1 ? 20_000 : RUN_MS });
      const { first, copy } = await scene.startCopy();
      scene.rig.fleet.cuts.add(`${scene.holder.name}>${first.worker}`);
      await scene.rig.until(() => copy.acknowledgedAt !== undefined);
      await scene.kill();
      await scene.check(t, JobState.Succeeded, 2);
      t.is(first.end, RunEnd.Stopped);
      t.true(required(first.endedAt) - required(copy.endedAt) < 10_000);
    },
  },
  {
    title: 'a successor that cannot reach the worker of the copy starts no third run',
    run: async (t, scene) => {
      const { rig, holder } = scene;
      scene.script = () => ({ runMs: 15_000 });
      const { copy } = await scene.startCopy();
      for (const { name } of rig.nodes) {
        if (name !== holder.name) rig.fleet.cuts.add(`${name}>${copy.worker}`);
      }
      await scene.kill();
      await rig.advance(4_000);
      rig.fleet.cuts.clear();
      await scene.check(t, JobState.Succeeded);
    },
  },
  {
    title: 'a successor acknowledges no end while an order of its predecessor may start a copy',
    // Keeps the job open.
    next: { estimateMs: 6_000, image: 'next' },
    run: async (t, scene) => {
      const { rig, holder } = scene;
      scene.script = (run) => ({ runMs: run === 1 ? 2_500 : RUN_MS });
      await scene.submit(scene.job);
      await rig.until(() => scene.runs().length === 1);
      await rig.advance(660);
      scene.delayOrders(4_800);
      await rig.until(() => holder.logLines.some((line) => line.includes('event=copy_started')));
      const [first] = scene.runs();
      for (const { name } of rig.nodes) {
        for (const id of rig.fleet.executors.keys()) {
          if (name !== holder.name && id !== first?.worker) rig.fleet.cuts.add(`${name}>${id}`);
        }
      }
      await scene.kill();
      await rig.until(() => scene.runs().length === 2);
      t.is(scene.runs().length, 2);
      rig.fleet.cuts.clear();
      scene.delayOrders(0);
      await scene.check(t, JobState.Succeeded, 2);
    },
  },
  ...[{ allowsCopies: false }, { isGang: true }].map((step): Case => ({
    title: `no copy of a step with ${JSON.stringify(step)}`,
    step,
    run: async (t, scene) => {
      await scene.submit(scene.job);
      await scene.check(t, JobState.Succeeded, 1);
      t.is(scene.copies('started'), 0);
    },
  })),
];

for (const { title, run, ...options } of cases) {
  test(title, async (t) => {
    await run(t, await Scene.create(options));
  });
}
