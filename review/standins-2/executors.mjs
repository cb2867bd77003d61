import { performance } from 'node:perf_hooks';
import { JsonServer } from './http.mjs';

const HEARTBEAT_MS = 1_500;
const MAX_LISTED_ENDS = 500;

/** One life of an executor, as PROTOCOL.md describes it. */
export class Executor {
  id;
  service;
  zone;
  labels;
  capacity;
  machine;
  address;
  /** How long a subtask runs and how it ends: `{ ms, how }`; without `ms`, until it is stopped. */
  script = () => ({ ms: 500, how: 'done' });
  maxHoldMs = 6_000;
  stopMs = 100;
  /** Whether it rejects what doesn't fit, as with `admissionControl`. */
  guardsCapacity = true;
  isUp = false;
  state = 'ready';
  #fleet;
  #server = new JsonServer((call) => this.#answer(call));
  #born = Date.now();
  #bornAt = performance.now();
  #seqNo = 0;
  #fence = 0;
  #runs = new Map();
  #lastRuns = new Map();
  #finished = [];
  #endCount = 0;
  #leaseEndMs = 0;
  #leaseTimer;
  #beat;
  #waiting = new Set();

  constructor(fleet, { id, service, machine, zone, labels, capacity }) {
    Object.assign(this, { id, service, machine, zone, labels, capacity });
    this.#fleet = fleet;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.#bornAt) + 1_000;
  }

