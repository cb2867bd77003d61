import type { Lifecycle } from '../lifecycle/index.js';
import type { RowPage } from '../platform/index.js';
import { Attempts } from './attempts.js';
import { fits } from './capacity.js';
import { JobContext, type JobControllerDeps } from './context.js';
import { Placer } from './placer.js';
import { idOfKey, jobKeys } from './rows.js';
import { JobState, type JobRecord, type Resources } from './types.js';

/** Maximum number of stale jobs read again per poll round. */
const MAX_RELOADS = 50;

/** Progress of vacating a VM. */
export interface VacateStatus {
  /** Ids of jobs that still have an attempt on the VM. */
  remaining: string[];
}

/** Job controller of a zone, which acts only while the zone lease is held. */
export interface JobController {
  /** Runs the controller until the lifecycle is closed. */
  run(lifecycle: Lifecycle): Promise<void>;
  /** Announces a new or changed job, so that its row is read before the next scan. */
  notify(jobId: string): void;
  /**
   * Stops placing attempts on a VM before its planned stop, and checkpoints and ends the present
   * ones. Must be called repeatedly until nothing remains.
   */
  vacate(vm: string): Promise<VacateStatus>;
  /** Allows attempts on a vacated VM again. */
  readmit(vm: string): void;
  /** Learned usage of a job kind, for the size check at submission. */
  learnedUsage(kind: string): Resources | undefined;
  /** Returns counts for the status page. */
  status(): { open: number; queuedUrgent: number; parked: number; vmsInUse: number };
}

