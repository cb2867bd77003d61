import type { Step, Task } from '../batch/job.js';
import type { JobTable } from '../batch/jobTable.js';
import type { WaitingStep } from '../batch/ordering.js';
import type { AllowedStarts } from '../batch/placement.js';
import type { RowStore } from '../batch/ports.js';
import type { JobSpec, Resources } from '../batch/types.js';
import type { Worker } from '../batch/worker.js';
import type { Random } from '../random/index.js';
import { AccountControl } from './accountControl.js';
import type { AccountUsage } from './accountUsage.js';
import { BudgetLedger } from './budgetLedger.js';
import type { BudgetLedgerDeps, StartDecision } from './budgetTypes.js';
import { accountRuleDefaults } from './defaults.js';
import type { ItemAccount } from './fairBacklog.js';
import { JobCounting } from './jobCounting.js';
import { LoadAdmission, type LoadAdmissionDeps } from './loadAdmission.js';
import { addToUsage, freeResources, PoolUsage } from './poolUsage.js';
import { SubmissionChecks, type SubmissionChecksDeps } from './submissionChecks.js';
import type { HeldTasks } from './startableDemand.js';
import type { Account, AccountRules } from './types.js';

/** Dependencies of {@link ServiceAccounts}. */
export interface ServiceAccountsDeps
  extends
    Omit<BudgetLedgerDeps, 'maxOverage' | 'store'>,
    Omit<SubmissionChecksDeps, 'admission' | 'jobs' | 'store'>,
    Pick<LoadAdmissionDeps, 'queueOf' | 'timesOf' | 'queuedWork'> {
  store: RowStore & SubmissionChecksDeps['store'];
  jobs: Pick<JobTable, 'size' | 'open' | 'find'>;
  random: Random;
  /** Rules for client accounts; undefined where a deployment has none. */
  accountRules?: AccountRules;
  /** Work of one task of a step, in milliseconds of the whole pool. */
  taskWorkMs: (step: Step, pool: Resources) => number;
  /** Whether a worker can hold another task of a step. */
  canHoldTask: (step: Step, worker: Worker) => boolean;
  /** Applies the accounts of the active configuration by {@link ServiceAccounts.configure}. */
  applyConfig: () => void;
}

/** What a holder knows of the client accounts of its service: rates, usage, admission and budget. */
export class ServiceAccounts {
  readonly budget: BudgetLedger;
  readonly counting: JobCounting;
  readonly checks: SubmissionChecks;
  readonly #deps: ServiceAccountsDeps;
  readonly #control: AccountControl;
  readonly #usage: PoolUsage;
  readonly #admission: LoadAdmission;

  constructor(deps: ServiceAccountsDeps) {
    const { clock, counters, random, accountRules, applyConfig: configure } = deps;
    this.#deps = deps;
    const rateWindowMs = accountRules?.rateWindowMs ?? accountRuleDefaults.rateWindowMs;
    const control = (this.#control = new AccountControl({ rateWindowMs, random }));
    this.counting = new JobCounting({ control, clock, counters, configure });
    this.#usage = new PoolUsage({ control, counters });
    this.#admission = new LoadAdmission({ ...deps, control, pool: () => this.#usage.pool });
    this.checks = new SubmissionChecks({ ...deps, admission: this.#admission });
    // The permitted overage stays a margin for runs that the holder does not know of, as after late orders.
    this.budget = new BudgetLedger({ ...deps, maxOverage: 0 });
  }

  /** Whether the configuration has accounts; if not, order and admission do not depend on them. */
  get isActive(): boolean {
    return this.#control.isActive;
  }

  /** Applies the accounts of a configuration. */
  configure(accounts: readonly Account[] | undefined): void {
    this.#control.configure(accounts);
  }

  /** Account of the journal entry with a job. */
  itemAccount({ account }: JobSpec): ItemAccount | undefined {
    if (account === undefined || !this.isActive) return undefined;
    return { name: account, weight: this.#control.weightOf(account) };
  }

  /** Records the work of a task that has succeeded. */
  handleTaskDone({ step }: Task): void {
    if (!this.isActive) return;
    const workMs = this.#deps.taskWorkMs(step, this.#usage.pool);
    this.#control.addEndedWork(workMs, this.#deps.clock.now());
  }

  /** Measures usage at the start of a round; undefined if the configuration has no accounts. */
  measureUsage(workers: readonly Worker[]): AccountUsage | undefined {
    return this.#usage.measure(workers);
  }

  /** Limits the starts of a round to what the accounts may have running. */
  limitStarts(workers: readonly Worker[], now: number): AllowedStarts {
    return (step, count) =>
      this.budget.allowedStarts(
        step.job.spec.account,
        this.#tasksToStart(step, count, { workers, now }),
      );
  }

  #tasksToStart(
    step: Step,
    count: number,
    { workers, now }: { workers: readonly Worker[]; now: number },
  ): Omit<HeldTasks, 'account'> {
    const { canHoldTask } = this.#deps;
    const canStart = () =>
      workers.some((worker) => worker.acceptsRuns(now) && canHoldTask(step, worker));
    const { isGang, fillsSpare } = step.spec;
    return { needs: step.spec, count, isGang, fillsSpare, canStart };
  }

  /** Decides as in a round that begins now; keeps, counts and requests nothing. */
  preview(): AccountsPreview {
    const budget = this.budget.preview();
    return {
      measureUsage: (workers) => this.#usage.preview(workers),
      decideStarts: (step, count, round) =>
        budget.allowedStarts(step.job.spec.account, this.#tasksToStart(step, count, round)),
      addStart: (task, usage) => {
        const { spec, job } = task.step;
        if (usage) addToUsage(usage, task);
        if (job.spec.account !== undefined) budget.addRun(job.spec.account, spec);
      },
    };
  }

  /** Adds a task that is started in a round. */
  addStart(task: Task): void {
    this.#usage.add(task);
  }

  /** Records the result of a round. */
  endRound(workers: readonly Worker[], { now, waiting, unplacedCount }: RoundResult): void {
    this.budget.endRound(() => freeResources(workers, now));
    this.#admission.setWaiting(waiting);
    this.#usage.updateSaturation(workers, unplacedCount, now);
  }

  /** Counts the share of each account over an interval in milliseconds. */
  countShares(intervalMs: number): void {
    this.#usage.countShares(intervalMs);
  }
}

/** Decisions of a placement round on copied workers, with no effect on the accounts of the holder. */
export interface AccountsPreview {
  /** Measures usage; undefined if the configuration has no accounts. */
  measureUsage(workers: readonly Worker[]): AccountUsage | undefined;
  /** Decides how many of `count` tasks of a step may start. */
  decideStarts(
    step: Step,
    count: number,
    round: { workers: readonly Worker[]; now: number },
  ): StartDecision;
  /** Adds a start to the measured usage and, in this preview only, to the grant of its account. */
  addStart(task: Task, usage: AccountUsage | undefined): void;
}

/** Result of a placement round. */
export interface RoundResult {
  /** Monotonic time of its start in milliseconds. */
  now: number;
  waiting: readonly WaitingStep[];
  /** Number of tasks for which it found no worker. */
  unplacedCount: number;
}
