import { z } from 'zod';
import { BaseError } from '../errors/index.js';
import { EntityKind, WaveState } from '../configuration/index.js';

/** Codes of {@link OperatorError}; they are also the `code` of JSON error answers. */
export enum OperatorErrorCode {
  Unauthorized = 'unauthorized',
  BadRequest = 'bad_request',
  NotFound = 'not_found',
  /** Another change was committed first; nothing was applied. */
  Conflict = 'conflict',
  /** The change would break a rule or reference; nothing was applied. */
  Invalid = 'invalid',
  /** The process has no configuration in force. */
  NotReady = 'not_ready',
  /** The platform could not be used; nothing was applied. */
  PlatformUnavailable = 'platform_unavailable',
  /** The outcome could not be read back. Repeat with the same change id. */
  OutcomeUnknown = 'outcome_unknown',
  Internal = 'internal',
}

/** An operator request was refused. */
export class OperatorError extends BaseError<OperatorErrorCode> {
  /** HTTP status of the answer. */
  readonly status: number;
  /** Further fields of the answer, such as the version that won a conflict. */
  readonly details?: Record<string, unknown>;

  constructor(code: OperatorErrorCode, message: string, details?: Record<string, unknown>) {
    super(code, message);
    this.status = STATUS_OF[code];
    this.details = details;
  }
}

const STATUS_OF: Record<OperatorErrorCode, number> = {
  [OperatorErrorCode.Unauthorized]: 401,
  [OperatorErrorCode.BadRequest]: 400,
  [OperatorErrorCode.NotFound]: 404,
  [OperatorErrorCode.Conflict]: 409,
  [OperatorErrorCode.Invalid]: 422,
  [OperatorErrorCode.NotReady]: 503,
  [OperatorErrorCode.PlatformUnavailable]: 503,
  [OperatorErrorCode.OutcomeUnknown]: 504,
  [OperatorErrorCode.Internal]: 500,
};

/** Longest identifier accepted from operators, in characters. */
const MAX_ID_LENGTH = 128;

const idSchema = z.string().min(1).max(MAX_ID_LENGTH);

/** Body of `POST /v1/config/changes`. */
export const changeRequestSchema = z.strictObject({
  changeId: idSchema,
  author: idSchema,
  base: z.number().int().min(0),
  changes: z.array(
    z.strictObject({ kind: z.enum(EntityKind), id: idSchema, value: z.unknown().optional() }),
  ),
});

/** Selection of the VMs of a wave; an absent list selects all. */
export const waveSelectionSchema = z.strictObject({
  vms: z.array(idSchema).optional(),
  pools: z.array(idSchema).optional(),
  zones: z.array(idSchema).optional(),
});

/** Body of `POST /v1/maintenance/waves`. */
export const waveRequestSchema = z.strictObject({
  id: idSchema,
  author: idSchema,
  selection: waveSelectionSchema,
});

/** Body of `POST /v1/maintenance/waves/<id>/state`. */
export const waveStateRequestSchema = z.strictObject({
  author: idSchema,
  state: z.enum([WaveState.Running, WaveState.Paused]),
});

/** Body of `POST /v1/vms/<id>/move`. */
export const moveRequestSchema = z.strictObject({ author: idSchema, pool: idSchema });

/** Body of `POST /v1/faults/cut`. */
export const cutRequestSchema = z.strictObject({ target: idSchema, on: z.boolean() });

export type ChangeRequest = z.infer<typeof changeRequestSchema>;
export type WaveSelection = z.infer<typeof waveSelectionSchema>;
export type WaveRequest = z.infer<typeof waveRequestSchema>;

/** Answer of `GET /v1/status`. */
export interface StatusResponse {
  member: string;
  zone: string;
  incarnation: string;
  ready: boolean;
  /** Why the process is not ready. */
  notReadyReason?: string;
  configVersion: number;
  /** Milliseconds since the version came into force on this process. */
  configAgeMs: number;
  platformReachable: boolean;
  holdsZoneLease: boolean;
  members: MemberStatus[];
}

/** One member as seen from the answering process. */
export interface MemberStatus {
  name: string;
  zone: string;
  state: string;
  configVersion: number;
  /** Milliseconds since the last sign of life. */
  silentMs: number;
}

/** One line of `GET /v1/pools`. */
export interface PoolStatus {
  pool: string;
  vms: number;
  away: number;
  minAvailable: number;
  maxAway: number;
  isSpare: boolean;
  services: string[];
}

/** One line of `GET /v1/vms`. */
export interface VmSummary {
  vm: string;
  zone: string;
  rack: string;
  pool: string;
  homePool: string;
  state: string;
  stop?: string;
  move?: string;
}
