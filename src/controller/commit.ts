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
import type { PlatformError } from '../platform/index.js';
import { Priority } from './serialise.js';
import { ControllerError, ControllerErrorCode, type ControllerContext } from './types.js';

/** Counts what it needs in the given view and returns the changes that follow; none for nothing. */
export type Decide = (view: ConfigView) => EntityChange[];

/** What became of a decision. */
export interface Decided {
  /** Version that carries the changes, or the version that was looked at when there were none. */
  version: number;
  applied: boolean;
}

/**
 * Takes a decision and commits it against the version that it was counted on, under the lease.
 * When another change is committed first, the decision is taken again on the newer version. The
 * call keeps trying through outages of the platform and ends early only with the lease.
 *
 * @param purpose - label of the commit in metrics
 * @param decide - called synchronously, once for each version that it is tried against
 * @param priority - order among the waiting commits of this controller
 */
export function commitDecision(
  ctx: ControllerContext,
  purpose: string,
  decide: Decide,
  priority = Priority.Normal,
): Promise<Result<Decided, ControllerError>> {
  return ctx.serialise(() => decideUntilCommitted(ctx, purpose, decide), priority);
}

async function decideUntilCommitted(
  ctx: ControllerContext,
  purpose: string,
  decide: Decide,
): Promise<Result<Decided, ControllerError>> {
  const { view } = ctx.config;
  for (let attempt = 0; ; attempt += 1) {
    const stopped = whyStopped(ctx);
    if (stopped) return Result.err(stopped);
    // The view may advance at any await, so version and decision are taken in one step.
    const base = view.version;
    const changes = decide(view);
    if (changes.length === 0) return Result.ok({ version: base, applied: false });
    const author = `controller/${ctx.zone}`;
    const changeSet: ChangeSet = { changeId: ctx.nextChangeId(), author, changes };
    const committed = await commitUntilKnown(ctx, base, changeSet);
    if (committed.isErr) return Result.err(committed.error);
    if (committed.value.isOk) {
      const { version } = committed.value.value;
      await adoptCommitted(ctx, { ...changeSet, version });
      ctx.metrics.commits.inc({ purpose });
      return Result.ok({ version, applied: true });
    }
    const failure = committed.value.error;
    ctx.metrics.commitRetries.inc({ reason: failure.code });
    if (failure.code === ConfigErrorCode.Invalid) {
      return Result.err(new ControllerError(ControllerErrorCode.Invalid, failure.message, failure));
    }
    if (failure.code === ConfigErrorCode.ConditionFailed) await ctx.lease.recheck();
    const isConflict = failure.code === ConfigErrorCode.Conflict;
    if (isConflict) await catchUp(ctx);
    await backOff(ctx, attempt, isConflict ? ctx.settings.conflictMaxMs : ctx.settings.retryMaxMs);
  }
}

/** Commits one change set, the same again for as long as its outcome is unknown. */
async function commitUntilKnown(
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
    const stopped = whyStopped(ctx);
    if (stopped) return Result.err(stopped);
  }
}

function whyStopped(ctx: ControllerContext): ControllerError | undefined {
  if (ctx.signal.aborted) {
    return new ControllerError(ControllerErrorCode.Closed, `controller of ${ctx.zone} is closed`);
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
  // Later steps of this term read the view, so it must hold what was just committed.
  for (let attempt = 0; view.version < delta.version && !ctx.signal.aborted; attempt += 1) {
    await catchUp(ctx);
    if (view.version < delta.version) await backOff(ctx, attempt);
  }
}

/** Brings the view to the newest committed version. */
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
