import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { systemClock } from '../src/clock/index.js';
import {
  configurationDefaults,
  createConfigHistory,
  entityKinds,
  type ConfigSnapshot,
  type EntityChange,
} from '../src/configuration/index.js';
import { Lifecycle } from '../src/lifecycle/index.js';
import { createPlatformClient, platformSchema } from '../src/platform/index.js';
import { Deployment } from '../testbed/index.js';
import { compiledPath } from '../testbed/processes.js';
import { commonDeps, designSnapshot } from './designFleet.js';

/** Memory and CPU time of an idle process. */
export interface BaseCost {
  process: string;
  /** Resident memory in MiB. */
  residentMib: number;
  /** Anonymous resident memory, which excludes mapped files, in MiB. */
  anonymousMib: number;
  /** CPU time as a percentage of a core. */
  cpuPercent: number;
}

/** Time in milliseconds for a process to settle, and for the measurement that follows. */
const SETTLE_MS = 12_000;
const MEASURE_MS = 10_000;

/** Number of changes in each change set that loads the fleet. */
const CHANGES_PER_SET = 2_000;

/** Clock ticks per second in /proc. */
const TICKS_PER_S = 100;

const KIB_PER_MIB = 1_024;

/** Keeps a process alive without work. */
const IDLE_SCRIPT = 'setInterval(() => {}, 1000);';

/** Measures memory and CPU time of idle Node processes and idle entry processes. */
export function baseCosts(): Promise<BaseCost[]> {
  const library = compiledPath('src/entry/index.js');
  return Promise.all([
    nodeCost('idle Node process', IDLE_SCRIPT),
    nodeCost('Node process with the code loaded', `${IDLE_SCRIPT} import('${library}');`),
    nodeCost(
      'the same after a garbage collection',
      `${IDLE_SCRIPT} import('${library}').then(() => gc());`,
    ),
    entryCost('idle entry process, alone, holds the lease', 1),
    entryCost('idle entry process, one of seven, without the lease', 7),
    loadedEntryCost('idle entry process with the lease and 21,000 VMs in 13 zones'),
  ]);
}

async function nodeCost(name: string, script: string): Promise<BaseCost> {
  const child = spawn(process.execPath, ['--expose-gc', '-e', script]);
  const exited = once(child, 'exit');
  try {
    return await measureIdleCost(name, child.pid ?? 0);
  } finally {
    child.kill();
    await exited;
  }
}

async function entryCost(name: string, entries: number): Promise<BaseCost> {
  const deployment = new Deployment({
    zones: ['zone-a'],
    entriesPerZone: entries,
    vmsPerZone: { spare: 1 },
  });
  await deployment.start();
  try {
    // With several processes, the last one to start does not hold the lease.
    return await measureIdleCost(name, deployment.entries.at(-1)?.process.pid ?? 0);
  } finally {
    await deployment.stop();
  }
}

/**
 * Measures an entry process that loads the configuration of the design size. VMs have no executors,
 * so that none is probed.
 */
async function loadedEntryCost(name: string): Promise<BaseCost> {
  const emptyDeployment = { zones: [], entriesPerZone: 0, vmsPerZone: {} };
  const deployment = new Deployment(emptyDeployment);
  await deployment.start();
  const lifecycle = new Lifecycle('loader');
  try {
    const { entities } = designSnapshot({});
    const listedVms = entities.vm.map(({ id, zone }) => ({ id, zone }));
    await deployment.callControl(deployment.platform.url, 'vms', listedVms);
    await commitFleet(deployment.platform.url, entities, lifecycle);
    const entry = await deployment.startEntry('zone-0');
    return await measureIdleCost(name, entry.process.pid);
  } finally {
    await lifecycle.close();
    await deployment.stop();
  }
}

async function commitFleet(
  url: string,
  entities: ConfigSnapshot['entities'],
  lifecycle: Lifecycle,
): Promise<void> {
  const deps = { ...commonDeps(), clock: systemClock };
  const settings = platformSchema.parse({ url });
  const { table } = createPlatformClient({ ...deps, settings, lifecycle });
  const history = createConfigHistory(table, { ...configurationDefaults, ...deps });
  const changes = entityKinds.flatMap((kind) =>
    entities[kind].map((entity) => {
      const value = { ...entity, executor: undefined };
      return { kind, id: entity.id, value } as EntityChange;
    }),
  );
  for (let setIndex = 0; setIndex * CHANGES_PER_SET < changes.length; setIndex++) {
    const changesOfSet = changes.slice(
      setIndex * CHANGES_PER_SET,
      (setIndex + 1) * CHANGES_PER_SET,
    );
    const changeSet = { changeId: `load-${setIndex}`, author: 'operator', changes: changesOfSet };
    const committed = await history.commit(setIndex, changeSet);
    if (committed.isErr) throw committed.error;
  }
}

async function measureIdleCost(name: string, pid: number): Promise<BaseCost> {
  await sleep(SETTLE_MS);
  const before = await cpuTicks(pid);
  await sleep(MEASURE_MS);
  const usedTicks = (await cpuTicks(pid)) - before;
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const mib = (field: string) =>
    Number(new RegExp(`${field}:\\s+(\\d+) kB`).exec(status)?.[1]) / KIB_PER_MIB;
  return {
    process: name,
    residentMib: mib('VmRSS'),
    anonymousMib: mib('RssAnon'),
    cpuPercent: (usedTicks / TICKS_PER_S / (MEASURE_MS / 1_000)) * 100,
  };
}

/** User and system CPU time of a process in clock ticks. */
async function cpuTicks(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return Number(fields[11]) + Number(fields[12]);
}
