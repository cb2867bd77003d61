import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { runCase } from '../standins-2/deployment.mjs';

const SERVICE = 'motions';
const HOST = 'league.example';
const MACHINES = 8;
/** Machines of a rack. */
const RACK = 4;
const CAPACITY = { cpu: 64_000, memMb: 262_144, gpus: 0 };
/** The executors of a rack are down for this long. */
const DOWN_MS = 500;
/** Time from the start of a lasting subtask until it is at work. */
const STARTUP_MS = 300;
/** A subtask that ends, so that the machines of the wave aren't empty; one for each machine. */
const SHORT = { count: 1, cpu: 40_000, memMb: 16, estRuntimeMs: 20_000 };
const UPKEEP_MS = 2_000;
const NOTICE_MS = 4_500;
const STEP = { count: 3, cpu: 5_300, memMb: 19_000, perpetual: true, maxPerServer: 1, mayMiss: 1 };
const JOB = '000000000000000c';

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  const { fleet, cloud, store, record } = deployment;
  fleet.needsOf = (task) => ({ cpu: task.startsWith(JOB) ? STEP.cpu : SHORT.cpu });
  let lives = 0;
  const startExecutor = async (machine) => {
    const { labels } = cloud.machines.get(machine);
    const executor = await fleet.add({
      id: `i-${machine}-${++lives}`,
      service: SERVICE,
      machine,
      zone: 'zone-a',
      labels,
      capacity: CAPACITY,
      script: (task) => (task.startsWith(JOB) ? {} : { ms: SHORT.estRuntimeMs, how: 'done' }),
    });
    Object.assign(cloud.machines.get(machine), { state: 'up', executor });
  };
  for (let number = 0; number < MACHINES; number++) {
    const labels = ['a', `r1-${Math.floor(number / RACK)}`];
    const fields = { pool: SERVICE, state: 'up', zone: 'zone-a', labels, capacity: CAPACITY };
    cloud.machines.set(`m-${number}`, fields);
    await startExecutor(`m-${number}`);
  }
  const endedBy = [];
  const done = new Set();
  cloud.handleOrder = ({ kind, machine, wave, holder, token }) => {
    record.add(`the cloud gets ${kind} of ${machine} from ${holder} with fence ${token}`);
    const entry = cloud.machines.get(machine);
    if (kind !== 'upkeep' || entry === undefined) return { status: 400 };
    if (done.has(machine)) return { status: 200, body: {} };
    if (wave !== 1 || entry.state !== 'up') return { status: 409, body: { reason: 'busy' } };
    done.add(machine);
    for (const { task, run, startedAt } of entry.executor.running)
      if (task.startsWith(JOB) && performance.now() - startedAt >= STARTUP_MS)
        endedBy.push({ task, run, atS: record.seconds, away: countAway(task) });
    entry.state = 'upkeep';
    entry.executor.crash();
    store.drop('servers', entry.executor.id);
    globalThis.setTimeout(() => void startExecutor(machine), UPKEEP_MS);
    return { status: 200, body: {} };
  };
  /** Since when each subtask has not been at work; absent while it is. */
  const absentSince = new Map();
  fleet.onStart = (_executor, run) => {
    globalThis.setTimeout(() => run.how ?? absentSince.delete(run.task), STARTUP_MS);
  };
  fleet.onEnd = (_executor, { task }) => absentSince.set(task, record.seconds);
  /** Other subtasks of the step that are away, as the rule has it. */
  const countAway = (task) => {
    const isAway = (other) => {
      const since = absentSince.get(other);
      if (other === task || since === undefined) return false;
      const wasOrdered = endedBy.some((end) => end.task === other && end.atS >= since - 0.1);
      return wasOrdered || record.seconds - since >= NOTICE_MS / 1000;
    };
    return [0, 1, 2].map((index) => `${JOB}.0.0.${index}`).filter(isAway).length;
  };
  const routes = ['archive', 'draw'].map((name) => {
    return { name, host: HOST, pathPrefix: `/${name}/`, service: SERVICE };
  });
  deployment.configure(1, routes, [SERVICE]);
  for (const name of ['node-1', 'node-2', 'node-3']) await deployment.startNode(name);
  await deployment.waitUntilReady([SERVICE]);
  const submit = (path, steps) =>
    deployment.call(deployment.nodes[0], {
      method: 'POST',
      path,
      host: HOST,
      body: { spec: 'x', steps },
    });
  for (let number = 0; number < MACHINES; number++)
    await submit(`/draw/000000000000010${number}`, [SHORT]);
  await sleep(2_000);
  store.put('op', 'wave/1', {
    wave: 1,
    machines: [...cloud.machines.keys()],
    withinS: 26,
    maxCount: 2,
  });
  record.add('the operator asks for wave 1 of all machines, two at once, in 26 s');
  await sleep(2_000);
  if (hasTrouble)
    for (let number = 0; number < RACK; number++) {
      const entry = cloud.machines.get(`m-${number}`);
      entry.state = 'down';
      entry.executor.crash();
      globalThis.setTimeout(() => void startExecutor(`m-${number}`), DOWN_MS);
    }
  await sleep(DOWN_MS + 400);
  await submit(`/archive/${JOB}`, [STEP]);
  await sleep(30_000);
  let hasHeld = true;
  for (const { task, run, atS, away } of endedBy) {
    record.add(
      `${atS.toFixed(3)} s: an upkeep ends ${task} run ${run}; ${away} others are away, and 1 may be`,
    );
    if (away >= STEP.mayMiss) hasHeld = false;
  }
  record.add(`status/wave/1: ${JSON.stringify(store.values('status').get('wave/1'))}`);
  return hasHeld;
});
