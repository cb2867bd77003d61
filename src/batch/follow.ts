import type { Result } from 'true-myth/result';
import type { Clock } from '../clock/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { StoreErrorCode, type StoreError } from './ports.js';

/** Items of a watched table that changed, and keys of those that were removed. */
export interface Changes<T> {
  items: T[];
  removed: string[];
  /** Version of the store from which to go on. */
  version: number;
}

/** A table that can be read as a whole and followed by its changes. */
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
  /** Wait of one call for a change, in milliseconds. */
  waitMs: number;
  /** Pause between calls in milliseconds; bounds the rate of calls for tables that always change. */
  pauseMs: number;
  /** Called with all items after a full read, else with the changed ones. */
  apply: (changes: Changes<T>, isComplete: boolean) => void;
}

const RETRY_MS = 300;

/** Asked anew after a wait, which the compiler cannot know to change the answer. */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** Keeps a copy of a table up to date until the signal is aborted. Reads all after a gap. */
export async function follow<T>(options: FollowOptions<T>, signal: AbortSignal): Promise<void> {
  const { name, source, clock, log, counters, apply } = options;
  let after: number | undefined;
  let isLost = false;
  while (!signal.aborted) {
    const isComplete = after === undefined;
    const res =
      after === undefined
        ? await source.readAll()
        : await source.changes(after, options.waitMs, signal);
    if (isAborted(signal)) return;
    if (res.isErr) {
      counters.count('follow_failures', res.error.code);
      if (!isLost) log.warn('dependency_lost', { table: name, reason: res.error.code, after });
      isLost = true;
      if (res.error.code === StoreErrorCode.HistoryGone) after = undefined;
      await clock.sleep(RETRY_MS, signal);
      continue;
    }
    if (isLost) log.info('dependency_back', { table: name, version: res.value.version });
    isLost = false;
    apply(res.value, isComplete);
    after = res.value.version;
    if (options.pauseMs > 0) await clock.sleep(options.pauseMs, signal);
  }
}
