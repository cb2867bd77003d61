import type { Clock } from '../clock/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Random } from '../random/index.js';
import type { ExecutorSlots } from '../scheduling/index.js';
import type { BackendsSettings } from './defaults.js';
import { BackendErrorCode, type BackendError, type BackendHealth } from './types.js';

/** Why an executor gets no new work for a while. */
export enum EjectionReason {
  Failures = 'failures',
  Stalled = 'stalled',
}

/** Health with the inputs that feed it. */
export interface BackendHealthTracker extends BackendHealth {
  /** Sets the executors to watch; those of one service are compared with each other. */
  setExecutors(executors: readonly ExecutorSlots[]): void;
  /** Records that a request was handed to a connection of the VM. */
  recordStart(vm: string): void;
}

/** Asks an executor whether it can serve; returns false when it cannot. */
export type Probe = (vm: string, signal: AbortSignal) => Promise<boolean>;

/** Options of {@link createBackendHealth}. */
export interface BackendHealthOptions {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  settings: BackendsSettings;
  /** Ends the probes when it is closed. */
  lifecycle: Lifecycle;
  probe: Probe;
}

/** Failures that speak against the executor. The others come from load, the caller or a drain. */
const FAULTS: ReadonlySet<BackendErrorCode> = new Set([
  BackendErrorCode.ConnectFailed,
  BackendErrorCode.Timeout,
  BackendErrorCode.ConnectionLost,
  BackendErrorCode.Truncated,
  BackendErrorCode.Oversize,
  BackendErrorCode.ResponseMismatch,
]);

const FIRST_SERVER_ERROR = 500;

interface WatchedExecutor {
  vm: string;
  group: WatchedGroup;
  /** Decaying counts of attempts. */
  attempts: number;
  failures: number;
  decayedAt: number;
  /** Requests started, and answers of the others, since the last end of an attempt here. */
  startedSinceEnd: number;
  lastEndAt: number;
  peerAnswersAtEnd: number;
  answers: number;
  ejectedUntilProbe: boolean;
  /** Ejections in a row without a return to full weight. */
  ejections: number;
  /** Start of slow start; undefined at full weight. */
  returnedAt: number | undefined;
}

interface WatchedGroup {
  members: Set<WatchedExecutor>;
  answers: number;
  ejected: number;
}

/** Creates the health of executors, learned from attempts and probes. */
export function createBackendHealth(options: BackendHealthOptions): BackendHealthTracker {
  return new OutlierDetector(options);
}

class OutlierDetector implements BackendHealthTracker {
  readonly #options: BackendHealthOptions;
  readonly #settings: BackendsSettings;
  readonly #executors = new Map<string, WatchedExecutor>();
  readonly #groups = new Map<string, WatchedGroup>();
  readonly #countEjection: (reason: EjectionReason) => void;
  readonly #countSpared: () => void;

