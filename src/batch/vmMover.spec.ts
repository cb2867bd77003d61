import test from 'ava';
import { Result } from 'true-myth';
import { createVirtualClock } from '../testing/index.js';
import { Counters } from './counters.js';
import { DecisionLog } from './decisionLog.js';
import type { FleetView } from './fleetView.js';
import type { HolderDirectory } from './holderDirectory.js';
import { NodeCallKind, type NodeCall } from './nodeCalls.js';
import { VmOrderAnswer, VmState, type ListedVm } from './ports.js';
import type { ServiceLoad } from './serviceLoad.js';
import type { VacateStatus } from './vacating.js';
import { VmMover } from './vmMover.js';

const CPU = 32_000;
const FROM = 'passes';
const TO = 'gates';
const VM = 'passes-0';

function vm(name: string, pool: string): ListedVm {
  const capacity = { cpuMillis: CPU, memoryMb: 65_536, accelerators: 0 };
  return { vm: name, pool, state: VmState.Up, capacity, labels: [], worker: `worker-${name}` };
}

function load(waitingCpu: number): ServiceLoad {
  const cpu = { usedCpu: 0, waitingCpu, backlogCpu: waitingCpu, expectedCpu: 0, lastingCpu: 0 };
  return { ...cpu, capacityCpu: 0, workers: [], spreadNeed: 0 };
}

/** A mover that plans to move {@link VM}, which is empty, and what it calls. */
function createMover() {
  const clock = createVirtualClock();
  const listed = new Map(
    [vm(VM, FROM), vm('passes-1', FROM), vm('passes-2', FROM)].map((each) => [each.vm, each]),
  );
  const calls: NodeCall[] = [];
  const orders: string[] = [];
  const state = {
    status: { isReady: false, runs: 1 } as VacateStatus,
    answer: VmOrderAnswer.Done,
    listedAt: 0,
  };
  const view = {
    byName: () => listed,
    get listedAt() {
      return state.listedAt;
    },
    listAgeMs: () => clock.now() - state.listedAt,
    isComplete: true,
    runsOn: ({ vm: name }: ListedVm) => (name === VM ? 0 : 1),
    movableRunsOn: () => undefined,
    load: (service: string) => load(service === TO ? CPU / 2 : 0),
  };
  const holders = {
    call: (call: NodeCall) => {
      calls.push(call);
      return Promise.resolve(Result.ok({ isHolder: true, vacating: state.status }));
    },
  };
  const mover = new VmMover({
    epoch: 1,
    vms: {
      list: () => Promise.resolve(Result.ok({ vms: [], unreadableCount: 0 })),
      upkeep: () => Promise.resolve(VmOrderAnswer.Refused),
      move: ({ vm: name }) => {
        orders.push(name);
        return Promise.resolve(state.answer);
      },
    },
    view: view as unknown as FleetView,
    holders: holders as unknown as HolderDirectory,
    clock,
    log: new DecisionLog({ write: () => true }, clock),
    counters: new Counters(),
    services: () =>
      [FROM, TO].map((name) => ({ name, hasAdmissionControl: true, isStandby: false })),
    relocatesRuns: false,
    canStart: () => true,
  });
  return { mover, clock, listed, calls, orders, state };
}

// Guards against a move whose order got no answer and that then ends the tasks that were placed meanwhile.
test('a move empties its VM again before it repeats an order that got no answer', async (t) => {
  const { mover, clock, orders, state } = createMover();
  state.answer = VmOrderAnswer.NoAnswer;
  state.status = { isReady: true, runs: 0 };
  await mover.round(new Set());
  t.deepEqual(orders, [VM]);
  state.status = { isReady: true, runs: 1 };
  await clock.advance(120);
  await mover.round(new Set());
  t.deepEqual(orders, [VM]);
  state.status = { isReady: true, runs: 0 };
  await mover.round(new Set());
  t.true(orders.length > 1);
});

// Guards against a move that ends the tasks of a worker that has taken the place of the empty one.
test('a move empties the worker that has replaced the one of its plan', async (t) => {
  const { mover, clock, listed, calls, orders, state } = createMover();
  const askedWorkers = () =>
    calls.flatMap((call) => (call.kind === NodeCallKind.Vacate ? [call.worker] : []));
  await mover.round(new Set());
  t.deepEqual([...new Set(askedWorkers())], [`worker-${VM}`]);
  listed.set(VM, { ...vm(VM, FROM), worker: 'replacement' });
  calls.length = 0;
  await clock.advance(120);
  await mover.round(new Set());
  t.deepEqual([...new Set(askedWorkers())], ['replacement']);
  t.deepEqual(orders, []);
  state.status = { isReady: true, runs: 0 };
  await clock.advance(120);
  await mover.round(new Set());
  t.deepEqual(orders, [VM]);
  state.listedAt = clock.now() + 1;
  listed.delete(VM);
  const ended = calls.length;
  await mover.round(new Set());
  t.true(calls.slice(ended).every(({ kind }) => kind !== NodeCallKind.Readmit));
});
