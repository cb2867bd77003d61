import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { ExitCode } from '../src/errors/index.js';
import type { StatusResponse } from '../src/operators/index.js';
import { Outcome } from '../src/peers/index.js';
import { Deployment, startProcess, waitFor, type TestEntry } from './index.js';
import { RecordedCallers } from './requests.js';

const VALID_SETTINGS =
  'name: e\nzone: z\npeers: { port: 0 }\noperators: { port: 0 }\ncallers: { port: 0 }\n';
const SECRET = 'a-secret-of-the-test-deployment';

/** Twice the default shutdown grace period. */
const SHUTDOWN_TIMEOUT_MS = 60_000;

const startCases = [
  {
    title: 'no settings file',
    settings: undefined,
    env: {},
    exitCode: ExitCode.Usage,
    text: /needs --config/,
  },
  {
    title: 'an unknown key',
    settings: `${VALID_SETTINGS}nope: 1\n`,
    env: {},
    exitCode: ExitCode.Usage,
    text: /:6: nope: found unknown key/,
  },
  {
    title: 'no peer secret',
    settings: VALID_SETTINGS,
    env: { BURDOCKNOTCH_SECRET: '', BURDOCKNOTCH_TOKEN: 't' },
    exitCode: ExitCode.Unexpected,
    text: /event=start_failed.*secret/,
  },
  {
    title: 'no operator token',
    settings: VALID_SETTINGS,
    env: { BURDOCKNOTCH_SECRET: SECRET, BURDOCKNOTCH_TOKEN: '' },
    exitCode: ExitCode.Unexpected,
    text: /event=start_failed.*token/,
  },
];

// Guards against a daemon that starts with unusable settings, or exits without saying why.
for (const { title, settings, env, exitCode, text } of startCases) {
  test(`${title} makes the daemon exit with code ${exitCode}`, async (t) => {
    const directory = await mkdtemp(join(tmpdir(), 'lifecycle-'));
    const file = join(directory, 'entry.yaml');
    if (settings !== undefined) await writeFile(file, settings);
    const args = settings === undefined ? ['entry'] : ['entry', '--config', file];
    const daemon = startProcess('entry', 'src/cli/main.js', args, env);
    await daemon.waitForLine((line) => (text.test(line) ? line : undefined));
    await waitFor('the daemon exits', () => daemon.hasExited);
    t.is(await daemon.stop(), exitCode);
    await rm(directory, { recursive: true });
  });
}

// Guards against a shutdown that interrupts requests, keeps the lease or still accepts requests.
test('SIGTERM under load: requests finish, the lease is released and the exit code is 0', async (t) => {
  const deployment = new Deployment({
    zones: ['zone-a'],
    entriesPerZone: 2,
    vmsPerZone: { motions: 1 },
    // A long lease, so that an expired lease cannot be mistaken for a released one.
    settings: { controller: { leaseTtlMs: 30_000 } },
  });
  try {
    await deployment.start();
    const [first, second] = deployment.entries as [TestEntry, TestEntry];
    const callers = new RecordedCallers(deployment);
    const status = (entry: TestEntry) => deployment.cliJson<StatusResponse>(entry, 'status');
    await waitFor('both entry processes are ready', async () => {
      const all = await Promise.all([first, second].map(status));
      return all.every(({ ready, members }) => ready && members.length === 1);
    });
    await waitFor('the zone has a controller', async () => {
      const all = await Promise.all([first, second].map(status));
      return all.some(({ holdsZoneLease }) => holdsZoneLease);
    });
    const file = await deployment.writeInventory(deployment.inventory());
    await deployment.cli(first, 'apply', file, '--wait');
    const leaving = (await status(first)).holdsZoneLease ? first : second;
    const staying = leaving === first ? second : first;
    await waitFor('the process that will stop serves requests', async () => {
      const end = await callers.send(leaving, await callers.issueId(leaving), '/work?ms=1');
      return end.outcome === Outcome.Answered;
    });
    // Whichever process owns the executor, some of these requests are forwarded by the other one.
    const senders = [leaving, leaving, staying, staying];
    const ids = await Promise.all(senders.map((entry) => callers.issueId(entry)));
    const inFlight = senders.map((entry, i) => callers.send(entry, ids[i] ?? '', '/work?ms=1500'));
    const vm = deployment.vms[0];
    await waitFor('all requests are running', async () => {
      if (!vm) return false;
      const { active } = await deployment.callControl<{ active: number }>(
        deployment.backendUrl(vm),
        'status',
      );
      return active === ids.length;
    });
    leaving.process.signal('SIGTERM');
    // Guards against waiting for a peer link until it times out, which would keep the process alive.
    await waitFor(
      'the process exits without being killed',
      () => leaving.process.hasExited,
      SHUTDOWN_TIMEOUT_MS,
    );
    t.is(await leaving.process.stop(), ExitCode.Success);
    const ends = await Promise.all(inFlight);
    t.deepEqual(
      ends.map(({ outcome }) => outcome),
      ids.map(() => Outcome.Answered),
    );
    await waitFor(
      'the other process acquires the lease',
      async () => (await status(staying)).holdsZoneLease,
    );
    t.deepEqual(callers.history.violations(), []);
  } finally {
    await deployment.stop();
  }
});
