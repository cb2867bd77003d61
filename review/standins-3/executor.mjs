import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { JsonServer } from './http.mjs';

const MAX_HOLD_MS = 6_000;
const MAX_WAIT_MS = 2_000;
const MAX_LISTED_ENDS = 500;
const STOP_MS = 100;
const LEASE_CHECK_MS = 50;

/** How often a run with checkpoints produces a new one, and how long resuming from one takes. */
const CHECKPOINT_MS = 1_000;
const RESTORE_MS = 250;
const GANG_TIMEOUT_MS = 3_000;

/** The gangs whose runs have members on any executor: the members meet here. */
export class GangBoard {
  #gangs = new Map();

  /** Adds a member; `begin` is called once all are present, `breakUp` when another one ends. */
  join(name, count, member) {
    const gang = this.#gangs.get(name) ?? { members: [], isComplete: false };
    this.#gangs.set(name, gang);
    gang.members.push(member);
    if (gang.members.length < count) return;
    gang.isComplete = true;
    for (const { begin } of gang.members) begin();
  }

  /** Removes a member that has ended; the others end with it. */
  leave(name, member, how) {
    const gang = this.#gangs.get(name);
    if (!gang?.members.includes(member)) return;
    if (!gang.isComplete) {
      gang.members = gang.members.filter((other) => other !== member);
      return;
    }
    this.#gangs.delete(name);
    for (const other of gang.members) if (other !== member) other.endWith(how);
  }
}

/**
 * One life of an executor, as PROTOCOL.md describes it. The text `spec` of a submission is JSON with
 * `steps`; each has `ms`, the time that a subtask takes, `cpu` and `memMb`, and, where they apply,
 * `gang`, the number of its members, and `saves`, whether it writes checkpoints.
 */
export class Executor {
  #server = new JsonServer((call) => this.#handle(call));
  #runs = new Map();
  #highestEnded = new Map();
  #ends = [];
  #lastEnd = 0;
  #fence = 0;
  #leaseEnd = 0;
  #startedAt = performance.now();
  #wakeHolds = new Set();
  #leaseTimer;
  isUp = false;
  /** Number of stop orders that have arrived. */
  stopOrders = 0;

  constructor({ id, machine, service, zone, capacity, labels, record, gangs, advice }) {
    Object.assign(this, { id, machine, service, zone, capacity, labels, gangs, advice });
    this.record = record;
    this.bornMs = Date.now();
  }

