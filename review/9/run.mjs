import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { runCase } from '../standins-2/deployment.mjs';

const SERVICE = 'motions';
const HOST = 'league.example';
const PREFIX = '/archive/';
const JOB = '0000000000000009';

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  const { fleet, record } = deployment;
  for (let number = 0; number < 7; number++) {
    await fleet.add({
      id: `i-${number}`,
      service: SERVICE,
      zone: 'zone-a',
      labels: ['a', `r1-${Math.floor(number / 4)}`],
      capacity: { cpu: 64_000, memMb: 262_144, gpus: 0 },
      script: () => ({}),
    });
  }
  deployment.configure(
    1,
    [{ name: 'archive', host: HOST, pathPrefix: PREFIX, service: SERVICE }],
    [SERVICE],
  );
  for (const name of ['node-1', 'node-2', 'node-3']) await deployment.startNode(name);
  await deployment.waitUntilReady([SERVICE]);
  const [client] = deployment.nodes;
  const target = { path: `${PREFIX}${JOB}`, host: HOST };
  const steps = [{ count: 1, cpu: 5_300, memMb: 19_000, perpetual: true }];
  const accepted = await deployment.call(client, {
    ...target,
    method: 'POST',
    body: { spec: 'x', steps },
  });
  if (accepted.status !== 200) return true;
  for (let crash = 1; crash <= 2; crash++) {
    await deployment.waitFor('the subtask runs', 20_000, () => fleet.runs.some(({ how }) => !how));
    await sleep(200);
    if (!hasTrouble) await sleep(3_000);
    else fleet.runs.find(({ how }) => !how).executor.crash();
  }
  let state;
  for (let left = 40; left > 0 && state !== 'failed'; left--) {
    await sleep(500);
    const reply = await deployment.call(client, { ...target, method: 'GET', isQuiet: true });
    if (reply.body?.state !== state)
      record.add(`client: GET ${target.path}: ${reply.status} ${reply.body?.state}`);
    state = reply.body?.state ?? state;
  }
  record.add(`the submission is shown as ${state}; no run has ended "failed"`);
  return state !== 'failed';
});
