import test from 'ava';
import { request } from 'undici';
import { systemClock } from '../clock/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Outcome } from '../peers/index.js';
import { expectedAnswer, RequestCluster } from '../testing/index.js';
import { createCallerListener, requestsSchema } from './index.js';

const SEED = 5;

interface IssuedIds {
  requestIds: string[];
}

// Guards against faults in the interaction of listeners and routers; other tests run them alone.
test('requests with the same id or key to two entry processes run once', async (t) => {
  const lifecycle = new Lifecycle('test');
  t.teardown(() => lifecycle.close());
  const cluster = new RequestCluster({ clock: systemClock, seed: SEED });
  cluster.start('a', 'z1', { vm1: 'matching' });
  cluster.start('b', 'z1', { vm2: 'matching' });
  const baseOf = async (name: string) => {
    const { router, metrics } = cluster.process(name);
    const listener = await createCallerListener({
      ...{ router, metrics, lifecycle, clock: systemClock, logger: silentLogger },
      ...{ settings: requestsSchema.parse({}), host: '127.0.0.1', port: 0 },
    });
    return `http://127.0.0.1:${listener.isOk ? listener.value.port : 0}`;
  };
  const bases = [await baseOf('a'), await baseOf('b')];
  const post = async (base: string, path: string, headers: object, body: string) => {
    const sent = { team: 'team', ...headers };
    const res = await request(`${base}${path}`, { method: 'POST', headers: sent, body });
    const { outcome, 'request-id': requestId } = res.headers;
    return { status: res.statusCode, outcome, requestId, text: await res.body.text() };
  };
  const issued = await post(bases[0] ?? '', '/v1/request-ids', {}, '{"count":1}');
  const [requestId] = (JSON.parse(issued.text) as IssuedIds).requestIds;

  for (const [tag, headers] of Object.entries({
    id: { 'request-id': requestId },
    key: { 'idempotency-key': 'k' },
  })) {
    const calls = [...bases, ...bases].map((base) =>
      post(base, '/v1/services/matching/work', headers, tag),
    );
    const answers = await Promise.all(calls);
    for (const { status, outcome, text } of answers) {
      t.deepEqual([status, outcome, text], [200, Outcome.Answered, expectedAnswer(tag)]);
    }
    t.is(new Set(answers.map((answer) => answer.requestId)).size, 1);
    t.is(cluster.history.runCount(tag), 1);
  }
});
