import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { Advice } from '../standins-3/advice.mjs';
import { BROKEN, HELD, NOT_RUN, oneQueue, runCase } from '../standins-3/deployment.mjs';

/** Terms of the queue: advice on nine executors takes 925 ms. */
const TERMS = { decideMs: 700, intervalMs: 25, validMs: 3_000 };
const SUBMISSIONS = 12;
/** Without the disruption, the submissions come one after the other. */
const CALM_GAP_MS = 2_500;
const SUBTASKS = 6;
const SUBTASK_MS = 680;
const NEEDS = { cpu: 1_100, memMb: 2_300 };
/** Times of the rule: `finish_s` after the traffic, nothing running for 3 s. */
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
/** Time after the traffic until which the submissions are looked at, for the record only. */
const OBSERVED_MS = 45_000;

const machines = Array.from({ length: 9 }, (_, index) => ({
  machine: `m-${index + 1}`,
  service: 'motions',
  zone: 'zone-a',
  capacity: { cpu: 16_000, memMb: 65_536, gpus: 0 },
  labels: ['a', `r1-${Math.floor(index / 4) + 1}`],
}));

const idOf = (number) => (0xb600 + number).toString(16).padStart(16, '0');

/** Whether the case has its disruption; with TROUBLE=0 it does the same without it. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(async (deployment) => {
  deployment.log({ event: 'case', disruption: hasTrouble ? 'on' : 'off' });
  const config = oneQueue({ maxAttempts: 3, advice: TERMS });
  const advice = new Advice(TERMS, process.env.DROPS_ABANDONED === '1');
  await deployment.start({ nodes: 3, machines, config, advice });
  const [node] = deployment.nodes;
  const steps = [{ count: SUBTASKS, ...NEEDS, estRuntimeMs: SUBTASK_MS }];
  const spec = JSON.stringify({ steps: [{ ms: SUBTASK_MS, ...NEEDS }] });
  for (let number = 0; number < SUBMISSIONS; number++) {
    const res = await deployment.call(node, 'POST', `/draws/${idOf(number)}`, { spec, steps });
    deployment.log({ event: 'submitted', job: idOf(number), status: res?.status });
    if (res?.status !== 200) return NOT_RUN;
    if (!hasTrouble) await sleep(CALM_GAP_MS);
  }
  deployment.log({ event: 'end_of_traffic' });
  await sleep(FINISH_MS);
  const idle = await findIdle(deployment);
  deployment.log({ event: 'outcome', submissions: SUBMISSIONS, idle_for_3_s: idle.length });
  if (idle.length > 0) {
    await sleep(OBSERVED_MS - FINISH_MS - 2 * IDLE_MS);
    const later = await findIdle(deployment);
    deployment.log({ event: 'later', idle_for_3_s: later.length });
  }
  return idle.length > 0 ? BROKEN : HELD;
});

/** Submissions that have not succeeded, and of which nothing runs for the time of the rule. */
async function findIdle(deployment) {
  const [node] = deployment.nodes;
  const running = new Set();
  for (const end = deployment.nowMs + IDLE_MS; deployment.nowMs < end; await sleep(10)) {
    for (const executor of deployment.machines.values())
      for (const { task } of executor.runs) running.add(task.slice(0, 16));
  }
  const idle = [];
  for (let number = 0; number < SUBMISSIONS; number++) {
    const id = idOf(number);
    const state = (await deployment.call(node, 'GET', `/draws/${id}`))?.body?.state;
    if (state !== 'succeeded' && !running.has(id)) idle.push(id);
    deployment.log({ event: 'state', job: id, state });
  }
  return idle;
}
