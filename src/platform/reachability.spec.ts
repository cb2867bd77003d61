import test from 'ava';
import { Lifecycle } from '../lifecycle/index.js';
import { createRandom } from '../random/index.js';
import { createVirtualClock } from '../testing/index.js';
import { platformSchema } from './index.js';
import { Reachability } from './reachability.js';

// Failed calls must start one sequence of probes with growing delays only; otherwise reconnecting
// processes would overload the platform.
test('probes back off with jitter up to the limit and end with the first response', async (t) => {
  const clock = createVirtualClock();
  const lifecycle = new Lifecycle('test');
  const times: number[] = [];
  const changes: boolean[] = [];
  const settings = platformSchema.parse({});
  const reachability = new Reachability({
    clock,
    random: createRandom(3),
    lifecycle,
    settings,
    probe: () => {
      times.push(clock.now());
      return Promise.resolve(times.length === 10);
    },
    onChange: (reachable) => changes.push(reachable),
  });
  for (let i = 0; i < settings.failuresUntilDown - 1; i += 1) reachability.recordFailure(true);
  t.true(reachability.allowsCalls);
  for (let i = 0; i < 20; i += 1) reachability.recordFailure(true);
  t.false(reachability.allowsCalls);
  await clock.advance(120_000);
  t.is(times.length, 10);
  times.forEach((time, attempt) => {
    const delayMs = time - (times[attempt - 1] ?? 0);
    const maxDelayMs = Math.min(settings.backoffMaxMs, settings.backoffBaseMs * 2 ** attempt);
    t.true(
      delayMs >= maxDelayMs / 2 - 1 && delayMs <= maxDelayMs + 1,
      `delay ${delayMs} of ${maxDelayMs}`,
    );
  });
  t.deepEqual(changes, [false, true]);
  await lifecycle.close();
});