  get running() {
    return [...this.#runs.values()];
  }

  async start() {
    this.address = await this.#server.listen();
    this.isUp = true;
    this.#register();
    this.#beat = globalThis.setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  #register() {
    const { id, service, address, zone, labels, capacity, state } = this;
    this.#seqNo++;
    const entry = { service, address, zone, version: 'v1', slots: 8, state, seqNo: this.#seqNo };
    this.#fleet.store.put('servers', id, { ...entry, capacity, labels, born: this.#born });
  }

  /** Ends the process without notice; its entry goes after three heartbeats of silence. */
  crash() {
    this.isUp = false;
    globalThis.clearInterval(this.#beat);
    globalThis.clearTimeout(this.#leaseTimer);
    for (const run of this.running) this.#finish(run, 'lost');
    this.#server.crash();
    this.#fleet.record.add(`executor ${this.id} crashes`);
    globalThis
      .setTimeout(() => this.#fleet.store.drop('servers', this.id), 3 * HEARTBEAT_MS)
      .unref();
  }

  /** Ends everything without a word, at the end of a test. */
  close() {
    this.isUp = false;
    globalThis.clearInterval(this.#beat);
    globalThis.clearTimeout(this.#leaseTimer);
    for (const { timer } of this.running) globalThis.clearTimeout(timer);
    this.#server.crash();
  }

  #answer({ url, headers, body = {} }) {
    if (headers['x-target-instance'] !== undefined && headers['x-target-instance'] !== this.id)
      return { status: 421, body: {} };
    if (url.pathname === '/api/hold') return this.#hold(body);
    if (url.pathname === '/api/run-start') return this.#start(body);
    if (url.pathname === '/api/run-stop') return this.#stop(body);
    if (url.pathname === '/api/pace') return this.#reply();
    return { status: 404 };
  }

  #reply(fields = {}) {
    return { status: 200, body: { clockMs: this.clockMs, born: this.#born, ...fields } };
  }

  #refuse(reason) {
    return { status: 409, body: { clockMs: this.clockMs, born: this.#born, reason } };
  }

  #isFenced({ fencingToken = 0 }) {
    if (fencingToken < this.#fence) return true;
    this.#fence = fencingToken;
    return false;
  }

  #extendLease(untilMs) {
    if (untilMs === undefined) return;
    const end = Math.min(untilMs, this.clockMs + this.maxHoldMs);
    if (end <= this.#leaseEndMs) return;
    this.#leaseEndMs = end;
    globalThis.clearTimeout(this.#leaseTimer);
    this.#leaseTimer = globalThis.setTimeout(() => {
      for (const run of this.running) this.#end(run, 'lapsed');
    }, end - this.clockMs);
  }

  #start(order) {
    const { task, run, spec, untilMs } = order;
    if (this.#isFenced(order)) return this.#refuse('fence');
    if (this.#runs.get(task)?.run === run) return this.#reply();
    if (untilMs <= this.clockMs) return this.#refuse('late');
    this.#extendLease(untilMs);
    if (this.#runs.has(task) || run <= (this.#lastRuns.get(task) ?? 0)) return this.#refuse('old');
    const needs = this.#fleet.needsOf(task);
    const used = this.running.reduce((sum, { cpu }) => sum + cpu, 0);
    if (this.guardsCapacity && used + needs.cpu > this.capacity.cpu) return this.#refuse('room');
    const active = { task, run, cpu: needs.cpu, startedAt: performance.now() };
    this.#runs.set(task, active);
    this.#fleet.handleStart(this, active, spec);
    const { ms, how = 'done' } = this.script(task, run, this);
    if (ms !== undefined) active.timer = globalThis.setTimeout(() => this.#end(active, how), ms);
    return this.#reply();
  }

  #stop(order) {
    const { task, run } = order;
    if (this.#isFenced(order)) return this.#refuse('fence');
    const active = this.#runs.get(task);
    if (active?.run === run && !active.isStopping) {
      active.isStopping = true;
      globalThis.clearTimeout(active.timer);
      active.timer = globalThis.setTimeout(() => this.#end(active, 'stopped'), this.stopMs);
    }
    this.#lastRuns.set(task, Math.max(run, this.#lastRuns.get(task) ?? 0));
    return this.#reply();
  }

  async #hold(order) {
    const { ackedUpto = 0, untilMs, waitMs = 0 } = order;
    if (this.#isFenced(order)) return this.#refuse('fence');
    for (const [number, task, run, how] of this.#finished)
      if (number <= ackedUpto) this.#fleet.handleAcked(this, task, run, how);
    this.#finished = this.#finished.filter(([number]) => number > ackedUpto);
    if (untilMs > this.clockMs) this.#extendLease(untilMs);
    if (this.#finished.length === 0 && waitMs > 0) await this.#waitForEnd(Math.min(2_000, waitMs));
    if (!this.isUp) return undefined;
    const running = this.running.map(({ task, run, startedAt }) => {
      return [task, run, '', performance.now() - startedAt > 300 ? 100 : 0, 0];
    });
    return this.#reply({ running, finished: this.#finished.slice(0, MAX_LISTED_ENDS) });
  }

  async #waitForEnd(waitMs) {
    const waiting = this.#waiting;
    await new Promise((resolve) => {
      const timer = globalThis.setTimeout(done, waitMs);
      function done() {
        globalThis.clearTimeout(timer);
        waiting.delete(done);
        resolve();
      }
      waiting.add(done);
    });
  }

  #finish(active, how) {
    globalThis.clearTimeout(active.timer);
    this.#runs.delete(active.task);
    this.#fleet.handleEnd(this, active, how);
  }

  #end(active, how) {
    if (this.#runs.get(active.task) !== active) return;
    this.#finish(active, how);
    const { task, run } = active;
    this.#lastRuns.set(task, Math.max(run, this.#lastRuns.get(task) ?? 0));
    this.#finished.push([++this.#endCount, task, run, how, '']);
    for (const wake of [...this.#waiting]) wake();
  }
}

/** The executors of a deployment, and what they have seen. */
export class Fleet {
  store;
  record;
  executors = [];
  /** All runs: task, run, executor, startedS, endedS, how, ackedS. */
  runs = [];
  /** Whether each start and end is written to the record. */
  recordsRuns = true;
  /** Resources that a subtask asks for. */
  needsOf = () => ({ cpu: 100 });
  onStart = () => undefined;
  onEnd = () => undefined;
  #byKey = new Map();

  constructor(store, record) {
    this.store = store;
    this.record = record;
  }

  async add(options) {
    const executor = new Executor(this, options);
    if (options.script) executor.script = options.script;
    this.executors.push(executor);
    await executor.start();
    return executor;
  }

  close() {
    for (const executor of this.executors) executor.close();
  }

  #keyOf({ id }, task, run) {
    return `${id} ${task} ${run}`;
  }

  handleStart(executor, active, spec) {
    const { task, run } = active;
    const seen = { task, run, executor, spec, startedS: this.record.seconds };
    this.runs.push(seen);
    this.#byKey.set(this.#keyOf(executor, task, run), seen);
    if (this.recordsRuns) this.record.add(`${executor.id} starts ${task} run ${run}`);
    this.onStart(executor, seen);
  }

  handleEnd(executor, { task, run }, how) {
    const seen = this.#byKey.get(this.#keyOf(executor, task, run));
    Object.assign(seen, { endedS: this.record.seconds, how });
    if (this.recordsRuns) this.record.add(`${executor.id} ends ${task} run ${run}: ${how}`);
    this.onEnd(executor, seen);
  }

  handleAcked(executor, task, run, how) {
    const seen = this.#byKey.get(this.#keyOf(executor, task, run));
    if (!seen || seen.ackedS !== undefined) return;
    seen.ackedS = this.record.seconds;
    if (this.recordsRuns) this.record.add(`end ${how} of ${task} run ${run} is taken note of`);
  }
}
