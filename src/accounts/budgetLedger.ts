import type { GaugeReading } from '../batch/counters.js';
import { follow } from '../batch/follow.js';
import type { Row } from '../batch/ports.js';
import { tableSource } from '../batch/tableSource.js';
import type { Resources } from '../batch/types.js';
import { chooseStates, stateFields, stateGauges, type AccountState } from './accountState.js';
import { createEntry, type BudgetEntry } from './budgetEntry.js';
import { BudgetLimits } from './budgetLimits.js';
import { BudgetReader } from './budgetReader.js';
import { BUDGET_PART, BUDGET_TABLE } from './budgetRow.js';
import { BudgetShares } from './budgetShares.js';
import type { BudgetLedgerDeps, BudgetPreview } from './budgetTypes.js';
import { BudgetWriter } from './budgetWriter.js';
import { budgetDefaults } from './defaults.js';
import { isNone, minus, NO_RESOURCES, plus, RESOURCE_KINDS, smallest } from './resourceMath.js';
import { SharePlanner } from './sharePlanner.js';
import { startableDemand, type Demand, type HeldTasks } from './startableDemand.js';
import { StartDecisions } from './startDecisions.js';

/**
 * Keeps what one holder runs for each account within the share of its service in the account's
 * budget, and requests, returns and renews these shares. Does nothing while the configuration has no
 * account with a limit.
 *
 * Addresses accounts whose demand moves between services within seconds: there is no fixed division,
 * what one service does not use is available to the others.
 */
export class BudgetLedger {
  readonly #deps: BudgetLedgerDeps;
  readonly #limits: BudgetLimits;
  readonly #shares: BudgetShares;
  readonly #decisions: StartDecisions;
  readonly #reader: BudgetReader;
  readonly #writer: BudgetWriter;
  #isActive = false;
  #activate: () => void = () => undefined;
  #signal: AbortSignal | undefined;
  #loggedAt = -Infinity;
  #heldTasks: HeldTasks[] = [];

