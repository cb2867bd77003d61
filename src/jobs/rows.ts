import { createHash } from 'node:crypto';
import type { Write } from '../platform/index.js';
import type { JobRecord, JobSpec } from './types.js';

/** Value of the row `job-id/<id>`: the job's zone and a digest of the submitted job. */
export interface JobIdRow {
  zone: string;
  digest: string;
}

/** Value of the row `job-team/<team>/<id>`, which indexes a team's open jobs. */
export interface TeamJobRow {
  id: string;
  zone: string;
}

/**
 * Table keys of job rows, and object store keys of results. Segments never contain a slash, which
 * the job schema enforces.
 */
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

/** Returns the job id, which is the last segment of a row key. */
export function idOfKey(key: string): string {
  return key.slice(key.lastIndexOf('/') + 1);
}

/** Digest that distinguishes a repeated submission from a different job with the same id. */
export function digestOf(spec: JobSpec): string {
  const { id, team, kind, urgent, idempotent, cores, memoryMib, accelerators, payload } = spec;
  const fields = [id, team, kind, urgent, idempotent, cores, memoryMib, accelerators, payload];
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex');
}

/** Returns the writes that record a new job together with its index rows. */
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

/** Returns the writes that move a job from open to ended and delete its index rows. */
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
