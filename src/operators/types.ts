import { z } from 'zod';
import { BaseError } from '../errors/index.js';
import { EntityKind, WaveState } from '../configuration/index.js';

/** Codes of {@link OperatorError}, sent as `code` in JSON error responses. */
export enum OperatorErrorCode {
  Unauthorized = 'unauthorized',
  BadRequest = 'bad_request',
  NotFound = 'not_found',
  /** Another change was committed first; nothing was applied. */
  Conflict = 'conflict',
  /** The change would violate a rule or break a reference; nothing was applied. */
  Invalid = 'invalid',
  /** The process has no configuration yet or is shutting down. */
  NotReady = 'not_ready',
  /** The platform is not available; nothing was applied. */
  PlatformUnavailable = 'platform_unavailable',
  /**
   * The outcome of the commit could not be read back. Repeat the request with the same change id.
   */
  OutcomeUnknown = 'outcome_unknown',
  Internal = 'internal',
}

/** An operator request was rejected or failed. */
export class OperatorError extends BaseError<OperatorErrorCode> {
  /** HTTP status of the response. */
  readonly status: number;
  /** Additional fields of the response, such as the version that won a conflict. */
  readonly details?: Record<string, unknown>;

  constructor(code: OperatorErrorCode, message: string, details?: Record<string, unknown>) {
    super(code, message);
    this.status = STATUS_BY_CODE[code];
    this.details = details;
  }
}

const STATUS_BY_CODE: Record<OperatorErrorCode, number> = {
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

/** Maximum length of an identifier from operators, in characters. */
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

/** Selects the VMs to maintain. A VM must match every list; an absent list matches all VMs. */
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

/** Response of `GET /v1/status`. */
export interface StatusResponse {
  member: string;
  zone: string;
  incarnation: string;
  ready: boolean;
  /** Why the process is not ready; undefined when it is. */
  notReadyReason?: string;
  configVersion: number;
  /** Milliseconds since this process adopted its current configuration version. */
  configAgeMs: number;
  platformReachable: boolean;
  holdsZoneLease: boolean;
  members: MemberStatus[];
}

/** State of a member as seen by the responding process. */
export interface MemberStatus {
  name: string;
  zone: string;
  state: string;
  configVersion: number;
  /** Milliseconds since the member was last heard from. */
  silentMs: number;
}

/** An item of the response of `GET /v1/pools`. */
export interface PoolStatus {
  pool: string;
  vms: number;
  away: number;
  minAvailable: number;
  maxAway: number;
  isSpare: boolean;
  services: string[];
}

/** An item of the response of `GET /v1/vms`. */
export interface VmSummary {
  vm: string;
  zone: string;
  rack: string;
  pool: string;
  homePool: string;
  state: string;
  /** State of the stop of the VM, if there is one. */
  stop?: string;
  /** Target pool of the move of the VM, if there is one. */
  move?: string;
}
