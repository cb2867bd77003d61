import test from 'ava';
import { planMoves, wantedWorkers, type BalancedService, type BalancedVm } from './balance.js';
import { VmState } from '../batch/ports.js';
import type { ServiceLoad } from '../batch/serviceLoad.js';

const CPU = 64_000;

function load(fields: Partial<ServiceLoad>): ServiceLoad {
  const { waitingCpu = 0 } = fields;
  const cpu = { waitingCpu, backlogCpu: waitingCpu, expectedCpu: 0, lastingCpu: 0, usedCpu: 0 };
  return { ...cpu, capacityCpu: 6 * CPU, workers: [], spreadNeed: 0, ...fields };
}

function service(name: string, fields?: Partial<ServiceLoad>, arriving = 0): BalancedService {
  return { name, isStandby: false, load: fields && load(fields), arriving };
}

const standby: BalancedService = { name: 'portal', isStandby: true, arriving: 0 };

function pool(name: string, count: number, emptyForMs?: number): BalancedVm[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${name}-${index}`,
    pool: name,
    state: VmState.Up,
    capacity: { cpuMillis: CPU, memoryMb: 262_144, accelerators: 0 },
    labels: [],
    worker: name === 'portal' ? undefined : `worker-${name}-${index}`,
    emptyForMs,
  }));
}

/** VMs of a pool of which the last `count` are in another state. */
function withState(vms: BalancedVm[], count: number, state: VmState): BalancedVm[] {
  return vms.map((vm, index) => (index < vms.length - count ? vm : { ...vm, state }));
}

interface Case {
  title: string;
  services: BalancedService[];
  vms: BalancedVm[];
  /** Expected moves as `from>to`. */
  expected: string[];
}

const cases: Case[] = [
  {
    title: 'a service with waiting tasks receives VMs from the standby pool',
    services: [service('motions', { usedCpu: 6 * CPU, waitingCpu: 2 * CPU }), standby],
    vms: [...pool('motions', 6), ...pool('portal', 6, 0)],
    expected: ['portal>motions', 'portal>motions', 'portal>motions', 'portal>motions'],
  },
  {
    title: 'without standby VMs, empty VMs of an idle service go to one with waiting tasks',
    services: [
      service('motions', { usedCpu: 2 * CPU, waitingCpu: CPU }),
      service('standings', { usedCpu: 0 }),
      standby,
    ],
    vms: [...pool('motions', 2), ...pool('standings', 5, 500)],
    expected: ['standings>motions', 'standings>motions'],
  },
  {
    title: 'a service receives VMs for its arrival rate before a backlog builds up',
    services: [
      service('motions', { usedCpu: CPU, lastingCpu: CPU, expectedCpu: 6 * CPU }),
      standby,
    ],
    vms: [...pool('motions', 6), ...pool('portal', 6, 0)],
    expected: ['portal>motions', 'portal>motions', 'portal>motions'],
  },
  {
    title: 'VMs that are being moved to a service count as its own',
    services: [service('motions', { usedCpu: 6 * CPU, waitingCpu: 2 * CPU }, 4), standby],
    vms: [...pool('motions', 6), ...pool('portal', 6, 0)],
    expected: [],
  },
  {
    title: 'VMs that have been empty for long enough go to the standby pool',
    services: [service('motions', { usedCpu: CPU, spreadNeed: 3 }), standby],
    vms: [...pool('motions', 3), ...pool('motions', 5, 3_000).slice(3)],
    expected: ['motions>portal', 'motions>portal'],
  },
  {
    title: 'a VM that has only just become empty stays in its pool',
    services: [service('motions', { usedCpu: CPU }), standby],
    vms: [...pool('motions', 2), ...pool('motions', 4, 400).slice(2)],
    expected: [],
  },
  {
    title: 'a service whose holder does not respond neither gives nor receives VMs',
    services: [
      service('motions', { usedCpu: 6 * CPU, waitingCpu: 2 * CPU }),
      service('standings'),
      standby,
    ],
    vms: [...pool('motions', 6), ...pool('standings', 6, 9_000)],
    expected: [],
  },
  {
    // Guards against tasks that wait for as long as a lost VM is listed in the pool.
    title: 'VMs that are down are replaced in a service with waiting tasks',
    services: [service('motions', { usedCpu: 4 * CPU, waitingCpu: CPU }), standby],
    vms: [...withState(pool('motions', 6), 2, VmState.Down), ...pool('portal', 6, 0)],
    expected: ['portal>motions', 'portal>motions'],
  },
  {
    // Guards against giving up workers that a service needs because other VMs of it are down.
    title: 'empty VMs stay in a pool that has just enough VMs which are not down',
    services: [service('motions', { usedCpu: CPU, spreadNeed: 4 }), standby],
    vms: withState(pool('motions', 6, 3_000), 2, VmState.Down),
    expected: [],
  },
  {
    title: 'VMs that return from maintenance or arrive by an earlier move are not replaced',
    services: [service('motions', { usedCpu: 4 * CPU, waitingCpu: CPU }), standby],
    vms: [
      ...withState(pool('motions', 5), 1, VmState.Upkeep),
      ...withState(pool('motions', 1), 1, VmState.Moving),
      ...pool('portal', 6, 0),
    ],
    expected: [],
  },
  {
    title: 'a service receives the workers over which a long-running step has to spread',
    services: [service('motions', { usedCpu: CPU, waitingCpu: CPU, spreadNeed: 8 }), standby],
    vms: [...pool('motions', 6), ...pool('portal', 6, 0)],
    expected: ['portal>motions', 'portal>motions'],
  },
];

for (const { title, services, vms, expected } of cases) {
  test(title, (t) => {
    const moves = planMoves(services, vms).map(({ from, to }) => `${from}>${to}`);
    t.deepEqual(moves, expected);
  });
}

test('no VM is moved twice in one plan', (t) => {
  const services = [
    service('motions', { usedCpu: 6 * CPU, waitingCpu: 9 * CPU }),
    service('tabroom', { usedCpu: 6 * CPU, waitingCpu: 9 * CPU }),
    service('standings', { usedCpu: 0 }),
    standby,
  ];
  const vms = [
    ...pool('motions', 6),
    ...pool('tabroom', 6),
    ...pool('standings', 9, 5_000),
    ...pool('portal', 3, 0),
  ];
  const moved = planMoves(services, vms).map(({ vm }) => vm);
  t.is(new Set(moved).size, moved.length);
  t.is(moved.length, 10);
});

test('the number of wanted workers covers running and waiting tasks', (t) => {
  t.is(wantedWorkers(load({ usedCpu: 3 * CPU, waitingCpu: CPU }), CPU), 5);
  t.is(wantedWorkers(load({}), CPU), 2);
});
