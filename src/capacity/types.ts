import type { ConfigView, EntityChange, Vm } from '../configuration/index.js';
import type { BudgetError } from '../controller/index.js';
import type { CapacityPolicyId, CapacitySettings } from './defaults.js';
import type { DemandHistory } from './demandHistory.js';

/** Load of one pool, summed over all entry processes. */
export interface PoolLoad {
  pool: string;
  /** Slots of the executors that accept work. */
  slots: number;
  freeSlots: number;
  /** Requests waiting for a slot. */
  queued: number;
}

/** Reason for which a move is requested. */
export enum MoveReason {
  /** The pool currently has more work than slots. */
  Rise = 'rise',
  /** The waiting that the move is expected to save outweighs the cost of the move. */
  Saving = 'saving',
  /** A lent VM is no longer needed and returns to its home pool. */
  Return = 'send_home',
}

/** Reason for which a policy considered a move but did not request it. */
export enum MoveRefusal {
  /** The budget of the pool that would give up the VM, less its buffer, does not allow it. */
  Budget = 'budget',
  /** The VM moved, or had a pending move, within the hysteresis time. */
  Hysteresis = 'hysteresis',
  /** The cost of the move is not less than the waiting that it is expected to save. */
  NotWorthCost = 'not_worth_cost',
  /** No spare pool has a VM in the zone that can be lent. */
  NoLender = 'no_lender',
  /** The load of the pool is unknown because no entry process reports it. */
  NoLoad = 'no_load',
  /** The round has already requested `maxMovesPerRound` moves. */
  RoundLimit = 'round_limit',
}

/** A move requested by a policy. */
export interface MoveRequest {
  vm: string;
  from: string;
  to: string;
  reason: MoveReason;
}

/** Outcome of one round of a policy. */
export interface CapacityDecision {
  moves: MoveRequest[];
  refusals: MoveRefusal[];
}

/** Input of a policy decision; valid within one synchronous step. */
export interface CapacityInput {
  /** Monotonic time in milliseconds. */
  now: number;
  view: ConfigView;
  /** Availability zone whose VMs may be moved. */
  zone: string;
  /** Load by pool; pools without a load report are missing. */
  loads: ReadonlyMap<string, PoolLoad>;
  history: DemandHistory;
  /** Zones whose controller has been silent for too long; their VMs count as away. */
  silentZones: ReadonlySet<string>;
  settings: CapacitySettings;
}

/**
 * Charges the move of a VM to the budget of its pool, within one decision.
 *
 * @returns the error when the budget does not allow the move; nothing is charged then
 */
export type ConsumeBudget = (vm: Vm) => BudgetError | undefined;

/**
 * Computes the buffer of a pool: the number of VMs that its limits would allow to be away, but that
 * moves must leave in service.
 */
export type BufferSize = (
  input: Pick<CapacityInput, 'view' | 'silentZones' | 'settings'>,
  pool: string,
) => number;

/** A capacity policy: stateless functions that size the buffer of each pool and decide on moves. */
export interface CapacityPolicy {
  id: CapacityPolicyId;
  /** Short description of the policy. */
  text: string;
  bufferVms: BufferSize;
  decide: (input: CapacityInput, consumeBudget: ConsumeBudget) => CapacityDecision;
}

/**
 * Commits the changes that `decide` returns for the newest version of the configuration. `decide`
 * is called again when another change was committed first.
 *
 * @returns whether changes were committed
 */
export type CommitMoves = (decide: (view: ConfigView) => EntityChange[]) => Promise<boolean>;
