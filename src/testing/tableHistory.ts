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

const HEAD_KEY = 'config/head';

/** Creates a configuration history on a table, without snapshots and checks. */
export function createTableHistory(table: Table): ConfigHistory {
  async function head() {
    const row = await table.get(HEAD_KEY);
    return row.map((found): ConfigHead & { rowVersion: number } => {
      const value = found?.value as ConfigHead | undefined;
      const none = { version: 0, snapshotVersion: 0, hash: '' };
      return { ...(value ?? none), rowVersion: found?.version ?? 0 };
    });
  }

  async function findAppliedVersion(
    changeId: string,
  ): Promise<Result<number | undefined, ConfigError>> {
    const row = await table.get(`config/change/${changeId}`);
    return row
      .map((found) => (found?.value as { version: number } | undefined)?.version)
      .mapErr((err) => new ConfigError(ConfigErrorCode.OutcomeUnknown, err.message, err));
  }

  /** Returns the version if an earlier commit applied the change, else fails with `otherwise`. */
  async function resolveUnapplied(
    changeId: string,
    otherwise: ConfigErrorCode,
  ): Promise<Result<Commit, ConfigError>> {
    const version = await findAppliedVersion(changeId);
    if (version.isErr) return Result.err(version.error);
    if (version.value === undefined) return Result.err(new ConfigError(otherwise, changeId));
    return Result.ok({ version: version.value, alreadyApplied: true });
  }

  async function commit(base: number, changeSet: ChangeSet, extra: Condition[] = []) {
    const { changeId } = changeSet;
    const current = await head();
    if (current.isErr) {
      // If this is a repeated commit, it may have been applied before.
      return Result.err<Commit, ConfigError>(
        new ConfigError(ConfigErrorCode.OutcomeUnknown, current.error.message, current.error),
      );
    }
    if (current.value.version !== base) return resolveUnapplied(changeId, ConfigErrorCode.Conflict);
    const version = base + 1;
    const value: ConfigHead = { version, snapshotVersion: 0, hash: '' };
    const result = await table.transact(
      [
        { key: HEAD_KEY, version: current.value.rowVersion },
        { key: `config/change/${changeId}`, version: 0 },
        ...extra,
      ],
      [
        { key: HEAD_KEY, value },
        { key: `config/version/${version}`, value: { ...changeSet, version } },
        { key: `config/change/${changeId}`, value: { version } },
      ],
    );
    if (result.isOk) return Result.ok<Commit, ConfigError>({ version, alreadyApplied: false });
    const { code, failedKey } = result.error;
    if (code === PlatformErrorCode.OutcomeUnknown) {
      return resolveUnapplied(changeId, ConfigErrorCode.OutcomeUnknown);
    }
    if (code !== PlatformErrorCode.ConditionFailed) {
      return Result.err<Commit, ConfigError>(
        new ConfigError(ConfigErrorCode.PlatformUnavailable, result.error.message, result.error),
      );
    }
    const isHeadChanged = failedKey === HEAD_KEY;
    return resolveUnapplied(
      changeId,
      isHeadChanged ? ConfigErrorCode.Conflict : ConfigErrorCode.ConditionFailed,
    );
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
    const current = await head();
    const entities = Object.fromEntries(Object.values(EntityKind).map((kind) => [kind, []]));
    return current.map(() => ({ version: 0, entities }) as unknown as ConfigSnapshot);
  }

  return { head, commit, deltasAfter, load };
}
