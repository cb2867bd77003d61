import { decodeStoredAccount } from '../batch/jobCodec.js';
import type { RowStore } from '../batch/ports.js';
import { endedKey, inboxKey, jobKey } from '../batch/rows.js';
import type { JobSpec } from '../batch/types.js';
import { compareOwner, JobOwner } from './access.js';

/** Reads whose job the store has under the id of a submitted one. */
export async function readJobOwner(
  store: Pick<RowStore, 'readRow'>,
  service: string,
  { id, account }: Pick<JobSpec, 'id' | 'account'>,
): Promise<JobOwner> {
  // In the order in which the rows of a job are written, so that none is missed.
  for (const key of [inboxKey, jobKey, endedKey]) {
    const res = await store.readRow(key(service, id));
    if (res.isErr) return JobOwner.Unknown;
    if (!res.value) continue;
    const owner = decodeStoredAccount(res.value);
    return owner.isOk ? compareOwner(owner.value, account) : JobOwner.Unknown;
  }
  return JobOwner.Unknown;
}
