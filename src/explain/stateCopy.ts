import { Job, type Occurrence, type Step, type Task } from '../batch/job.js';
import { Worker, type Run } from '../batch/worker.js';

/** A copy of a holder's jobs and workers on which a placement round can run without effect. */
export interface StateCopy {
  jobs: Job[];
  workers: Worker[];
  /** The holder's step for each copied one. */
  recorded: ReadonlyMap<Step, Step>;
}

/** Copies jobs and workers with their runs; specs and records are shared, as nothing changes them. */
export function copyState(jobs: readonly Job[], workers: readonly Worker[]): StateCopy {
  const workerCopies = new Map<Worker, Worker>();
  for (const worker of workers) {
    const copy = Object.assign(new Worker(worker.record), worker, {
      runs: new Map<string, Run>(),
      unsettledTasks: [...worker.unsettledTasks],
      lapsedRuns: [...worker.lapsedRuns],
    });
    workerCopies.set(worker, copy);
  }
  const taskCopies = new Map<Task, Task>();
  const runCopies = new Map<Run, Run>();
  const recorded = new Map<Step, Step>();
  const copyRun = (run: Run, task: Task): Run => {
    const worker = workerCopies.get(run.worker) ?? run.worker;
    const copy = { ...run, task, worker };
    runCopies.set(run, copy);
    return copy;
  };
  const copyTask = (task: Task, step: Step): Task => {
    const copy: Task = { ...task, step };
    if (task.run) copy.run = copyRun(task.run, copy);
    if (task.copy) copy.copy = copyRun(task.copy, copy);
    taskCopies.set(task, copy);
    return copy;
  };
  const jobCopies = jobs.map((job) => {
    const copy = Object.assign(new Job(job.spec, job.acceptedAt, 1), job, {
      occurrences: new Map<number, Occurrence>(),
    });
    for (const { number, steps } of job.occurrences.values()) {
      const occurrence: Occurrence = { number, steps: [] };
      for (const step of steps) {
        const stepCopy: Step = { ...step, job: copy, occurrence, tasks: [] };
        stepCopy.tasks = step.tasks.map((task) => copyTask(task, stepCopy));
        occurrence.steps.push(stepCopy);
        recorded.set(stepCopy, step);
      }
      copy.occurrences.set(number, occurrence);
    }
    return copy;
  });
  for (const [worker, copy] of workerCopies) {
    for (const [name, run] of worker.runs)
      copy.runs.set(name, runCopies.get(run) ?? { ...run, worker: copy });
    if (worker.isolatedFor) {
      copy.isolatedFor = taskCopies.get(worker.isolatedFor) ?? worker.isolatedFor;
    }
  }
  return { jobs: jobCopies, workers: [...workerCopies.values()], recorded };
}
