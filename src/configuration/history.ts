import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import {
  PlatformError,
  PlatformErrorCode,
  type Condition,
  type PlatformResult,
  type Row,
  type Table,
} from '../platform/index.js';
import type { Random } from '../random/index.js';
import { EntityState, emptySnapshot } from './entities.js';
import { EMPTY_HASH, chainHash, changeSetDigest } from './hashing.js';
import {
  HEAD_KEY,
  VERSION_PREFIX,
  changeKey,
  snapshotPartKey,
  snapshotPrefix,
  versionKey,
} from './rowKeys.js';
import { joinSnapshot, splitSnapshot } from './snapshotParts.js';
import {
  ConfigError,
  ConfigErrorCode,
  type ChangeSet,
  type Commit,
  type ConfigDelta,
  type ConfigHead,
  type ConfigHistory,
  type ConfigSnapshot,
  type SnapshotRef,
} from './types.js';

/** Options of {@link createConfigHistory}. */
export interface ConfigHistoryOptions {
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  /** Versions between snapshots. */
  snapshotInterval: number;
  /** Maximum number of rows per scan. */
  pageSize: number;
  /** Maximum number of attempts to commit a change set or to record a snapshot in the head row. */
  maxAttempts: number;
  /**
   * Base of the exponential backoff with full jitter in milliseconds: the delay before retry n is
   * random and at most 2^n times the base.
   */
  backoffBaseMs: number;
}

/** A configuration history that writes snapshots in the background. */
export interface TableConfigHistory extends ConfigHistory {
  /** Returns the version in which a change id was committed; undefined if it was not committed. */
  committedVersion(changeId: string): PlatformResult<number | undefined>;
  /** Resolves when no snapshot is being written. */
  waitForSnapshots(): Promise<void>;
}

/** Value of the row of a change id. */
interface ChangeRow {
  version: number;
  digest: string;
}

/** Value of the row of one snapshot part. */
interface SnapshotPartRow {
  /** Number of parts of the snapshot. */
  parts: number;
  /** Hash of the chain at the version of the snapshot. */
  hash: string;
  snapshot: ConfigSnapshot;
}

interface HeadState {
  head: ConfigHead;
  rowVersion: number;
}

/**
 * Result of one attempt to commit: the final result, or `retry` with the platform error, which is
 * absent if a condition of the transaction failed because of a concurrent change.
 */
type AttemptResult =
  | { done: Result<Commit, ConfigError> }
  | { retry: PlatformError | undefined; mayBeApplied: boolean };

const EMPTY_HEAD: ConfigHead = { version: 0, snapshotVersion: 0, hash: EMPTY_HASH };

/** Error codes after which a transaction may still have taken effect. */
const UNCERTAIN_OUTCOME_CODES = new Set([
  PlatformErrorCode.OutcomeUnknown,
  PlatformErrorCode.BadAnswer,
]);

