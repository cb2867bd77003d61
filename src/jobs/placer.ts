import type { Attempts } from './attempts.js';
import { Capacity, fits } from './capacity.js';
import type { JobContext } from './context.js';
import { RunPhase, type OpenJob, type RunState } from './openJobs.js';
import { JobState, ParkReason, type Resources } from './types.js';

/** A worker that is kept free for a job that has waited longer than `reserveAfterMs`. */
interface Reservation {
  job: OpenJob;
  vm: string;
}

const noVms: ReadonlySet<string> = new Set();

/** Places queued jobs on workers, urgent jobs first, and handles stragglers. */
export class Placer {
  readonly #context: JobContext;
  readonly #attempts: Attempts;
  #reservation: Reservation | undefined;
  #placedInRound = 0;
  /** VMs whose poll response is late; avoided in the present round. */
  #lateWorkers: readonly string[] = [];

  constructor(context: JobContext, attempts: Attempts) {
    this.#context = context;
    this.#attempts = attempts;
  }

  /** Runs one placement round. */
  runRound(): void {
    if (!this.#context.holdsLease()) return;
    const { openJobs } = this.#context;
    const capacity = this.#freeCapacity();
    this.#lateWorkers = this.#attempts.lateWorkers();
    this.#placedInRound = 0;
    for (const job of [...openJobs.urgentQueue()]) this.#placeUrgent(job, capacity);
    this.#reserveWorker(capacity);
    this.#placeNormal(capacity);
    this.#handleStragglers(capacity);
  }

  /** Requeues jobs that were parked as too large and now fit on a worker. */
  recheckParked(): void {
    const { openJobs } = this.#context;
    for (const job of [...openJobs.parked()]) {
      const { record } = job;
      if (record.parkReason !== ParkReason.NoWorkerLargeEnough) continue;
      if (!this.#fitsInventory(this.#context.requirement(record))) continue;
      void this.#context.write(job, { ...record, state: JobState.Queued, parkReason: undefined });
    }
  }

  #freeCapacity(): Capacity {
    const { openJobs } = this.#context;
    return new Capacity(this.#context.usableWorkers(), (vm) => openJobs.runsOn(vm));
  }

  #placeUrgent(job: OpenJob, capacity: Capacity): void {
    if (!this.#isPlaceable(job)) return;
    const need = this.#context.requirement(job.record);
    const avoid = new Set([...job.record.avoid, ...this.#lateWorkers]);
    const vm = capacity.chooseWorker(need, { avoid, exclude: noVms, spread: true });
    if (vm !== undefined) this.#place(job, vm, need, capacity);
    else this.#evictForUrgent(need, capacity);
  }

  /** Evicts normal attempts so that an urgent job can be placed in a later round. */
  #evictForUrgent(need: Resources, capacity: Capacity): void {
    const { openJobs, clock, settings } = this.#context;
    const pendingSince = clock.now() - settings.pollIntervalMs;
    const evictable = (vm: string) =>
      openJobs
        .runsOn(vm)
        .filter(({ phase, job }) => phase === RunPhase.Confirmed && !job.record.urgent);
    const plan = capacity.planEviction(need, evictable);
    if (!plan) return;
    // Allocate the freed resources to this job, so that other urgent jobs do not plan with them.
    for (const { usage } of plan.runs) capacity.allocate(plan.vm, negate(usage));
    capacity.allocate(plan.vm, need);
    for (const state of plan.runs) {
      if ((state.evictedAt ?? -Infinity) > pendingSince) continue;
      state.evictedAt = clock.now();
      void this.#context.runInBackground(async () => {
        await this.#attempts.evict(state, 'urgent');
        await this.#attempts.poll(plan.vm);
      }, true);
    }
  }

  /**
   * Places normal jobs round-robin over teams. Within a team, jobs are tried in order until
   * `lookahead` jobs did not fit.
   */
  #placeNormal(capacity: Capacity): void {
    const { openJobs, settings } = this.#context;
    const queues = [...openJobs.normalQueues().values()].map((jobs) => ({
      jobs: jobs[Symbol.iterator](),
      skipped: 0,
    }));
    let active = queues;
    while (active.length > 0 && this.#placedInRound < settings.maxPlacementsPerRound) {
      active = active.filter((queue) => {
        const { value: job } = queue.jobs.next();
        if (!job) return false;
        if (!this.#placeNormalJob(job, capacity)) queue.skipped += 1;
        return queue.skipped < settings.lookahead;
      });
    }
  }

  /** Tries to place a normal job; false if no worker has enough free resources. */
  #placeNormalJob(job: OpenJob, capacity: Capacity): boolean {
    if (!this.#isPlaceable(job)) return true;
    const need = this.#context.requirement(job.record);
    const reservation = this.#reservation;
    const exclude = reservation && reservation.job !== job ? new Set([reservation.vm]) : noVms;
    const avoid = new Set([...job.record.avoid, ...this.#lateWorkers]);
    const vm = capacity.chooseWorker(need, { avoid, exclude, spread: false });
    if (vm === undefined) return false;
    this.#place(job, vm, need, capacity);
    return true;
  }

  #place(job: OpenJob, vm: string, need: Resources, capacity: Capacity): void {
    if (this.#reservation?.job === job) this.#reservation = undefined;
    this.#placedInRound += 1;
    capacity.allocate(vm, need);
    void this.#attempts.begin(job, vm, need);
  }

  /**
   * Reserves one worker for a normal job that has waited longer than `reserveAfterMs`; otherwise
   * a stream of small jobs could starve a large one. There is at most one reservation.
   */
  #reserveWorker(capacity: Capacity): void {
    const { openJobs, clock, settings } = this.#context;
    const current = this.#reservation;
    if (current && openJobs.get(current.job.record.id) === current.job && isQueued(current.job))
      return;
    this.#reservation = undefined;
    for (const jobs of openJobs.normalQueues().values()) {
      const [first] = jobs;
      if (!first || clock.now() - first.queuedAt < settings.reserveAfterMs) continue;
      const need = this.#context.requirement(first.record);
      const plan = capacity.planEviction(need, (vm) => openJobs.runsOn(vm));
      if (plan) this.#reservation = { job: first, vm: plan.vm };
      if (plan) return;
    }
  }

  /** Whether the job can be placed now. Parks a job that fits on no worker in the inventory. */
  #isPlaceable(job: OpenJob): boolean {
    if (!this.#context.isWritable(job) || job.cancelRequested) return false;
    const { record } = job;
    if (this.#fitsInventory(this.#context.requirement(record))) return true;
    const parkReason = ParkReason.NoWorkerLargeEnough;
    this.#context.counters.parked.inc({ reason: parkReason });
    void this.#context.write(job, { ...record, state: JobState.Parked, parkReason });
    return false;
  }

  #fitsInventory(need: Resources): boolean {
    return this.#context.deps.workers().some((worker) => fits(need, worker));
  }

  /** Duplicates idempotent stragglers up to `duplicateShare` and throttles the others. */
  #handleStragglers(capacity: Capacity): void {
    const { openJobs, settings, counters } = this.#context;
    const runs = openJobs.vms().flatMap((vm) => openJobs.runsOn(vm));
    const stragglers = runs.filter((state) => this.#isStraggler(state));
    if (stragglers.length === 0) return;
    const duplicated = runs.filter(({ job }) => job.runs.size > 1).length / 2;
    let budget = Math.max(1, Math.floor(runs.length * settings.duplicateShare)) - duplicated;
    for (const state of stragglers) {
      const { job, run } = state;
      if (job.runs.size > 1 || job.cancelRequested || !this.#context.isWritable(job)) continue;
      const need = this.#context.requirement(job.record);
      const exclude = new Set([run.vm]);
      const avoid = new Set([...job.record.avoid, ...this.#lateWorkers]);
      const vm = capacity.chooseWorker(need, { avoid, exclude, spread: true });
      if (job.record.idempotent && budget >= 1 && vm !== undefined) {
        budget -= 1;
        counters.duplicated.inc();
        capacity.allocate(vm, need);
        void this.#attempts.begin(job, vm, need, true);
      } else if (!state.throttled) {
        this.#throttle(state);
      }
    }
  }

  #isStraggler(state: RunState): boolean {
    const { clock, resourceModel, policy, settings } = this.#context;
    if (state.startedAt === undefined || state.phase !== RunPhase.Confirmed) return false;
    const meanMs = resourceModel.meanRunMs(state.job.record.kind);
    return policy.isStraggler(clock.now() - state.startedAt, meanMs, settings);
  }

  #throttle(state: RunState): void {
    const { counters, settings, deps } = this.#context;
    const { vm, taskId } = state.run;
    state.throttled = true;
    counters.throttled.inc();
    void this.#context.runInBackground(async () => {
      const result = await deps.platform.workers.throttle(vm, taskId, settings.throttleShare);
      if (result.isErr) state.throttled = false;
    });
  }
}

function isQueued(job: OpenJob): boolean {
  return job.record.state === JobState.Queued;
}

function negate({ cores, memoryMib, accelerators }: Resources): Resources {
  return { cores: -cores, memoryMib: -memoryMib, accelerators: -accelerators };
}
