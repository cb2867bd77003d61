import {
  OrderAnswer,
  type OrderReply,
  type StepSpec,
  type WorkerClient,
} from '../../batch/index.js';
import { Counters } from '../../batch/counters.js';
import { DecisionLog } from '../../batch/decisionLog.js';
import { Job } from '../../batch/job.js';
import { withStepDefaults } from '../../batch/jobCodec.js';
import { JobTable } from '../../batch/jobTable.js';
import { RunControl } from '../../batch/runControl.js';
import { Worker } from '../../batch/worker.js';
import { RunTimes } from '../../runTimes/index.js';
import { createFakeTimers } from '../virtualClock.js';

/** Reading of the workers' clocks, which stand still. */
const WORKER_TIME_MS = 1_000;

/** Run control of one job, with workers that carry out every order at once. */
export class RunControlRig {
  readonly runTimes = new RunTimes();
  readonly runs: RunControl;
  readonly job: Job;
  /** Stops that were ordered, as `run@worker`. */
  readonly stops: string[] = [];

  /** @param steps - steps of the job; none depends on another */
  constructor(...steps: Partial<StepSpec>[]) {
    const { clock } = createFakeTimers();
    const log = new DecisionLog({ write: () => true }, clock);
    const counters = new Counters();
    const jobs = new JobTable({ service: 's', clock, log, counters });
    this.runs = new RunControl({
      workers: this.#createClient(),
      clock,
      log,
      counters,
      epoch: 2,
      jobs,
      maxAttempts: () => 3,
      place: () => undefined,
      discardTicket: () => undefined,
      lose: () => undefined,
      runTimes: this.runTimes,
      mayHaveUnknownRuns: () => false,
      expectedMs: ({ step }) => step.spec.estimateMs,
      onTaskDone: () => undefined,
      budget: { addRun: () => undefined, removeRun: () => undefined },
    });
    const defaults = { cpuMillis: 100, estimateMs: 500 };
    const specs = steps.map((step) => withStepDefaults({ ...defaults, ...step }));
    const schedule = { occurrences: 0, firstDueMs: 0, periodMs: 0, acceptedMs: 0 };
    const spec = { id: 'job', queue: 'q', payload: '', steps: specs, ...schedule };
    this.job = new Job(spec, 0, 1);
    this.job.createDueOccurrences(0);
    jobs.add(this.job);
  }

  #createClient(): WorkerClient {
    const done: OrderReply = { answer: OrderAnswer.Done, workerTimeMs: WORKER_TIME_MS };
    return {
      start: () => Promise.resolve(done),
      stop: ({ id }, { run }) => {
        this.stops.push(`${run}@${id}`);
        return Promise.resolve(done);
      },
      pace: () => Promise.resolve(done),
      hold: () => Promise.resolve({ isListed: false, answer: OrderAnswer.NoAnswer }),
    };
  }

  createWorker(id: string): Worker {
    const capacity = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 };
    const registration = { address: '', zone: '', isDraining: false, bornMs: 0 };
    const worker = new Worker({ id, service: 's', capacity, labels: [], ...registration });
    worker.recordClock(WORKER_TIME_MS, 0);
    return worker;
  }

  /** Reports the runs that a worker lists, as task name, run number and measurement. */
  report(worker: Worker, running: { task: string; run: number; measurement?: number }[]): void {
    const entries = running.map((entry) => ({
      checkpoint: '',
      percent: 100,
      measurement: 0,
      ...entry,
    }));
    const list = {
      running: entries,
      workerTimeMs: WORKER_TIME_MS,
      hasMoreEnds: false,
      requestedAt: 0,
    };
    this.runs.reconcile(worker, list);
  }

  /** Lets replies arrive. */
  async settle(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
