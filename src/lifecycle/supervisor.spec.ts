import test from 'ava';
import { silentLogger } from '../logger/index.js';
import { createRandom } from '../random/index.js';
import { createVirtualClock } from '../testing/index.js';
import {
  Lifecycle,
  RestartPolicy,
  Supervisor,
  SupervisorErrorCode,
  supervisorDefaults,
} from './index.js';

function setUp() {
  const clock = createVirtualClock();
  const lifecycle = new Lifecycle('root');
  const supervisor = new Supervisor(lifecycle, {
    ...supervisorDefaults,
    clock,
    random: createRandom(1),
    logger: silentLogger,
  });
  return { clock, lifecycle, supervisor };
}

test('a failed child is restarted with backoff until it succeeds', async (t) => {
  const { clock, lifecycle, supervisor } = setUp();
  let runs = 0;
  supervisor.start({
    name: 'flaky',
    policy: RestartPolicy.OnFailure,
    run: async () => {
      runs += 1;
      if (runs < 3) throw new Error('not yet');
      await Promise.resolve();
    },
  });
  await clock.advance(10_000);
  t.is(runs, 3);
  await lifecycle.close();
});

test('the supervisor fails once a child exceeds its restart limit', async (t) => {
  const { clock, lifecycle, supervisor } = setUp();
  let runs = 0;
  supervisor.start({
    name: 'broken',
    policy: RestartPolicy.Permanent,
    run: () => {
      runs += 1;
      return Promise.reject(new Error('always'));
    },
  });
  const failure = t.throwsAsync(supervisor.failed);
  await clock.advance(30_000);
  t.is(
    ((await failure) as unknown as { code: string }).code,
    SupervisorErrorCode.ChildKeepsFailing,
  );
  t.is(runs, supervisorDefaults.maxFailures + 1);
  await lifecycle.close();
});

test('closing the lifecycle of a supervisor ends a running child', async (t) => {
  const { clock, lifecycle, supervisor } = setUp();
  let isEnded = false;
  supervisor.start({
    name: 'waiting',
    policy: RestartPolicy.Permanent,
    run: async (attempt) => {
      await clock.sleep(1_000_000, attempt.signal);
      isEnded = true;
    },
  });
  await lifecycle.close();
  t.true(isEnded);
});
