import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import type { Condition, PlatformError, PlatformResult } from '../platform/types.js';

/** Kinds of entities in the versioned configuration. */
export enum EntityKind {
  Service = 'service',
  Pool = 'pool',
  Team = 'team',
  Vm = 'vm',
  /** System-owned: current pool of a VM. */
  Assignment = 'assignment',
  /** System-owned: availability of a VM as recorded by its zone controller. */
  VmStatus = 'vmStatus',
  /** System-owned: permit and progress of a planned stop. */
  Stop = 'stop',
  /** System-owned: move of a VM between pools. */
  Move = 'move',
  /** System-owned: a maintenance wave. */
  Wave = 'wave',
  /** System-owned: the newest change made by an operator; a single entity. */
  OperatorChange = 'operatorChange',
}

/** A service that callers address. */
export interface Service {
  id: string;
  pool: string;
  /** Most requests waiting for this service on one entry process. */
  maxQueued: number;
  /** Whether requests may be forwarded to other zones. */
  spill: boolean;
  /** Availability budget: least slots in service over all zones. */
  minAvailableSlots: number;
}

/** A group of VMs with the rules for taking them away. Counts are VMs. */
export interface Pool {
  id: string;
  minAvailable: number;
  maxAway: number;
  maxAwayPerRack: number;
  maxAwayPerZone: number;
  /** Whether this pool lends VMs to others. */
  isSpare: boolean;
  /** Whether this pool may borrow VMs from the spare pool. */
  mayBorrow: boolean;
}

/** A customer team with its quotas, per entry process. */
export interface Team {
  id: string;
  /** Share in fair queueing. */
  weight: number;
  maxQueued: number;
  maxRunning: number;
  /** Urgent requests running at once; more are treated as normal. */
  maxUrgent: number;
  /** Open jobs at once over the whole fleet. */
  maxJobs: number;
}

/** A VM of the fleet as listed in the inventory. */
export interface Vm {
  id: string;
  zone: string;
  rack: string;
  /** Home pool; the current pool is the VM's assignment. */
  pool: string;
  cores: number;
  memoryMib: number;
  accelerators: number;
  /** Executor on this VM, if it runs one. */
  executor?: Executor;
}

/** The backend server of a VM. */
export interface Executor {
  host: string;
  port: number;
  slots: number;
  connections: number;
}

/** Current pool of a VM; `id` is the VM's id. */
export interface Assignment {
  id: string;
  pool: string;
  /** The VM was lent by the spare pool to restore a budget; the zone controller sends it home. */
  lentForBudget?: boolean;
}

/** Availability of a VM. */
export enum VmState {
  Up = 'up',
  Failed = 'failed',
  Leaving = 'leaving',
  Unreachable = 'unreachable',
}

/** Recorded availability; `id` is the VM's id. A VM without this entity is Up. */
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

/** Permit of a planned stop; `id` is the VM's id. Deleted when the VM is back in service. */
export interface Stop {
  id: string;
  wave: string;
  state: StopState;
  /** Configuration version at which the state Draining was entered. */
  drainVersion?: number;
}

/** Progress of a move. */
export enum MoveState {
  /** Asked for by an operator or the buffer policy; not yet started by the controller. */
  Requested = 'requested',
  Draining = 'draining',
  Drained = 'drained',
}

/** Move of a VM between pools; `id` is the VM's id. Deleted when the assignment was written. */
export interface Move {
  id: string;
  from: string;
  to: string;
  state: MoveState;
  drainVersion?: number;
  /** Passed on to the assignment. */
  lentForBudget?: boolean;
}

/** State of a maintenance wave. */
export enum WaveState {
  Planned = 'planned',
  Running = 'running',
  Paused = 'paused',
  Finished = 'finished',
}

/** A maintenance wave. VMs are stopped in the order of `batches`. */
export interface Wave {
  id: string;
  state: WaveState;
  batches: string[][];
  /** VMs whose stop was completed. */
  done: string[];
  /** Why the wave is paused. */
  reason?: string;
  /** The wave was paused by a zone controller, which resumes it when the budgets hold again. */
  pausedByController?: boolean;
}

/** Id of the only entity of kind OperatorChange. */
export const LAST_OPERATOR_CHANGE = 'last';

/**
 * The newest change made by an operator. Operators conflict only with each other, although the
 * controllers commit versions in between.
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

/** Insert or replacement of one entity, or its deletion when `value` is absent. */
export type EntityChange = {
  [K in EntityKind]: { kind: K; id: string; value?: EntityOfKind[K] };
}[EntityKind];

/** A set of changes that is committed whole or not at all. */
export interface ChangeSet {
  /** Chosen by the author; committing the same id twice applies it once. */
  changeId: string;
  author: string;
  changes: EntityChange[];
}

/** One committed version. */
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
  /** Version in force; 0 before the first one was adopted. */
  readonly version: number;
  get<K extends EntityKind>(kind: K, id: string): EntityOfKind[K] | undefined;
  list<K extends EntityKind>(kind: K): readonly EntityOfKind[K][];
  /** Current pool of a VM: its assignment, or its home pool if it was never moved. */
  poolOf(vm: string): string | undefined;
  /** VMs currently assigned to a pool. */
  vmsOfPool(pool: string): readonly Vm[];
}

/** Where the rows of a snapshot are. */
export interface SnapshotRef {
  version: number;
  /** Number of rows. */
  parts: number;
}

/** Value of the row `config/head`. */
export interface ConfigHead {
  version: number;
  /** Newest version with a snapshot row. */
  snapshotVersion: number;
  /** Number of its rows. */
  snapshotParts?: number;
  /** The snapshot before it, kept for processes that are still reading it. */
  formerSnapshot?: SnapshotRef;
  /** Hash chain over all deltas, hex. */
  hash: string;
}

/** Codes of {@link ConfigError}. */
export enum ConfigErrorCode {
  /** Another change was committed first; nothing was applied. */
  Conflict = 'conflict',
  /** The change would break a rule or reference; nothing was applied. */
  Invalid = 'invalid',
  /** The platform could not be used; nothing was applied. */
  PlatformUnavailable = 'platform_unavailable',
  /** The change was sent and its outcome could not be read back. Commit the same change id again. */
  OutcomeUnknown = 'outcome_unknown',
  /** An extra condition, such as a lease, did not hold; nothing was applied. */
  ConditionFailed = 'condition_failed',
}

/** A configuration change failed. */
export class ConfigError extends BaseError<ConfigErrorCode> {
  /** For Conflict: the version that is in force on the platform and its author. */
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
  /** True when this change id had been committed before; nothing was applied again. */
  alreadyApplied: boolean;
}

/** The versioned history in the platform's table. */
export interface ConfigHistory {
  head(): PlatformResult<ConfigHead>;
  /**
   * Commits a change set as version `base + 1`.
   *
   * @param base - version that the change was decided against
   * @param extraConditions - further row conditions of the same transaction, such as the controller lease
   */
  commit(
    base: number,
    changeSet: ChangeSet,
    extraConditions?: Condition[],
  ): Promise<Result<Commit, ConfigError>>;
  /** Reads the deltas after a version, in order, at most `limit` of them. */
  deltasAfter(version: number, limit: number): PlatformResult<ConfigDelta[]>;
  /** Reads the newest snapshot and the deltas after it. */
  load(): PlatformResult<ConfigSnapshot>;
}
