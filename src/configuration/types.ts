import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import type { Condition, PlatformError, PlatformResult } from '../platform/types.js';

/** Kinds of entities in the versioned configuration. */
export enum EntityKind {
  Service = 'service',
  Pool = 'pool',
  Team = 'team',
  Vm = 'vm',
  /** Written by the system: current pool of a VM. */
  Assignment = 'assignment',
  /** Written by the system: availability of a VM as recorded by its zone controller. */
  VmStatus = 'vmStatus',
  /** Written by the system: permit and progress of a planned stop. */
  Stop = 'stop',
  /** Written by the system: move of a VM between pools. */
  Move = 'move',
  /** Written by the system: a maintenance wave. */
  Wave = 'wave',
  /**
   * Written by the system: the latest change made by an operator; there is only one such entity.
   */
  OperatorChange = 'operatorChange',
}

/** A service to which clients send requests. */
export interface Service {
  id: string;
  pool: string;
  /** Maximum number of queued requests for this service on one entry process. */
  maxQueued: number;
  /** Whether requests may be forwarded to other availability zones. */
  spill: boolean;
  /** Availability budget: minimum number of slots in service across all availability zones. */
  minAvailableSlots: number;
}

/**
 * A group of VMs with the limits on how many may be away, that is, out of service for any reason.
 * All limits are numbers of VMs.
 */
export interface Pool {
  id: string;
  minAvailable: number;
  maxAway: number;
  maxAwayPerRack: number;
  maxAwayPerZone: number;
  /** Whether this pool lends VMs to other pools. */
  isSpare: boolean;
  /** Whether this pool may borrow VMs from the spare pool. */
  mayBorrow: boolean;
}

/** A customer team with its quotas, which apply per entry process unless stated otherwise. */
export interface Team {
  id: string;
  /** Weight in fair queueing, relative to other teams. */
  weight: number;
  maxQueued: number;
  maxRunning: number;
  /** Maximum number of concurrent urgent requests; further ones are treated as normal. */
  maxUrgent: number;
  /** Maximum number of open jobs across the whole fleet. */
  maxJobs: number;
}

/** A VM of the fleet as listed in the inventory. */
export interface Vm {
  id: string;
  zone: string;
  rack: string;
  /** Home pool; the current pool is given by the VM's assignment, if it has one. */
  pool: string;
  cores: number;
  memoryMib: number;
  accelerators: number;
  /** Backend server on this VM, if it runs one. */
  executor?: Executor;
}

/** The backend server of a VM. */
export interface Executor {
  host: string;
  port: number;
  slots: number;
  connections: number;
}

/** Current pool of a VM; `id` is the id of the VM. */
export interface Assignment {
  id: string;
  pool: string;
  /**
   * Whether the VM was lent by the spare pool to restore an availability budget; the zone
   * controller returns it.
   */
  lentForBudget?: boolean;
}

/** Availability of a VM. */
export enum VmState {
  Up = 'up',
  Failed = 'failed',
  Leaving = 'leaving',
  Unreachable = 'unreachable',
}

/** Recorded availability; `id` is the id of the VM. A VM without this entity is Up. */
export interface VmStatus {
  id: string;
  state: VmState;
}

/** Progress of a planned stop. */
export enum StopState {
  Granted = 'granted',
  Draining = 'draining',
  Drained = 'drained',
  Stopping = 'stopping',
  Returning = 'returning',
}

/** Permit of a planned stop; `id` is the id of the VM. Deleted when the VM is back in service. */
export interface Stop {
  id: string;
  wave: string;
  state: StopState;
  /** Configuration version in which the stop entered the state Draining. */
  drainVersion?: number;
}

/** Progress of a move. */
export enum MoveState {
  /** Requested by an operator or the buffer policy; not yet started by the zone controller. */
  Requested = 'requested',
  Draining = 'draining',
  Drained = 'drained',
}

/** Move of a VM between pools; `id` is the id of the VM. Deleted once the assignment is written. */
export interface Move {
  id: string;
  from: string;
  to: string;
  state: MoveState;
  drainVersion?: number;
  /** Copied to the assignment when the move completes. */
  lentForBudget?: boolean;
}

/** State of a maintenance wave. */
export enum WaveState {
  Planned = 'planned',
  Running = 'running',
  Paused = 'paused',
  Finished = 'finished',
}

/** A maintenance wave. VMs are stopped batch by batch, in the order of `batches`. */
export interface Wave {
  id: string;
  state: WaveState;
  batches: string[][];
  /** Ids of the VMs whose stop was completed. */
  done: string[];
  /** Why the wave is paused. */
  reason?: string;
  /**
   * Whether the wave was paused by a zone controller, which resumes it once the availability
   * budgets are met again.
   */
  pausedByController?: boolean;
}

