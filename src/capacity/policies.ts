import { slotsOf } from '../controller/index.js';
import type { Vm } from '../configuration/index.js';
import { minBufferVms } from './buffer.js';
import { costOf, savingOf, type MoveEstimate } from './costs.js';
import { CapacityPolicyId } from './defaults.js';
import { borrowers, bufferGrowth, lendableVms, lentVms, slotsArriving } from './lenders.js';
import {
  MoveReason,
  MoveRefusal,
  type CapacityDecision,
  type CapacityInput,
  type CapacityPolicy,
  type BufferSize,
  type PoolLoad,
  type ConsumeBudget,
} from './types.js';

/** One rack in each pool, wherever its VMs are. */
const fixedBuffer: BufferSize = ({ settings }) => settings.fixedBufferVms;

const rackBuffer: BufferSize = ({ view, silentZones }, pool) =>
  minBufferVms(view, pool, silentZones);

function nothing(): CapacityDecision {
  return { moves: [], refusals: [] };
}

/** Slots by which the work at hand exceeds the slots of a pool and those on their way to it. */
function shortOf(load: PoolLoad, arriving: number): number {
  return load.queued - load.freeSlots - arriving;
}

/** Lends a VM to each pool that has work waiting, and sends it home when the work has gone. */
function moveOnRise(input: CapacityInput, take: ConsumeBudget): CapacityDecision {
  const { view, loads } = input;
  const decision = nothing();
  const lenders = lendableVms(input);
  for (const pool of borrowers(view)) {
    const load = loads.get(pool.id);
    if (!load || shortOf(load, slotsArriving(view, pool.id)) <= 0) continue;
    const vm = takeFirst(lenders, take, decision);
    if (vm) addMove(input, decision, vm, pool.id, MoveReason.Rise);
  }
  for (const vm of lentVms(input)) {
    const load = loads.get(view.poolOf(vm.id) ?? '');
    if (load?.queued === 0 && load.freeSlots >= slotsOf(vm)) sendHome(input, take, decision, vm);
  }
  return decision;
}

function takeFirst(lenders: Vm[], take: ConsumeBudget, decision: CapacityDecision): Vm | undefined {
  for (let vm = lenders.shift(); vm; vm = lenders.shift()) {
    if (!take(vm)) return vm;
    decision.refusals.push(MoveRefusal.Budget);
  }
  decision.refusals.push(MoveRefusal.NoLender);
  return undefined;
}

/**
 * Lends a VM when the waiting that it is expected to save outweighs what the move costs, and sends
 * it home after it has been unneeded for the hysteresis time.
 */
function moveByCost(input: CapacityInput, take: ConsumeBudget): CapacityDecision {
  const decision = nothing();
  for (const vm of lentVms(input)) {
    if (input.history.unneededForMs(vm.id, input.now) < input.settings.hysteresisMs) continue;
    if (isCoolingDown(input, vm)) decision.refusals.push(MoveRefusal.Hysteresis);
    else sendHome(input, take, decision, vm);
  }
  const moving = new Set<string>();
  const waiting = borrowers(input.view)
    .filter(({ id }) => input.history.marginalGain(id) > 0)
    .sort((a, b) => input.history.marginalGain(b.id) - input.history.marginalGain(a.id));
  for (const { id } of waiting) {
    if (!input.loads.has(id)) decision.refusals.push(MoveRefusal.NoLoad);
    else lendByCost(input, take, decision, id, moving);
  }
  return decision;
}

function lendByCost(
  input: CapacityInput,
  take: ConsumeBudget,
  decision: CapacityDecision,
  to: string,
  moving: Set<string>,
): void {
  const candidates = lendableVms(input)
    .filter(({ id }) => !moving.has(id))
    .map((vm) => ({ vm, estimate: estimateOf(input, vm, to) }))
    .sort((a, b) => netOf(input, b.estimate) - netOf(input, a.estimate));
  if (candidates.length === 0) decision.refusals.push(MoveRefusal.NoLender);
  for (const { vm, estimate } of candidates) {
    const refusal = whyNotLend(input, take, vm, estimate);
    if (!refusal) {
      moving.add(vm.id);
      addMove(input, decision, vm, to, MoveReason.Saving);
      return;
    }
    decision.refusals.push(refusal);
    if (refusal === MoveRefusal.NotWorthCost) return;
  }
}

function whyNotLend(
  input: CapacityInput,
  take: ConsumeBudget,
  vm: Vm,
  estimate: MoveEstimate,
): MoveRefusal | undefined {
  if (netOf(input, estimate) <= 0) return MoveRefusal.NotWorthCost;
  if (isCoolingDown(input, vm)) return MoveRefusal.Hysteresis;
  return take(vm) ? MoveRefusal.Budget : undefined;
}

function estimateOf({ view, history }: CapacityInput, vm: Vm, to: string): MoveEstimate {
  const slots = slotsOf(vm);
  // VMs on their way take their share of the waiting before this one.
  const isAnswered = slotsArriving(view, to) > 0;
  const gain = isAnswered ? 0 : history.marginalGain(to);
  const benefit = gain - history.marginalUse(vm.pool);
  // Counting racks is the costly part, and without a benefit its result changes nothing.
  return { slots, benefit, bufferGrowth: benefit > 0 ? bufferGrowth(view, vm, to) : 0 };
}

function netOf({ settings }: CapacityInput, estimate: MoveEstimate): number {
  return savingOf(estimate, settings) - costOf(estimate, settings);
}

function isCoolingDown({ history, now, settings }: CapacityInput, vm: Vm): boolean {
  return history.movedWithin(vm.id, now, settings.hysteresisMs);
}

function sendHome(
  input: CapacityInput,
  take: ConsumeBudget,
  decision: CapacityDecision,
  vm: Vm,
): void {
  if (take(vm)) decision.refusals.push(MoveRefusal.Budget);
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

/** Buffer and move policies by id. */
export const capacityPolicies: Record<CapacityPolicyId, CapacityPolicy> = {
  [CapacityPolicyId.NeverMove]: {
    id: CapacityPolicyId.NeverMove,
    text: 'requests no moves; holds back a fixed rack in each pool',
    bufferVms: fixedBuffer,
    decide: nothing,
  },
  [CapacityPolicyId.MoveOnRise]: {
    id: CapacityPolicyId.MoveOnRise,
    text: 'moves a VM at each rise of demand and back at each fall; for comparison',
    bufferVms: fixedBuffer,
    decide: moveOnRise,
  },
  [CapacityPolicyId.CostBased]: {
    id: CapacityPolicyId.CostBased,
    text: 'moves a VM when the waiting that it saves outweighs the cost of the move',
    bufferVms: rackBuffer,
    decide: moveByCost,
  },
};
