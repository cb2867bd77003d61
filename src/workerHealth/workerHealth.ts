import type { Clock } from '../clock/index.js';
import { healthDefaults } from './defaults.js';
import { MAX_ROUNDS, type StoredOpinion } from './opinion.js';
import {
  computeNorm,
  FailureWeight,
  findEvidence,
  isConspicuous,
  mayBeOutlier,
  type Norm,
  type Sample,
  type WorkerSamples,
} from './outliers.js';
import {
  OutlierReason,
  ReturnReason,
  RunOutcome,
  Standing,
  type EndedRun,
  type Evidence,
  type HealthSettings,
  type JudgedWorker,
  type PoolNeeds,
} from './types.js';

/** Pools up to this size are compared without the judged worker, which could shift the median. */
const MAX_SMALL_POOL = 8;
/** A worse worker takes the place of one that is set aside if its severity is higher by this. */
const SWAP_MARGIN = 0.15;
/** Severity of a worker whose evidence is not known any more. */
const UNKNOWN_SEVERITY = 0.5;

/** Fields and destination of log lines. */
export interface HealthLog {
  info(event: string, fields: Record<string, string | number | boolean | undefined>): void;
}

/** Dependencies of {@link WorkerHealth}. */
export interface WorkerHealthDeps {
  service: string;
  clock: Clock;
  log: HealthLog;
  counters: { count(name: string, reason: string): void };
  settings?: Partial<HealthSettings>;
}

interface EndedSample extends Sample {
  task: string;
  endedAt: number;
  hasFailed: boolean;
}

type SamplesById = readonly [string, WorkerSamples][];

interface FailedTask {
  /** Workers on which it failed. */
  failedOn: Set<string>;
  /** Worker on which it succeeded afterwards. */
  succeededOn?: string;
}

interface HealthRecord {
  bornMs: number;
  standing: Standing;
  samples: EndedSample[];
  /** How often it was set aside, with less than `forgetMs` in between. */
  rounds: number;
  /** Time since which it is set aside, or was last put on trial. */
  since: number;
  /** End of the period for which it is set aside. */
  until: number;
  returnedAt: number;
  severity: number;
  reason: OutlierReason;
}

/**
 * Outlier detection for the workers of one pool: sets aside workers that fail or slow down runs
 * compared with the others, and lets them return by trial. It never ends runs.
 */
export class WorkerHealth {
  readonly #deps: WorkerHealthDeps;
  readonly #settings: HealthSettings;
  readonly #records = new Map<string, HealthRecord>();
  /** Tasks that failed, the oldest first. */
  readonly #failedTasks = new Map<string, FailedTask>();
  /** Worker on which a task of a step succeeded, or null if there were several. */
  readonly #succeededOn = new Map<string, string | null>();
  #judgedAt = -Infinity;
  #norm: Norm | undefined;

  constructor(deps: WorkerHealthDeps) {
    this.#deps = deps;
    this.#settings = { ...healthDefaults, ...deps.settings };
  }

  /** Whether a worker gets new runs. */
  standing(worker: string): Standing {
    return this.#records.get(worker)?.standing ?? Standing.InUse;
  }

  /** Whether a failed run may be the fault of its worker: the task has not failed elsewhere. */
  isAttributable(worker: string, task: string): boolean {
    const failedOn = this.#failedTasks.get(task)?.failedOn ?? new Set();
    return [...failedOn].every((other) => other === worker);
  }

  /** Number of workers that are set aside or on trial. */
  get awayCount(): number {
    return this.#away().length;
  }

