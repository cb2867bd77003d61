import type { RowCondition, RowKey } from './ports.js';

/** Key of the row with the specification of an open job, written by the holder of its service. */
export const jobKey = (service: string, id: string): RowKey => ({
  table: 'job',
  part: service,
  key: id,
});

/** Key of the row with the progress of an open job. */
export const progressKey = (service: string, id: string): RowKey => ({
  table: 'progress',
  part: service,
  key: id,
});

/** Table of the rows of ended jobs. */
export const ENDED_TABLE = 'ended';

/** Key of the row with the state of an ended job, and with its account if it has one. */
export const endedKey = (service: string, id: string): RowKey => ({
  table: ENDED_TABLE,
  part: service,
  key: id,
});

/** Key of the row with a job or a cancellation that a gateway wrote directly to the store. */
export const inboxKey = (service: string, id: string): RowKey => ({
  table: 'inbox',
  part: service,
  key: id,
});

/**
 * Conditions under which a gateway may write that a service has a job: no row of it exists there.
 *
 * @param closedVersion - version of the row that closes the id there; 0 if it is not closed
 */
export const acceptanceConditions = (
  service: string,
  id: string,
  closedVersion = 0,
): RowCondition[] => [
  { ...inboxKey(service, id), version: 0 },
  { ...jobKey(service, id), version: 0 },
  { ...endedKey(service, id), version: closedVersion },
];

/** Rows that are removed when a job is accepted: the one that closes its id, if there is one. */
export const acceptanceRemoves = (service: string, id: string, closedVersion: number): RowKey[] =>
  closedVersion === 0 ? [] : [endedKey(service, id)];

/** Table of the rows of {@link assignmentKey}. */
export const ASSIGNMENT_TABLE = 'assignment';

/** Key of the row with the services to which a queue was assigned. */
export const assignmentKey = (path: string): RowKey => ({
  table: ASSIGNMENT_TABLE,
  part: '',
  key: path,
});

/** Separates the job from the account in the id of a cancellation; job ids do not contain it. */
const CANCELLATION_MARK = '!';

/**
 * Id of the inbox row with which an account requests the cancellation of a job. Bound to the account,
 * so that a row that is applied late cancels no later job of another account with the same id.
 */
export const cancellationId = (id: string, account = ''): string =>
  `${id}${CANCELLATION_MARK}${account}`;

/** What the id of an inbox row with a cancellation contains. */
export interface CancellationKey {
  /** Id of the job. */
  id: string;
  /** Account that requested the cancellation, if it has one. */
  account: string | undefined;
}

/** Decodes an id created by {@link cancellationId}; returns undefined for that of a job. */
export function parseCancellation(key: string): CancellationKey | undefined {
  const mark = key.indexOf(CANCELLATION_MARK);
  if (mark < 0) return undefined;
  const account = key.slice(mark + 1);
  return { id: key.slice(0, mark), account: account === '' ? undefined : account };
}

/** Key of the row with what the holder has learned about run times. */
export const runTimesKey = (service: string): RowKey => ({
  table: 'run_times',
  part: service,
  key: 'snapshot',
});

/** Key of the row with the record of a worker on which runs may have been started. */
export const rosterKey = (service: string, worker: string): RowKey => ({
  table: 'roster',
  part: service,
  key: worker,
});
