import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { runCase } from '../standins-2/deployment.mjs';

const SERVICES = ['motions', 'breakdesk'];
const HOST = 'league.example';
const PREFIX = '/pair/';
const TASK_MS = 1_500;
/** Answers of the store take 60 times as long, for 4.5 s. */
const SLOW_ANSWER_MS = 240;
const SLOW_MS = 4_500;
/** A submission each 15 ms. */
const SUBMIT_INTERVAL_MS = 15;
/** After these, a client sends its submission again, at another node; 0 stands for no answer. */
const UNANSWERED = new Set([0, 502, 504]);
const RESEND_MS = 30;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  const { fleet, record, store } = deployment;
  deployment.contracts.push('health');
  Object.assign(deployment.bounds, { stableWindowMs: 4000, ackMs: 6000, drainMs: 3000 });
  Object.assign(deployment.bounds, { configApplyMs: 3000, cancel_ms: 4000, noticeMs: 5500 });
  fleet.recordsRuns = false;
  for (const service of SERVICES)
    for (let number = 0; number < 3; number++)
      await fleet.add({
        id: `i-${service}-${number}`,
        service,
        zone: 'zone-a',
        labels: ['a', 'r1-0'],
        capacity: { cpu: 64_000, memMb: 262_144, gpus: 0 },
        script: () => ({ ms: TASK_MS, how: 'done' }),
      });
  const configure = (version, service) =>
    deployment.configure(
      version,
      [{ name: 'pair', host: HOST, pathPrefix: PREFIX, service }],
      SERVICES,
    );
  configure(1, 'motions');
  for (const name of ['node-1', 'node-2', 'node-3', 'node-4']) await deployment.startNode(name);
  await deployment.waitUntilReady(SERVICES);
  const { nodes } = deployment;
  const body = { spec: 'x', steps: [{ count: 1, cpu: 100, memMb: 16, estRuntimeMs: TASK_MS }] };
  const answers = new Map();
  let lastId = 0;
  const submit = async (id, number, attempt = 0) => {
    const node = nodes[(number + attempt) % nodes.length];
    const call = { method: 'POST', path: `${PREFIX}${id}`, host: HOST, body };
    const { status } = await deployment.call(node, { ...call, isQuiet: true });
    record.add(`client: POST ${id} at ${node.name}: ${status === 0 ? 'no answer' : status}`);
    answers.set(id, status);
    if (!UNANSWERED.has(status) || attempt === 4) return;
    await sleep(RESEND_MS);
    await submit(id, number, attempt + 1);
  };
  const pending = [];
  const submitFor = async (ms) => {
    for (let left = ms; left > 0; left -= SUBMIT_INTERVAL_MS) {
      const number = ++lastId;
      pending.push(submit(number.toString(16).padStart(16, '0'), number));
      await sleep(SUBMIT_INTERVAL_MS);
    }
  };
  await submitFor(500);
  configure(2, 'breakdesk');
  await sleep(2_500);
  await submitFor(500);
  await sleep(1_000);
  if (hasTrouble) {
    store.answerMs = SLOW_ANSWER_MS;
    record.add(`the store's answers take ${SLOW_ANSWER_MS} ms`);
    globalThis.setTimeout(() => {
      store.answerMs = 4;
      record.add("the store's answers take 4 ms");
    }, SLOW_MS);
  }
  const traffic = submitFor(4_000);
  for (const [version, service] of [
    [3, 'motions'],
    [4, 'breakdesk'],
    [5, 'motions'],
  ]) {
    await sleep(1_000);
    configure(version, service);
  }
  await traffic;
  await Promise.all(pending);
  await sleep(TASK_MS + 4_000);
  const byTask = new Map();
  for (const run of fleet.runs) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  let twice = 0;
  for (const [task, runs] of byTask) {
    const overlaps = runs.some((run, index) =>
      runs.slice(index + 1).some(({ startedS }) => startedS < run.endedS),
    );
    const afterDone = runs.some((run, index) =>
      runs.slice(index + 1).some(({ startedS }) => run.how === 'done' && startedS > run.endedS),
    );
    if (!overlaps && !afterDone) continue;
    twice++;
    for (const { executor, run, startedS, endedS, how } of runs)
      record.add(
        `${task} run ${run} on ${executor.id}: ${startedS.toFixed(3)} to ${endedS?.toFixed(3)} s, ${how}`,
      );
  }
  record.add(`${answers.size} submissions, ${byTask.size} subtasks run, ${twice} of them twice`);
  return twice === 0;
});
