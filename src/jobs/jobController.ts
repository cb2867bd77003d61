import type { Lifecycle } from '../lifecycle/index.js';
import type { RowPage } from '../platform/index.js';
import { Attempts } from './attempts.js';
import { fits } from './capacity.js';
import { JobContext, type JobControllerDeps } from './context.js';
import { Placer } from './placer.js';
import { idOfKey, jobKeys } from './rows.js';
import { JobState, type JobRecord, type Resources } from './types.js';

/** Stale jobs read again per poll round. */
const MAX_RELOADS = 50;

/** What remains on a VM that is being emptied. */
export interface VacateStatus {
  /** Jobs that still have an attempt on the VM. */
  remaining: string[];
}

/** The job controller of a zone. It acts only while the zone lease is held. */
export interface JobController {
  /** Runs until the life cycle is closed. */
  run(lifecycle: Lifecycle): Promise<void>;
  /** Tells of a new job or cancellation, so that it is handled before the next scan. */
  notice(jobId: string): void;
  /**
   * Checkpoints and ends the attempts on a VM before a planned stop and gives it no new ones.
   * Call it again until nothing remains.
   */
  vacate(vm: string): Promise<VacateStatus>;
  /** Lets a VM get attempts again. */
  readmit(vm: string): void;
  /** Learned use of a job kind, for the size check at submission. */
  learnedUse(kind: string): Resources | undefined;
  /** Counts for the status page. */
  status(): { open: number; queuedUrgent: number; parked: number; vmsInUse: number };
}

/** Creates the controller; nothing happens until it runs. */
export function createJobController(deps: JobControllerDeps): JobController {
  const context = new JobContext(deps);
  const { open, settings, clock } = context;
  const { table } = deps.platform;
  const attempts = new Attempts(context);
  const placer = new Placer(context, attempts);
  const noticed = new Set<string>();
  let handlesNotices = false;
  let wake = new AbortController();
  context.wake = () => {
    wake.abort();
  };

  async function repeat(
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
      placer.round();
      wake = new AbortController();
      await clock.sleep(settings.placementIntervalMs, AbortSignal.any([signal, wake.signal]));
    }
  }

  /** Calls `visit` for each row under a prefix, page by page, until it returns false. */
  async function eachRow(
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

  function take(record: JobRecord, version: number): boolean {
    const known = open.get(record.id);
    if (known && (known.writing || known.version >= version)) return true;
    if (!known && !open.hasRoom(record.urgent)) {
      context.counters.notLoaded.inc();
      return false;
    }
    context.adopt(record, version);
    return true;
  }

  /** Reads one job; false when it has no open row. */
  async function load(id: string): Promise<boolean> {
    const row = await table.get(jobKeys.open(deps.zone, id));
    if (row.isErr || !context.holdsLease()) return true;
    if (!row.value) return false;
    take(row.value.value as JobRecord, row.value.version);
    return true;
  }

  let scanAfter: string | undefined;
  async function scanJobs(): Promise<void> {
    const visit = (row: RowPage['rows'][number]) => take(row.value as JobRecord, row.version);
    scanAfter = await eachRow(jobKeys.openPrefix(deps.zone), scanAfter, visit);
    placer.recheckParked();
  }

  async function scanUrgent(): Promise<void> {
    await eachRow(jobKeys.urgentPrefix(deps.zone), undefined, async ({ key }) => {
      const id = idOfKey(key);
      if (!open.get(id)) await load(id);
      return true;
    });
    context.wake();
  }

  async function scanCancellations(): Promise<void> {
    const keys: string[] = [];
    await eachRow(jobKeys.cancelPrefix(deps.zone), undefined, ({ key }) => {
      // Marked before the first write, or the room of cancelled jobs would go to later ones.
      const job = open.get(idOfKey(key));
      if (job) job.cancelRequested = true;
      return keys.push(key) < settings.maxKnownJobs;
    });
    for (let start = 0; start < keys.length; start += settings.maxCancelsPerRound) {
      const part = keys.slice(start, start + settings.maxCancelsPerRound);
      await Promise.all(part.map((key) => cancel(idOfKey(key), key)));
    }
  }

  async function cancel(id: string, requestKey: string): Promise<void> {
    if (!open.get(id) && !(await load(id))) {
      await table.transact([], [{ key: requestKey }]);
      return;
    }
    const job = open.get(id);
    if (job) await context.write(job, { ...job.record, state: JobState.Cancelled, runs: [] });
  }

  /** Reads the announced jobs, one at a time; one such task runs at most. */
  async function handleNotices(): Promise<void> {
    if (handlesNotices) return;
    handlesNotices = true;
    for (const id of noticed) {
      noticed.delete(id);
      await load(id);
      context.wake();
    }
    handlesNotices = false;
  }

  async function watchWorkers(): Promise<void> {
    attempts.pollRound();
    const stale = [...open.all()].filter((job) => job.stale && !job.writing);
    for (const job of stale.slice(0, MAX_RELOADS)) await context.reload(job);
  }

  async function run(lifecycle: Lifecycle): Promise<void> {
    const { signal } = lifecycle;
    context.admitTasks();
    lifecycle.own('worker calls', () => context.drain());
    await Promise.all([
      placementLoop(signal),
      repeat(settings.urgentScanIntervalMs, signal, scanUrgent),
      repeat(settings.cancelScanIntervalMs, signal, scanCancellations),
      repeat(settings.scanIntervalMs, signal, scanJobs),
      repeat(settings.pollIntervalMs, signal, watchWorkers),
    ]);
  }

  function notice(jobId: string): void {
    if (noticed.size >= settings.maxKnownUrgentJobs) {
      context.counters.noticesDropped.inc();
      return;
    }
    noticed.add(jobId);
    void context.background(handleNotices, true);
  }

  async function vacate(vm: string): Promise<VacateStatus> {
    context.vacating.add(vm);
    if (context.holdsLease()) {
      await Promise.all(open.runsOn(vm).map((state) => attempts.evict(state, 'planned_stop')));
      await attempts.poll(vm);
    }
    return { remaining: open.runsOn(vm).map(({ job }) => job.record.id) };
  }

  return {
    run,
    notice,
    vacate,
    readmit: (vm) => {
      context.vacating.delete(vm);
    },
    learnedUse: (kind) => context.model.use(kind),
    status: () => ({
      open: open.size,
      queuedUrgent: [...open.urgentQueue()].length,
      parked: [...open.parked()].length,
      vmsInUse: open.vms().length,
    }),
  };
}

/** Whether a job, by learned use or else by declared size, fits on some worker. */
export function fitsSomeWorker(
  workers: readonly Resources[],
  declared: Resources,
  learned?: Resources,
): boolean {
  return workers.some((worker) => fits(learned ?? declared, worker));
}