  constructor(deps: BudgetLedgerDeps) {
    this.#deps = deps;
    const onLimited = () => {
      this.#start();
    };
    const limits = (this.#limits = new BudgetLimits({ ...deps, onLimited }));
    const shares = (this.#shares = new BudgetShares({ ...deps, limits }));
    this.#decisions = new StartDecisions({ ...deps, limits, shares });
    const reader = (this.#reader = new BudgetReader({ ...deps, shares }));
    const planner = new SharePlanner({ ...deps, limits, shares });
    const hasEnded = () => this.#hasEnded;
    this.#writer = new BudgetWriter({ ...deps, shares, planner, reader, hasEnded });
  }

  /** Whether some account has or had a limit, so that budget rows are read and written. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Follows the budget rows once an account has a limit, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    this.#signal = signal;
    if (!(await this.#whenActive(signal))) return;
    const { store, clock, log, counters } = this.#deps;
    const source = tableSource(store, BUDGET_TABLE, BUDGET_PART, (row: Row) => row);
    await follow(
      {
        name: BUDGET_TABLE,
        source,
        clock,
        log,
        counters,
        waitMs: budgetDefaults.feedWaitMs,
        pauseMs: budgetDefaults.feedPauseMs,
        apply: ({ items, removed }, isFullRead) => {
          for (const row of items) this.#reader.applyRow(row);
          for (const account of removed) this.#reader.applyLoss(account);
          if (isFullRead) this.#reader.applyMissingRows(new Set(items.map(({ key }) => key)));
          this.#shares.isLoaded = true;
          this.#deps.place();
          this.#writer.evaluate();
        },
      },
      signal,
    );
  }

  /** Waits until the ledger is active; returns false if the signal is aborted first. */
  async #whenActive(signal: AbortSignal): Promise<boolean> {
    if (!this.#isActive && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          signal.removeEventListener('abort', finish);
          resolve();
        };
        this.#activate = finish;
        signal.addEventListener('abort', finish);
      });
    }
    return !signal.aborted;
  }

  /** Whether this holder no longer writes its shares. */
  get #hasEnded(): boolean {
    return this.#shares.isSuperseded || this.#signal?.aborted === true;
  }

  /** Counts a run from its start order or its adoption. */
  addRun(account: string, needs: Readonly<Resources>, isAdopted: boolean): void {
    const entry = this.#shares.entry(account);
    if (isAdopted) entry.adopted = plus(entry.adopted, needs);
    else entry.started = plus(entry.started, needs);
  }

  /** Removes a run that is certainly over. */
  removeRun(account: string, needs: Readonly<Resources>, isAdopted: boolean): void {
    const entry = this.#shares.entry(account);
    if (isAdopted) entry.adopted = minus(entry.adopted, needs);
    else entry.started = minus(entry.started, needs);
    const left = minus(this.#shares.grantOf(entry), entry.returning);
    const isAboveShare = RESOURCE_KINDS.some(
      (kind) => needs[kind] > 0 && left[kind] > entry.fairShare[kind],
    );
    if (!isAboveShare) return;
    entry.returning = smallest(plus(entry.returning, needs), this.#shares.grantOf(entry));
    this.#writer.schedule();
  }

  /** Begins a placement round. */
  beginRound(): void {
    this.#limits.update();
    this.#heldTasks = [];
    for (const entry of this.#shares.entries.values()) {
      entry.held.clear();
      delete entry.blocked;
    }
  }

  /**
   * Number of tasks that may start now within the grant of their account; none of a gang unless it
   * covers all of them. The others are recorded as held.
   *
   * @param account - undefined for a job of a public queue, which has no limit
   */
  allowedStarts(account: string | undefined, tasks: Omit<HeldTasks, 'account'>): number {
    const { count } = tasks;
    if (account === undefined) return count;
    if (!this.#isActive && !this.#isLimitUnknown(account)) return count;
    const entry = this.#shares.entry(account);
    const { allowed, reason } = this.#decisions.decide(entry, tasks);
    if (reason !== undefined) {
      entry.held.set(reason, (entry.held.get(reason) ?? 0) + count - allowed);
      this.#deps.counters.count('account_starts_held', reason, count - allowed);
      this.#deps.counters.count('account_starts_held_by_account', account, count - allowed);
      this.#heldTasks.push({ ...tasks, account, count: count - allowed });
    }
    return allowed;
  }

  /**
   * Decides as {@link allowedStarts} does in a round that begins now, without recording, counting or
   * requesting anything. Starts that are reported to it count against the grants in this preview only.
   */
  preview(): BudgetPreview {
    const entries = new Map<string, BudgetEntry>();
    const copyOf = (account: string) => {
      let entry = entries.get(account);
      if (!entry) {
        entry = { ...(this.#shares.entries.get(account) ?? createEntry(account)), held: new Map() };
        delete entry.blocked;
        entries.set(account, entry);
      }
      return entry;
    };
    return {
      allowedStarts: (account, tasks) => {
        if (account === undefined) return { allowed: tasks.count };
        if (!this.#isActive && !this.#limits.lacksLimit(account)) return { allowed: tasks.count };
        return this.#decisions.decide(copyOf(account), tasks);
      },
      addRun: (account, needs) => {
        const entry = copyOf(account);
        entry.started = plus(entry.started, needs);
      },
    };
  }

  /**
   * Ends a placement round and requests what the held tasks need.
   *
   * @param free - free resources of the workers that accept runs, together
   */
  endRound(free: () => Resources): void {
    if (!this.#isActive) return;
    const demand =
      this.#heldTasks.length > 0
        ? startableDemand(this.#heldTasks, free())
        : new Map<string, Demand[]>();
    for (const entry of this.#shares.entries.values())
      entry.demand = demand.get(entry.account) ?? [];
    this.#heldTasks = [];
    this.#writer.evaluate();
    this.#logStates();
  }

  /** Whether only the budget row can tell the limit, because the account left the configuration. */
  #isLimitUnknown(account: string): boolean {
    this.#limits.update();
    if (!this.#limits.lacksLimit(account)) return false;
    this.#start();
    return true;
  }

  #start(): void {
    this.#isActive = true;
    this.#activate();
  }

  /** Logs the accounts whose state has changed, at most once a second. */
  #logStates(): void {
    const { clock, log } = this.#deps;
    const now = clock.now();
    if (now - this.#loggedAt < budgetDefaults.logIntervalMs) return;
    this.#loggedAt = now;
    for (const entry of this.#shares.entries.values()) {
      const state = this.#stateOf(entry);
      if (!state) continue;
      const { account, service } = state;
      const fields = stateFields(state);
      const text = JSON.stringify(fields);
      if (text === entry.loggedState) continue;
      entry.loggedState = text;
      log.detail('account_state', { account, service, ...fields });
    }
  }

  /** State of an account for logs and metrics; undefined if it has no limit. */
  #stateOf(entry: BudgetEntry): AccountState | undefined {
    const { service } = this.#deps;
    const { account, row, held } = entry;
    const limit = this.#limits.of(entry);
    if (!limit || isNone(limit.limit)) return undefined;
    return {
      account,
      service,
      limit: limit.limit,
      used: this.#shares.usedOf(entry),
      granted: this.#shares.grantOf(entry),
      wanted: this.#shares.shareOf(entry)?.wanted ?? NO_RESOURCES,
      others: Object.entries(row?.shares ?? {})
        .filter(([name]) => name !== service)
        .map(([name, { granted }]) => [name, granted]),
      held,
      missing: row?.missing,
    };
  }

  /**
   * Gauges of the accounts with a limit in the active configuration. There are none before the rows
   * were read and after the service was lost, because nothing updates the values then.
   */
  gauges(): GaugeReading[] {
    if (!this.#shares.isLoaded || this.#hasEnded) return [];
    const { config, counters, service } = this.#deps;
    const configured = new Set(config()?.accounts?.map(({ name }) => name));
    const states = [...this.#shares.entries.values()]
      .filter(({ account }) => configured.has(account))
      .map((entry) => this.#stateOf(entry))
      .filter((state) => state !== undefined);
    const { chosen, leftOutCount } = chooseStates(states, budgetDefaults.maxGaugeAccounts);
    if (leftOutCount > 0) counters.count('account_gauges_left_out', service, leftOutCount);
    return chosen.flatMap((state) => [...stateGauges(state)]);
  }
}
