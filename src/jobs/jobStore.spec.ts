import test from 'ava';
import { CallFault, createJobZone, settle, withFaults, type JobZone } from '../testing/index.js';
import { CancelOutcome, JobErrorCode, jobKeys, type JobSpec } from './index.js';

const spec: JobSpec = {
  id: 'j1',
  team: 'team',
  kind: 'kind',
  urgent: false,
  idempotent: false,
  cores: 1,
  memoryMib: 1_024,
  accelerators: 0,
  payload: { runMs: 1 },
};

async function submit(zone: JobZone, changes: Partial<JobSpec> = {}): Promise<string> {
  const result = await settle(zone.clock, zone.store.submit({ ...spec, ...changes }));
  return result.match({
    Ok: ({ existed }) => (existed ? 'existed' : 'recorded'),
    Err: ({ code }) => code as string,
  });
}

function openRows(zone: JobZone): string[] {
  return [...zone.platform.rows.keys()].filter((key) => key.startsWith('job/'));
}

// Guards against refused submissions that leave rows behind, and against jobs that fit nowhere.
const refusals: { name: string; changes: Partial<JobSpec>; code: JobErrorCode }[] = [
  { name: 'a slash in the id', changes: { id: 'a/b' }, code: JobErrorCode.Invalid },
  { name: 'no cores', changes: { cores: 0 }, code: JobErrorCode.Invalid },
  {
    name: 'a long payload',
    changes: { payload: 'x'.repeat(70_000) },
    code: JobErrorCode.Invalid,
  },
  { name: 'an unknown team', changes: { team: 'nobody' }, code: JobErrorCode.UnknownTeam },
  { name: 'more cores than any worker', changes: { cores: 9 }, code: JobErrorCode.TooLarge },
];
for (const { name, changes, code } of refusals) {
  test(`a job with ${name} is refused as ${code}`, async (t) => {
    const zone = createJobZone();
    t.is(await submit(zone, changes), code);
    t.is(zone.platform.rows.size, 0);
    t.is(await zone.counterTotal(zone.storeMetrics, 'jobs_refused_total', { reason: code }), 1);
  });
}

// Guards against reporting a submission differently from what the table contains.
const faults: { faults: CallFault[]; answer: string; rows: number }[] = [
  { faults: [CallFault.None], answer: 'recorded', rows: 1 },
  { faults: [CallFault.LoseAnswer], answer: 'existed', rows: 1 },
  { faults: [CallFault.LoseCall], answer: 'recorded', rows: 1 },
  { faults: [CallFault.NotSent], answer: JobErrorCode.PlatformUnavailable, rows: 0 },
  {
    faults: [CallFault.LoseCall, CallFault.NotSent, CallFault.NotSent, CallFault.NotSent],
    answer: JobErrorCode.OutcomeUnknown,
    rows: 0,
  },
];
for (const { faults: sequence, answer, rows } of faults) {
  test(`a submission with the call faults ${sequence.join(', ')} returns ${answer}`, async (t) => {
    const queue = [...sequence];
    const zone = createJobZone({
      wrap: (client) =>
        withFaults(client, (_part, name) =>
          name === 'transact' ? (queue.shift() ?? CallFault.None) : CallFault.None,
        ),
    });
    t.is(await submit(zone), answer);
    t.is(openRows(zone).length, rows);
  });
}

async function submitTwice(zone: JobZone): Promise<[string, string, number]> {
  const both = [await submit(zone), await submit(zone)] as const;
  return [...both, zone.platform.rows.get(jobKeys.open('zone-a', 'j1'))?.version ?? 0];
}

test('a repeated submission records nothing new, and different content is refused', async (t) => {
  const zone = createJobZone();
  t.deepEqual(await submitTwice(zone), ['recorded', 'existed', 1]);
  t.is(await submit(zone, { cores: 2 }), JobErrorCode.IdInUse);

  const unconditional = createJobZone({
    wrap: (client) => ({
      ...client,
      table: {
        ...client.table,
        get: client.table.get.bind(client.table),
        transact: (_conditions, writes) => client.table.transact([], writes),
      },
    }),
  });
  t.notDeepEqual(await submitTwice(unconditional), ['recorded', 'existed', 1]);
});

test('the quota limits open jobs, but a repeated submission succeeds at the limit', async (t) => {
  const zone = createJobZone({ maxOpenJobs: 2 });
  t.is(await submit(zone, { id: 'a' }), 'recorded');
  t.is(await submit(zone, { id: 'b' }), 'recorded');
  t.is(await submit(zone, { id: 'c' }), JobErrorCode.TeamQuota);
  t.is(await submit(zone, { id: 'a' }), 'existed');
  t.is(await submit(zone, { id: 'c', team: 'other' }), 'recorded');
});

test("only the team's own open jobs are cancelled", async (t) => {
  const zone = createJobZone();
  await submit(zone, { id: 'mine' });
  await submit(zone, { id: 'theirs', team: 'other' });
  const result = await settle(zone.clock, zone.store.cancel('team', ['mine', 'theirs', 'none']));
  t.deepEqual(Object.fromEntries(result.unwrapOr(new Map<string, CancelOutcome>())), {
    mine: CancelOutcome.Requested,
    theirs: CancelOutcome.NotOpen,
    none: CancelOutcome.NotOpen,
  });
});
