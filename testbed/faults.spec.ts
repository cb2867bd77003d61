import test, { type ExecutionContext } from 'ava';
import { Outcome } from '../src/peers/index.js';
import type { StatusAnswer } from '../src/operators/index.js';
import { ExitCode } from '../src/cli/index.js';
import { Deployment, waitFor, type TestEntry } from './index.js';
import { RecordedCallers } from './requests.js';

/** Bound for a change to be in force, in milliseconds; a condition, not a measured duration. */
const CHANGE_BOUND_MS = 8_000;

interface Bed {
  deployment: Deployment;
  callers: RecordedCallers;
}

function status(bed: Bed, entry: TestEntry): Promise<StatusAnswer> {
  return bed.deployment.cliJson<StatusAnswer>(entry, 'status');
}

function entryOf(bed: Bed, index: number): TestEntry {
  const entry = bed.deployment.entries[index];
  if (!entry) throw new Error(`there is no entry process ${index}`);
  return entry;
}

async function startBed(): Promise<Bed> {
  const deployment = new Deployment({
    zones: ['zone-a', 'zone-b'],
    entriesPerZone: 2,
    vmsPerZone: { motions: 2 },
    settings: { controller: { leaseTtlMs: 2_000 } },
  });
  await deployment.start();
  const bed = { deployment, callers: new RecordedCallers(deployment) };
  await waitFor('all members are ready and know each other', async () => {
    const all = await Promise.all(deployment.entries.map((entry) => status(bed, entry)));
    return all.every(({ ready, members }) => ready && members.length === 3);
  });
  const file = await deployment.writeInventory(deployment.inventory());
  const { exitCode, errors } = await deployment.cli(entryOf(bed, 0), 'apply', file, '--wait');
  if (exitCode !== ExitCode.Success) throw new Error(errors.join('\n'));
  await Promise.all(deployment.entries.map((entry) => waitForService(bed, entry)));
  return bed;
}

async function waitForService(bed: Bed, entry: TestEntry): Promise<void> {
  await waitFor(`${entry.name} serves`, async () => {
    const id = await bed.callers.issueId(entry);
    const end = await bed.callers.send(entry, id, '/work?ms=1');
    return end.outcome === Outcome.Answered;
  });
}

async function waitForVersion(bed: Bed, entry: TestEntry, version: number): Promise<void> {
  await waitFor(
    `version ${version} on ${entry.name}`,
    async () => (await status(bed, entry)).configVersion >= version,
    CHANGE_BOUND_MS,
  );
}

/** Applies a changed rule and returns its version. */
async function changeRule(bed: Bed, entry: TestEntry, maxAway: number): Promise<number> {
  const { deployment } = bed;
  const inventory = deployment.inventory((draft) => {
    for (const pool of draft.pools) pool.maxAway = maxAway;
  });
  const file = await deployment.writeInventory(inventory, `rule-${maxAway}.yaml`);
  const { version } = await deployment.cliJson<{ version: number }>(entry, 'apply', file);
  return version;
}

interface FaultCase {
  title: string;
  run: (t: ExecutionContext, bed: Bed) => Promise<void>;
}

