import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, HELD, NOT_RUN, oneQueue, runCase } from '../standins-3/deployment.mjs';

/** Subtasks of the submission, each of 5 thousandths of a core. */
const SUBTASKS = 3_000;
const SUBTASK_MS = 40_000;
const DOWN_MS = 1_500;
const JOB = '00000000000000b2';
const PATH = `/draws/${JOB}`;
const NEEDS = { cpu: 5, memMb: 10 };

const machines = [1, 2, 3, 4].map((number) => ({
  machine: `m-${number}`,
  service: 'motions',
  zone: 'zone-a',
  capacity: { cpu: 16_000, memMb: 65_536, gpus: 0 },
  labels: ['a', `r1-${number <= 2 ? 1 : 2}`],
}));

async function waitFor(condition, limitMs) {
  for (let waited = 0; waited < limitMs; waited += 100) {
    if (await condition()) return true;
    await sleep(100);
  }
  return false;
}

await runCase(async (deployment, hasTrouble) => {
  await deployment.start({ nodes: 3, machines, config: oneQueue({ maxAttempts: 3 }) });
  const [node] = deployment.nodes;
  const steps = [{ count: SUBTASKS, ...NEEDS, estRuntimeMs: SUBTASK_MS }];
  const spec = JSON.stringify({ steps: [{ ms: SUBTASK_MS, ...NEEDS }] });
  const accepted = await deployment.call(node, 'POST', PATH, { spec, steps });
  deployment.log({ event: 'submitted', job: JOB, status: accepted?.status });
  if (accepted?.status !== 200) return NOT_RUN;
  const running = () => [...deployment.machines.values()].map(({ runs }) => runs.length);
  const total = () => running().reduce((sum, count) => sum + count, 0);
  if (!(await waitFor(() => total() === SUBTASKS, 25_000))) {
    deployment.log({ event: 'not_all_running', running: running().join(',') });
    return NOT_RUN;
  }
  await sleep(2_000);
  deployment.log({ event: 'all_running', by_executor: running().join(',') });
  if (hasTrouble) {
    const [busiest] = [...machines].sort(
      (a, b) =>
        deployment.machines.get(b.machine).runs.length -
        deployment.machines.get(a.machine).runs.length,
    );
    await deployment.crashExecutor(busiest.machine);
    await sleep(DOWN_MS);
    await deployment.startExecutor(busiest);
  }
  let state;
  await waitFor(async () => {
    state = (await deployment.call(node, 'GET', PATH))?.body?.state;
    return state === 'succeeded' || state === 'failed' || state === 'cancelled';
  }, 60_000);
  const failedRuns = deployment.events.filter(({ event }) => event === 'failed').length;
  deployment.log({ event: 'state', job: JOB, state, runs_that_ended_failed: failedRuns });
  if (state === 'succeeded') return HELD;
  return state === 'failed' && failedRuns === 0 ? BROKEN : NOT_RUN;
});
