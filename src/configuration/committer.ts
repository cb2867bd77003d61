import { Result } from 'true-myth';
import type { Condition } from '../platform/index.js';
import { AdoptionSource, AdoptionResult, type ConfigStore } from './store.js';
import type { ChangeSet, Commit, ConfigError, ConfigHistory } from './types.js';

/** Commits a change set that is based on version `base` and adopts it in this process. */
export type CommitAndAdopt = (
  base: number,
  changeSet: ChangeSet,
  extraConditions?: Condition[],
) => Promise<Result<Commit, ConfigError>>;

/** Maximum number of deltas read when this process lacks versions before its own commit. */
const MAX_CATCH_UP_DELTAS = 1_000;

/**
 * Creates the function through which this process changes the configuration. A committed version is
 * adopted immediately, and adoption with {@link AdoptionSource.Local} triggers its dissemination.
 */
export function createCommitter(history: ConfigHistory, store: ConfigStore): CommitAndAdopt {
  return async (base, changeSet, extraConditions) => {
    const result = await history.commit(base, changeSet, extraConditions);
    if (result.isErr) return result;
    const { version } = result.value;
    const adoption = store.adoptDelta({ ...changeSet, version }, AdoptionSource.Local);
    if (adoption === AdoptionResult.Gap) await catchUp(history, store);
    return result;
  };
}

async function catchUp(history: ConfigHistory, store: ConfigStore): Promise<void> {
  const deltas = await history.deltasAfter(store.view.version, MAX_CATCH_UP_DELTAS);
  // If the read fails, polling of the head row or a peer provides the missing versions.
  if (deltas.isErr) return;
  store.adoptDeltas(deltas.value, AdoptionSource.Local);
}
