import { slotsOf } from '../controller/index.js';
import type { Vm } from '../configuration/index.js';
import { minBufferVms } from './buffer.js';
import { costOf, savingOf, type MoveEstimate } from './costs.js';
import { CapacityPolicyId } from './defaults.js';
import { borrowers, bufferGrowth, lendableVms, lentVms, slotsArriving } from './lenders.js';
import {
  MoveReason,
  MoveRefusal,
  type BufferSize,
  type CapacityDecision,
  type CapacityInput,
  type CapacityPolicy,
  type ConsumeBudget,
  type PoolLoad,
} from './types.js';

/** The same buffer for each pool, by default one rack, regardless of where its VMs are. */
const fixedBufferSize: BufferSize = ({ settings }) => settings.fixedBufferVms;

const largestRackSize: BufferSize = ({ view, silentZones }, pool) =>
  minBufferVms(view, pool, silentZones);

function emptyDecision(): CapacityDecision {
  return { moves: [], refusals: [] };
}

/** Slots by which the waiting work exceeds the free and the arriving slots of a pool. */
function slotShortage(load: PoolLoad, arriving: number): number {
  return load.queued - load.freeSlots - arriving;
}

/** Lends a VM to each pool that is short of slots, and returns it once its slots are not needed. */
function moveOnRise(input: CapacityInput, consumeBudget: ConsumeBudget): CapacityDecision {
  const { view, loads } = input;
  const decision = emptyDecision();
  const lenders = lendableVms(input);
  for (const pool of borrowers(view)) {
    const load = loads.get(pool.id);
    if (!load || slotShortage(load, slotsArriving(view, pool.id)) <= 0) continue;
    const vm = takeFirstAllowed(lenders, consumeBudget, decision);
    if (vm) addMove(input, decision, vm, pool.id, MoveReason.Rise);
  }
  for (const vm of lentVms(input)) {
    const load = loads.get(view.poolOf(vm.id) ?? '');
    if (load?.queued === 0 && load.freeSlots >= slotsOf(vm))
      returnVm(input, consumeBudget, decision, vm);
  }
  return decision;
}

function takeFirstAllowed(
  lenders: Vm[],
  consumeBudget: ConsumeBudget,
  decision: CapacityDecision,
): Vm | undefined {
  for (let vm = lenders.shift(); vm; vm = lenders.shift()) {
    if (!consumeBudget(vm)) return vm;
    decision.refusals.push(MoveRefusal.Budget);
  }
  decision.refusals.push(MoveRefusal.NoLender);
  return undefined;
}

/**
 * Lends a VM when the waiting that it is expected to save outweighs the cost of the move, and
 * returns it after it has been unneeded for the hysteresis time.
 */
function moveByCost(input: CapacityInput, consumeBudget: ConsumeBudget): CapacityDecision {
  const decision = emptyDecision();
  for (const vm of lentVms(input)) {
    if (input.history.unneededForMs(vm.id, input.now) < input.settings.hysteresisMs) continue;
    if (isCoolingDown(input, vm)) decision.refusals.push(MoveRefusal.Hysteresis);
    else returnVm(input, consumeBudget, decision, vm);
  }
  const moving = new Set<string>();
  const waiting = borrowers(input.view)
    .filter(({ id }) => input.history.marginalGain(id) > 0)
    .sort((a, b) => input.history.marginalGain(b.id) - input.history.marginalGain(a.id));
  for (const { id } of waiting) {
    if (!input.loads.has(id)) decision.refusals.push(MoveRefusal.NoLoad);
    else lendByCost(input, consumeBudget, decision, id, moving);
  }
  return decision;
}

function lendByCost(
  input: CapacityInput,
  consumeBudget: ConsumeBudget,
  decision: CapacityDecision,
  to: string,
  moving: Set<string>,
): void {
  const candidates = lendableVms(input)
    .filter(({ id }) => !moving.has(id))
    .map((vm) => ({ vm, estimate: estimateOf(input, vm, to) }))
    .sort((a, b) => netSavingOf(input, b.estimate) - netSavingOf(input, a.estimate));
  if (candidates.length === 0) decision.refusals.push(MoveRefusal.NoLender);
  for (const { vm, estimate } of candidates) {
    const refusal = findLendingRefusal(input, consumeBudget, vm, estimate);
    if (!refusal) {
      moving.add(vm.id);
      addMove(input, decision, vm, to, MoveReason.Saving);
      return;
    }
    decision.refusals.push(refusal);
    if (refusal === MoveRefusal.NotWorthCost) return;
  }
}

function findLendingRefusal(
  input: CapacityInput,
  consumeBudget: ConsumeBudget,
  vm: Vm,
  estimate: MoveEstimate,
): MoveRefusal | undefined {
  if (netSavingOf(input, estimate) <= 0) return MoveRefusal.NotWorthCost;
  if (isCoolingDown(input, vm)) return MoveRefusal.Hysteresis;
  return consumeBudget(vm) ? MoveRefusal.Budget : undefined;
}

function estimateOf({ view, history }: CapacityInput, vm: Vm, to: string): MoveEstimate {
  const slots = slotsOf(vm);
  // VMs that are already moving to the pool are expected to serve its waiting work.
  const hasIncomingVms = slotsArriving(view, to) > 0;
  const gain = hasIncomingVms ? 0 : history.marginalGain(to);
  const benefit = gain - history.marginalUse(vm.pool);
  // Counting racks is expensive, and without a benefit the result does not change the decision.
  return { slots, benefit, bufferGrowth: benefit > 0 ? bufferGrowth(view, vm, to) : 0 };
}

function netSavingOf({ settings }: CapacityInput, estimate: MoveEstimate): number {
  return savingOf(estimate, settings) - costOf(estimate, settings);
}

function isCoolingDown({ history, now, settings }: CapacityInput, vm: Vm): boolean {
  return history.movedWithin(vm.id, now, settings.hysteresisMs);
}

function returnVm(
  input: CapacityInput,
  consumeBudget: ConsumeBudget,
  decision: CapacityDecision,
  vm: Vm,
): void {
  if (consumeBudget(vm)) decision.refusals.push(MoveRefusal.Budget);
  else addMove(input, decision, vm, vm.pool, MoveReason.Return);
}

function addMove(
  { view, settings }: CapacityInput,
  { moves, refusals }: CapacityDecision,
  vm: Vm,
  to: string,
  reason: MoveReason,
): void {
  const from = view.poolOf(vm.id) ?? vm.pool;
  if (moves.length >= settings.maxMovesPerRound) refusals.push(MoveRefusal.RoundLimit);
  else moves.push({ vm: vm.id, from, to, reason });
}

/** Capacity policies by id. */
export const capacityPolicies: Record<CapacityPolicyId, CapacityPolicy> = {
  [CapacityPolicyId.NeverMove]: {
    id: CapacityPolicyId.NeverMove,
    text: 'requests no moves; keeps a fixed buffer in each pool',
    bufferVms: fixedBufferSize,
    decide: emptyDecision,
  },
  [CapacityPolicyId.MoveOnRise]: {
    id: CapacityPolicyId.MoveOnRise,
    text: 'moves a VM on each rise in demand and back on each fall; baseline for comparison',
    bufferVms: fixedBufferSize,
    decide: moveOnRise,
  },
  [CapacityPolicyId.CostBased]: {
    id: CapacityPolicyId.CostBased,
    text: 'moves a VM when the waiting that it saves outweighs the cost of the move',
    bufferVms: largestRackSize,
    decide: moveByCost,
  },
};
