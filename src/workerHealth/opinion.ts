import { Result } from 'true-myth';
import {
  durationRange,
  isFields,
  isNumberIn,
  isText,
  isWholeNumberIn,
  timeRange,
} from '../validation/index.js';
import { OpinionError, OpinionErrorCode, OutlierReason, type HealthSettings } from './types.js';

/** Longest wall-clock lead of a row that is attributed to clocks that differ. */
const MAX_CLOCK_LEAD_MS = 10_000;
/** Workers in a row; about 100 bytes each. */
const MAX_STORED_WORKERS = 300;
/** Highest number of periods that is counted. */
export const MAX_ROUNDS = 1_000;

/** The opinion on one worker. */
export interface WorkerOpinion {
  id: string;
  /** Start time of the worker's process; the opinion is on this incarnation only. */
  bornMs: number;
  reason: OutlierReason;
  /** Share of its work that is lost, from 0 to 1. */
  severity: number;
  /** How often it was set aside in a row. */
  rounds: number;
  /** Time until its next trial; 0 if it is on trial. */
  remainingMs: number;
}

/** Workers that are set aside or on trial, as stored for the next holder. */
export interface StoredOpinion {
  /** Unix time in milliseconds. */
  atMs: number;
  workers: WorkerOpinion[];
}

/** Encodes an opinion for the row of a service; the worst workers if there are too many. */
export function encodeOpinion({ atMs, workers }: StoredOpinion): string {
  const worst = [...workers].sort((a, b) => b.severity - a.severity).slice(0, MAX_STORED_WORKERS);
  return JSON.stringify({ atMs, workers: worst });
}

/** Decodes a stored opinion and its age, in milliseconds of wall-clock time. */
export function decodeOpinion(
  value: string,
  wallTime: number,
  { opinionTtlMs }: Pick<HealthSettings, 'opinionTtlMs'>,
): Result<{ opinion: StoredOpinion; ageMs: number }, OpinionError> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(value);
  } catch (err) {
    return Result.err(new OpinionError(OpinionErrorCode.Malformed, 'the row is no JSON', err));
  }
  if (!isOpinion(parsed)) {
    const message = 'the row is no opinion on workers';
    return Result.err(new OpinionError(OpinionErrorCode.Malformed, message));
  }
  const ageMs = wallTime - parsed.atMs;
  if (ageMs > opinionTtlMs || ageMs < -MAX_CLOCK_LEAD_MS) {
    const message = `the opinion is ${ageMs} ms old, expected at most ${opinionTtlMs} ms`;
    return Result.err(new OpinionError(OpinionErrorCode.Expired, message));
  }
  return Result.ok({ opinion: parsed, ageMs: Math.max(0, ageMs) });
}

// Checked by hand, because schema libraries are not loaded on the entry VMs.
function isOpinion(value: unknown): value is StoredOpinion {
  if (!isFields(value)) return false;
  const { atMs, workers } = value;
  if (!Array.isArray(workers) || workers.length > MAX_STORED_WORKERS) return false;
  return isNumberIn(atMs, timeRange) && workers.every(isWorkerOpinion);
}

const reasons: ReadonlySet<unknown> = new Set(Object.values(OutlierReason));

function isWorkerOpinion(value: unknown): value is WorkerOpinion {
  if (!isFields(value)) return false;
  return (
    isText(value.id) &&
    reasons.has(value.reason) &&
    isNumberIn(value.bornMs, timeRange) &&
    isNumberIn(value.severity, { min: 0, max: 1 }) &&
    isWholeNumberIn(value.rounds, { min: 1, max: MAX_ROUNDS }) &&
    isNumberIn(value.remainingMs, durationRange)
  );
}
