import type { Clock } from '../clock/index.js';
import type { Counters, GaugeReading } from '../batch/counters.js';
import type { DecisionLog } from '../batch/decisionLog.js';
import { follow } from '../batch/follow.js';
import { StoreErrorCode, type Row, type RowStore, type Transaction } from '../batch/ports.js';
import { tableSource } from '../batch/tableSource.js';
import type { BatchConfig, Resources } from '../batch/types.js';
import { chooseStates, stateFields, stateGauges, type AccountState } from './accountState.js';
import {
  capOf,
  divide,
  isBeyondCap,
  isWantedChange,
  usableGrant,
  type Division,
} from './budgetDivision.js';
import {
  BUDGET_PART,
  BUDGET_TABLE,
  budgetKey,
  decodeBudget,
  encodeBudget,
  type BudgetRow,
  type BudgetShare,
} from './budgetRow.js';
import { budgetDefaults } from './defaults.js';
import {
  countFitting,
  isEqual,
  isNone,
  isWithin,
  largest,
  minus,
  NO_RESOURCES,
  plus,
  RESOURCE_KINDS,
  smallest,
  sumOf,
} from './resourceMath.js';
import { startableDemand, type Demand, type HeldTasks } from './startableDemand.js';

/** Why tasks of an account do not start. */
export enum HeldReason {
  /** The budget rows have not been read yet. */
  NotRead = 'not_read',
  /** The share of the service was written by an earlier holder and is being taken over. */
  NotTakenOver = 'not_taken_over',
  /** The grant of the service is used up. */
  NoGrant = 'no_grant',
  /** All grants together are above the limit, which has been lowered. */
  OverLimit = 'over_limit',
  /** Another service is below its fair share and wants more. */
  AboveShare = 'above_share',
  /** The gang is larger than the limit. */
  GangTooLarge = 'gang_too_large',
}

/** How many tasks may start, and why not all of them. */
export interface StartDecision {
  allowed: number;
  reason?: HeldReason;
}

/** Decisions on starts that have no effect on the ledger. */
export interface BudgetPreview {
  allowedStarts(account: string | undefined, tasks: Omit<HeldTasks, 'account'>): StartDecision;
  /** Counts a run against the grant of its account, in this preview only. */
  addRun(account: string, needs: Readonly<Resources>): void;
}

/** Dependencies of a {@link BudgetLedger}. */
export interface BudgetLedgerDeps {
  service: string;
  epoch: number;
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  config: () => Pick<BatchConfig, 'version' | 'accounts' | 'services'> | undefined;
  /** Share of its limit by which an account may exceed it. */
  maxOverage: number;
  /** Whether every run that may still exist on the workers of the service is known. */
  hasCompleteView: () => boolean;
  /** Requests a placement round. */
  place: () => void;
  /** Gives up the service, because a later holder has written the share. */
  lose: (reason: string) => void;
}

/** A limit and the version of the configuration that it is from. */
interface VersionedLimit {
  version: number;
  limit: Resources;
}

/** A write whose outcome is not known. */
interface PendingWrite {
  /** Version that the write requires. */
  version: number;
  granted: Resources;
  /** Whether no usable response arrived, so that the write may still be applied. */
  isUnresolved: boolean;
}

/** State of one account in the ledger. */
interface Entry {
  account: string;
  /** Last readable row. */
  row?: BudgetRow;
  /** Version of the row in the store; 0 if there is none. */
  version: number;
  /** The row cannot be read, or disappeared. */
  isLost: boolean;
  /** Whether this ledger has written the share, so that no late write of another one can change it. */
  isOwn: boolean;
  /** Last grant that this ledger knew to be its own. */
  lastGrant: Resources;
  /** Grant of an earlier holder, which its runs may use until they are all known. */
  inherited: Resources;
  /** Resources of the runs that this holder started. */
  started: Resources;
  /** Resources of the adopted runs. */
  adopted: Resources;
  /** Grant of ended runs that is to be returned because others are below their share. */
  returning: Resources;
  pending?: PendingWrite;
  hasOverrun: boolean;
  cap?: Resources;
  fairShare: Resources;
  demand: Demand[];
  raisePausedUntil: number;
  surplusSince?: number;
  unwantedSince?: number;
  /** Needs for which the grant has no room in this placement round. */
  blocked?: Resources;
  /** Held tasks of the last placement round by reason. */
  held: Map<HeldReason, number>;
  loggedState: string;
}

