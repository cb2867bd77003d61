import type { Attempts } from './attempts.js';
import { Capacity, fits } from './capacity.js';
import type { JobContext } from './context.js';
import { RunPhase, type OpenJob, type RunState } from './openJobs.js';
import { JobState, ParkReason, type Resources } from './types.js';

/** A worker that is kept free for a job that has waited long. */
interface Reservation {
  job: OpenJob;
  vm: string;
}

const none: ReadonlySet<string> = new Set();

/** Chooses workers for queued jobs, urgent ones first. */
export class Placer {
  readonly #context: JobContext;
  readonly #attempts: Attempts;
  #reservation: Reservation | undefined;
  #placed = 0;
  #late: readonly string[] = [];

  constructor(context: JobContext, attempts: Attempts) {
    this.#context = context;
    this.#attempts = attempts;
  }

  /** One placement round. */
  round(): void {
    if (!this.#context.holdsLease()) return;
    const { open } = this.#context;
    const capacity = this.#capacity();
    this.#late = this.#attempts.lateWorkers();
    this.#placed = 0;
    for (const job of [...open.urgentQueue()]) this.#placeUrgent(job, capacity);
    this.#reserve(capacity);
    this.#placeNormal(capacity);
    this.#duplicateOrThrottle(capacity);
  }

  /** Queues parked jobs again that fit by now. */
  recheckParked(): void {
    const { open } = this.#context;
    for (const job of [...open.parked()]) {
      const { record } = job;
      if (record.parkReason !== ParkReason.NoWorkerLargeEnough) continue;
      if (!this.#fitsInventory(this.#context.requirement(record))) continue;
      void this.#context.write(job, { ...record, state: JobState.Queued, parkReason: undefined });
    }
  }

  #capacity(): Capacity {
    const { open } = this.#context;
    return new Capacity(this.#context.usableWorkers(), (vm) => open.runsOn(vm));
  }

  #placeUrgent(job: OpenJob, capacity: Capacity): void {
    if (!this.#isPlaceable(job)) return;
    const need = this.#context.requirement(job.record);
    const avoid = new Set([...job.record.avoid, ...this.#late]);
    const vm = capacity.choose(need, { avoid, except: none, spread: true });
    if (vm !== undefined) this.#place(job, vm, need, capacity);
    else this.#makeRoom(need, capacity);
  }

  /** Ends normal attempts so that an urgent job fits in a later round. */
  #makeRoom(need: Resources, capacity: Capacity): void {
    const { open, clock, settings } = this.#context;
    const pendingSince = clock.now() - settings.pollIntervalMs;
    const evictable = (vm: string) =>
      open
        .runsOn(vm)
        .filter(({ phase, job }) => phase === RunPhase.Confirmed && !job.record.urgent);
    const plan = capacity.planEviction(need, evictable);
    if (!plan) return;
    // The room is spoken for: another urgent job plans with what remains.
    for (const { use } of plan.runs) capacity.take(plan.vm, negative(use));
    capacity.take(plan.vm, need);
    for (const state of plan.runs) {
      if ((state.evictedAt ?? -Infinity) > pendingSince) continue;
      state.evictedAt = clock.now();
      void this.#context.background(async () => {
        await this.#attempts.evict(state, 'urgent');
        await this.#attempts.poll(plan.vm);
      }, true);
    }
  }

  /** Round robin over teams; within a team in order, skipping a few that do not fit. */
  #placeNormal(capacity: Capacity): void {
    const { open, settings } = this.#context;
    const queues = [...open.normalQueues().values()].map((jobs) => ({
      jobs: jobs[Symbol.iterator](),
      skipped: 0,
    }));
    let active = queues;
    while (active.length > 0 && this.#placed < settings.maxPlacementsPerRound) {
      active = active.filter((queue) => {
        const { value: job } = queue.jobs.next();
        if (!job) return false;
        if (!this.#placeOne(job, capacity)) queue.skipped += 1;
        return queue.skipped < settings.lookahead;
      });
    }
  }

  #placeOne(job: OpenJob, capacity: Capacity): boolean {
    if (!this.#isPlaceable(job)) return true;
    const need = this.#context.requirement(job.record);
    const reservation = this.#reservation;
    const except = reservation && reservation.job !== job ? new Set([reservation.vm]) : none;
    const avoid = new Set([...job.record.avoid, ...this.#late]);
    const vm = capacity.choose(need, { avoid, except, spread: false });
    if (vm === undefined) return false;
    this.#place(job, vm, need, capacity);
    return true;
  }

  #place(job: OpenJob, vm: string, need: Resources, capacity: Capacity): void {
    if (this.#reservation?.job === job) this.#reservation = undefined;
    this.#placed += 1;
    capacity.take(vm, need);
    void this.#attempts.begin(job, vm, need);
  }

  /** Keeps one worker free for the normal job that has waited too long. */
  #reserve(capacity: Capacity): void {
    const { open, clock, settings } = this.#context;
    const held = this.#reservation;
    if (held && open.get(held.job.record.id) === held.job && isQueued(held.job)) return;
    this.#reservation = undefined;
    for (const jobs of open.normalQueues().values()) {
      const [first] = jobs;
      if (!first || clock.now() - first.queuedAt < settings.reserveAfterMs) continue;
      const need = this.#context.requirement(first.record);
      const plan = capacity.planEviction(need, (vm) => open.runsOn(vm));
      if (plan) this.#reservation = { job: first, vm: plan.vm };
      if (plan) return;
    }
  }

  /** Whether a worker may be chosen for the job; parks a job that fits none. */
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

  /** Duplicates idempotent stragglers within the budget and throttles the others. */
  #duplicateOrThrottle(capacity: Capacity): void {
    const { open, settings, counters } = this.#context;
    const runs = open.vms().flatMap((vm) => open.runsOn(vm));
    const stragglers = runs.filter((state) => this.#isStraggler(state));
    if (stragglers.length === 0) return;
    const duplicated = runs.filter(({ job }) => job.runs.size > 1).length / 2;
    let budget = Math.max(1, Math.floor(runs.length * settings.duplicateShare)) - duplicated;
    for (const state of stragglers) {
      const { job, run } = state;
      if (job.runs.size > 1 || job.cancelRequested || !this.#context.isWritable(job)) continue;
      const need = this.#context.requirement(job.record);
      const except = new Set([run.vm]);
      const avoid = new Set([...job.record.avoid, ...this.#late]);
      const vm = capacity.choose(need, { avoid, except, spread: true });
      if (job.record.idempotent && budget >= 1 && vm !== undefined) {
        budget -= 1;
        counters.duplicated.inc();
        capacity.take(vm, need);
        void this.#attempts.begin(job, vm, need, true);
      } else if (!state.throttled) {
        this.#throttle(state);
      }
    }
  }

  #isStraggler(state: RunState): boolean {
    const { clock, model, policy, settings } = this.#context;
    if (state.startedAt === undefined || state.phase !== RunPhase.Confirmed) return false;
    const meanMs = model.meanRunMs(state.job.record.kind);
    return policy.isStraggler(clock.now() - state.startedAt, meanMs, settings);
  }

  #throttle(state: RunState): void {
    const { counters, settings, deps } = this.#context;
    const { vm, taskId } = state.run;
    state.throttled = true;
    counters.throttled.inc();
    void this.#context.background(async () => {
      const result = await deps.platform.workers.throttle(vm, taskId, settings.throttleShare);
      if (result.isErr) state.throttled = false;
    });
  }
}

function isQueued(job: OpenJob): boolean {
  return job.record.state === JobState.Queued;
}

function negative({ cores, memoryMib, accelerators }: Resources): Resources {
  return { cores: -cores, memoryMib: -memoryMib, accelerators: -accelerators };
}
