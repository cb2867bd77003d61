import { StoreErrorCode, type Row, type Transaction } from '../batch/ports.js';
import type { BudgetReader } from './budgetReader.js';
import { budgetKey, encodeBudget } from './budgetRow.js';
import type { BudgetShares } from './budgetShares.js';
import type { BudgetLedgerDeps } from './budgetTypes.js';
import { budgetDefaults } from './defaults.js';
import { minus, smallest } from './resourceMath.js';
import type { PlannedWrite, SharePlanner } from './sharePlanner.js';

/** Dependencies of {@link BudgetWriter}. */
export interface BudgetWriterDeps extends Pick<
  BudgetLedgerDeps,
  'store' | 'clock' | 'log' | 'counters' | 'hasCompleteView' | 'place'
> {
  shares: BudgetShares;
  planner: SharePlanner;
  reader: BudgetReader;
  /** Whether this holder no longer writes its shares. */
  hasEnded: () => boolean;
}

/** Writes the shares that have to change, in one transaction at a time. */
export class BudgetWriter {
  readonly #deps: BudgetWriterDeps;
  readonly #shares: BudgetShares;
  #isWriting = false;
  #isWriteScheduled = false;
  #mayWriteAt = -Infinity;

  constructor(deps: BudgetWriterDeps) {
    this.#deps = deps;
    this.#shares = deps.shares;
  }

  /** Requests a write if some share has to change. */
  evaluate(): void {
    if (!this.#shares.isLoaded || this.#deps.hasEnded() || this.#isWriting) return;
    this.#shares.isViewComplete ||= this.#deps.hasCompleteView();
    for (const entry of this.#shares.entries.values()) {
      if (!this.#deps.planner.plan(entry)) continue;
      this.schedule();
      return;
    }
  }

  /** Requests a write; it is sent once the interval since the last one has passed. */
  schedule(): void {
    if (this.#isWriteScheduled || this.#isWriting) return;
    this.#isWriteScheduled = true;
    const { clock, place } = this.#deps;
    const delayMs = Math.max(0, this.#mayWriteAt - clock.now());
    clock.setTimer(delayMs, () => {
      this.#isWriteScheduled = false;
      void this.#write().then((isChanged) => {
        if (isChanged) place();
        this.evaluate();
      });
    });
  }

  /** Writes all shares that have to change; they are in one partition. Returns whether any were. */
  async #write(): Promise<boolean> {
    if (this.#deps.hasEnded() || this.#isWriting || !this.#shares.isLoaded) return false;
    const { store, clock, counters, log } = this.#deps;
    const planned = this.#deps.planner.planAll();
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
    for (const row of rows) this.#deps.reader.applyRow(row);
    for (const { entry } of planned) {
      if (!present.has(entry.account)) this.#deps.reader.applyLoss(entry.account);
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
}
