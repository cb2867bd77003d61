import { Result } from 'true-myth';
import {
  ConfigErrorCode,
  type ChangeSet,
  type Commit,
  type ConfigError,
  type ConfigView,
  type EntityChange,
} from '../configuration/index.js';
import type { ConfigDelta } from '../configuration/index.js';
import { toError } from '../errors/index.js';
import type { PlatformError } from '../platform/index.js';
import { OverlayView } from './overlayView.js';
import { ControllerError, ControllerErrorCode, type ControllerContext } from './types.js';

/** Evaluates the given view and returns the changes to commit; empty when there are none. */
export type DecisionFunction = (view: ConfigView) => EntityChange[];

/** Result of a decision. */
export interface DecisionResult {
  /** Version that contains the changes, or the evaluated version when there were none. */
  version: number;
  applied: boolean;
}

/** Priority of a pending decision. */
export enum Priority {
  /** Committed before all normal decisions. */
  Urgent = 'urgent',
  Normal = 'normal',
}

/** A decision that waits to be committed. */
interface PendingDecision {
  purpose: string;
  decide: DecisionFunction;
  resolve: (result: Result<DecisionResult, ControllerError>) => void;
  reject: (err: Error) => void;
}

/** Queue of the decisions of one lease term that wait to be committed. */
export class CommitQueue {
  /** Prefix of the change ids; must be unique among the queues of a term. */
  readonly author: string;
  readonly pending: Record<Priority, PendingDecision[]> = {
    [Priority.Urgent]: [],
    [Priority.Normal]: [],
  };
  isBusy = false;
  /** Number of change sets created so far, which is part of the change ids. */
  changeSetCount = 0;

  constructor(author: string) {
    this.author = author;
  }

  /** Removes and returns up to `limit` decisions, urgent ones first, else in submission order. */
  take(limit: number): PendingDecision[] {
    const urgent = this.pending[Priority.Urgent].splice(0, limit);
    return [...urgent, ...this.pending[Priority.Normal].splice(0, limit - urgent.length)];
  }
}

/**
 * Evaluates a decision and commits its changes against the evaluated version, under the lease.
 * When another change is committed first, the decision is evaluated again on the newer version.
 * Decisions that are pending at the same time are evaluated in sequence, each on top of the changes
 * of the previous ones, and are committed as one change set. The call retries through platform
 * outages, and fails only when the lease term ends or the configuration rejects the changes.
 *
 * @param purpose - label of the commit in metrics
 * @param decide - called synchronously, once for each version that it is evaluated on
 * @param priority - order among the pending decisions of this controller
 */
export function commitDecision(
  ctx: ControllerContext,
  purpose: string,
  decide: DecisionFunction,
  priority = Priority.Normal,
): Promise<Result<DecisionResult, ControllerError>> {
  const { commits } = ctx;
  const result = new Promise<Result<DecisionResult, ControllerError>>((resolve, reject) => {
    commits.pending[priority].push({ purpose, decide, resolve, reject });
  });
  if (!commits.isBusy) void commitPending(ctx);
  return result;
}

/** Commits pending decisions until the queue is empty. */
async function commitPending(ctx: ControllerContext): Promise<void> {
  const { commits, settings } = ctx;
  const takeNext = () => commits.take(settings.maxJointDecisions);
  commits.isBusy = true;
  for (let batch = takeNext(); batch.length > 0; batch = takeNext()) {
    try {
      const rejected = await commitBatch(ctx, batch);
      // One invalid change must not block the others, so each decision is committed on its own.
      for (const decision of rejected) await commitBatch(ctx, [decision]);
    } catch (err) {
      for (const { reject } of batch) reject(toError(err));
    }
  }
  commits.isBusy = false;
}

/**
 * Commits decisions as one change set and settles them.
 *
 * @returns the decisions that are still unsettled because the configuration rejected the change set
 */
async function commitBatch(
  ctx: ControllerContext,
  decisions: readonly PendingDecision[],
): Promise<PendingDecision[]> {
  const { view } = ctx.config;
  let unsettled = [...decisions];
  for (let attempt = 0; ; attempt += 1) {
    const endedError = termEndedError(ctx);
    if (endedError) return settle(unsettled, Result.err(endedError));
    // The view may advance at any await, so read the version and evaluate in one synchronous step.
    const base = view.version;
    const round = decideAll(view, unsettled);
    unsettled = round.unsettled;
    if (unsettled.length === 0) return [];
    const changeSet = createChangeSet(ctx, round.changes);
    const committed = await commitUntilOutcomeKnown(ctx, base, changeSet);
    if (committed.isErr) return settle(unsettled, Result.err(committed.error));
    if (committed.value.isOk) {
      const { version } = committed.value.value;
      await adoptCommitted(ctx, { ...changeSet, version });
      for (const { purpose } of round.changing) ctx.metrics.commits.inc({ purpose });
      settle(round.changing, Result.ok({ version, applied: true }));
      return settle(unsettled, Result.ok({ version, applied: false }));
    }
    const failure = committed.value.error;
    ctx.metrics.commitRetries.inc({ reason: failure.code });
    if (failure.code === ConfigErrorCode.Invalid) {
      if (unsettled.length > 1) return unsettled;
      const { message } = failure;
      const invalid = new ControllerError(ControllerErrorCode.Invalid, message, failure);
      return settle(unsettled, Result.err(invalid));
    }
    if (failure.code === ConfigErrorCode.ConditionFailed) await ctx.lease.refresh();
    const isConflict = failure.code === ConfigErrorCode.Conflict;
    if (isConflict) await catchUp(ctx);
    await backOff(ctx, attempt, isConflict ? ctx.settings.conflictMaxMs : ctx.settings.retryMaxMs);
  }
}

