import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { request } from 'undici';
import { createBackend } from './backend/backend.js';
import { startStandin } from './shared/server.js';

type Json = Record<string, unknown>;

async function call(url: string, method = 'GET', headers = {}, body?: unknown) {
  const res = await request(url, {
    method,
    headers,
    body: body === undefined ? null : JSON.stringify(body),
  });
  return { status: res.statusCode, headers: res.headers, body: (await res.body.json()) as Json };
}

for (const name of ['platform', 'backend']) {
  test(`the ${name} stand-in prints its port and exits on SIGTERM`, async (t) => {
    const main = fileURLToPath(new URL(`./${name}/main.js`, import.meta.url));
    const child = spawn(process.execPath, [main], { stdio: ['ignore', 'pipe', 'inherit'] });
    t.teardown(() => child.kill('SIGKILL'));
    const [line] = (await once(createInterface(child.stdout), 'line')) as [string];
    const { port } = JSON.parse(line) as { port: number };
    t.is((await call(`http://127.0.0.1:${port}/control/status`)).status, 200);
    child.kill('SIGTERM');
    const [code] = (await once(child, 'exit')) as [number | null];
    t.is(code, 0);
  });
}

test('the backend stand-in counts runs and marks the requests that it did not start', async (t) => {
  const { port, close } = await startStandin(createBackend({ slots: 1, pool: 'motions' }));
  t.teardown(close);
  const url = `http://127.0.0.1:${port}`;
  const work = (id: string, query = '', pool = 'motions') =>
    call(`${url}/work${query}`, 'POST', { 'request-id': id, pool });
  const runs = async (id: string) => (await call(`${url}/control/runs?id=${id}`)).body.runs;

  const completed = await work('a');
  t.deepEqual([completed.status, completed.headers['request-id']], [200, 'a']);
  await work('a');
  t.deepEqual(await runs('a'), { a: 2 });

  const wrongPool = await work('b', '', 'portal');
  t.deepEqual([wrongPool.status, wrongPool.headers['not-started']], [421, 'b']);

  const longRequest = work('long', '?ms=60000').catch(() => 'cut off');
  while ((await call(`${url}/control/status`)).body.active !== 1);
  const noFreeSlot = await work('c');
  t.deepEqual([noFreeSlot.status, noFreeSlot.headers['not-started']], [503, 'c']);
  await call(`${url}/control/drain`, 'POST');
  t.is((await work('d')).headers['not-started'], 'd');
  t.deepEqual(await runs('d'), { d: 0 });

  await call(`${url}/control/reboot`, 'POST', {}, { ms: 0 });
  t.is(await longRequest, 'cut off');
  while ((await call(`${url}/control/status`)).body.state !== 'in_service');
  t.is((await work('e')).status, 200);
  t.is((await call(`${url}/control/status`)).body.cutOff, 1);
});