/** Creates a configuration history that is stored in the platform table. */
export function createConfigHistory(
  table: Table,
  options: ConfigHistoryOptions,
): TableConfigHistory {
  const { clock, random, logger, metrics } = options;
  const commits = metrics.counter('config_commits_total', 'Commits of change sets by result', [
    'result',
  ]);
  let snapshotTask: Promise<void> | undefined;

  async function readHead(): PlatformResult<HeadState> {
    const row = await table.get(HEAD_KEY);
    return row.map((found) => ({
      head: (found?.value as ConfigHead | undefined) ?? EMPTY_HEAD,
      rowVersion: found?.version ?? 0,
    }));
  }

  async function readChange(changeId: string): PlatformResult<ChangeRow | undefined> {
    return (await table.get(changeKey(changeId))).map((row) => row?.value as ChangeRow | undefined);
  }

  async function attemptCommit(
    base: number,
    changeSet: ChangeSet,
    extraConditions: Condition[],
  ): Promise<AttemptResult> {
    const state = await readHead();
    if (state.isErr) return { retry: state.error, mayBeApplied: false };
    const { head, rowVersion } = state.value;
    if (head.version !== base) return resolveVersionMismatch(head, changeSet, base);
    const delta: ConfigDelta = { ...changeSet, version: base + 1 };
    const change: ChangeRow = { version: delta.version, digest: changeSetDigest(changeSet) };
    const nextHead = { ...head, version: delta.version, hash: chainHash(head.hash, delta) };
    const written = await table.transact(
      [
        { key: HEAD_KEY, version: rowVersion },
        { key: changeKey(changeSet.changeId), version: 0 },
        ...extraConditions,
      ],
      [
        { key: versionKey(delta.version), value: delta },
        { key: changeKey(changeSet.changeId), value: change },
        { key: HEAD_KEY, value: nextHead },
      ],
    );
    if (written.isOk) {
      if (delta.version - head.snapshotVersion >= options.snapshotInterval) startSnapshot();
      return { done: Result.ok({ version: delta.version, alreadyApplied: false }) };
    }
    return resolveFailedTransaction(written.error, changeSet, extraConditions);
  }

  /**
   * Resolves an attempt whose base is not the head version. The head was read before the change row
   * is read, and earlier attempts are conditional on an older head row: if the change row is absent
   * now, none of them can create it later.
   */
  async function resolveVersionMismatch(
    head: ConfigHead,
    changeSet: ChangeSet,
    base: number,
  ): Promise<AttemptResult> {
    const change = await readChange(changeSet.changeId);
    if (change.isErr) return { retry: change.error, mayBeApplied: false };
    if (change.value) return { done: resolveRepeatedCommit(change.value, changeSet) };
    const row = await table.get(versionKey(head.version));
    if (row.isErr) return { retry: row.error, mayBeApplied: false };
    const author = (row.value?.value as ConfigDelta | undefined)?.author ?? '';
    const message = `change ${changeSet.changeId} is based on version ${base}, but version ${head.version} by ${author} was committed first`;
    const winner = { version: head.version, author };
    const err = new ConfigError(ConfigErrorCode.Conflict, message, undefined, winner);
    return { done: Result.err(err) };
  }

  async function resolveFailedTransaction(
    err: PlatformError,
    changeSet: ChangeSet,
    extraConditions: Condition[],
  ): Promise<AttemptResult> {
    if (err.code !== PlatformErrorCode.ConditionFailed) {
      return { retry: err, mayBeApplied: UNCERTAIN_OUTCOME_CODES.has(err.code) };
    }
    const isExtraCondition = extraConditions.some(({ key }) => key === err.failedKey);
    const isChangeRow = err.failedKey === changeKey(changeSet.changeId);
    if (!isExtraCondition && !isChangeRow) return { retry: undefined, mayBeApplied: false };
    const change = await readChange(changeSet.changeId);
    if (change.isErr) return { retry: change.error, mayBeApplied: false };
    if (change.value) return { done: resolveRepeatedCommit(change.value, changeSet) };
    if (!isExtraCondition) return { retry: undefined, mayBeApplied: false };
    const message = `change ${changeSet.changeId}: condition on row ${err.failedKey ?? ''} was not met`;
    return { done: Result.err(new ConfigError(ConfigErrorCode.ConditionFailed, message, err)) };
  }

  function startSnapshot(): void {
    snapshotTask ??= writeSnapshot().finally(() => (snapshotTask = undefined));
  }

  async function writeSnapshot(): Promise<void> {
    const result = await trySnapshot();
    if (result.isOk) return;
    // The next commit retries, because the head row still refers to the older snapshot.
    logger.warn({ event: 'config_snapshot_failed', error: result.error.message });
  }

  async function trySnapshot(): PlatformResult<void> {
    const loaded = await loadWithHash();
    if (loaded.isErr) return Result.err(loaded.error);
    const { snapshot, hash } = loaded.value;
    const parts = splitSnapshot(snapshot);
    for (const [index, part] of parts.entries()) {
      const value: SnapshotPartRow = { parts: parts.length, hash, snapshot: part };
      const key = snapshotPartKey(snapshot.version, index);
      const written = await table.transact([], [{ key, value }]);
      if (written.isErr) return written;
    }
    const obsolete = await publishSnapshot({ version: snapshot.version, parts: parts.length });
    if (obsolete.isErr) return Result.err(obsolete.error);
    return obsolete.value ? deleteSnapshot(obsolete.value) : Result.ok(undefined);
  }

  /**
   * Records a snapshot in the head row. Returns the obsolete snapshot that may be deleted, if any.
   */
  async function publishSnapshot({
    version,
    parts,
  }: SnapshotRef): PlatformResult<SnapshotRef | undefined> {
    for (let tries = 0; tries < options.maxAttempts; tries++) {
      const state = await readHead();
      if (state.isErr) return Result.err(state.error);
      const { head, rowVersion } = state.value;
      if (head.snapshotVersion >= version) return Result.ok(undefined);
      const written = await table.transact(
        [{ key: HEAD_KEY, version: rowVersion }],
        [{ key: HEAD_KEY, value: withSnapshot(head, { version, parts }) }],
      );
      if (written.isOk) return Result.ok(head.formerSnapshot);
      if (written.error.code !== PlatformErrorCode.ConditionFailed) {
        return Result.err(written.error);
      }
    }
    const message = `the head row changed during each of ${options.maxAttempts} attempts to record a snapshot`;
    return Result.err(new PlatformError(PlatformErrorCode.ConditionFailed, message));
  }

  /** If this fails, the remaining rows only take up storage: nothing refers to them. */
  async function deleteSnapshot({ version, parts }: SnapshotRef): PlatformResult<void> {
    for (let part = 0; part < parts; part++) {
      const deleted = await table.transact([], [{ key: snapshotPartKey(version, part) }]);
      if (deleted.isErr) return deleted;
    }
    return Result.ok(undefined);
  }

  async function readSnapshot(
    version: number,
  ): PlatformResult<{ snapshot: ConfigSnapshot; hash: string }> {
    if (version === 0) return Result.ok({ snapshot: emptySnapshot(), hash: EMPTY_HASH });
    const rows = await scanAll(snapshotPrefix(version), Number.POSITIVE_INFINITY);
    if (rows.isErr) return Result.err(rows.error);
    const parts = rows.value.map((row) => row.value as SnapshotPartRow);
    const first = parts[0];
    if (first?.parts !== parts.length) {
      return badAnswer(`snapshot ${version} has ${parts.length} of ${first?.parts ?? 0} parts`);
    }
    const snapshots = parts.map((part) => part.snapshot);
    return Result.ok({ snapshot: joinSnapshot(version, snapshots), hash: first.hash });
  }

  async function scanAll(prefix: string, limit: number, after?: string): PlatformResult<Row[]> {
    const rows: Row[] = [];
    let from = after;
    while (rows.length < limit) {
      const pageLimit = Math.min(options.pageSize, limit - rows.length);
      const page = await table.scan(prefix, pageLimit, from);
      if (page.isErr) return Result.err(page.error);
      rows.push(...page.value.rows);
      from = page.value.next;
      if (from === undefined) break;
    }
    return Result.ok(rows);
  }

  async function deltasAfter(version: number, limit: number): PlatformResult<ConfigDelta[]> {
    const rows = await scanAll(VERSION_PREFIX, limit, versionKey(version));
    if (rows.isErr) return Result.err(rows.error);
    const deltas = rows.value.map((row) => row.value as ConfigDelta);
    const gap = deltas.findIndex((delta, index) => delta.version !== version + index + 1);
    if (gap >= 0) return badAnswer(`version row ${version + gap + 1} is missing`);
    return Result.ok(deltas);
  }

  async function loadWithHash(): PlatformResult<{ snapshot: ConfigSnapshot; hash: string }> {
    const state = await readHead();
    if (state.isErr) return Result.err(state.error);
    const { head } = state.value;
    const loadedSnapshot = await readSnapshot(head.snapshotVersion);
    if (loadedSnapshot.isErr) return loadedSnapshot;
    const deltas = await deltasAfter(head.snapshotVersion, head.version - head.snapshotVersion);
    if (deltas.isErr) return Result.err(deltas.error);
    const entities = new EntityState();
    entities.reset(loadedSnapshot.value.snapshot);
    let { hash } = loadedSnapshot.value;
    for (const delta of deltas.value) {
      entities.apply(delta, delta.version);
      hash = chainHash(hash, delta);
    }
    if (entities.version !== head.version || hash !== head.hash) {
      return badAnswer(
        `the rows up to version ${head.version} do not match the version and hash of the head row`,
      );
    }
    return Result.ok({ snapshot: entities.snapshot(), hash });
  }

  async function commit(
    base: number,
    changeSet: ChangeSet,
    extraConditions: Condition[] = [],
  ): Promise<Result<Commit, ConfigError>> {
    let mayBeApplied = false;
    let lastError: PlatformError | undefined;
    for (let tries = 0; tries < options.maxAttempts; tries++) {
      if (tries > 0) await clock.sleep(random.next() * options.backoffBaseMs * 2 ** tries);
      const outcome = await attemptCommit(base, changeSet, extraConditions);
      if ('done' in outcome) return countResult(outcome.done, mayBeApplied);
      lastError = outcome.retry;
      mayBeApplied ||= outcome.mayBeApplied;
      // Nothing was applied, so the error is final; otherwise a retry resolves the outcome.
      if (lastError && !mayBeApplied) break;
    }
    return countResult(
      Result.err(createCommitError(changeSet, mayBeApplied, lastError)),
      mayBeApplied,
    );
  }

  function countResult(
    result: Result<Commit, ConfigError>,
    wasUncertain: boolean,
  ): Result<Commit, ConfigError> {
    commits.inc({ result: result.isOk ? 'committed' : result.error.code });
    if (!result.isOk || !wasUncertain) return result;
    // The change was applied by this call, but the response of the earlier attempt was lost.
    return Result.ok({ ...result.value, alreadyApplied: false });
  }

  return {
    head: async () => (await readHead()).map(({ head }) => head),
    commit,
    deltasAfter,
    load: async () => (await loadWithHash()).map(({ snapshot }) => snapshot),
    committedVersion: async (changeId) => (await readChange(changeId)).map((row) => row?.version),
    waitForSnapshots: () => snapshotTask ?? Promise.resolve(),
  };
}

