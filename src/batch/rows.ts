import type { RowKey } from './ports.js';

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

/** Key of the row with the state of an ended job. */
export const endedKey = (service: string, id: string): RowKey => ({
  table: 'ended',
  part: service,
  key: id,
});

/** Key of the row with a job or a cancellation that a gateway wrote directly to the store. */
export const inboxKey = (service: string, id: string): RowKey => ({
  table: 'inbox',
  part: service,
  key: id,
});

/** Id of the inbox row that requests the cancellation of a job. */
export const cancellationId = (id: string): string => `${id}!`;

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
