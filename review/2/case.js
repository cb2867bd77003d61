// A configuration moves a queue to another service between two arrivals of one submission.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, CannotRun, isTroubled, runCase, sleep } from '../harness/world.js';

const ID = 'c0ffee0000000001';
const host = 'review.example';
const route = { name: 'q-pair', host, pathPrefix: '/pair/', service: 'tabroom' };
const steps = [{ count: 4, cpu: 2_000, memMb: 512, estRuntimeMs: 1_500 }];

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  world.script = () => ({ ms: 1_500 });
  await world.start({ nodes: 3, pools: { tabroom: 4, standings: 4 }, routes: [route] });
  const [first, second] = world.nodes;
  const accepted = await world.submit(first, route, ID, steps);
  if (accepted.status !== 200) throw new CannotRun('the submission was not accepted');
  const path = `${route.pathPrefix}${ID}`;
  if (isTroubled) world.configure(4, [{ ...route, name: 'q-pair-2', service: 'standings' }]);
  // The new version is in force everywhere by then, and the first runs have ended.
  await sleep(BOUNDS.configApplyMs + 1_000);
  await world.submit(second, route, ID, steps);
  await sleep(6_000);
  await world.client(second, 'GET', path, { host });
  const breaches = [];
  for (const run of world.runsOf(ID)) {
    const earlier = world.runs.find((other) => {
      return other.task === run.task && other.how === 'done' && other.endedAt < run.startedAt;
    });
    if (!earlier?.notedAt) continue;
    breaches.push(
      `TWICE ${run.task}: run ${earlier.run} on ${earlier.executor} ended done at ` +
        `${earlier.endedAt} ms, noted at ${earlier.notedAt} ms, and run ${run.run} starts on ` +
        `${run.executor} at ${run.startedAt} ms`,
    );
  }
  return breaches;
});
