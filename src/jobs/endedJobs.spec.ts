import test from 'ava';
import { createVirtualClock, FakePlatform } from '../testing/index.js';
import { jobKeys, sweepEndedJobs } from './index.js';

const cases = [
  {
    title: 'ended jobs submitted before the given time are deleted with their ids',
    ended: [1, 9],
    remaining: 1,
  },
  { title: 'ended jobs submitted after the given time are kept', ended: [7, 9], remaining: 2 },
];

// Guards against rows of ended jobs that accumulate, and against deleting an open job.
for (const { title, ended, remaining } of cases) {
  test(title, async (t) => {
    const { table } = new FakePlatform(createVirtualClock()).client();
    for (const [index, submittedAt] of ended.entries()) {
      const id = `job-${index}`;
      const value = { id, submittedAt };
      const rows = [jobKeys.ended('z', id), jobKeys.id(id)].map((key) => ({ key, value }));
      await table.transact([], rows);
    }
    await table.transact([], [{ key: jobKeys.open('z', 'open'), value: { submittedAt: 1 } }]);
    t.true((await sweepEndedJobs(table, 'z', 5, undefined, 100)).isOk);
    const rowsOf = async (prefix: string) => {
      const page = await table.scan(prefix, 100);
      return page.isOk ? page.value.rows.length : -1;
    };
    t.is(await rowsOf('job-ended/'), remaining);
    t.is(await rowsOf('job-id/'), remaining);
    t.is(await rowsOf('job/'), 1);
  });
}
