import test from 'ava';
import { createVirtualClock } from '../testing/index.js';
import { TokenBucket } from './index.js';

function takeAll(bucket: TokenBucket, privileged: boolean): number {
  let taken = 0;
  while (bucket.take(privileged)) taken += 1;
  return taken;
}

// Without a reserve, the other calls of a busy process would starve its lease renewals.
test('the reserved tokens are left to privileged calls', async (t) => {
  const clock = createVirtualClock();
  const bucket = new TokenBucket(clock, { perSecond: 20, burstMs: 1_000, reserve: 0.1 });
  t.is(takeAll(bucket, false), 18);
  t.is(takeAll(bucket, true), 2);
  await clock.advance(500);
  t.is(takeAll(bucket, false), 8);
  await clock.advance(60_000);
  t.is(takeAll(bucket, true), 20);
});
