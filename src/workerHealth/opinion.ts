import { Result } from 'true-myth';
import { z } from 'zod';
import { OpinionError, OpinionErrorCode, OutlierReason, type HealthSettings } from './types.js';

/** Longest wall-clock lead of a row that is attributed to clocks that differ. */
const MAX_CLOCK_LEAD_MS = 10_000;

const opinionSchema = z.object({
  /** Unix time in milliseconds. */
  atMs: z.number(),
  workers: z
    .array(
      z.object({
        id: z.string().min(1),
        bornMs: z.number(),
        reason: z.enum(OutlierReason),
        severity: z.number().min(0).max(1),
        rounds: z.int().min(1).max(1_000),
        remainingMs: z.number().min(0),
      }),
    )
    .max(5_000),
});

/** Workers that are set aside or on trial, as stored for the next holder. */
export type StoredOpinion = z.infer<typeof opinionSchema>;

/** Workers in a row; about 100 bytes each. */
const MAX_STORED_WORKERS = 300;

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
  const res = opinionSchema.safeParse(parsed);
  if (!res.success) {
    return Result.err(new OpinionError(OpinionErrorCode.Malformed, res.error.message));
  }
  const ageMs = wallTime - res.data.atMs;
  if (ageMs > opinionTtlMs || ageMs < -MAX_CLOCK_LEAD_MS) {
    const message = `the opinion is ${ageMs} ms old, expected at most ${opinionTtlMs} ms`;
    return Result.err(new OpinionError(OpinionErrorCode.Expired, message));
  }
  return Result.ok({ opinion: res.data, ageMs: Math.max(0, ageMs) });
}
