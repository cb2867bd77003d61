// An executor crashes silently and starts again under its id, and a submission arrives at that moment.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { CannotRun, isTroubled, runCase, sleep, waitFor } from '../harness/world.js';

const host = 'review.example';
const route = { name: 'q-check', host, pathPrefix: '/check/', service: 'boarding' };
const RUN_MS = 3_000;
const steps = [{ count: 4, cpu: 2_000, memMb: 512, estRuntimeMs: RUN_MS }];
/** How long the executor is down; the longest `srv_crash` of marsad-night's list lasts 4.5 s. */
const DOWN_MS = 400;

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  world.isProxied = true;
  world.script = () => ({ ms: RUN_MS });
  await world.start({ nodes: 3, pools: { boarding: 8 }, routes: [route] });
  const [node] = world.nodes;
  const isOver = async (id) => {
    const { body } = await world.call(node, 'GET', `${route.pathPrefix}${id}`, { host });
    return body.state === 'succeeded';
  };
  const breaches = [];
  for (const round of [0, 1, 2]) {
    // The first submission shows which executor is used while all are free.
    const first = `c0ffee000000003${2 * round}`;
    const second = `c0ffee000000003${2 * round + 1}`;
    if ((await world.submit(node, route, first, steps)).status !== 200)
      throw new CannotRun('the submission was not accepted');
    await waitFor('the first submission has succeeded', () => isOver(first));
    const used = world.runsOf(first)[0].executor;
    const machine = world.machines.find(({ id }) => id === used);
    // A pool that has had no new work for a while.
    await sleep(9_000);
    if (isTroubled) {
      machine.crash({ isDark: true });
      await sleep(DOWN_MS);
      await machine.start({ keepsId: true });
    }
    if ((await world.submit(node, route, second, steps)).status !== 200)
      throw new CannotRun('the submission was not accepted');
    await waitFor('the second submission has succeeded', () => isOver(second), 25_000);
    await sleep(1_000);
    const runs = world.runsOf(second);
    for (const [index, run] of runs.entries()) {
      for (const other of runs.slice(index + 1)) {
        if (other.task !== run.task) continue;
        const overlapMs =
          Math.min(run.endedAt, other.endedAt) - Math.max(run.startedAt, other.startedAt);
        if (overlapMs > 0)
          breaches.push(
            `TWICE ${run.task}: run ${run.run} on ${run.executor} and run ${other.run} on ` +
              `${other.executor} at the same time, for ${overlapMs} ms`,
          );
      }
    }
  }
  return breaches;
});
