import { createHash } from 'node:crypto';
import type { Write } from '../platform/index.js';
import type { JobRecord, JobSpec } from './types.js';

/** Value of `job-id/<id>`: where the job is, and a digest of what was submitted. */
export interface JobIdRow {
  zone: string;
  digest: string;
}

/** Value of `job-team/<team>/<id>`, the index of a team's open jobs. */
export interface TeamJobRow {
  id: string;
  zone: string;
}

/** Keys of the job rows. Ids and names contain no slash. */
export const jobKeys = {
  id: (id: string) => `job-id/${id}`,
  open: (zone: string, id: string) => `job/${zone}/${id}`,
  openPrefix: (zone: string) => `job/${zone}/`,
  ended: (zone: string, id: string) => `job-ended/${zone}/${id}`,
  endedPrefix: (zone: string) => `job-ended/${zone}/`,
  team: (team: string, id: string) => `job-team/${team}/${id}`,
  teamPrefix: (team: string) => `job-team/${team}/`,
  urgent: (zone: string, id: string) => `job-urgent/${zone}/${id}`,
  urgentPrefix: (zone: string) => `job-urgent/${zone}/`,
  cancel: (zone: string, id: string) => `job-cancel/${zone}/${id}`,
  cancelPrefix: (zone: string) => `job-cancel/${zone}/`,
  result: (id: string, epoch: number) => `result/${id}/${epoch}`,
};

/** Last segment of a key. */
export function idOfKey(key: string): string {
  return key.slice(key.lastIndexOf('/') + 1);
}

/** Digest by which a repeated submission is told from another job with the same id. */
export function digestOf(spec: JobSpec): string {
  const { id, team, kind, urgent, idempotent, cores, memoryMib, accelerators, payload } = spec;
  const fields = [id, team, kind, urgent, idempotent, cores, memoryMib, accelerators, payload];
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex');
}

/** Writes that record a new job. */
export function insertionWrites(record: JobRecord): Write[] {
  const { zone, id, team } = record;
  const idRow: JobIdRow = { zone, digest: digestOf(record) };
  const teamRow: TeamJobRow = { id, zone };
  const writes: Write[] = [
    { key: jobKeys.id(id), value: idRow },
    { key: jobKeys.open(zone, id), value: record },
    { key: jobKeys.team(team, id), value: teamRow },
  ];
  if (record.urgent) writes.push({ key: jobKeys.urgent(zone, id), value: {} });
  return writes;
}

/** Writes that move a job from the open to the ended jobs. */
export function endingWrites(record: JobRecord): Write[] {
  const { zone, id, team } = record;
  const writes: Write[] = [
    { key: jobKeys.open(zone, id) },
    { key: jobKeys.ended(zone, id), value: record },
    { key: jobKeys.team(team, id) },
    { key: jobKeys.cancel(zone, id) },
  ];
  if (record.urgent) writes.push({ key: jobKeys.urgent(zone, id) });
  return writes;
}
