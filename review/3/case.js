// The store's answer to the write of a submission is lost, and the client cancels the submission as
// soon as it has been accepted.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, CannotRun, isTroubled, runCase, sleep, waitFor } from '../harness/world.js';

const host = 'review.example';
const route = { name: 'q-rank', host, pathPrefix: '/rank/', service: 'standings' };
const FIRST_MS = 4_500;
const steps = [
  { count: 2, cpu: 1_000, memMb: 256, estRuntimeMs: FIRST_MS },
  { count: 2, cpu: 1_000, memMb: 256, estRuntimeMs: 500, after: [0] },
];

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  world.script = ({ task }) => ({ ms: task.split('.')[2] === '0' ? FIRST_MS : 500 });
  await world.start({ nodes: 3, pools: { standings: 4 }, routes: [route] });
  const breaches = [];
  // One submission through each node; one of them may hold the service itself.
  for (const [index, node] of world.nodes.entries()) {
    const id = `c0ffee000000001${index}`;
    let isLost = false;
    world.store.losesAnswer = (writes) => {
      const isAcceptance = writes.some(({ key }) => key === id);
      if (!isTroubled || isLost || !isAcceptance) return false;
      isLost = true;
      world.record.add(`store: the answer to the write of ${id} is lost`);
      return true;
    };
    const accepted = await world.submit(node, route, id, steps);
    if (accepted.status !== 200) throw new CannotRun('the submission was not accepted');
    const path = `${route.pathPrefix}${id}`;
    const cancelled = await world.client(node, 'DELETE', path, { host });
    if (cancelled.status !== 200) throw new CannotRun('the cancel was not acknowledged');
    await sleep(FIRST_MS + 4_000);
    await waitFor('nothing of it runs', () => {
      return world.runsOf(id).every(({ endedAt }) => endedAt !== undefined);
    });
    await world.client(node, 'GET', path, { host });
    for (const { task, run, executor, startedAt, endedAt } of world.runsOf(id)) {
      const afterMs = startedAt - cancelled.at;
      const goneMs = endedAt - cancelled.at;
      const text = `${task}: run ${run} on ${executor}, cancelled at ${cancelled.at} ms,`;
      if (afterMs > BOUNDS.cancel_ms)
        breaches.push(`UNASKED ${text} starts ${afterMs} ms after that`);
      else if (goneMs > BOUNDS.cancel_ms + BOUNDS.stopMs)
        breaches.push(`UNASKED ${text} runs until ${goneMs} ms after that`);
    }
  }
  return breaches;
});
