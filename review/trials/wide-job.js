// Not a case; see REPORT.md, issue 18. One executor crashes under a submission of 5,000 small subtasks,
// of which it runs about 3,000.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout } from 'node:timers';
import { CannotRun, isTroubled, runCase, waitFor } from '../harness/world.js';

const ID = 'c0ffee0000000040';
const host = 'review.example';
const route = { name: 'q-replay', host, pathPrefix: '/replay/', service: 'standings' };
const steps = [{ count: 5_000, cpu: 5, memMb: 8, estRuntimeMs: 15_000 }];

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  world.script = () => ({ ms: 15_000 });
  await world.start({ nodes: 3, pools: { standings: 8 }, routes: [route] });
  const [node] = world.nodes;
  const accepted = await world.submit(node, route, ID, steps);
  if (accepted.status !== 200) throw new CannotRun('the submission was not accepted');
  const path = `${route.pathPrefix}${ID}`;
  await waitFor('the first executor is full', () => world.runs.length >= 3_300, 60_000);
  const most = world.machines.reduce((a, b) => (b.runs.size > a.runs.size ? b : a));
  if (isTroubled) {
    most.crash();
    setTimeout(() => void most.start(), 1_200);
  }
  let state = '';
  const isOver = async () => {
    ({ state = '' } = (await world.call(node, 'GET', path, { host })).body);
    return state === 'failed' || state === 'succeeded';
  };
  await waitFor('the submission is over', isOver, 80_000);
  const failed = world.runsOf(ID).filter(({ how }) => how === 'failed');
  if (state === 'failed' && failed.length === 0)
    return [`LOST ${ID} is shown as failed, and no run of it has ended failed`];
  return [];
});