  /** Records the end of a run. */
  recordEnd(run: EndedRun): void {
    const { worker, task, step, kind, outcome, startedAt, ratio } = run;
    const { clock } = this.#deps;
    const { maxTasks, maxRunsPerWorker } = this.#settings;
    const hasFailed = outcome === RunOutcome.Failed;
    if (hasFailed) {
      const failed = this.#failedTasks.get(task) ?? { failedOn: new Set<string>() };
      failed.failedOn.add(worker);
      setBounded(this.#failedTasks, task, failed, maxTasks);
    } else {
      const failed = this.#failedTasks.get(task);
      if (failed) failed.succeededOn = worker;
      const known = this.#succeededOn.get(step);
      const isOther = known !== undefined && known !== worker;
      setBounded(this.#succeededOn, step, isOther ? null : worker, maxTasks);
    }
    const record = this.#recordOf(worker);
    // Runs that it started before it was set aside say nothing about its present state.
    if (startedAt < record.since) return;
    const endedAt = clock.now();
    const slowRatio = hasFailed ? undefined : ratio;
    record.samples.push({ task, kind, step, startedAt, endedAt, ratio: slowRatio, hasFailed });
    if (record.samples.length > maxRunsPerWorker) record.samples.shift();
    if (run.isTrial && record.standing === Standing.OnTrial) this.#applyTrial(worker, record, run);
  }

  #applyTrial(id: string, record: HealthRecord, { kind, task, outcome, ratio }: EndedRun): void {
    if (outcome === RunOutcome.Failed) {
      // A task that also fails elsewhere says nothing; the next run decides.
      if (this.#weightOf(id, task, '') !== FailureWeight.None) this.#failTrial(id, record, 1);
      return;
    }
    // Shows that runs succeed there, but not how long they take.
    if (ratio === undefined && record.reason === OutlierReason.Slow) return;
    const usual = this.#norm?.medianRatio(kind);
    const slowdown = ratio === undefined || usual === undefined ? 1 : ratio / usual;
    if (slowdown > this.#settings.slowFactor) this.#failTrial(id, record, 1 - 1 / slowdown);
    else this.#return(id, record, ReturnReason.TrialSucceeded);
  }

  #failTrial(id: string, record: HealthRecord, severity: number): void {
    const { Trial: reason } = OutlierReason;
    // A trial ends as soon as the run is late, so that the severity seen earlier may be larger.
    const worst = Math.max(severity, record.severity);
    this.#setAside(id, record, { reason, severity: worst, samples: 1, own: severity, pool: 0 });
  }

  #recordOf(id: string, bornMs = 0): HealthRecord {
    let record = this.#records.get(id);
    if (!record) {
      record = {
        bornMs,
        standing: Standing.InUse,
        samples: [],
        rounds: 0,
        since: 0,
        until: 0,
        returnedAt: -Infinity,
        severity: 0,
        reason: OutlierReason.Failures,
      };
      this.#records.set(id, record);
    }
    return record;
  }

  /**
   * Judges the workers of the pool that can run tasks, at most once per `judgeIntervalMs`.
   *
   * @param needs - called if workers are to be set aside; what the waiting and running steps need
   */
  judge(workers: () => readonly JudgedWorker[], needs: () => PoolNeeds): void {
    const now = this.#deps.clock.now();
    if (now - this.#judgedAt < this.#settings.judgeIntervalMs) return;
    this.#judgedAt = now;
    const pool = workers();
    this.#dropOld(pool, now);
    const samples = new Map(pool.map((worker) => [worker.id, this.#samplesOf(worker)]));
    const usable = [...samples].filter(([id]) => this.standing(id) === Standing.InUse);
    const { usual, norm: poolNorm } = this.#findUsual(usable);
    this.#norm = poolNorm;
    this.#advanceTrials(pool, now);
    const isSmall = usable.length <= MAX_SMALL_POOL;
    const outliers: [string, Evidence][] = [];
    for (const [id, own] of usable) {
      const norm = isSmall ? this.#normOfOthers(id, usual) : poolNorm;
      if (!mayBeOutlier(own, norm, this.#settings)) continue;
      const evidence = findEvidence(own, norm, this.#settings);
      if (evidence) outliers.push([id, evidence]);
    }
    if (outliers.length === 0 && this.awayCount === 0) return;
    const { maxAway, canSpare } = needs();
    const share = Math.max(1, Math.floor(pool.length * this.#settings.maxShare));
    const limit = pool.length < 2 ? 0 : Math.max(0, Math.min(share, maxAway));
    this.#applyBound(limit);
    outliers.sort(([, a], [, b]) => b.severity - a.severity);
    for (const [id, evidence] of outliers) {
      if (canSpare(id)) this.#setAsideWithin(limit, id, evidence);
      else this.#deps.counters.count('outliers_kept', 'needed');
    }
  }

  #findUsual(usable: SamplesById): { usual: SamplesById; norm: Norm } {
    const normOf = (workers: SamplesById) => computeNorm(new Map(workers).values(), this.#settings);
    const norm = normOf(usable);
    const usual = usable.filter(([, samples]) => !isConspicuous(samples, norm, this.#settings));
    const isMajority = usual.length > usable.length / 2;
    if (usual.length === usable.length || !isMajority) return { usual: usable, norm };
    return { usual, norm: normOf(usual) };
  }

  #normOfOthers(id: string, usual: SamplesById): Norm {
    const others = usual.filter(([other]) => other !== id).map(([, samples]) => samples);
    return computeNorm(others, this.#settings);
  }

  /** Drops what is too old, and what belongs to workers that have left or restarted. */
  #dropOld(pool: readonly JudgedWorker[], now: number): void {
    const { windowMs, forgetMs } = this.#settings;
    const bornMs = new Map(pool.map((worker) => [worker.id, worker.bornMs]));
    for (const [id, record] of this.#records) {
      const born = bornMs.get(id);
      record.samples = record.samples.filter(({ endedAt }) => now - endedAt < windowMs);
      if (born !== undefined && record.bornMs !== 0 && record.bornMs !== born) {
        this.#records.delete(id);
        continue;
      }
      if (born !== undefined) record.bornMs = born;
      const isKept = record.standing !== Standing.InUse || now - record.returnedAt < forgetMs;
      const isGone = born === undefined && now - record.until > forgetMs;
      if (isGone || (record.samples.length === 0 && !isKept)) this.#records.delete(id);
    }
  }

  #samplesOf({ id, openRuns }: JudgedWorker): WorkerSamples {
    const { samples: ended, since } = this.#records.get(id) ?? { samples: [], since: 0 };
    const hasFailures = ended.some(({ hasFailed }) => hasFailed);
    const open = openRuns.filter(({ startedAt }) => startedAt >= since);
    if (!hasFailures) return { ended, open };
    const samples = ended.map((sample): Sample => {
      const { task, step, hasFailed } = sample;
      return hasFailed ? { ...sample, failure: this.#weightOf(id, task, step) } : sample;
    });
    return { ended: samples, open };
  }

  #weightOf(worker: string, task: string, step: string): FailureWeight {
    const failed = this.#failedTasks.get(task);
    const hasSucceededElsewhere = (failed?.succeededOn ?? worker) !== worker;
    if (hasSucceededElsewhere) return FailureWeight.Confirmed;
    if (failed && failed.failedOn.size > 1) return FailureWeight.None;
    const succeededOn = this.#succeededOn.get(step);
    const isConfirmed = succeededOn === null || (succeededOn ?? worker) !== worker;
    return isConfirmed ? FailureWeight.Confirmed : FailureWeight.Unconfirmed;
  }

  #advanceTrials(pool: readonly JudgedWorker[], now: number): void {
    const { maxTrialWaitMs, slowFactor } = this.#settings;
    for (const { id, openRuns } of pool) {
      const record = this.#records.get(id);
      if (!record || record.standing === Standing.InUse) continue;
      if (record.standing === Standing.SetAside) {
        if (now < record.until) continue;
        record.standing = Standing.OnTrial;
        record.since = now;
        this.#report('worker_on_trial', id, record, { reason: record.reason });
        continue;
      }
      const { since } = record;
      const trial = openRuns.find(({ isTrial, startedAt }) => isTrial && startedAt >= since);
      const usual = trial && this.#norm?.medianRatio(trial.kind);
      if (trial && usual !== undefined && trial.ratio > usual * slowFactor) {
        this.#failTrial(id, record, 1 - usual / trial.ratio);
      } else if (!trial && now - record.since > maxTrialWaitMs) {
        this.#return(id, record, ReturnReason.NoTrial);
      }
    }
  }

  #away(): [string, HealthRecord][] {
    return [...this.#records].filter(([, { standing }]) => standing !== Standing.InUse);
  }

  #leastSevere(): [string, HealthRecord] | undefined {
    return this.#away().sort(([, a], [, b]) => presentSeverity(a) - presentSeverity(b))[0];
  }

  #applyBound(limit: number): void {
    for (let excess = this.awayCount - limit; excess > 0; excess--) {
      const [id, record] = this.#leastSevere() ?? [];
      if (id !== undefined && record) this.#return(id, record, ReturnReason.Bound);
    }
  }

  #setAsideWithin(limit: number, id: string, evidence: Evidence): void {
    if (limit === 0) {
      this.#deps.counters.count('outliers_kept', 'no_other_worker');
      return;
    }
    if (this.awayCount >= limit) {
      const [otherId, other] = this.#leastSevere() ?? [];
      const isWorse = other && evidence.severity > presentSeverity(other) + SWAP_MARGIN;
      if (otherId === undefined || !isWorse) {
        this.#deps.counters.count('outliers_kept', 'bound');
        return;
      }
      this.#return(otherId, other, ReturnReason.Bound);
    }
    this.#setAside(id, this.#recordOf(id), evidence);
  }

  #setAside(id: string, record: HealthRecord, evidence: Evidence): void {
    const { clock, counters } = this.#deps;
    const { firstPeriodMs, maxPeriodMs, forgetMs } = this.#settings;
    const now = clock.now();
    const isForgotten = record.standing === Standing.InUse && now - record.returnedAt > forgetMs;
    record.rounds = isForgotten ? 1 : Math.min(MAX_ROUNDS, record.rounds + 1);
    const periodMs = Math.min(maxPeriodMs, firstPeriodMs * 2 ** (record.rounds - 1));
    record.standing = Standing.SetAside;
    record.since = now;
    record.until = now + periodMs;
    record.severity = evidence.severity;
    if (evidence.reason !== OutlierReason.Trial) record.reason = evidence.reason;
    record.samples = [];
    counters.count('workers_set_aside', evidence.reason);
    this.#report('worker_set_aside', id, record, {
      reason: evidence.reason,
      severity: round(evidence.severity),
      samples: evidence.samples,
      own: round(evidence.own),
      pool_median: round(evidence.pool),
      period_ms: periodMs,
    });
  }

  #return(id: string, record: HealthRecord, reason: ReturnReason): void {
    const { clock, counters } = this.#deps;
    record.standing = Standing.InUse;
    record.returnedAt = clock.now();
    record.samples = [];
    counters.count('workers_returned', reason);
    this.#report('worker_returned', id, record, { reason });
  }

  #report(
    event: string,
    worker: string,
    { rounds }: HealthRecord,
    fields: Record<string, string | number>,
  ): void {
    const { log, service } = this.#deps;
    log.info(event, { worker, service, ...fields, rounds, away: this.awayCount });
  }

  /** The opinion to be passed to the next holder. */
  opinion(): StoredOpinion {
    const now = this.#deps.clock.now();
    const workers = this.#away().map(([id, record]) => ({
      id,
      bornMs: record.bornMs,
      reason: record.reason,
      severity: round(record.severity),
      rounds: record.rounds,
      remainingMs: Math.ceil(Math.max(0, record.until - now)),
    }));
    return { atMs: this.#deps.clock.wallTime(), workers };
  }

  /**
   * Takes over the opinion of an earlier holder. What this holder has found out itself remains.
   *
   * @param ageMs - time since it was stored
   */
  restore({ workers }: StoredOpinion, ageMs: number): void {
    const now = this.#deps.clock.now();
    const { maxPeriodMs } = this.#settings;
    for (const { id, bornMs, reason, severity, rounds, remainingMs } of workers) {
      if (this.#records.has(id)) continue;
      const record = this.#recordOf(id, bornMs);
      const periodMs = Math.max(0, Math.min(remainingMs, maxPeriodMs) - ageMs);
      Object.assign(record, { standing: Standing.SetAside, since: now, until: now + periodMs });
      Object.assign(record, { reason, rounds, severity: severity || UNKNOWN_SEVERITY });
      this.#report('worker_set_aside', id, record, {
        reason,
        severity: record.severity,
        period_ms: Math.round(periodMs),
        source: 'earlier_holder',
      });
    }
  }
}

/** Severity for the comparison with new evidence; that against a worker on trial is older. */
function presentSeverity({ standing, severity }: HealthRecord): number {
  return standing === Standing.OnTrial ? severity / 2 : severity;
}

/** Sets an entry as the newest one and drops the oldest above the bound. */
function setBounded<V>(map: Map<string, V>, key: string, value: V, maxSize: number): void {
  map.delete(key);
  map.set(key, value);
  for (const oldest of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(oldest);
  }
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
