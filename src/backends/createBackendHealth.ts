import type { Clock } from '../clock/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Random } from '../random/index.js';
import type { ExecutorSlots } from '../scheduling/index.js';
import type { BackendsSettings } from './defaults.js';
import { BackendErrorCode, type BackendError, type BackendHealth } from './types.js';

/** Why an executor was ejected, that is, gets no new work until a probe succeeds. */
export enum EjectionReason {
  Failures = 'failures',
  Stalled = 'stalled',
}

/** Health of executors, with the inputs that update it. */
export interface BackendHealthTracker extends BackendHealth {
  /** Sets the executors to track; those of one service are compared with each other. */
  setExecutors(executors: readonly ExecutorSlots[]): void;
  /** Records that a request was passed to a connection to the VM. */
  recordStart(vm: string): void;
}

/** Asks an executor whether it can serve requests; resolves to false if it cannot. */
export type Probe = (vm: string, signal: AbortSignal) => Promise<boolean>;

/** Options of {@link createBackendHealth}. */
export interface BackendHealthOptions {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  settings: BackendsSettings;
  /** Stops the probes when it is closed. */
  lifecycle: Lifecycle;
  probe: Probe;
}

/** Errors that count against the executor. The others come from load, the caller or a drain. */
const EXECUTOR_FAULTS: ReadonlySet<BackendErrorCode> = new Set([
  BackendErrorCode.ConnectFailed,
  BackendErrorCode.Timeout,
  BackendErrorCode.ConnectionLost,
  BackendErrorCode.Truncated,
  BackendErrorCode.Oversize,
  BackendErrorCode.ResponseMismatch,
]);

const FIRST_SERVER_ERROR = 500;

interface TrackedExecutor {
  vm: string;
  group: ServiceGroup;
  /** Exponentially decaying counts of attempts and, of these, failures. */
  attempts: number;
  failures: number;
  decayedAt: number;
  /** Requests started since an attempt last ended other than by timeout. */
  startedSinceProgress: number;
  /** Time of that end, or of the first request started after it. */
  lastProgressAt: number;
  /** Responses of the other executors of the service up to that time. */
  peerResponsesAtProgress: number;
  responses: number;
  isEjected: boolean;
  /** Consecutive ejections without a return to full weight in between. */
  ejections: number;
  /** Time at which slow start began; undefined at full weight. */
  returnedAt: number | undefined;
}

interface ServiceGroup {
  members: Set<TrackedExecutor>;
  responses: number;
  ejectedCount: number;
}

/** Creates a tracker that derives the health of executors from attempts and probes. */
export function createBackendHealth(options: BackendHealthOptions): BackendHealthTracker {
  return new OutlierDetector(options);
}

class OutlierDetector implements BackendHealthTracker {
  readonly #options: BackendHealthOptions;
  readonly #settings: BackendsSettings;
  readonly #executors = new Map<string, TrackedExecutor>();
  readonly #groups = new Map<string, ServiceGroup>();
  readonly #countEjection: (reason: EjectionReason) => void;
  readonly #countSuppressed: () => void;

