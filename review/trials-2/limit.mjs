// LIMIT, outside the five cases: a successor starts work beside runs that are still being stopped, on
// executors that don't guard their capacity. TROUBLE=0 leaves out the SIGKILL of the holder.
import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { runCase } from '../standins-2/deployment.mjs';

const SERVICE = 'motions';
const HOST = 'league.example';
const CAPACITY = { cpu: 64_000, memMb: 262_144, gpus: 0 };
const STEP = { count: 1, cpu: 40_000, memMb: 16, estRuntimeMs: 30_000 };
const EXECUTORS = 3;

const pathOf = (number) => `/pair/${number.toString(16).padStart(16, '0')}`;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  const { fleet, record } = deployment;
  deployment.hasAdmissionControl = false;
  fleet.needsOf = () => ({ cpu: STEP.cpu });
  for (let number = 0; number < EXECUTORS; number++) {
    const executor = await fleet.add({
      id: `i-${number}`,
      service: SERVICE,
      zone: 'zone-a',
      labels: ['a', 'r1-0'],
      capacity: CAPACITY,
      script: () => ({ ms: STEP.estRuntimeMs, how: 'done' }),
    });
    // Below `stopMs` of the site, which is 900.
    Object.assign(executor, { guardsCapacity: false, stopMs: 850 });
  }
  let excess = 0;
  fleet.onStart = (executor, { task }) => {
    const used = executor.running.length * STEP.cpu;
    if (used <= CAPACITY.cpu) return;
    excess++;
    record.add(`${task} brings ${executor.id} to ${used} of ${CAPACITY.cpu}`);
  };
  const route = { name: 'pair', host: HOST, pathPrefix: '/pair/', service: SERVICE };
  deployment.configure(1, [route], [SERVICE]);
  for (const name of ['node-1', 'node-2', 'node-3']) await deployment.startNode(name);
  await deployment.waitUntilReady([SERVICE]);
  const holder = deployment.holderOf(SERVICE);
  const client = deployment.nodes.find((node) => node !== holder);
  const call = (method, number, body) =>
    deployment.call(client, { method, path: pathOf(number), host: HOST, body });
  for (let number = 1; number <= 2 * EXECUTORS; number++)
    await call('POST', number, { spec: 'x', steps: [STEP] });
  await sleep(1_500);
  if (hasTrouble) deployment.signal(holder, 'SIGKILL');
  await sleep(300);
  for (let number = 1; number <= EXECUTORS; number++) await call('DELETE', number);
  await sleep(12_000);
  return excess === 0;
});