/**
 * Settles decisions; those that are already settled keep their result.
 *
 * @returns an empty list, for callers that return the decisions still unsettled
 */
function settle(
  decisions: readonly PendingDecision[],
  result: Result<DecisionResult, ControllerError>,
): PendingDecision[] {
  for (const { resolve } of decisions) resolve(result);
  return [];
}

function createChangeSet(ctx: ControllerContext, changes: EntityChange[]): ChangeSet {
  ctx.commits.changeSetCount += 1;
  const author = `${ctx.commits.author}/${ctx.zone}`;
  return {
    changeId: `${author}/${ctx.lease.epoch}/${ctx.commits.changeSetCount}`,
    author,
    changes,
  };
}

/**
 * Evaluates decisions in sequence. A decision without changes is settled at once if none of the
 * previous ones has changes, since it does not depend on the commit.
 */
function decideAll(view: ConfigView, decisions: readonly PendingDecision[]) {
  const overlay = new OverlayView(view);
  const unsettled: PendingDecision[] = [];
  const changing: PendingDecision[] = [];
  for (const decision of decisions) {
    try {
      const changes = decision.decide(overlay.isEmpty ? view : overlay);
      if (changes.length === 0 && overlay.isEmpty) {
        decision.resolve(Result.ok({ version: view.version, applied: false }));
        continue;
      }
      overlay.apply(changes);
      unsettled.push(decision);
      if (changes.length > 0) changing.push(decision);
    } catch (err) {
      decision.reject(toError(err));
    }
  }
  return { unsettled, changing, changes: overlay.changes };
}

/** Commits a change set, and repeats the same commit while its outcome is unknown. */
async function commitUntilOutcomeKnown(
  ctx: ControllerContext,
  base: number,
  changeSet: ChangeSet,
): Promise<Result<Result<Commit, ConfigError>, ControllerError>> {
  for (let attempt = 0; ; attempt += 1) {
    const committed = await ctx.lease.write((condition) =>
      ctx.config.history.commit(base, changeSet, [condition]),
    );
    if (committed.isErr) return committed;
    const outcome = committed.value;
    if (outcome.isOk || outcome.error.code !== ConfigErrorCode.OutcomeUnknown) return committed;
    ctx.metrics.commitRetries.inc({ reason: outcome.error.code });
    await backOff(ctx, attempt);
    const endedError = termEndedError(ctx);
    if (endedError) return Result.err(endedError);
  }
}

/** The error of a lease term that has ended; undefined while the term is active. */
function termEndedError(ctx: ControllerContext): ControllerError | undefined {
  if (ctx.signal.aborted) {
    return new ControllerError(
      ControllerErrorCode.Closed,
      `controller of zone ${ctx.zone} is shutting down`,
    );
  }
  if (!ctx.lease.isHeld) {
    const message = `lease of zone ${ctx.zone} with epoch ${ctx.lease.epoch} is no longer held`;
    return new ControllerError(ControllerErrorCode.LeaseLost, message);
  }
  return undefined;
}

async function adoptCommitted(ctx: ControllerContext, delta: ConfigDelta): Promise<void> {
  const { view } = ctx.config;
  if (view.version === delta.version - 1) ctx.config.adopt([delta]);
  // Later steps of this term read the view, so it must contain the committed changes.
  for (let attempt = 0; view.version < delta.version && !ctx.signal.aborted; attempt += 1) {
    await catchUp(ctx);
    if (view.version < delta.version) await backOff(ctx, attempt);
  }
}

/** Advances the view to the latest committed version. */
export async function catchUp(
  ctx: Pick<ControllerContext, 'config' | 'settings'>,
): Promise<Result<number, PlatformError>> {
  const { view, history } = ctx.config;
  const limit = ctx.settings.deltaPageSize;
  for (;;) {
    const page = await history.deltasAfter(view.version, limit);
    if (page.isErr) return Result.err(page.error);
    const before = view.version;
    if (page.value.length > 0) ctx.config.adopt(page.value);
    if (page.value.length < limit || view.version === before) return Result.ok(view.version);
  }
}

/** Exponential backoff with full jitter. */
async function backOff(
  ctx: ControllerContext,
  attempt: number,
  maxMs = ctx.settings.retryMaxMs,
): Promise<void> {
  const ceiling = Math.min(maxMs, ctx.settings.retryBaseMs * 2 ** Math.min(attempt, 20));
  await ctx.clock.sleep(ctx.random.next() * ceiling, ctx.signal);
}