/** Id of the only entity of kind OperatorChange. */
export const LAST_OPERATOR_CHANGE = 'last';

/**
 * The latest change made by an operator. It is recorded because changes of operators conflict only
 * with changes of other operators, although the controllers commit versions in between.
 */
export interface OperatorChange {
  id: typeof LAST_OPERATOR_CHANGE;
  version: number;
  changeId: string;
  author: string;
}

/** Entity type of each kind. */
export interface EntityOfKind {
  [EntityKind.Service]: Service;
  [EntityKind.Pool]: Pool;
  [EntityKind.Team]: Team;
  [EntityKind.Vm]: Vm;
  [EntityKind.Assignment]: Assignment;
  [EntityKind.VmStatus]: VmStatus;
  [EntityKind.Stop]: Stop;
  [EntityKind.Move]: Move;
  [EntityKind.Wave]: Wave;
  [EntityKind.OperatorChange]: OperatorChange;
}

/** Insertion or replacement of one entity, or its deletion when `value` is absent. */
export type EntityChange = {
  [K in EntityKind]: { kind: K; id: string; value?: EntityOfKind[K] };
}[EntityKind];

/** A set of changes that is committed atomically. */
export interface ChangeSet {
  /**
   * Idempotency key chosen by the author: a change set committed twice under one id is applied
   * once.
   */
  changeId: string;
  author: string;
  changes: EntityChange[];
}

/** The change set of one committed version. */
export interface ConfigDelta extends ChangeSet {
  version: number;
}

/** The whole configuration at one version. */
export interface ConfigSnapshot {
  version: number;
  entities: { [K in EntityKind]: EntityOfKind[K][] };
}

/** Read access to the configuration in force on this process. */
export interface ConfigView {
  /** Version in force; 0 before the first version is adopted. */
  readonly version: number;
  get<K extends EntityKind>(kind: K, id: string): EntityOfKind[K] | undefined;
  list<K extends EntityKind>(kind: K): readonly EntityOfKind[K][];
  /** Current pool of a VM: the pool of its assignment, or its home pool if it has no assignment. */
  poolOf(vm: string): string | undefined;
  /** VMs whose current pool is the given one. */
  vmsOfPool(pool: string): readonly Vm[];
}

/** Identifies the table rows of a snapshot. */
export interface SnapshotRef {
  version: number;
  /** Number of rows, one for each part. */
  parts: number;
}

/** Value of the row `config/head`. */
export interface ConfigHead {
  version: number;
  /** Version of the latest snapshot; 0 if there is none. */
  snapshotVersion: number;
  /** Number of rows of the latest snapshot. */
  snapshotParts?: number;
  /** The previous snapshot, kept for processes that are still reading it. */
  formerSnapshot?: SnapshotRef;
  /** Head of the hash chain over all deltas, in hexadecimal. */
  hash: string;
}

/** Codes of {@link ConfigError}. */
export enum ConfigErrorCode {
  /** Another change was committed first; nothing was applied. */
  Conflict = 'conflict',
  /** The change would violate a rule or a reference; nothing was applied. */
  Invalid = 'invalid',
  /** The platform was unavailable; nothing was applied. */
  PlatformUnavailable = 'platform_unavailable',
  /** The change was sent, but its outcome could not be read back. Retry with the same change id. */
  OutcomeUnknown = 'outcome_unknown',
  /** An extra condition, such as a lease, was not met; nothing was applied. */
  ConditionFailed = 'condition_failed',
}

/** A configuration change failed. */
export class ConfigError extends BaseError<ConfigErrorCode> {
  /** For Conflict: the latest committed version and its author. */
  readonly winner?: { version: number; author: string };

  constructor(
    code: ConfigErrorCode,
    message: string,
    cause?: PlatformError,
    winner?: { version: number; author: string },
  ) {
    super(code, message, cause);
    this.winner = winner;
  }
}

/** Result of a successful commit. */
export interface Commit {
  version: number;
  /** Whether this change id had been committed before, so that nothing was applied again. */
  alreadyApplied: boolean;
}

/** The history of configuration versions in the platform table. */
export interface ConfigHistory {
  head(): PlatformResult<ConfigHead>;
  /**
   * Commits a change set as version `base + 1`.
   *
   * @param base - version on which the change set is based
   * @param extraConditions - further row conditions of the transaction, such as the controller
   * lease
   */
  commit(
    base: number,
    changeSet: ChangeSet,
    extraConditions?: Condition[],
  ): Promise<Result<Commit, ConfigError>>;
  /** Reads at most `limit` deltas that follow a version, in ascending order. */
  deltasAfter(version: number, limit: number): PlatformResult<ConfigDelta[]>;
  /** Builds the latest version from the latest snapshot and the deltas after it. */
  load(): PlatformResult<ConfigSnapshot>;
}
