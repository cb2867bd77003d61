import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, HELD, NOT_RUN, oneQueue, runCase } from '../standins-3/deployment.mjs';

const SERVICES = 40;
const EXECUTORS_PER_SERVICE = 2;
const NODES = 3;
/** Traffic: a submission at each interval, to one queue after the other. */
const TRAFFIC_MS = 30_000;
const INTERVAL_MS = 200;
const SUBTASKS = 3;
const SUBTASK_MS = 500;
const NEEDS = { cpu: 1_000, memMb: 1_000 };
/** Times of the rule: `finish_s` after the traffic, nothing running for 3 s. */
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
/** A client's attempts, each within its time budget. */
const ATTEMPTS = 4;
const BUDGET_MS = 3_000;

const names = Array.from({ length: SERVICES }, (_, index) => `service-${index + 1}`);
const machines = names.flatMap((service, index) =>
  Array.from({ length: EXECUTORS_PER_SERVICE }, (_, number) => ({
    machine: `m-${index + 1}-${number + 1}`,
    service,
    zone: 'zone-a',
    capacity: { cpu: 16_000, memMb: 65_536, gpus: 0 },
    labels: ['a', `r${index + 1}-1`],
  })),
);

function manyQueues() {
  const config = oneQueue();
  const [route] = config.routes;
  config.services = names.map((name) => ({ name, admissionControl: true, standby: false }));
  config.routes = names.map((service, index) => {
    return { ...route, name: `queue-${index + 1}`, pathPrefix: `/queue-${index + 1}/`, service };
  });
  return config;
}

/** Whether the case has its disruption; with TROUBLE=0 it does the same without it. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(async (deployment) => {
  deployment.log({ event: 'case', disruption: hasTrouble ? 'on' : 'off' });
  await deployment.start({ nodes: NODES, machines, config: manyQueues() });
  await sleep(4_000);
  const owners = () => {
    const counts = {};
    for (const name of names) {
      const owner = deployment.holderOf(name);
      counts[owner] = (counts[owner] ?? 0) + 1;
    }
    return JSON.stringify(counts);
  };
  deployment.log({ event: 'holders', services: owners() });
  const [node, ...others] = deployment.nodes;
  if (hasTrouble) {
    for (const other of others) other.child.kill('SIGKILL');
    deployment.log({ event: 'nodes_lost', nodes: others.map(({ name }) => name).join(',') });
  }

  const spec = JSON.stringify({ steps: [{ ms: SUBTASK_MS, ...NEEDS }] });
  const steps = [{ count: SUBTASKS, ...NEEDS, estRuntimeMs: SUBTASK_MS }];
  const accepted = [];
  const submit = async (path) => {
    const res = await deployment.call(node, 'POST', path, { spec, steps }, BUDGET_MS);
    deployment.log({ event: 'submitted', path, status: res?.status ?? 'no_answer' });
    if (res?.status === 200) accepted.push(path);
  };
  const sent = [];
  for (
    const end = deployment.nowMs + TRAFFIC_MS;
    deployment.nowMs < end;
    await sleep(INTERVAL_MS)
  ) {
    const id = (0xb700 + sent.length).toString(16).padStart(16, '0');
    sent.push(submit(`/queue-${1 + (sent.length % SERVICES)}/${id}`));
  }
  deployment.log({ event: 'end_of_traffic', sent: sent.length });
  await sleep(FINISH_MS);
  if (accepted.length === 0) return NOT_RUN;

  const running = new Set();
  for (const end = deployment.nowMs + IDLE_MS; deployment.nowMs < end; await sleep(20)) {
    for (const executor of deployment.machines.values())
      for (const { task } of executor.runs) running.add(task.slice(0, 16));
  }
  const outcomes = await Promise.all(
    accepted.map(async (path) => {
      let res;
      for (let attempt = 0; attempt < ATTEMPTS && res?.status !== 200; attempt++) {
        res = await deployment.call(node, 'GET', path, undefined, BUDGET_MS);
      }
      const state = res?.body?.state ?? 'no_answer';
      const isIdle = state !== 'succeeded' && !running.has(path.split('/')[2]);
      if (isIdle) deployment.log({ event: 'state', path, state, nothing_running: true });
      return { state, isIdle };
    }),
  );
  const idle = outcomes.filter(({ isIdle }) => isIdle).length;
  const unanswered = outcomes.filter(({ state }) => state === 'no_answer').length;
  deployment.log({ event: 'holders', services: owners() });
  deployment.log({
    event: 'outcome',
    sent: sent.length,
    accepted: accepted.length,
    idle,
    unanswered,
  });
  return idle > 0 || unanswered > 0 ? BROKEN : HELD;
});
