import test from 'ava';
import { scheduleThree } from './library.js';

// Guards against a public interface that the documented example no longer matches.
test('the library example runs', async (t) => {
  t.deepEqual(await scheduleThree(), ['vm-1', 'vm-1', 'vm-1']);
});
