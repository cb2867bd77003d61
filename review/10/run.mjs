import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { runCase } from '../standins-2/deployment.mjs';

const SERVICES = ['motions', 'tabroom'];
const HOST = 'league.example';
const EXECUTOR_CPU = 64_000;
const COUNT = 12;
/** `visible_ms` and 2 s, after which a submission has to be counted. */
const VISIBLE_MS = 5_000;

const pathOf = (number) => `/pair/${number.toString(16).padStart(16, '0')}`;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  const { fleet, record } = deployment;
  fleet.needsOf = () => ({ cpu: EXECUTOR_CPU });
  for (const service of SERVICES)
    for (let number = 0; number < 3; number++)
      await fleet.add({
        id: `i-${service}-${number}`,
        service,
        zone: 'zone-a',
        labels: ['a', 'r1-0'],
        capacity: { cpu: EXECUTOR_CPU, memMb: 262_144, gpus: 0 },
        script: () => ({ ms: 30_000, how: 'done' }),
      });
  const configure = (version, service) =>
    deployment.configure(
      version,
      [{ name: 'pair', host: HOST, pathPrefix: '/pair/', service }],
      SERVICES,
    );
  configure(1, 'motions');
  for (const name of ['node-1', 'node-2', 'node-3']) await deployment.startNode(name);
  await deployment.waitUntilReady(SERVICES);
  const { nodes } = deployment;
  const steps = [{ count: 1, cpu: EXECUTOR_CPU, memMb: 16, estRuntimeMs: 30_000 }];
  for (let number = 1; number <= COUNT; number++) {
    const call = { method: 'POST', path: pathOf(number), host: HOST, body: { spec: 'x', steps } };
    const { status } = await deployment.call(nodes[number % 3], call);
    if (status !== 200) return true;
  }
  await sleep(VISIBLE_MS);
  if (hasTrouble) configure(2, 'tabroom');
  // More than `configApplyMs`, so that the configuration is in force everywhere.
  await sleep(VISIBLE_MS);
  const waiting = COUNT - new Set(fleet.runs.map(({ task }) => task.split('.')[0])).size;
  record.add(`${waiting} submissions were accepted over ${VISIBLE_MS} ms before and haven't begun`);
  let hasHeld = true;
  for (const node of nodes) {
    const { body } = await deployment.call(node, { method: 'GET', path: '/pair/', host: HOST });
    if (body?.pending !== undefined && body.pending < waiting / 2) hasHeld = false;
  }
  for (const number of [1, COUNT])
    await deployment.call(nodes[0], { method: 'GET', path: pathOf(number), host: HOST });
  return hasHeld;
});