const cases: FaultCase[] = [
  {
    title: 'an entry process is killed while it runs a non-idempotent request: no second run',
    run: async (t, bed) => {
      const [victim, zoneMate, other] = [entryOf(bed, 0), entryOf(bed, 1), entryOf(bed, 2)];
      const id = await bed.callers.issueId(victim);
      const first = bed.callers.send(victim, id, '/work?ms=1500');
      await waitFor('the request runs', async () => {
        const states = await Promise.all(
          bed.deployment.vms.map((vm) =>
            bed.deployment.control<{ active: number }>(bed.deployment.backendUrl(vm), 'status'),
          ),
        );
        return states.some(({ active }) => active > 0);
      });
      await victim.process.kill();
      t.is((await first).outcome, 'closed');
      for (const entry of [zoneMate, other]) {
        const end = await bed.callers.send(entry, id, '/work?ms=1');
        t.is(end.outcome, Outcome.Unknown, `retry through ${entry.name}`);
      }
      await waitForService(bed, zoneMate);
      await waitForService(bed, other);
    },
  },
  {
    title: 'a frozen lease holder resumes after its lease lapsed: one holder, no version lost',
    run: async (t, bed) => {
      const all = bed.deployment.entries;
      const zone = [entryOf(bed, 0), entryOf(bed, 1)];
      const holderOf = async (entries: TestEntry[]) => {
        const states = await Promise.all(entries.map((entry) => status(bed, entry)));
        return entries.filter((_, index) => states[index]?.holdsZoneLease);
      };
      await waitFor('the zone has a lease holder', async () => (await holderOf(zone)).length === 1);
      const [holder] = await holderOf(zone);
      const mate = zone.find((entry) => entry !== holder);
      if (!holder || !mate) return;
      holder.process.signal('SIGSTOP');
      await waitFor('the other takes the lease', async () => (await holderOf([mate])).length === 1);
      const version = await changeRule(bed, mate, 3);
      const id = await bed.callers.issueId(mate);
      const end = await bed.callers.send(mate, id, '/work?ms=5');
      t.not(end.outcome, Outcome.Unknown);
      holder.process.signal('SIGCONT');
      await waitForVersion(bed, holder, version);
      const holders = await holderOf(zone);
      t.deepEqual(
        holders.map(({ name }) => name),
        [mate.name],
      );
      await Promise.all(all.map((entry) => waitForVersion(bed, entry, version)));
      await waitForService(bed, holder);
    },
  },
  {
    title: 'zones are cut off from each other: each serves, and the views converge after healing',
    run: async (t, bed) => {
      const zoneA = [entryOf(bed, 0), entryOf(bed, 1)];
      const zoneB = [entryOf(bed, 2), entryOf(bed, 3)];
      const cut = async (on: boolean) => {
        for (const entry of [...zoneA, ...zoneB]) {
          const target = entry.zone === 'zone-a' ? 'zone-b' : 'zone-a';
          t.is(await bed.deployment.operator(entry, '/v1/faults/cut', { target, on }), 200);
        }
      };
      const liveOthers = async (entry: TestEntry) => {
        const { members } = await status(bed, entry);
        return members.filter(({ state }) => state === 'alive').length;
      };
      const seen = (count: number) => async () => {
        const counts = await Promise.all([...zoneA, ...zoneB].map(liveOthers));
        return counts.every((live) => live === count);
      };
      await cut(true);
      await waitFor('the views split', seen(1));
      for (const entry of [...zoneA, ...zoneB]) await waitForService(bed, entry);
      const version = await changeRule(bed, entryOf(bed, 0), 4);
      await cut(false);
      await waitFor('the views converge', seen(3));
      for (const entry of zoneB) await waitForVersion(bed, entry, version);
    },
  },
  {
    title: 'the platform is down: requests are served, changes refused, a restart asks its zone',
    run: async (t, bed) => {
      const { deployment } = bed;
      const [survivor, victim] = [entryOf(bed, 0), entryOf(bed, 1)];
      const { configVersion } = await status(bed, survivor);
      await deployment.fault(deployment.platform.url, { kind: 'fail', path: '/' });
      for (const entry of [entryOf(bed, 0), entryOf(bed, 2)]) await waitForService(bed, entry);
      const file = await deployment.writeInventory(
        deployment.inventory((draft) => {
          for (const pool of draft.pools) pool.maxAway = 5;
        }),
        'refused.yaml',
      );
      const refused = await deployment.cli(survivor, 'apply', file);
      t.is(refused.exitCode, ExitCode.Refused, refused.errors.join(' '));
      await victim.process.kill();
      deployment.entries.splice(deployment.entries.indexOf(victim), 1);
      const restarted = await deployment.startEntry('zone-a', victim.name);
      await waitFor(`${restarted.name} has the configuration`, async () => {
        const now = await status(bed, restarted);
        return now.ready && now.configVersion >= configVersion;
      });
      await waitForService(bed, restarted);
      await deployment.fault(deployment.platform.url);
      await waitFor('changes are accepted again', async () => {
        const { exitCode } = await deployment.cli(survivor, 'apply', file);
        return exitCode === ExitCode.Success;
      });
    },
  },
  {
    title: 'two operators race: one change is applied, the other names the version that won',
    run: async (t, bed) => {
      const { deployment } = bed;
      const base = (await status(bed, entryOf(bed, 0))).configVersion;
      const files = await Promise.all(
        [6, 7].map((maxAway) => {
          const inventory = deployment.inventory((draft) => {
            draft.baseVersion = base;
            for (const pool of draft.pools) pool.maxAway = maxAway;
          });
          return deployment.writeInventory(inventory, `race-${maxAway}.yaml`);
        }),
      );
      const results = await Promise.all(
        files.map((file, index) =>
          deployment.cli(entryOf(bed, index * 2), 'apply', file, '--author', `operator-${index}`),
        ),
      );
      const codes = results.map(({ exitCode }) => exitCode).sort();
      t.deepEqual(codes, [ExitCode.Success, ExitCode.Conflict]);
      const loser = results.find(({ exitCode }) => exitCode === ExitCode.Conflict);
      t.regex(loser?.errors.join(' ') ?? '', /version \d+ by operator-\d was applied first/);
    },
  },
];

for (const { title, run } of cases) {
  test.serial(title, async (t) => {
    const bed = await startBed();
    try {
      await run(t, bed);
      t.deepEqual(bed.callers.history.violations(), []);
    } finally {
      await bed.deployment.stop();
    }
  });
}