  async start() {
    this.address = await this.#server.listen('127.0.0.1');
    this.isUp = true;
    this.#leaseTimer = setInterval(() => {
      this.#checkLease();
    }, LEASE_CHECK_MS);
    return this.address;
  }

  /** Ends the process without a word: everything that runs is gone. */
  async crash() {
    this.isUp = false;
    clearInterval(this.#leaseTimer);
    for (const run of this.#runs.values()) {
      clearTimeout(run.timer);
      this.#note('gone', run);
      if (run.gang) this.gangs.leave(run.gang, run, 'broken');
    }
    this.#runs.clear();
    for (const wake of this.#wakeHolds) wake();
    await this.#server.close();
  }

  get runs() {
    return [...this.#runs.values()];
  }

  get clockMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** What it writes to the store about itself. */
  get entry() {
    const { service, address, zone, capacity, labels, bornMs: born } = this;
    const state = 'ready';
    return {
      service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state,
      coldLeftMs: 0,
      capacity,
      labels,
      born,
    };
  }

  #note(event, { task, run }) {
    this.record({ event, executor: this.id, task, run });
  }

  #checkLease() {
    if (this.#runs.size === 0 || this.clockMs <= this.#leaseEnd) return;
    for (const run of this.#runs.values()) this.#end(run, 'lapsed');
  }

  #end(run, how) {
    if (this.#runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.#runs.delete(run.task);
    const { task } = run;
    this.#highestEnded.set(task, Math.max(run.run, this.#highestEnded.get(task) ?? 0));
    this.#lastEnd++;
    this.#ends.push([
      this.#lastEnd,
      task,
      run.run,
      how,
      how === 'done' ? '' : this.#checkpointOf(run),
    ]);
    this.#note(how, run);
    if (run.gang) this.gangs.leave(run.gang, run, how === 'done' ? 'done' : 'broken');
    for (const wake of this.#wakeHolds) wake();
  }

  #extendLease(untilMs) {
    if (typeof untilMs !== 'number') return;
    this.#leaseEnd = Math.max(this.#leaseEnd, Math.min(untilMs, this.clockMs + MAX_HOLD_MS));
  }

  #refuse(reason) {
    return { status: 409, body: { clockMs: this.clockMs, reason } };
  }

  #handle({ path, body, headers }) {
    if (!this.isUp) return undefined;
    if (headers['x-target-instance'] !== this.id) return { status: 421 };
    const token = body.fencingToken ?? 0;
    if (token < this.#fence) return this.#refuse('fence');
    this.#fence = token;
    if (path === '/api/run-start') return this.#startRun(body);
    if (path === '/api/run-stop') return this.#stopRun(body);
    if (path === '/api/hold') return this.#hold(body);
    if (path === '/api/pace') return { status: 200, body: { clockMs: this.clockMs } };
    return { status: 404 };
  }

  #startRun({ task, run, spec, untilMs, checkpoint = '', ticket }) {
    if (untilMs <= this.clockMs) return this.#refuse('late');
    this.#extendLease(untilMs);
    const present = this.#runs.get(task);
    if (present?.run === run) return { status: 200, body: { clockMs: this.clockMs } };
    if (present || run <= (this.#highestEnded.get(task) ?? 0)) return this.#refuse('old');
    const [job, occurrence, step] = task.split('.');
    const { ms, cpu, memMb, gang, saves } = JSON.parse(spec).steps[Number(step)];
    const stepName = `${job}.${occurrence}.${step}`;
    if (this.advice && !this.advice.isValid(ticket, stepName, this.id))
      return this.#refuse('ticket');
    if (!this.#hasRoom(cpu, memMb)) return this.#refuse('room');
    const entry = { task, run, cpu, memMb, saves, checkpoint, ms };
    this.#runs.set(task, entry);
    this.record({ event: 'start', executor: this.id, task, run, checkpoint: checkpoint || '-' });
    entry.begin = () => {
      this.#begin(entry);
    };
    if (!gang) entry.begin();
    else this.#joinGang(entry, `${stepName}/${run}`, gang);
    return { status: 200, body: { clockMs: this.clockMs } };
  }

  #begin(entry) {
    clearTimeout(entry.timer);
    const doneMs = Number.parseInt(entry.checkpoint, 16) || 0;
    entry.startedAt = performance.now() + (doneMs > 0 ? RESTORE_MS : 0);
    entry.doneMs = doneMs;
    const leftMs = entry.ms - doneMs + (doneMs > 0 ? RESTORE_MS : 0);
    entry.timer = setTimeout(() => {
      this.#end(entry, 'done');
    }, leftMs);
  }

  #joinGang(entry, name, count) {
    entry.gang = name;
    entry.endWith = (how) => {
      this.#end(entry, how);
    };
    entry.timer = setTimeout(() => {
      this.#end(entry, 'alone');
    }, GANG_TIMEOUT_MS);
    this.gangs.join(name, count, entry);
  }

  /** The last checkpoint of a run: the milliseconds of work that it has saved, in hexadecimal. */
  #checkpointOf({ saves, startedAt, doneMs = 0, checkpoint }) {
    if (!saves || startedAt === undefined) return checkpoint;
    const workedMs = Math.max(0, performance.now() - startedAt);
    const savedMs = doneMs + Math.floor(workedMs / CHECKPOINT_MS) * CHECKPOINT_MS;
    return savedMs === 0 ? '' : savedMs.toString(16).padStart(8, '0');
  }

  #hasRoom(cpu, memMb) {
    const sum = (field) => this.runs.reduce((total, run) => total + run[field], 0);
    return sum('cpu') + cpu <= this.capacity.cpu && sum('memMb') + memMb <= this.capacity.memMb;
  }

  #stopRun({ task, run }) {
    this.stopOrders++;
    const present = this.#runs.get(task);
    this.#highestEnded.set(task, Math.max(run, this.#highestEnded.get(task) ?? 0));
    if (present && present.run <= run && !present.isStopping) {
      present.isStopping = true;
      setTimeout(() => {
        this.#end(present, 'stopped');
      }, STOP_MS);
    }
    return { status: 200, body: { clockMs: this.clockMs } };
  }

  async #hold({ untilMs, ackedUpto = 0, waitMs = 0 }) {
    this.#extendLease(untilMs);
    for (const [number, task, run, how] of this.#ends)
      if (number <= ackedUpto) this.record({ event: 'acked', executor: this.id, task, run, how });
    this.#ends = this.#ends.filter(([number]) => number > ackedUpto);
    if (this.#ends.length === 0 && waitMs > 0)
      await this.#waitForEnd(Math.min(waitMs, MAX_WAIT_MS));
    if (!this.isUp) return undefined;
    const percentOf = ({ startedAt }) => (performance.now() - startedAt > 100 ? 100 : 0);
    const running = this.runs.map((run) => {
      return [run.task, run.run, this.#checkpointOf(run), percentOf(run), run.cpu];
    });
    const finished = this.#ends.slice(0, MAX_LISTED_ENDS);
    return { status: 200, body: { clockMs: this.clockMs, born: this.bornMs, running, finished } };
  }

  #waitForEnd(waitMs) {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        wake();
      }, waitMs);
      const wake = () => {
        this.#wakeHolds.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      this.#wakeHolds.add(wake);
    });
  }
}
