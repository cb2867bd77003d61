import type { ConfigView, EntityChange, Vm } from '../configuration/index.js';
import type { BudgetError } from '../controller/index.js';
import type { CapacityPolicyId, CapacitySettings } from './defaults.js';
import type { DemandHistory } from './demandHistory.js';

/** Load of one pool over all entry processes. */
export interface PoolLoad {
  pool: string;
  /** Slots of the executors that take work. */
  slots: number;
  freeSlots: number;
  /** Requests that wait for a slot. */
  queued: number;
}

/** Why a move is requested. */
export enum MoveReason {
  /** The pool has more work than slots at this moment. */
  Rise = 'rise',
  /** The waiting that the move saves is worth more than the move costs. */
  Saving = 'saving',
  /** A lent VM is no longer needed. */
  Return = 'send_home',
}

/** Why a move that a policy considered is not requested. */
export enum MoveRefusal {
  /** A rule of the lending pool, with its buffer held back, does not allow it. */
  Budget = 'budget',
  /** The VM moved, or was to move, less than the hysteresis time ago. */
  Hysteresis = 'hysteresis',
  /** The move costs more than the waiting that it saves. */
  NotWorthCost = 'not_worth_cost',
  /** No spare pool has a VM in the zone that could go. */
  NoLender = 'no_lender',
  /** The load is not known, since no entry process reports it. */
  NoLoad = 'no_load',
  /** The round has requested as many moves as the settings allow. */
  RoundLimit = 'round_limit',
}

/** A move that a policy asks for. */
export interface MoveRequest {
  vm: string;
  from: string;
  to: string;
  reason: MoveReason;
}

/** What a policy decided in one round. */
export interface CapacityDecision {
  moves: MoveRequest[];
  refusals: MoveRefusal[];
}

/** What a policy looks at; valid within one synchronous step. */
export interface CapacityInput {
  /** Monotonic time in milliseconds. */
  now: number;
  view: ConfigView;
  /** Only VMs of this zone are moved. */
  zone: string;
  /** Load by pool; pools without a report are missing. */
  loads: ReadonlyMap<string, PoolLoad>;
  history: DemandHistory;
  /** Zones whose VMs count as away. */
  silentZones: ReadonlySet<string>;
  settings: CapacitySettings;
}

/** Takes a VM out of its pool within one decision, if the pool can miss it. */
export type ConsumeBudget = (vm: Vm) => BudgetError | undefined;

/** VMs of a pool that are kept unused of its limits. */
export type BufferSize = (
  input: Pick<CapacityInput, 'view' | 'silentZones' | 'settings'>,
  pool: string,
) => number;

/** A buffer and move policy, made of functions without state. */
export interface CapacityPolicy {
  id: CapacityPolicyId;
  /** Meaning of the policy, for lists. */
  text: string;
  bufferVms: BufferSize;
  decide: (input: CapacityInput, take: ConsumeBudget) => CapacityDecision;
}

/**
 * Commits what `decide` returns for the newest version of the configuration. `decide` is called
 * again when another change was committed first.
 *
 * @returns whether changes were committed
 */
export type CommitMoves = (decide: (view: ConfigView) => EntityChange[]) => Promise<boolean>;
