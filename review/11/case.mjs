import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, HELD, NOT_RUN, oneQueue, runCase } from '../standins-3/deployment.mjs';

/** Time that a subtask takes, and for how long an executor is down after a crash. */
const SUBTASK_MS = 12_000;
const DOWN_MS = 1_500;
/** Time for which a subtask runs before its executor crashes. */
const RUN_BEFORE_CRASH_MS = 2_500;
const CRASHES = 4;
const JOB = '00000000000000b1';
const PATH = `/draws/${JOB}`;

/** Four executors in two racks. */
const machines = [1, 2, 3, 4].map((number) => ({
  machine: `m-${number}`,
  service: 'motions',
  zone: 'zone-a',
  capacity: { cpu: 16_000, memMb: 65_536, gpus: 0 },
  labels: ['a', `r1-${number <= 2 ? 1 : 2}`],
}));

async function waitFor(condition, limitMs) {
  for (let waited = 0; waited < limitMs; waited += 50) {
    if (await condition()) return true;
    await sleep(50);
  }
  return false;
}

await runCase(async (deployment, hasTrouble) => {
  await deployment.start({ nodes: 3, machines, config: oneQueue({ maxAttempts: 3 }) });
  const [node] = deployment.nodes;
  const stateOf = async () => (await deployment.call(node, 'GET', PATH))?.body?.state;
  const steps = [{ count: 1, cpu: 1_000, memMb: 1_000, estRuntimeMs: SUBTASK_MS }];
  const spec = JSON.stringify({ steps: [{ ms: SUBTASK_MS, cpu: 1_000, memMb: 1_000 }] });
  const accepted = await deployment.call(node, 'POST', PATH, { spec, steps });
  deployment.log({ event: 'submitted', job: JOB, status: accepted?.status });
  if (accepted?.status !== 200) return NOT_RUN;

  const runningOn = () =>
    machines.find(({ machine }) => {
      const executor = deployment.machines.get(machine);
      return executor.isUp && executor.runs.length > 0;
    });
  for (let crash = 1; hasTrouble && crash <= CRASHES; crash++) {
    if (!(await waitFor(() => runningOn() !== undefined, 15_000))) break;
    await sleep(RUN_BEFORE_CRASH_MS);
    const machine = runningOn();
    if (!machine) break;
    await deployment.crashExecutor(machine.machine);
    await sleep(DOWN_MS);
    await deployment.startExecutor(machine);
  }
  let state;
  await waitFor(async () => {
    state = await stateOf();
    return state === 'succeeded' || state === 'failed' || state === 'cancelled';
  }, 40_000);
  const failedRuns = deployment.events.filter(({ event }) => event === 'failed').length;
  deployment.log({ event: 'state', job: JOB, state, runs_that_ended_failed: failedRuns });
  if (state === 'succeeded') return HELD;
  return state === 'failed' && failedRuns === 0 ? BROKEN : NOT_RUN;
});