  constructor(options: BackendHealthOptions) {
    this.#options = options;
    this.#settings = options.settings;
    const ejections = options.metrics.counter(
      'backend_ejections_total',
      'Executors that stopped getting work because of their attempts, by reason',
      ['reason'],
    );
    const spared = options.metrics.counter(
      'backend_ejections_spared_total',
      'Ejections left out because too much of the pool is ejected already',
    );
    this.#countEjection = (reason) => {
      ejections.inc({ reason });
    };
    this.#countSpared = () => {
      spared.inc();
    };
  }

  setExecutors(executors: readonly ExecutorSlots[]): void {
    const isFirst = this.#executors.size === 0;
    const kept = new Set(executors.map(({ vm }) => vm));
    for (const each of [...this.#executors.values()]) if (!kept.has(each.vm)) this.#forget(each);
    for (const { vm, service } of executors) this.#watch(vm, service, isFirst);
  }

  recordStart(vm: string): void {
    const executor = this.#executors.get(vm);
    if (!executor) return;
    if (executor.startedSinceEnd === 0) this.#markProgress(executor);
    executor.startedSinceEnd += 1;
  }

  recordEnd(vm: string, err: BackendError | undefined, status: number, _ranMs: number): void {
    const executor = this.#executors.get(vm);
    if (!executor) return;
    const isFault = err ? FAULTS.has(err.code) : status >= FIRST_SERVER_ERROR;
    if (err && !isFault) return;
    this.#decay(executor);
    executor.attempts += 1;
    if (isFault) executor.failures += 1;
    // A timeout ends an attempt without progress of the executor.
    if (err?.code !== BackendErrorCode.Timeout) {
      executor.startedSinceEnd = 0;
      this.#markProgress(executor);
    }
    if (!err) {
      executor.answers += 1;
      executor.group.answers += 1;
    }
    if (isFault) this.#judgeFailures(executor);
    for (const peer of executor.group.members) this.#judgeStall(peer);
  }

  weight(vm: string): number {
    const executor = this.#executors.get(vm);
    if (!executor) return 1;
    if (executor.ejectedUntilProbe) return 0;
    this.#decay(executor);
    const { minWeight, minAttempts } = this.#settings;
    // An executor that fails fast always has free slots; its weight falls with the first failures.
    const failureShare = executor.failures / Math.max(minAttempts, executor.attempts);
    return Math.max(minWeight, this.#slowStartShare(executor) * (1 - failureShare) ** 2);
  }

  #slowStartShare(executor: WatchedExecutor): number {
    if (executor.returnedAt === undefined) return 1;
    const share = (this.#options.clock.now() - executor.returnedAt) / this.#settings.slowStartMs;
    if (share < 1) return share;
    executor.returnedAt = undefined;
    executor.ejections = 0;
    return 1;
  }

  #watch(vm: string, service: string, isFirst: boolean): void {
    const group = this.#groupOf(service);
    const existing = this.#executors.get(vm);
    if (existing?.group === group) return;
    if (existing) this.#forget(existing);
    const now = this.#options.clock.now();
    const executor: WatchedExecutor = {
      vm,
      group,
      attempts: 0,
      failures: 0,
      decayedAt: now,
      startedSinceEnd: 0,
      lastEndAt: now,
      peerAnswersAtEnd: group.answers,
      answers: 0,
      ejectedUntilProbe: false,
      ejections: 0,
      returnedAt: isFirst ? undefined : now,
    };
    group.members.add(executor);
    this.#executors.set(vm, executor);
  }

  #forget(executor: WatchedExecutor): void {
    this.#executors.delete(executor.vm);
    executor.group.members.delete(executor);
    if (executor.ejectedUntilProbe) executor.group.ejected -= 1;
    for (const [service, group] of this.#groups) {
      if (group.members.size === 0) this.#groups.delete(service);
    }
  }

  #groupOf(service: string): WatchedGroup {
    const existing = this.#groups.get(service);
    if (existing) return existing;
    const group: WatchedGroup = { members: new Set(), answers: 0, ejected: 0 };
    this.#groups.set(service, group);
    return group;
  }

  #decay(executor: WatchedExecutor): void {
    const now = this.#options.clock.now();
    const factor = Math.exp((executor.decayedAt - now) / this.#settings.healthWindowMs);
    executor.attempts *= factor;
    executor.failures *= factor;
    executor.decayedAt = now;
  }

  #markProgress(executor: WatchedExecutor): void {
    executor.lastEndAt = this.#options.clock.now();
    executor.peerAnswersAtEnd = executor.group.answers - executor.answers;
  }

  #judgeFailures(executor: WatchedExecutor): void {
    const { minAttempts, ejectFailureShare, outlierFactor } = this.#settings;
    // Half an attempt makes up for the decay between attempts in quick succession.
    if (executor.attempts < minAttempts - 0.5) return;
    const share = executor.failures / executor.attempts;
    if (share < ejectFailureShare) return;
    if (share < outlierFactor * this.#failureShareOfOthers(executor)) return;
    this.#eject(executor, EjectionReason.Failures);
  }

  #failureShareOfOthers(executor: WatchedExecutor): number {
    let attempts = 0;
    let failures = 0;
    for (const peer of executor.group.members) {
      if (peer === executor || peer.ejectedUntilProbe) continue;
      this.#decay(peer);
      attempts += peer.attempts;
      failures += peer.failures;
    }
    return attempts > 0 ? failures / attempts : 0;
  }

  #judgeStall(executor: WatchedExecutor): void {
    const { stallMs, stallInFlight, stallPeerAnswers } = this.#settings;
    if (executor.startedSinceEnd < stallInFlight) return;
    if (this.#options.clock.now() - executor.lastEndAt < stallMs) return;
    const peerAnswers = executor.group.answers - executor.answers - executor.peerAnswersAtEnd;
    if (peerAnswers >= stallPeerAnswers) this.#eject(executor, EjectionReason.Stalled);
  }

  #eject(executor: WatchedExecutor, reason: EjectionReason): void {
    if (executor.ejectedUntilProbe) return;
    const { group } = executor;
    const { size } = group.members;
    const limit = size < 2 ? 0 : Math.max(1, Math.floor(size * this.#settings.maxEjectedShare));
    if (group.ejected >= limit) {
      this.#countSpared();
      return;
    }
    executor.ejectedUntilProbe = true;
    executor.ejections += 1;
    group.ejected += 1;
    this.#countEjection(reason);
    void this.#probeUntilHealthy(executor);
  }

  /** One task per ejected executor: waits, probes, and returns it to slow start. */
  async #probeUntilHealthy(executor: WatchedExecutor): Promise<void> {
    const { clock, random, lifecycle, probe } = this.#options;
    const { ejectBaseMs, ejectMaxMs } = this.#settings;
    for (let attempt = executor.ejections; ; attempt++) {
      const pauseMs = Math.min(ejectMaxMs, ejectBaseMs * 2 ** (attempt - 1));
      const elapsed = await clock.sleep(pauseMs * (0.5 + random.next() / 2), lifecycle.signal);
      if (!elapsed || this.#executors.get(executor.vm) !== executor) return;
      const isHealthy = await probe(executor.vm, lifecycle.signal).catch(() => false);
      if (this.#executors.get(executor.vm) !== executor) return;
      if (isHealthy) break;
    }
    this.#returnToService(executor);
  }

  #returnToService(executor: WatchedExecutor): void {
    executor.ejectedUntilProbe = false;
    executor.group.ejected -= 1;
    executor.returnedAt = this.#options.clock.now();
    executor.attempts = 0;
    executor.failures = 0;
    executor.startedSinceEnd = 0;
    this.#markProgress(executor);
  }
}
