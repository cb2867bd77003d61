import { Result } from 'true-myth';
import {
  ConfigError,
  ConfigErrorCode,
  EntityKind,
  type ChangeSet,
  type Commit,
  type ConfigDelta,
  type ConfigHead,
  type ConfigHistory,
  type ConfigSnapshot,
} from '../configuration/index.js';
import { PlatformErrorCode, type Condition, type Table } from '../platform/index.js';

const HEAD = 'config/head';

/** A configuration history on a table, without snapshots and checks, for tests. */
export function createTableHistory(table: Table): ConfigHistory {
  async function head() {
    const row = await table.get(HEAD);
    return row.map((found): ConfigHead & { rowVersion: number } => {
      const value = found?.value as ConfigHead | undefined;
      const none = { version: 0, snapshotVersion: 0, hash: '' };
      return { ...(value ?? none), rowVersion: found?.version ?? 0 };
    });
  }

  async function known(changeId: string): Promise<Result<number | undefined, ConfigError>> {
    const row = await table.get(`config/change/${changeId}`);
    return row
      .map((found) => (found?.value as { version: number } | undefined)?.version)
      .mapErr((err) => new ConfigError(ConfigErrorCode.OutcomeUnknown, err.message, err));
  }

  /** What a commit that did not apply now means: applied before, or lost to another one. */
  async function resolve(
    changeId: string,
    otherwise: ConfigErrorCode,
  ): Promise<Result<Commit, ConfigError>> {
    const version = await known(changeId);
    if (version.isErr) return Result.err(version.error);
    if (version.value === undefined) return Result.err(new ConfigError(otherwise, changeId));
    return Result.ok({ version: version.value, alreadyApplied: true });
  }

  async function commit(base: number, changeSet: ChangeSet, extra: Condition[] = []) {
    const { changeId } = changeSet;
    const now = await head();
    if (now.isErr) {
      // A commit that is repeated may have been applied before.
      return Result.err<Commit, ConfigError>(
        new ConfigError(ConfigErrorCode.OutcomeUnknown, now.error.message, now.error),
      );
    }
    if (now.value.version !== base) return resolve(changeId, ConfigErrorCode.Conflict);
    const version = base + 1;
    const value: ConfigHead = { version, snapshotVersion: 0, hash: '' };
    const done = await table.transact(
      [
        { key: HEAD, version: now.value.rowVersion },
        { key: `config/change/${changeId}`, version: 0 },
        ...extra,
      ],
      [
        { key: HEAD, value },
        { key: `config/version/${version}`, value: { ...changeSet, version } },
        { key: `config/change/${changeId}`, value: { version } },
      ],
    );
    if (done.isOk) return Result.ok<Commit, ConfigError>({ version, alreadyApplied: false });
    const { code, failedKey } = done.error;
    if (code === PlatformErrorCode.OutcomeUnknown) {
      return resolve(changeId, ConfigErrorCode.OutcomeUnknown);
    }
    if (code !== PlatformErrorCode.ConditionFailed) {
      return Result.err<Commit, ConfigError>(
        new ConfigError(ConfigErrorCode.PlatformUnavailable, done.error.message, done.error),
      );
    }
    const isLost = failedKey === HEAD;
    return resolve(changeId, isLost ? ConfigErrorCode.Conflict : ConfigErrorCode.ConditionFailed);
  }

  async function deltasAfter(version: number, limit: number) {
    const deltas: ConfigDelta[] = [];
    while (deltas.length < limit) {
      const row = await table.get(`config/version/${version + deltas.length + 1}`);
      if (row.isErr) return Result.err<ConfigDelta[], typeof row.error>(row.error);
      if (!row.value) break;
      deltas.push(row.value.value as ConfigDelta);
    }
    return Result.ok<ConfigDelta[]>(deltas);
  }

  async function load() {
    const now = await head();
    const entities = Object.fromEntries(Object.values(EntityKind).map((kind) => [kind, []]));
    return now.map(() => ({ version: 0, entities }) as unknown as ConfigSnapshot);
  }

  return { head, commit, deltasAfter, load };
}