interface PlannedWrite {
  entry: Entry;
  row: BudgetRow;
  granted: Resources;
  hasOverrun: boolean;
  /** Grant before the write. */
  before: Resources;
  returned: Resources;
  /** Whether part of the grant is returned because other services want it. */
  isReturn: boolean;
}

const UNCONTESTED: Resources = {
  cpuMillis: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
};

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
  readonly #entries = new Map<string, Entry>();
  #indexedConfig: ReturnType<BudgetLedgerDeps['config']>;
  #limits: ReadonlyMap<string, Resources> = new Map();
  /** Accounts that an earlier configuration listed without a limit. */
  readonly #formerlyUnlimited = new Set<string>();
  #configSeenAt = 0;
  #isActive = false;
  #activate: () => void = () => undefined;
  #isLoaded = false;
  #isViewComplete = false;
  #isSuperseded = false;
  #signal: AbortSignal | undefined;
  #isWriting = false;
  #isWriteScheduled = false;
  #mayWriteAt = -Infinity;
  #loggedAt = -Infinity;
  #heldTasks: HeldTasks[] = [];

  constructor(deps: BudgetLedgerDeps) {
    this.#deps = deps;
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
          for (const row of items) this.#applyRow(row);
          for (const account of removed) this.#applyLoss(account);
          if (isFullRead) this.#applyMissingRows(new Set(items.map(({ key }) => key)));
          this.#isLoaded = true;
          this.#deps.place();
          this.#evaluate();
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
    return this.#isSuperseded || this.#signal?.aborted === true;
  }

  /** Counts a run from its start order or its adoption. */
  addRun(account: string, needs: Readonly<Resources>, isAdopted: boolean): void {
    const entry = this.#entry(account);
    if (isAdopted) entry.adopted = plus(entry.adopted, needs);
    else entry.started = plus(entry.started, needs);
  }

  /** Removes a run that is certainly over. */
  removeRun(account: string, needs: Readonly<Resources>, isAdopted: boolean): void {
    const entry = this.#entry(account);
    if (isAdopted) entry.adopted = minus(entry.adopted, needs);
    else entry.started = minus(entry.started, needs);
    const left = minus(this.#grantOf(entry), entry.returning);
    const isAboveShare = RESOURCE_KINDS.some(
      (kind) => needs[kind] > 0 && left[kind] > entry.fairShare[kind],
    );
    if (!isAboveShare) return;
    entry.returning = smallest(plus(entry.returning, needs), this.#grantOf(entry));
    this.#scheduleWrite();
  }

  /** Begins a placement round. */
  beginRound(): void {
    this.#update();
    this.#heldTasks = [];
    for (const entry of this.#entries.values()) {
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
    const entry = this.#entry(account);
    const { allowed, reason } = this.#decideStarts(entry, tasks);
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
    const entries = new Map<string, Entry>();
    const copyOf = (account: string) => {
      let entry = entries.get(account);
      if (!entry) {
        entry = { ...(this.#entries.get(account) ?? createEntry(account)), held: new Map() };
        delete entry.blocked;
        entries.set(account, entry);
      }
      return entry;
    };
    return {
      allowedStarts: (account, tasks) => {
        if (account === undefined) return { allowed: tasks.count };
        if (!this.#isActive && !this.#lacksLimit(account)) return { allowed: tasks.count };
        return this.#decideStarts(copyOf(account), tasks);
      },
      addRun: (account, needs) => {
        const entry = copyOf(account);
        entry.started = plus(entry.started, needs);
      },
    };
  }

  /** Decides how many tasks may start; the reason is given if it is not all of them. */
  #decideStarts(entry: Entry, tasks: Omit<HeldTasks, 'account'>): StartDecision {
    const { needs, count, isGang } = tasks;
    const limit = this.#limitOf(entry);
    if (limit === undefined ? this.#isLoaded : isNone(limit.limit)) return { allowed: count };
    const { blocked } = entry;
    const isBlocked = blocked !== undefined && isWithin(blocked, needs);
    const startable = limit && !isBlocked ? this.#countStartable(entry, limit, needs) : 0;
    const fitting = Math.min(count, startable);
    // Grants do not grow within a round, so larger tasks need no further check.
    if (fitting === 0 && !isBlocked) entry.blocked = needs;
    const allowed = isGang && fitting < count ? 0 : fitting;
    if (allowed === count) return { allowed };
    return { allowed, reason: this.#heldReason(entry, limit, tasks) };
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
    for (const entry of this.#entries.values()) entry.demand = demand.get(entry.account) ?? [];
    this.#heldTasks = [];
    this.#evaluate();
    this.#logStates();
  }

  /** What the account may run by the newest known configuration; undefined if no limit is known. */
  #limitOf({ account, row }: Entry): VersionedLimit | undefined {
    const config = this.#deps.config();
    const limit = this.#limits.get(account);
    const own = config && limit ? { version: config.version, limit } : undefined;
    if (row && (!own || row.version > own.version)) return row;
    return own;
  }

  /** Whether only the budget row can tell the limit, because the account left the configuration. */
  #isLimitUnknown(account: string): boolean {
    this.#update();
    if (!this.#lacksLimit(account)) return false;
    this.#start();
    return true;
  }

  #lacksLimit(account: string): boolean {
    return !this.#limits.has(account) && this.#indexedConfig !== undefined;
  }

  /** Follows changes of the configuration. */
  #update(): void {
    const config = this.#deps.config();
    if (config === this.#indexedConfig) return;
    this.#indexedConfig = config;
    this.#configSeenAt = this.#deps.clock.now();
    for (const [account, limit] of this.#limits) {
      if (isNone(limit)) this.#formerlyUnlimited.add(account);
    }
    this.#limits = new Map(config?.accounts?.map(({ name, limit }) => [name, limit]));
    if ([...this.#limits.values()].some((limit) => !isNone(limit))) this.#start();
  }

  #start(): void {
    this.#isActive = true;
    this.#activate();
  }

  #entry(account: string): Entry {
    let entry = this.#entries.get(account);
    if (!entry) {
      entry = createEntry(account);
      this.#entries.set(account, entry);
    }
    return entry;
  }

  #shareOf({ row }: Entry): BudgetShare | undefined {
    return row?.shares[this.#deps.service];
  }

  /** The grant as far as it is known; a share that is not in a repaired row is still one's own. */
  #grantOf(entry: Entry): Resources {
    const share = this.#shareOf(entry);
    return share?.granted ?? (entry.isOwn ? entry.lastGrant : NO_RESOURCES);
  }

  /** The part of the grant that is in use, or may be in use by runs that are not known yet. */
  #usedOf(entry: Entry): Resources {
    if (this.#isViewComplete) return plus(entry.started, entry.adopted);
    const inherited = entry.isOwn ? entry.inherited : this.#grantOf(entry);
    return plus(entry.started, largest(inherited, entry.adopted));
  }

  #othersOf({ row }: Entry): BudgetShare[] {
    if (!row) return [];
    const isCounted = ([service]: [string, BudgetShare]) =>
      service !== this.#deps.service && !this.#isRemovedService(service);
    return Object.entries(row.shares)
      .filter(isCounted)
      .map(([, share]) => share);
  }

  /** Whether a service left the configuration so long ago that none of its runs is left. */
  #isRemovedService(service: string): boolean {
    const { config, clock } = this.#deps;
    const age = clock.now() - this.#configSeenAt;
    if (age < budgetDefaults.removedServiceMs) return false;
    return config()?.services.some(({ name }) => name === service) === false;
  }

  /** Number of tasks that the grant covers beside the runs that count already. */
  #countStartable(entry: Entry, { limit }: VersionedLimit, needs: Readonly<Resources>): number {
    if (!this.#isLoaded || !entry.isOwn) return 0;
    const cap = capOf(limit, this.#deps.maxOverage);
    const granted = this.#grantOf(entry);
    const sum = plus(sumOf(this.#othersOf(entry).map((share) => share.granted)), granted);
    const sure = minus(smallest(granted, entry.pending?.granted ?? granted), entry.returning);
    const used = this.#usedOf(entry);
    const within = (amount: Resources) => countFitting(minus(limitedTo(amount, cap), used), needs);
    if (isWithin(sum, cap)) return within(sure);
    if (!entry.hasOverrun || !isSame(cap, entry.cap)) return within(usableGrant(sure, sum, cap));
    // The part beyond the cap is for the one task with which the account exceeds it.
    const excess = minus(sum, cap);
    const regular = minus(sure, excess);
    if (!isWithin(used, limitedTo(regular, cap))) return 0;
    return Math.min(within(sure), within(regular) + 1);
  }

  #heldReason(
    entry: Entry,
    limit: VersionedLimit | undefined,
    { needs, count, isGang }: Demand,
  ): HeldReason {
    if (!this.#isLoaded || !limit) return HeldReason.NotRead;
    const cap = capOf(limit.limit, this.#deps.maxOverage);
    if (isGang && isBeyondCap({ needs, count, isGang }, cap)) return HeldReason.GangTooLarge;
    if (!entry.isOwn && this.#shareOf(entry)) return HeldReason.NotTakenOver;
    if (!isNone(entry.returning)) return HeldReason.AboveShare;
    const sum = sumOf([...this.#othersOf(entry).map((s) => s.granted), this.#grantOf(entry)]);
    return isWithin(sum, cap) ? HeldReason.NoGrant : HeldReason.OverLimit;
  }

  #applyRow({ key, value, version }: Row): void {
    const entry = this.#entry(key);
    if (version <= entry.version) return;
    entry.version = version;
    if (entry.pending && version > entry.pending.version) delete entry.pending;
    const decoded = decodeBudget(value);
    if (decoded.isErr) {
      this.#reportLoss(entry, decoded.error.code);
      return;
    }
    entry.isLost = false;
    entry.row = decoded.value;
    const share = this.#shareOf(entry);
    if (!share) return;
    if (share.epoch > this.#deps.epoch) {
      this.#handleSuccessor(share.epoch);
      return;
    }
    if (entry.isOwn) entry.lastGrant = share.granted;
    // A return whose answer was lost may have been applied.
    entry.returning = smallest(entry.returning, share.granted);
  }

  #applyLoss(account: string): void {
    const entry = this.#entries.get(account);
    if (!entry || entry.version === 0) return;
    entry.version = 0;
    this.#reportLoss(entry, 'removed');
  }

  #applyMissingRows(present: ReadonlySet<string>): void {
    for (const { account, pending } of this.#entries.values()) {
      if (!present.has(account) && !pending) this.#applyLoss(account);
    }
  }

  #reportLoss(entry: Entry, reason: string): void {
    entry.isLost = true;
    const { log, counters } = this.#deps;
    counters.count('budget_rows_lost', reason);
    log.warn('budget_row_lost', { account: entry.account, reason, version: entry.version });
  }

  #handleSuccessor(epoch: number): void {
    if (this.#isSuperseded) return;
    this.#isSuperseded = true;
    this.#deps.lose(`a budget row has epoch ${epoch} for the service`);
  }

  /** Requests a write if some share has to change. */
  #evaluate(): void {
    if (!this.#isLoaded || this.#hasEnded || this.#isWriting) return;
    this.#isViewComplete ||= this.#deps.hasCompleteView();
    for (const entry of this.#entries.values()) {
      if (!this.#plan(entry)) continue;
      this.#scheduleWrite();
      return;
    }
  }

  #scheduleWrite(): void {
    if (this.#isWriteScheduled || this.#isWriting) return;
    this.#isWriteScheduled = true;
    const { clock, place } = this.#deps;
    const delayMs = Math.max(0, this.#mayWriteAt - clock.now());
    clock.setTimer(delayMs, () => {
      this.#isWriteScheduled = false;
      void this.#write().then((isChanged) => {
        if (isChanged) place();
        this.#evaluate();
      });
    });
  }

  /** Writes all shares that have to change; they are in one partition. Returns whether any were. */
  async #write(): Promise<boolean> {
    if (this.#hasEnded || this.#isWriting || !this.#isLoaded) return false;
    const { store, clock, counters, log } = this.#deps;
    const planned = this.#planAll();
    if (planned.length === 0) return false;
    const tx: Transaction = { conditions: [], writes: [], removes: [] };
    for (const { entry, row, granted } of planned) {
      const key = budgetKey(entry.account);
      tx.conditions.push({ ...key, version: entry.version });
      tx.writes.push({ ...key, value: encodeBudget(row) });
      const { pending } = entry;
      const least = pending ? smallest(pending.granted, granted) : granted;
      const isUnresolved = pending?.isUnresolved === true;
      entry.pending = { version: entry.version, granted: least, isUnresolved };
    }
    this.#isWriting = true;
    this.#mayWriteAt = clock.now() + budgetDefaults.writeIntervalMs;
    const res = await store.transact(tx);
    this.#isWriting = false;
    if (res.isErr) {
      const { code } = res.error;
      counters.count('budget_writes', code);
      const mayBeApplied = code === StoreErrorCode.NoAnswer || code === StoreErrorCode.BadAnswer;
      for (const { entry } of planned) {
        if (!entry.pending) continue;
        if (mayBeApplied) entry.pending.isUnresolved = true;
        else if (!entry.pending.isUnresolved) delete entry.pending;
      }
      if (code === StoreErrorCode.Invalid)
        log.warn('budget_write_invalid', { rows: planned.length });
      this.#mayWriteAt = clock.now() + budgetDefaults.retryMs;
      return false;
    }
    counters.count('budget_writes', res.value.isApplied ? 'applied' : 'conflict');
    if (!res.value.isApplied) {
      this.#applyConflict(planned, res.value.rows);
      return false;
    }
    for (const write of planned) this.#applyWrite(write, res.value.version);
    return true;
  }

  #applyConflict(planned: readonly PlannedWrite[], rows: readonly Row[]): void {
    const present = new Set(rows.map(({ key }) => key));
    for (const { entry } of planned) {
      // An earlier write without a response can still be applied while the version is the same.
      const current = rows.find(({ key }) => key === entry.account)?.version ?? 0;
      if (!entry.pending?.isUnresolved || current !== entry.version) delete entry.pending;
    }
    for (const row of rows) this.#applyRow(row);
    for (const { entry } of planned) {
      if (!present.has(entry.account)) this.#applyLoss(entry.account);
    }
  }

  #applyWrite(write: PlannedWrite, version: number): void {
    const { entry, row, granted, hasOverrun, before, returned, isReturn } = write;
    const { clock } = this.#deps;
    delete entry.pending;
    if (!entry.isOwn) entry.inherited = before;
    entry.isOwn = true;
    entry.returning = minus(entry.returning, returned);
    if (isReturn) entry.raisePausedUntil = clock.now() + budgetDefaults.raisePauseMs;
    // The feed may have delivered a later version already.
    if (version < entry.version) return;
    Object.assign(entry, { version, row, isLost: false, lastGrant: granted, hasOverrun });
  }

  #planAll(): PlannedWrite[] {
    const { operations, transactionBytes } = this.#deps.store.limits;
    const planned: PlannedWrite[] = [];
    let bytes = 0;
    for (const entry of this.#entries.values()) {
      const plan = this.#plan(entry);
      if (!plan) continue;
      bytes += Buffer.byteLength(encodeBudget(plan.row));
      if (planned.length > 0 && bytes > transactionBytes) break;
      planned.push(plan);
      if (planned.length >= Math.floor(operations / 2)) break;
    }
    return planned;
  }

  /** The row to write for an account; undefined if nothing has to change. */
  #plan(entry: Entry): PlannedWrite | undefined {
    const limit = this.#limitOf(entry);
    if (!limit) return undefined;
    if (isNone(limit.limit)) return this.#planWithoutLimit(entry, limit);
    if (entry.isLost) return this.#planRepair(entry, limit);
    if (this.#isIdle(entry, limit)) return undefined;
    const { row } = entry;
    const cap = capOf(limit.limit, this.#deps.maxOverage);
    if (!isSame(cap, entry.cap)) Object.assign(entry, { cap, hasOverrun: false });
    const missing = this.#missingOf(entry);
    const isMissing = row?.missing?.includes(this.#deps.service) === true;
    const share = this.#shareOf(entry);
    const used = this.#usedOf(entry);
    const known = largest(this.#grantOf(entry), used);
    const division = this.#divide(entry, { cap, granted: known, used, mayRaise: !missing.length });
    entry.fairShare = division.fairShare;
    if (isEqual(division.fairShare, UNCONTESTED)) entry.returning = NO_RESOURCES;
    const isTakeover = !entry.isOwn && entry.demand.length > 0;
    const isLimitChanged = row !== undefined && !isEqual(row.limit, limit.limit);
    const hasChanged =
      !isEqual(division.granted, share?.granted ?? NO_RESOURCES) ||
      this.#isWantedWorthWriting(entry, share?.wanted ?? NO_RESOURCES, division.wanted) ||
      (isTakeover && (row !== undefined || !isNone(division.wanted))) ||
      isLimitChanged ||
      (isMissing && this.#isViewComplete) ||
      entry.pending?.isUnresolved === true;
    if (!hasChanged) return undefined;
    return this.#plannedWrite(entry, limit, division, missing, row?.shares ?? {});
  }

  /** Whether an account has nothing here, and nothing to record; most accounts of a large fleet. */
  #isIdle(entry: Entry, { limit }: VersionedLimit): boolean {
    const { row, started, adopted, demand, pending } = entry;
    const share = this.#shareOf(entry);
    return (
      demand.length === 0 &&
      !pending &&
      isNone(started) &&
      isNone(adopted) &&
      isNone(this.#grantOf(entry)) &&
      (!share || isNone(share.wanted)) &&
      (!row || (!row.missing && isEqual(row.limit, limit)))
    );
  }

  #plannedWrite(
    entry: Entry,
    { version, limit }: VersionedLimit,
    { granted, wanted, hasOverrun }: Pick<Division, 'granted' | 'wanted' | 'hasOverrun'>,
    missing: string[],
    shares: BudgetRow['shares'],
  ): PlannedWrite {
    const { service, epoch } = this.#deps;
    const kept = Object.entries(shares).filter(([name]) => !this.#isRemovedService(name));
    const row: BudgetRow = {
      version,
      limit,
      shares: { ...Object.fromEntries(kept), [service]: { epoch, granted, wanted } },
      ...(missing.length > 0 ? { missing } : {}),
    };
    const before = this.#grantOf(entry);
    const isWantedElsewhere = this.#othersOf(entry).some((share) => !isNone(share.wanted));
    const isReturn = isWantedElsewhere && !isWithin(before, granted);
    return { entry, row, granted, hasOverrun, before, returned: entry.returning, isReturn };
  }

  /** Records that a limit was removed, so that an older one in the row does not apply again. */
  #planWithoutLimit(entry: Entry, limit: VersionedLimit): PlannedWrite | undefined {
    const { row } = entry;
    if (!row || entry.isLost || isNone(row.limit)) return undefined;
    const granted = this.#grantOf(entry);
    const division = { granted, wanted: { ...NO_RESOURCES }, hasOverrun: false };
    return this.#plannedWrite(entry, limit, division, [], row.shares);
  }

  /** Replaces a lost row by one with the own share only; nobody may raise until all have theirs. */
  #planRepair(entry: Entry, limit: VersionedLimit): PlannedWrite | undefined {
    if (!entry.isOwn && !this.#isViewComplete) return undefined;
    const used = this.#usedOf(entry);
    const granted = entry.isOwn ? largest(this.#grantOf(entry), used) : used;
    if (isNone(granted) && entry.demand.length === 0) return undefined;
    const division = { granted, wanted: { ...NO_RESOURCES }, hasOverrun: entry.hasOverrun };
    return this.#plannedWrite(entry, limit, division, this.#otherServices(), {});
  }

  /** Services whose runs for the account are unknown, so that nothing may be raised. */
  #missingOf({ account, row }: Entry): string[] {
    const hadNoLimit = row ? isNone(row.limit) : this.#formerlyUnlimited.has(account);
    const { service, config } = this.#deps;
    const own = this.#isViewComplete ? [] : [service];
    if (hadNoLimit) return [...this.#otherServices(), ...own];
    const services = new Set(config()?.services.map(({ name }) => name));
    return (row?.missing ?? []).filter(
      (name) => services.has(name) && (name !== service || !this.#isViewComplete),
    );
  }

  #otherServices(): string[] {
    const services = this.#deps.config()?.services ?? [];
    return services
      .filter(({ name, isStandby }) => name !== this.#deps.service && !isStandby)
      .map(({ name }) => name);
  }

  #divide(
    entry: Entry,
    input: { cap: Resources; granted: Resources; used: Resources; mayRaise: boolean },
  ): Division {
    const { cap, granted, used, mayRaise } = input;
    const now = this.#deps.clock.now();
    const isReturning = !isNone(entry.returning);
    return divide({
      cap,
      others: this.#othersOf(entry),
      granted: isReturning ? largest(minus(granted, entry.returning), used) : granted,
      used,
      demand: entry.demand,
      hasOverrun: entry.hasOverrun,
      mayRaise: mayRaise && !isReturning && now >= entry.raisePausedUntil,
      isSurplusOld: this.#isSurplusOld(entry, cap, granted, used),
    });
  }

  #isSurplusOld(entry: Entry, cap: Resources, granted: Resources, used: Resources): boolean {
    const now = this.#deps.clock.now();
    const hasSurplus = RESOURCE_KINDS.some((kind) => {
      const unused = granted[kind] - used[kind];
      if (used[kind] === 0) return unused > 0 && isNone(used);
      return unused > cap[kind] * budgetDefaults.surplusShare;
    });
    if (!hasSurplus || entry.demand.length > 0) {
      delete entry.surplusSince;
      return false;
    }
    entry.surplusSince ??= now;
    return now - entry.surplusSince >= budgetDefaults.surplusAfterMs;
  }

  #isWantedWorthWriting(entry: Entry, before: Resources, after: Resources): boolean {
    const isDropped = isNone(after) && !isNone(before);
    if (!isDropped) {
      delete entry.unwantedSince;
      return isWantedChange(before, after);
    }
    const now = this.#deps.clock.now();
    entry.unwantedSince ??= now;
    return now - entry.unwantedSince >= budgetDefaults.unwantedAfterMs;
  }

  /** Logs the accounts whose state has changed, at most once a second. */
  #logStates(): void {
    const { clock, log } = this.#deps;
    const now = clock.now();
    if (now - this.#loggedAt < budgetDefaults.logIntervalMs) return;
    this.#loggedAt = now;
    for (const entry of this.#entries.values()) {
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
  #stateOf(entry: Entry): AccountState | undefined {
    const { service } = this.#deps;
    const { account, row, held } = entry;
    const limit = this.#limitOf(entry);
    if (!limit || isNone(limit.limit)) return undefined;
    return {
      account,
      service,
      limit: limit.limit,
      used: this.#usedOf(entry),
      granted: this.#grantOf(entry),
      wanted: this.#shareOf(entry)?.wanted ?? NO_RESOURCES,
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
    if (!this.#isLoaded || this.#hasEnded) return [];
    const { config, counters, service } = this.#deps;
    const configured = new Set(config()?.accounts?.map(({ name }) => name));
    const states = [...this.#entries.values()]
      .filter(({ account }) => configured.has(account))
      .map((entry) => this.#stateOf(entry))
      .filter((state) => state !== undefined);
    const { chosen, leftOutCount } = chooseStates(states, budgetDefaults.maxGaugeAccounts);
    if (leftOutCount > 0) counters.count('account_gauges_left_out', service, leftOutCount);
    return chosen.flatMap((state) => [...stateGauges(state)]);
  }
}

function createEntry(account: string): Entry {
  return {
    account,
    version: 0,
    isLost: false,
    isOwn: false,
    lastGrant: NO_RESOURCES,
    inherited: NO_RESOURCES,
    started: NO_RESOURCES,
    adopted: NO_RESOURCES,
    returning: NO_RESOURCES,
    hasOverrun: false,
    fairShare: UNCONTESTED,
    demand: [],
    raisePausedUntil: -Infinity,
    held: new Map(),
    loggedState: '',
  };
}

/** Removes the kinds without a limit, for which the grant does not matter. */
function limitedTo(amount: Readonly<Resources>, cap: Readonly<Resources>): Resources {
  const result: Resources = { ...amount };
  for (const kind of RESOURCE_KINDS) if (cap[kind] === Infinity) result[kind] = Infinity;
  return result;
}

function isSame(a: Readonly<Resources>, b: Readonly<Resources> | undefined): boolean {
  return b !== undefined && isEqual(a, b);
}
