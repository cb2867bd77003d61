import test from 'ava';
import { scheduleThree } from './library.js';

// Guards against changes of the public API that break the documented example.
test('the library example schedules its requests on the executor', async (t) => {
  t.deepEqual(await scheduleThree(), ['vm-1', 'vm-1', 'vm-1']);
});