function withSnapshot(head: ConfigHead, { version, parts }: SnapshotRef): ConfigHead {
  const { snapshotVersion, snapshotParts } = head;
  // Without a recorded number of rows, the previous snapshot cannot be deleted.
  const formerSnapshot =
    snapshotParts === undefined ? undefined : { version: snapshotVersion, parts: snapshotParts };
  return { ...head, snapshotVersion: version, snapshotParts: parts, formerSnapshot };
}

function resolveRepeatedCommit(
  change: ChangeRow,
  changeSet: ChangeSet,
): Result<Commit, ConfigError> {
  if (change.digest === changeSetDigest(changeSet)) {
    return Result.ok({ version: change.version, alreadyApplied: true });
  }
  const message = `change id ${changeSet.changeId} was already used for a different change in version ${change.version}`;
  return Result.err(new ConfigError(ConfigErrorCode.Invalid, message));
}

function createCommitError(
  changeSet: ChangeSet,
  mayBeApplied: boolean,
  cause: PlatformError | undefined,
): ConfigError {
  const reason = cause?.message ?? 'the head row was changed concurrently';
  if (mayBeApplied) {
    const message = `the outcome of change ${changeSet.changeId} could not be read back: ${reason}`;
    return new ConfigError(ConfigErrorCode.OutcomeUnknown, message, cause);
  }
  const message = `change ${changeSet.changeId} was not committed: ${reason}`;
  return new ConfigError(ConfigErrorCode.PlatformUnavailable, message, cause);
}

function badAnswer<T>(message: string): Result<T, PlatformError> {
  return Result.err(new PlatformError(PlatformErrorCode.BadAnswer, message));
}
