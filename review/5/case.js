// One version of the configuration removes a queue, and the next one adds it again.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, CannotRun, isTroubled, runCase, sleep, waitFor } from '../harness/world.js';

const ID = 'c0ffee0000000020';
const host = 'review.example';
const route = { name: 'q-break', host, pathPrefix: '/break/', service: 'breakdesk' };
const other = { name: 'q-other', host, pathPrefix: '/other/', service: 'breakdesk' };
const MAX_ATTEMPTS = 3;
const steps = [{ count: 2, cpu: 1_000, memMb: 256, estRuntimeMs: 6_000 }];

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  // The first run of one subtask fails after 6 s; all others are done after that time.
  const fails = ({ task, run }) => task === `${ID}.0.0.0` && run === 1;
  world.script = (entry) => ({ ms: 6_000, how: fails(entry) ? 'failed' : 'done' });
  const routes = [{ ...route, maxAttempts: MAX_ATTEMPTS }, other];
  await world.start({ nodes: 3, pools: { breakdesk: 4 }, routes });
  const [node] = world.nodes;
  const accepted = await world.submit(node, route, ID, steps);
  if (accepted.status !== 200) throw new CannotRun('the submission was not accepted');
  await waitFor('all subtasks run', () => world.runsOf(ID).length === 2);
  if (isTroubled) world.configure(3, [other]);
  await waitFor('a run has failed', () => world.runsOf(ID).some(({ how }) => how === 'failed'));
  await sleep(1_000);
  if (isTroubled) world.configure(5, routes);
  await sleep(BOUNDS.configApplyMs + 12_000);
  const { body } = await world.client(node, 'GET', `${route.pathPrefix}${ID}`, { host });
  const failed = world.runsOf(ID).filter(({ how }) => how === 'failed').length;
  if (body.state === 'failed' && failed < MAX_ATTEMPTS)
    return [`LOST ${ID} is shown as failed after ${failed} of ${MAX_ATTEMPTS} attempts`];
  if (body.state !== 'succeeded') throw new CannotRun(`it is shown as ${body.state}`);
  return [];
});
