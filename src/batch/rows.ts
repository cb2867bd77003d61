import type { RowKey } from './ports.js';

/** Specification of an open job, written by the holder of its service. */
export const jobKey = (service: string, id: string): RowKey => ({
  table: 'job',
  part: service,
  key: id,
});

/** What has ended of an open job. */
export const progressKey = (service: string, id: string): RowKey => ({
  table: 'progress',
  part: service,
  key: id,
});

/** State of an ended job. */
export const endedKey = (service: string, id: string): RowKey => ({
  table: 'ended',
  part: service,
  key: id,
});

/** A job or a cancellation that was recorded without the holder. */
export const inboxKey = (service: string, id: string): RowKey => ({
  table: 'inbox',
  part: service,
  key: id,
});

/** Key of the inbox row that asks to cancel a job. */
export const cancellationId = (id: string): string => `${id}!`;

/** Addresses of the workers on which runs may have been started. */
export const rosterKey = (service: string): RowKey => ({
  table: 'roster',
  part: service,
  key: 'roster',
});
