import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '../testbed/index.js';
import { compiledPath } from '../testbed/processes.js';

/** What an idle process takes. */
export interface BaseCost {
  process: string;
  /** Resident memory in MiB. */
  residentMib: number;
  /** Resident memory that is not a mapped file, in MiB. */
  anonymousMib: number;
  /** Processor time as a percentage of a core. */
  cpuPercent: number;
}

/** Time in milliseconds to settle and to be watched. */
const SETTLE_MS = 12_000;
const WATCH_MS = 10_000;

/** Clock ticks per second in /proc. */
const TICKS_PER_S = 100;

const KIB_PER_MIB = 1_024;

/** Keeps a process alive without work. */
const IDLE_SCRIPT = 'setInterval(() => {}, 1000);';

/** Memory and processor time of idle Node processes and idle entry processes. */
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
  ]);
}

async function nodeCost(name: string, script: string): Promise<BaseCost> {
  const child = spawn(process.execPath, ['--expose-gc', '-e', script]);
  const exited = once(child, 'exit');
  try {
    return await watch(name, child.pid ?? 0);
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
    // The last one to start is not the holder of the lease.
    return await watch(name, deployment.entries.at(-1)?.process.pid ?? 0);
  } finally {
    await deployment.stop();
  }
}

async function watch(name: string, pid: number): Promise<BaseCost> {
  await sleep(SETTLE_MS);
  const before = await ticks(pid);
  await sleep(WATCH_MS);
  const used = (await ticks(pid)) - before;
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const mib = (field: string) =>
    Number(new RegExp(`${field}:\\s+(\\d+) kB`).exec(status)?.[1]) / KIB_PER_MIB;
  return {
    process: name,
    residentMib: mib('VmRSS'),
    anonymousMib: mib('RssAnon'),
    cpuPercent: (used / TICKS_PER_S / (WATCH_MS / 1_000)) * 100,
  };
}

/** User and system time of a process in clock ticks. */
async function ticks(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return Number(fields[11]) + Number(fields[12]);
}