  constructor(options: BackendHealthOptions) {
    this.#options = options;
    this.#settings = options.settings;
    const ejections = options.metrics.counter(
      'backend_ejections_total',
      'Ejections of executors because of their recent attempts, by reason',
      ['reason'],
    );
    const suppressed = options.metrics.counter(
      'backend_ejections_spared_total',
      'Ejections skipped because too many executors of the service were already ejected',
    );
    this.#countEjection = (reason) => {
      ejections.inc({ reason });
    };
    this.#countSuppressed = () => {
      suppressed.inc();
    };
  }

  setExecutors(executors: readonly ExecutorSlots[]): void {
    const isFirst = this.#executors.size === 0;
    const kept = new Set(executors.map(({ vm }) => vm));
    for (const executor of [...this.#executors.values()])
      if (!kept.has(executor.vm)) this.#untrack(executor);
    for (const { vm, service } of executors) this.#track(vm, service, isFirst);
  }

  recordStart(vm: string): void {
    const executor = this.#executors.get(vm);
    if (!executor) return;
    if (executor.startedSinceProgress === 0) this.#markProgress(executor);
    executor.startedSinceProgress += 1;
  }

  recordEnd(vm: string, err: BackendError | undefined, status: number, _ranMs: number): void {
    const executor = this.#executors.get(vm);
    if (!executor) return;
    const isFault = err ? EXECUTOR_FAULTS.has(err.code) : status >= FIRST_SERVER_ERROR;
    if (err && !isFault) return;
    this.#decay(executor);
    executor.attempts += 1;
    if (isFault) executor.failures += 1;
    // An attempt that ends by timeout shows no progress of the executor.
    if (err?.code !== BackendErrorCode.Timeout) {
      executor.startedSinceProgress = 0;
      this.#markProgress(executor);
    }
    if (!err) {
      executor.responses += 1;
      executor.group.responses += 1;
    }
    if (isFault) this.#checkFailures(executor);
    for (const peer of executor.group.members) this.#checkStall(peer);
  }

  weight(vm: string): number {
    const executor = this.#executors.get(vm);
    if (!executor) return 1;
    if (executor.isEjected) return 0;
    this.#decay(executor);
    const { minWeight, minAttempts } = this.#settings;
    // An executor that fails fast always has free slots, so its first failures lower its weight.
    const failureShare = executor.failures / Math.max(minAttempts, executor.attempts);
    return Math.max(minWeight, this.#slowStartShare(executor) * (1 - failureShare) ** 2);
  }

  #slowStartShare(executor: TrackedExecutor): number {
    if (executor.returnedAt === undefined) return 1;
    const share = (this.#options.clock.now() - executor.returnedAt) / this.#settings.slowStartMs;
    if (share < 1) return share;
    executor.returnedAt = undefined;
    executor.ejections = 0;
    return 1;
  }

  #track(vm: string, service: string, isFirst: boolean): void {
    const group = this.#groupOf(service);
    const existing = this.#executors.get(vm);
    if (existing?.group === group) return;
    if (existing) this.#untrack(existing);
    const now = this.#options.clock.now();
    const executor: TrackedExecutor = {
      vm,
      group,
      attempts: 0,
      failures: 0,
      decayedAt: now,
      startedSinceProgress: 0,
      lastProgressAt: now,
      peerResponsesAtProgress: group.responses,
      responses: 0,
      isEjected: false,
      ejections: 0,
      returnedAt: isFirst ? undefined : now,
    };
    group.members.add(executor);
    this.#executors.set(vm, executor);
  }

  #untrack(executor: TrackedExecutor): void {
    this.#executors.delete(executor.vm);
    executor.group.members.delete(executor);
    if (executor.isEjected) executor.group.ejectedCount -= 1;
    for (const [service, group] of this.#groups) {
      if (group.members.size === 0) this.#groups.delete(service);
    }
  }

  #groupOf(service: string): ServiceGroup {
    const existing = this.#groups.get(service);
    if (existing) return existing;
    const group: ServiceGroup = { members: new Set(), responses: 0, ejectedCount: 0 };
    this.#groups.set(service, group);
    return group;
  }

  #decay(executor: TrackedExecutor): void {
    const now = this.#options.clock.now();
    const factor = Math.exp((executor.decayedAt - now) / this.#settings.healthWindowMs);
    executor.attempts *= factor;
    executor.failures *= factor;
    executor.decayedAt = now;
  }

  #markProgress(executor: TrackedExecutor): void {
    executor.lastProgressAt = this.#options.clock.now();
    executor.peerResponsesAtProgress = executor.group.responses - executor.responses;
  }

  #checkFailures(executor: TrackedExecutor): void {
    const { minAttempts, ejectFailureShare, outlierFactor } = this.#settings;
    // Half an attempt compensates for the decay between attempts in quick succession.
    if (executor.attempts < minAttempts - 0.5) return;
    const share = executor.failures / executor.attempts;
    if (share < ejectFailureShare) return;
    if (share < outlierFactor * this.#failureShareOfOthers(executor)) return;
    this.#eject(executor, EjectionReason.Failures);
  }

  #failureShareOfOthers(executor: TrackedExecutor): number {
    let attempts = 0;
    let failures = 0;
    for (const peer of executor.group.members) {
      if (peer === executor || peer.isEjected) continue;
      this.#decay(peer);
      attempts += peer.attempts;
      failures += peer.failures;
    }
    return attempts > 0 ? failures / attempts : 0;
  }

  #checkStall(executor: TrackedExecutor): void {
    const { stallMs, stallInFlight, stallPeerAnswers } = this.#settings;
    if (executor.startedSinceProgress < stallInFlight) return;
    if (this.#options.clock.now() - executor.lastProgressAt < stallMs) return;
    const peerResponses =
      executor.group.responses - executor.responses - executor.peerResponsesAtProgress;
    if (peerResponses >= stallPeerAnswers) this.#eject(executor, EjectionReason.Stalled);
  }

  #eject(executor: TrackedExecutor, reason: EjectionReason): void {
    if (executor.isEjected) return;
    const { group } = executor;
    const { size } = group.members;
    const limit = size < 2 ? 0 : Math.max(1, Math.floor(size * this.#settings.maxEjectedShare));
    if (group.ejectedCount >= limit) {
      this.#countSuppressed();
      return;
    }
    executor.isEjected = true;
    executor.ejections += 1;
    group.ejectedCount += 1;
    this.#countEjection(reason);
    void this.#probeUntilHealthy(executor);
  }

  /** Runs once per ejection: probes with backoff until one succeeds, then starts slow start. */
  async #probeUntilHealthy(executor: TrackedExecutor): Promise<void> {
    const { clock, random, lifecycle, probe } = this.#options;
    const { ejectBaseMs, ejectMaxMs } = this.#settings;
    for (let attempt = executor.ejections; ; attempt++) {
      const delayMs = Math.min(ejectMaxMs, ejectBaseMs * 2 ** (attempt - 1));
      const isElapsed = await clock.sleep(delayMs * (0.5 + random.next() / 2), lifecycle.signal);
      if (!isElapsed || this.#executors.get(executor.vm) !== executor) return;
      const isHealthy = await probe(executor.vm, lifecycle.signal).catch(() => false);
      if (this.#executors.get(executor.vm) !== executor) return;
      if (isHealthy) break;
    }
    this.#returnToService(executor);
  }

  #returnToService(executor: TrackedExecutor): void {
    executor.isEjected = false;
    executor.group.ejectedCount -= 1;
    executor.returnedAt = this.#options.clock.now();
    executor.attempts = 0;
    executor.failures = 0;
    executor.startedSinceProgress = 0;
    this.#markProgress(executor);
  }
}