/** Creates a job controller, which does nothing until {@link JobController.run} is called. */
export function createJobController(deps: JobControllerDeps): JobController {
  const context = new JobContext(deps);
  const { openJobs, settings, clock } = context;
  const { table } = deps.platform;
  const attempts = new Attempts(context);
  const placer = new Placer(context, attempts);
  const notifiedJobIds = new Set<string>();
  let isHandlingNotices = false;
  let placementTrigger = new AbortController();
  context.triggerPlacement = () => {
    placementTrigger.abort();
  };

  /** Runs `step` at an interval while the zone lease is held, until the signal is aborted. */
  async function runPeriodically(
    intervalMs: number,
    signal: AbortSignal,
    step: () => void | Promise<void>,
  ): Promise<void> {
    do {
      if (context.holdsLease()) await step();
    } while (await clock.sleep(intervalMs, signal));
  }

  async function placementLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      placer.runRound();
      placementTrigger = new AbortController();
      await clock.sleep(
        settings.placementIntervalMs,
        AbortSignal.any([signal, placementTrigger.signal]),
      );
    }
  }

  /**
   * Calls `visit` for each row under a prefix, page by page, until it returns false.
   *
   * @returns key after which to continue; undefined when all rows were visited
   */
  async function forEachRow(
    prefix: string,
    after: string | undefined,
    visit: (row: RowPage['rows'][number]) => boolean | Promise<boolean>,
  ): Promise<string | undefined> {
    let next = after;
    do {
      const page = await table.scan(prefix, settings.pageSize, next);
      if (page.isErr || !context.holdsLease()) return next;
      for (const row of page.value.rows) {
        if (!(await visit(row))) return next;
        next = row.key;
      }
      if (page.value.next === undefined) return undefined;
    } while (true);
  }

  /** Updates a job in memory if the row is newer; false if the memory limit is reached. */
  function applyIfNewer(record: JobRecord, version: number): boolean {
    const known = openJobs.get(record.id);
    if (known && (known.writing || known.version >= version)) return true;
    if (!known && !openJobs.hasRoom(record.urgent)) {
      context.counters.notLoaded.inc();
      return false;
    }
    context.applyRow(record, version);
    return true;
  }

  /** Reads a job's open row into memory; false only if the row does not exist. */
  async function loadJob(id: string): Promise<boolean> {
    const row = await table.get(jobKeys.open(deps.zone, id));
    if (row.isErr || !context.holdsLease()) return true;
    if (!row.value) return false;
    applyIfNewer(row.value.value as JobRecord, row.value.version);
    return true;
  }

  let resumeScanAfter: string | undefined;
  async function scanJobs(): Promise<void> {
    const visit = (row: RowPage['rows'][number]) =>
      applyIfNewer(row.value as JobRecord, row.version);
    resumeScanAfter = await forEachRow(jobKeys.openPrefix(deps.zone), resumeScanAfter, visit);
    placer.recheckParked();
  }

  async function scanUrgent(): Promise<void> {
    await forEachRow(jobKeys.urgentPrefix(deps.zone), undefined, async ({ key }) => {
      const id = idOfKey(key);
      if (!openJobs.get(id)) await loadJob(id);
      return true;
    });
    context.triggerPlacement();
  }

  async function scanCancellations(): Promise<void> {
    const keys: string[] = [];
    await forEachRow(jobKeys.cancelPrefix(deps.zone), undefined, ({ key }) => {
      // All jobs are marked before the first write. Otherwise capacity freed by cancelled jobs
      // would go to jobs that are about to be cancelled.
      const job = openJobs.get(idOfKey(key));
      if (job) job.cancelRequested = true;
      return keys.push(key) < settings.maxKnownJobs;
    });
    for (let start = 0; start < keys.length; start += settings.maxCancelsPerRound) {
      const batch = keys.slice(start, start + settings.maxCancelsPerRound);
      await Promise.all(batch.map((key) => cancel(idOfKey(key), key)));
    }
  }

  async function cancel(id: string, requestKey: string): Promise<void> {
    if (!openJobs.get(id) && !(await loadJob(id))) {
      await table.transact([], [{ key: requestKey }]);
      return;
    }
    const job = openJobs.get(id);
    if (job) await context.write(job, { ...job.record, state: JobState.Cancelled, runs: [] });
  }

  /** Reads the announced jobs one at a time; does nothing if another call is already doing so. */
  async function handleNotices(): Promise<void> {
    if (isHandlingNotices) return;
    isHandlingNotices = true;
    for (const id of notifiedJobIds) {
      notifiedJobIds.delete(id);
      await loadJob(id);
      context.triggerPlacement();
    }
    isHandlingNotices = false;
  }

  async function pollWorkers(): Promise<void> {
    attempts.pollRound();
    const stale = [...openJobs.all()].filter((job) => job.stale && !job.writing);
    for (const job of stale.slice(0, MAX_RELOADS)) await context.reload(job);
  }

  async function run(lifecycle: Lifecycle): Promise<void> {
    const { signal } = lifecycle;
    context.acceptBackgroundTasks();
    lifecycle.own('worker calls', () => context.drainBackgroundTasks());
    await Promise.all([
      placementLoop(signal),
      runPeriodically(settings.urgentScanIntervalMs, signal, scanUrgent),
      runPeriodically(settings.cancelScanIntervalMs, signal, scanCancellations),
      runPeriodically(settings.scanIntervalMs, signal, scanJobs),
      runPeriodically(settings.pollIntervalMs, signal, pollWorkers),
    ]);
  }

  function notify(jobId: string): void {
    if (notifiedJobIds.size >= settings.maxKnownUrgentJobs) {
      context.counters.noticesDropped.inc();
      return;
    }
    notifiedJobIds.add(jobId);
    void context.runInBackground(handleNotices, true);
  }

  async function vacate(vm: string): Promise<VacateStatus> {
    context.vacating.add(vm);
    if (context.holdsLease()) {
      await Promise.all(openJobs.runsOn(vm).map((state) => attempts.evict(state, 'planned_stop')));
      await attempts.poll(vm);
    }
    return { remaining: openJobs.runsOn(vm).map(({ job }) => job.record.id) };
  }

  return {
    run,
    notify,
    vacate,
    readmit: (vm) => {
      context.vacating.delete(vm);
    },
    learnedUsage: (kind) => context.resourceModel.learnedUsage(kind),
    status: () => ({
      open: openJobs.size,
      queuedUrgent: [...openJobs.urgentQueue()].length,
      parked: [...openJobs.parked()].length,
      vmsInUse: openJobs.vms().length,
    }),
  };
}

/** Whether a job fits on some worker by its learned usage or, without it, its declared size. */
export function fitsSomeWorker(
  workers: readonly Resources[],
  declared: Resources,
  learned?: Resources,
): boolean {
  return workers.some((worker) => fits(learned ?? declared, worker));
}
