import test from 'ava';
import fc from 'fast-check';
import { VmState } from '../batch/ports.js';
import type { ServiceLoad } from '../batch/serviceLoad.js';
import { withStepDefaults } from '../batch/jobCodec.js';
import type { JobSpec } from '../batch/types.js';
import { declaredMs } from '../runTimes/index.js';
import { createVirtualClock } from '../testing/index.js';
import {
  DemandForecast,
  ExpectedDemand,
  planMoves,
  WorkerEnvelope,
  type BalancedVm,
} from './index.js';

const PROPERTY_PARAMETERS = { numRuns: 300, seed: 20_261_205 };
const CPU = 64_000;

const load = (fields: Partial<ServiceLoad>): ServiceLoad => ({
  waitingCpu: 0,
  backlogCpu: 0,
  expectedCpu: 0,
  lastingCpu: 0,
  usedCpu: 0,
  capacityCpu: 0,
  workers: [],
  spreadNeed: 0,
  ...fields,
});

function createVms(pool: string, count: number): BalancedVm[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${pool}-${index}`,
    pool,
    state: VmState.Up,
    capacity: { cpuMillis: CPU, memoryMb: 1_024, accelerators: 0 },
    labels: [],
    emptyForMs: pool === 'spare' ? 5_000 : undefined,
  }));
}

test('one VM with an extreme capacity does not change how many VMs a service gets', (t) => {
  // Guards against pools that all shrink to their minimum because of one entry of the VM list.
  const services = [
    { name: 'a', isStandby: false, load: load({ waitingCpu: 1, usedCpu: 40 * CPU }), arriving: 0 },
    { name: 'spare', isStandby: true, arriving: 0 },
  ];
  const moves = (cpuMillis: number) => {
    const vms = [...createVms('a', 10), ...createVms('spare', 60)];
    const [first, ...others] = vms;
    if (!first) throw new Error('no VM');
    const capacity = { ...first.capacity, cpuMillis };
    return planMoves(services, [{ ...first, capacity }, ...others]).length;
  };
  const usual = moves(CPU);
  t.is(usual, 36);
  fc.assert(
    fc.property(fc.oneof(fc.constantFrom(0, 1, 1e9), fc.nat(1_000_000_000)), (cpuMillis) => {
      const change = moves(cpuMillis) / usual;
      return change > 0.85 && change < 1.15;
    }),
    PROPERTY_PARAMETERS,
  );
});

test('one job of extreme size changes the forecast by less than half', (t) => {
  // Guards against a service that takes all VMs because of one estimate.
  for (const work of [1e12, 1e300, Number.MAX_VALUE]) {
    const forecast = new DemandForecast();
    for (let job = 0; job < 80; job++) forecast.add('q', 1e6, job * 20);
    const usual = forecast.expectedCpu(1_600);
    forecast.add('q', work, 1_600);
    t.true(forecast.expectedCpu(1_600) < 1.6 * usual);
  }
});

const worker = {
  capacity: { cpuMillis: CPU, memoryMb: 1_024, accelerators: 0 },
};

const tasks: [title: string, step: object, mayRun: boolean][] = [
  ['fits', {}, true],
  ['needs more CPU than any worker has', { cpuMillis: CPU + 1 }, false],
  ['needs more memory than any worker has', { memoryMb: 1e9 }, false],
  ['needs an accelerator', { accelerators: 1 }, false],
  ['needs a label that only VMs that are switched off may have', { requiredLabel: 'b' }, true],
];

for (const [title, fields, mayRun] of tasks) {
  // Guards against VMs that are moved to a service for tasks that can run on none of them.
  test(`a task that ${title} ${mayRun ? 'counts' : 'does not count'} as demand`, (t) => {
    const envelope = new WorkerEnvelope([worker]);
    const step = withStepDefaults({ cpuMillis: 1_000, estimateMs: 500, ...fields });
    t.is(envelope.mayHold(step), mayRun);
    t.true(new WorkerEnvelope([]).mayHold(step));
    const demand = new ExpectedDemand({
      clock: createVirtualClock(),
      predictMs: declaredMs,
      envelope: () => envelope,
      isForecast: true,
    });
    const spec: JobSpec = {
      id: 'job',
      queue: 'q',
      payload: '',
      steps: [step],
      occurrences: 0,
      firstDueMs: 0,
      periodMs: 0,
      acceptedMs: 0,
    };
    for (let count = 0; count < 10; count++) demand.add(spec);
    t.is(demand.cpu() > 0, mayRun);
  });
}
