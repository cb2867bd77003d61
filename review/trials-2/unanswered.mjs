// AVAIL, outside the five cases, and an entry of part two: orders for upkeep that got no answer, since the
// cloud fell silent, are sent again 5 s later without emptying the machines again. TROUBLE=0 leaves out
// the silence.
import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { runCase } from '../standins-2/deployment.mjs';

const SERVICE = 'motions';
const HOST = 'league.example';
const MACHINES = 6;
const CAPACITY = { cpu: 64_000, memMb: 262_144, gpus: 0 };
/** The cloud is silent for this long; `for_s` is 5 unless a day says otherwise. */
const SILENT_MS = 5_000;
const UPKEEP_MS = 2_000;
const NOTICE_MS = 4_500;
const STEP = { count: 3, cpu: 5_300, memMb: 19_000, perpetual: true, maxPerServer: 1, mayMiss: 1 };
const JOB = '000000000000000c';

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  const { fleet, cloud, store, record } = deployment;
  fleet.needsOf = () => ({ cpu: STEP.cpu });
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
      script: () => ({}),
    });
    Object.assign(cloud.machines.get(machine), { state: 'up', executor });
  };
  for (let number = 0; number < MACHINES; number++) {
    const labels = ['a', `r1-${Math.floor(number / 4)}`];
    const fields = { pool: SERVICE, state: 'up', zone: 'zone-a', labels, capacity: CAPACITY };
    cloud.machines.set(`m-${number}`, fields);
    await startExecutor(`m-${number}`);
  }
  let hasBeenSilent = false;
  const endedBy = [];
  const done = new Set();
  cloud.handleOrder = ({ kind, machine, wave, holder, token }) => {
    record.add(`the cloud gets ${kind} of ${machine} from ${holder} with fence ${token}`);
    const entry = cloud.machines.get(machine);
    if (kind !== 'upkeep' || entry === undefined) return { status: 400 };
    if (hasTrouble && !hasBeenSilent) {
      hasBeenSilent = true;
      cloud.isSilent = true;
      record.add('the cloud falls silent');
      globalThis.setTimeout(() => {
        cloud.isSilent = false;
        record.add('the cloud answers again');
      }, SILENT_MS);
    }
    if (cloud.isSilent) return new Promise(() => undefined);
    if (done.has(machine)) return { status: 200, body: {} };
    if (wave !== 1 || entry.state !== 'up') return { status: 409, body: { reason: 'busy' } };
    done.add(machine);
    for (const { task, run } of entry.executor.running)
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
    globalThis.setTimeout(() => run.how ?? absentSince.delete(run.task), 300);
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
  const route = { name: 'archive', host: HOST, pathPrefix: '/archive/', service: SERVICE };
  deployment.configure(1, [route], [SERVICE]);
  for (const name of ['node-1', 'node-2', 'node-3']) await deployment.startNode(name);
  await deployment.waitUntilReady([SERVICE]);
  await sleep(3_000);
  const machines = ['m-0', 'm-1', 'm-2'];
  store.put('op', 'wave/1', { wave: 1, machines, withinS: 26, maxCount: 2 });
  record.add('the operator asks for wave 1 of m-0, m-1 and m-2, two at once, in 26 s');
  await sleep(4_000);
  const call = { method: 'POST', path: `/archive/${JOB}`, host: HOST };
  await deployment.call(deployment.nodes[0], { ...call, body: { spec: 'x', steps: [STEP] } });
  await sleep(25_000);
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
