import type { Result } from 'true-myth/result';
import type { Clock, Moment } from '../clock/index.js';
import { messageOf } from '../errors/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { StoreErrorCode, type StoreError } from './ports.js';

/** Changed items of a watched table and keys of removed items. */
export interface Changes<T> {
  items: T[];
  removed: string[];
  /** Store version after which the next read of changes starts. */
  version: number;
}

/** A table that can be read completely and then watched for changes. */
export interface ChangeSource<T> {
  readAll(): Promise<Result<Changes<T>, StoreError>>;
  changes(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<Changes<T>, StoreError>>;
}

/** Options of {@link follow}. */
export interface FollowOptions<T> {
  name: string;
  source: ChangeSource<T>;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  /** Long-poll duration of one call in milliseconds, or a function that returns that of the next. */
  waitMs: number | (() => number);
  /** Pause between calls in milliseconds; bounds the call rate for constantly changing tables. */
  pauseMs: number;
  /**
   * Called with all items after a full read, otherwise with the changed ones; `sentAt` is when the
   * call was sent, so that the items are at least as new.
   */
  apply: (changes: Changes<T>, isFullRead: boolean, sentAt: Moment) => void;
}

const RETRY_MS = 300;
/** Name under which changes that could not be applied are counted. */
const APPLY_FAILED = 'apply_failed';

/** Reads `aborted` again after an await; the compiler assumes that it has not changed. */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/**
 * Watches a table and applies its changes until the signal is aborted. Reads the whole table at the
 * start, and again when the store no longer has the history since the last read.
 */
export async function follow<T>(options: FollowOptions<T>, signal: AbortSignal): Promise<void> {
  const { name, source, clock, log, counters, apply } = options;
  let after: number | undefined;
  let isUnavailable = false;
  while (!signal.aborted) {
    const isFullRead = after === undefined;
    const waitMs = typeof options.waitMs === 'number' ? options.waitMs : options.waitMs();
    const sentAt = { monotonicMs: clock.now(), wallMs: clock.wallTime() };
    const res =
      after === undefined ? await source.readAll() : await source.changes(after, waitMs, signal);
    if (isAborted(signal)) return;
    if (res.isErr) {
      counters.count('follow_failures', res.error.code);
      if (!isUnavailable)
        log.warn('dependency_lost', { table: name, reason: res.error.code, after });
      isUnavailable = true;
      if (res.error.code === StoreErrorCode.HistoryGone) after = undefined;
      await clock.sleep(RETRY_MS, signal);
      continue;
    }
    if (isUnavailable) log.info('dependency_back', { table: name, version: res.value.version });
    isUnavailable = false;
    try {
      apply(res.value, isFullRead, sentAt);
      after = res.value.version;
    } catch (err) {
      // Ending here would end the process once its supervisor gives up, and the same item would end
      // the next one.
      counters.count('follow_failures', APPLY_FAILED);
      log.warn('changes_not_applied', { table: name, after, error: messageOf(err) });
      after = undefined;
      await clock.sleep(RETRY_MS, signal);
      continue;
    }
    if (options.pauseMs > 0) await clock.sleep(options.pauseMs, signal);
  }
}
