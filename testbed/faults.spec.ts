import { createHash } from 'node:crypto';
import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';
import {
  EntityKind,
  StopState,
  VmState,
  WaveState,
  type ConfigDelta,
  type Wave,
} from '../src/configuration/index.js';
import type { Inventory } from '../src/inventory/index.js';
import { JobState } from '../src/jobs/index.js';
import { Outcome } from '../src/peers/index.js';
import type { StatusResponse, VmSummary } from '../src/operators/index.js';
import { ExitCode } from '../src/cli/index.js';
import { findViolations } from '../src/testing/controllerRig.js';
import { MemoryView } from '../src/testing/memoryView.js';
import { Deployment, waitFor, type DeploymentShape, type TestEntry, type TestVm } from './index.js';
import { RecordedCallers } from './requests.js';

/** Bound for a change to be in force, in milliseconds; a condition, not a measured duration. */
const CHANGE_BOUND_MS = 8_000;

interface Bed {
  deployment: Deployment;
  callers: RecordedCallers;
}

function status(bed: Bed, entry: TestEntry): Promise<StatusResponse> {
  return bed.deployment.cliJson<StatusResponse>(entry, 'status');
}

function entryOf(bed: Bed, index: number): TestEntry {
  const entry = bed.deployment.entries[index];
  if (!entry) throw new Error(`there is no entry process ${index}`);
  return entry;
}

/** Two zones with two entry processes each. */
const TWO_ZONES: DeploymentShape = {
  zones: ['zone-a', 'zone-b'],
  entriesPerZone: 2,
  vmsPerZone: { motions: 2 },
  settings: { controller: { leaseTtlMs: 2_000 } },
};

/** Settings of a zone whose controller works at short intervals and grants up to the limits. */
const QUICK = {
  controller: {
    ...{ leaseTtlMs: 2_000, viewTtlMs: 4_000, reconcileIntervalMs: 250 },
    ...{ confirmIntervalMs: 100, statusIntervalMs: 250, waveReserve: 0 },
  },
};

function oneZone(entriesPerZone: number, vmsPerZone: Record<string, number>): DeploymentShape {
  return { zones: ['zone-a'], entriesPerZone, vmsPerZone, settings: QUICK };
}

async function startBed({ shape = TWO_ZONES, edit }: FaultCase): Promise<Bed> {
  const deployment = new Deployment(shape);
  await deployment.start();
  const bed = { deployment, callers: new RecordedCallers(deployment) };
  await waitFor('all members are ready and know each other', async () => {
    const all = await Promise.all(deployment.entries.map((entry) => status(bed, entry)));
    return all.every(
      ({ ready, members }) => ready && members.length === deployment.entries.length - 1,
    );
  });
  const file = await deployment.writeInventory(deployment.inventory(edit));
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

interface BackendStatus {
  state: string;
  active: number;
  refused: number;
  cutOff: number;
}

function backendStatus({ deployment }: Bed, vm: TestVm): Promise<BackendStatus> {
  return deployment.control<BackendStatus>(deployment.backendUrl(vm), 'status');
}

/** Requests that reached a VM, those that it refused included. */
async function requestsReached(bed: Bed, vm: TestVm): Promise<number> {
  const url = bed.deployment.backendUrl(vm);
  const { runs } = await bed.deployment.control<{ runs: Record<string, number> }>(url, 'runs');
  const { refused } = await backendStatus(bed, vm);
  return Object.values(runs).reduce((sum, count) => sum + count, refused);
}

async function cutOffRequests(bed: Bed): Promise<number> {
  const all = await Promise.all(bed.deployment.vms.map((vm) => backendStatus(bed, vm)));
  return all.reduce((sum, { cutOff }) => sum + cutOff, 0);
}

function vmLines({ deployment }: Bed, entry: TestEntry): Promise<VmSummary[]> {
  return deployment.cliJson<VmSummary[]>(entry, 'vms');
}

async function lineOf(bed: Bed, entry: TestEntry, vm: TestVm): Promise<VmSummary | undefined> {
  return (await vmLines(bed, entry)).find((line) => line.vm === vm.id);
}

function history({ deployment }: Bed, entry: TestEntry): Promise<ConfigDelta[]> {
  return deployment.cliJson<ConfigDelta[]>(entry, 'config', 'history', '--limit', '1000');
}

async function reboots({ deployment }: Bed): Promise<string[]> {
  const { url } = deployment.platform;
  return (await deployment.control<{ reboots: string[] }>(url, 'status')).reboots;
}

function vendorDrain({ deployment }: Bed, vm: TestVm, rebootAfterMs: number): Promise<unknown> {
  return deployment.control(deployment.platform.url, `vms/${vm.id}/vendor-drain`, {
    rebootAfterMs,
  });
}

async function leaseHolder(bed: Bed, among: readonly TestEntry[]): Promise<TestEntry> {
  const found: TestEntry[] = [];
  await waitFor('one process holds the lease', async () => {
    const states = await Promise.all(among.map((entry) => status(bed, entry)));
    found.splice(0, 1, ...among.filter((_, index) => states[index]?.holdsZoneLease).slice(0, 1));
    return found.length === 1;
  });
  const [holder] = found;
  if (!holder) throw new Error('no process holds the lease');
  return holder;
}

function isInService({ state, stop, move }: VmSummary): boolean {
  const up: string = VmState.Up;
  return state === up && stop === undefined && move === undefined;
}

/** Starts a wave of the given VMs, or of a pool. */
async function startWave(bed: Bed, entry: TestEntry, ...selection: string[]): Promise<void> {
  const started = await bed.deployment.cli(entry, 'maintenance', 'start', 'w', ...selection);
  if (started.exitCode !== ExitCode.Success) throw new Error(started.errors.join(' '));
}

async function waveState(bed: Bed, entry: TestEntry): Promise<WaveState | undefined> {
  const waves = await bed.deployment.cliJson<Wave[]>(entry, 'maintenance', 'list');
  return waves[0]?.state;
}

/** Callers that send non-idempotent requests through all entry processes until they are stopped. */
function startLoad(bed: Bed, callers: number) {
  const outcomes: string[] = [];
  const { entries } = bed.deployment;
  let isStopped = false;
  const call = async (index: number) => {
    while (!isStopped) {
      const entry = entries[index % entries.length] ?? entryOf(bed, 0);
      const id = await bed.callers.issueId(entry);
      outcomes.push((await bed.callers.send(entry, id, '/work?ms=50')).outcome);
    }
  };
  const calls = Promise.all(Array.from({ length: callers }, (_, index) => call(index)));
  const stop = async () => {
    isStopped = true;
    await calls;
  };
  return { outcomes, stop };
}

/** Versions at which the planned stops alone exceed the rules of a pool. */
function excessiveStops(deltas: readonly ConfigDelta[]): string[] {
  const view = new MemoryView();
  const found: string[] = [];
  for (const delta of deltas) {
    view.adopt([delta]);
    for (const pool of view.list(EntityKind.Pool)) {
      const vms = view.vmsOfPool(pool.id);
      const stops = vms.filter(({ id }) => view.get(EntityKind.Stop, id)).length;
      const isWithin = stops <= pool.maxAway && vms.length - stops >= pool.minAvailable;
      if (!isWithin) found.push(`version ${delta.version}: ${stops} stops in ${pool.id}`);
    }
  }
  return found;
}

/** States of the planned stop of a VM in the order of the versions; undefined for its end. */
function stopStates(deltas: readonly ConfigDelta[], vm: TestVm): (StopState | undefined)[] {
  const changes = deltas.flatMap((delta) => delta.changes);
  return changes.flatMap((change) =>
    change.kind === EntityKind.Stop && change.id === vm.id ? [change.value?.state] : [],
  );
}

interface JobAnswer {
  state: JobState;
  attempts: number;
  result?: { sha256: string };
}

const JOB_HEADERS = { team: 'league', 'content-type': 'application/json' };

async function submitJob(entry: TestEntry, id: string, payload: object): Promise<void> {
  const spec = { id, kind: 'export', idempotent: false, cores: 1, memoryMib: 512, payload };
  const res = await request(`${entry.callers}/v1/jobs`, {
    ...{ method: 'POST', headers: JOB_HEADERS, body: JSON.stringify(spec) },
  });
  const text = await res.body.text();
  if (res.statusCode !== 201) throw new Error(`job ${id}: status ${res.statusCode}: ${text}`);
}

async function readJob(entry: TestEntry, id: string): Promise<JobAnswer> {
  const res = await request(`${entry.callers}/v1/jobs/${id}`, { headers: JOB_HEADERS });
  return (await res.body.json()) as JobAnswer;
}

async function resultHash(entry: TestEntry, id: string): Promise<string> {
  const res = await request(`${entry.callers}/v1/jobs/${id}/result`, { headers: JOB_HEADERS });
  return sha256(Buffer.from(await res.body.arrayBuffer()));
}

function sha256(body: Uint8Array | string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Tasks of a job on all workers, as the platform lists them. */
async function tasksOf({ deployment }: Bed, jobId: string): Promise<number> {
  let count = 0;
  for (const { id } of deployment.vms) {
    const res = await request(`${deployment.platform.url}/v1/vms/${id}/tasks`);
    const { report } = (await res.body.json()) as { report: { tasks: { jobId: string }[] } };
    count += report.tasks.filter((task) => task.jobId === jobId).length;
  }
  return count;
}

interface FaultCase {
  title: string;
  shape?: DeploymentShape;
  /** Edits the inventory before it is applied. */
  edit?: (inventory: Inventory) => void;
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
      const exported = await deployment.cliJson<Inventory>(entryOf(bed, 0), 'config', 'export');
      t.deepEqual(exported, { ...deployment.inventory(), baseVersion: base });
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
  {
    // Guards against P3 to P6 when the vendor does not ask: the VM refuses before it is listed.
    title: 'the vendor drains a VM under load: nothing is cut off, and it is back afterwards',
    shape: oneZone(2, { motions: 3 }),
    run: async (t, bed) => {
      const entries = [entryOf(bed, 0), entryOf(bed, 1)];
      const [vm] = bed.deployment.vms;
      if (!vm) return;
      const isInState = (state: VmState) => async () => {
        const lines = await Promise.all(entries.map((entry) => lineOf(bed, entry, vm)));
        return lines.every((line) => line?.state === state);
      };
      const load = startLoad(bed, 8);
      try {
        await waitFor('the VM serves', async () => (await requestsReached(bed, vm)) > 10);
        await vendorDrain(bed, vm, 5_000);
        await waitFor('the VM is known to leave', isInState(VmState.Leaving));
        const reached = await requestsReached(bed, vm);
        const ended = load.outcomes.length;
        await waitFor('other VMs serve', () => load.outcomes.length > ended + 50);
        t.is(await requestsReached(bed, vm), reached, 'new work on a leaving VM');
        await waitFor('the VM is back', isInState(VmState.Up));
        await waitFor(
          'the VM serves again',
          async () => (await requestsReached(bed, vm)) > reached,
        );
      } finally {
        await load.stop();
      }
      t.deepEqual([...new Set(load.outcomes)], [Outcome.Answered]);
      t.is(await cutOffRequests(bed), 0);
      t.deepEqual(await reboots(bed), [vm.id]);
    },
  },
  {
    // Guards against P1 when a failure domain goes while our own stops are under way.
    title: 'the vendor takes a rack during a wave: stops are cancelled and the spare pool lends',
    shape: oneZone(2, { motions: 4, spare: 2 }),
    edit: ({ pools, vms }) => {
      for (const pool of pools) pool.maxAwayPerZone = 2;
      const [motions] = pools;
      if (motions) motions.minAvailable = 3;
      for (const [index, vm] of vms.entries()) vm.rack = `rack-${Math.floor(index / 2)}`;
    },
    run: async (t, bed) => {
      const { deployment } = bed;
      const entry = entryOf(bed, 0);
      const motions = deployment.vms.filter(({ pool }) => pool === 'motions');
      // Requests on all VMs keep the first stop from ending its drain.
      const senders = Array.from({ length: 8 }, () => deployment.entries).flat();
      const sent = senders.map(async (sender) => {
        return bed.callers.send(sender, await bed.callers.issueId(sender), '/work?ms=8000');
      });
      await waitFor('each VM is busy', async () => {
        const all = await Promise.all(motions.map((vm) => backendStatus(bed, vm)));
        return all.every(({ active }) => active > 0);
      });
      await startWave(bed, entry, '--pool', 'motions');
      let stopped: TestVm | undefined;
      await waitFor('a stop drains its VM', async () => {
        const line = (await vmLines(bed, entry)).find((each) => each.stop === StopState.Draining);
        stopped = motions.find(({ id }) => id === line?.vm);
        return stopped !== undefined;
      });
      if (!stopped) return;
      const stop = stopped;
      const half = motions.indexOf(stop) < 2 ? motions.slice(2) : motions.slice(0, 2);
      await Promise.all(half.map((vm) => vendorDrain(bed, vm, 20_000)));
      await waitFor('the stop is cancelled', async () => {
        const line = await lineOf(bed, entry, stop);
        return line?.stop === undefined && line?.state === VmState.Up;
      });
      await waitFor('the wave is paused', async () => {
        return (await waveState(bed, entry)) === WaveState.Paused;
      });
      await waitFor('a spare VM serves the pool', async () => {
        const lines = await vmLines(bed, entry);
        return lines.some((line) => line.homePool === 'spare' && line.pool === 'motions');
      });
      const available = (await vmLines(bed, entry)).filter(
        (line) => line.pool === 'motions' && isInService(line),
      );
      t.is(available.length, 3);
      const deltas = await history(bed, entry);
      t.is(deltas[0]?.version, 1);
      const states = stopStates(deltas, stop);
      t.deepEqual(states, [StopState.Granted, StopState.Draining, undefined]);
      t.deepEqual(await reboots(bed), []);
      t.deepEqual(findViolations(deltas), []);
      t.deepEqual(excessiveStops(deltas), []);
      const ends = await Promise.all(sent);
      t.deepEqual([...new Set(ends.map(({ outcome }) => outcome))], [Outcome.Answered]);
      t.is(await cutOffRequests(bed), 0);
    },
  },
  {
    // Guards against a stop that stays half done, or that reboots a VM with work, after takeovers.
    title: 'two lease holders are killed during a planned stop: the next one completes it',
    shape: oneZone(3, { motions: 2 }),
    run: async (t, bed) => {
      const { entries, vms } = bed.deployment;
      const first = await leaseHolder(bed, entries);
      const others = entries.filter((entry) => entry !== first);
      // The caller loses its connection; the request must still not be cut off.
      const id = await bed.callers.issueId(first);
      const sent = bed.callers.send(first, id, '/work?ms=8000');
      let busy: TestVm | undefined;
      await waitFor('a VM is busy', async () => {
        const all = await Promise.all(vms.map((vm) => backendStatus(bed, vm)));
        busy = vms[all.findIndex(({ active }) => active > 0)];
        return busy !== undefined;
      });
      if (!busy) return;
      const vm = busy;
      const [watcher] = others;
      if (!watcher) return;
      await startWave(bed, watcher, '--vm', vm.id);
      await waitFor('the stop drains its VM', async () => {
        return (await lineOf(bed, watcher, vm))?.stop === StopState.Draining;
      });
      await first.process.kill();
      const second = await leaseHolder(bed, others);
      t.is((await lineOf(bed, second, vm))?.stop, StopState.Draining, 'the stop is under way');
      await second.process.kill();
      const [last] = others.filter((entry) => entry !== second);
      if (!last) return;
      await waitFor('the stop is complete', async () => {
        const line = await lineOf(bed, last, vm);
        const isDone = (await waveState(bed, last)) === WaveState.Finished;
        return isDone && line?.stop === undefined && line?.state === VmState.Up;
      });
      await sent;
      t.true((await status(bed, last)).holdsZoneLease);
      t.deepEqual(await reboots(bed), [vm.id]);
      t.is(await cutOffRequests(bed), 0);
      const deltas = await history(bed, last);
      t.deepEqual(stopStates(deltas, vm), [
        ...[StopState.Granted, StopState.Draining, StopState.Drained],
        ...[StopState.Stopping, StopState.Returning, undefined],
      ]);
      t.deepEqual(findViolations(deltas), []);
      await waitForService(bed, last);
    },
  },
  {
    // Guards against accepted jobs that are lost, run twice or answered in part.
    title: 'jobs survive the kill of the process that accepted them and of the lease holder',
    shape: oneZone(3, { motions: 2 }),
    run: async (t, bed) => {
      const { entries } = bed.deployment;
      const holder = await leaseHolder(bed, entries);
      const [accepting, last] = entries.filter((entry) => entry !== holder);
      if (!accepting || !last) return;
      const results = new Map(
        ['running', 'accepted'].map((id) => [id, `${id}, `.repeat(2_000)] as const),
      );
      const payload = (id: string) => ({ runMs: 3_000, result: results.get(id) });
      await submitJob(accepting, 'running', payload('running'));
      await waitFor('the first job runs', async () => (await tasksOf(bed, 'running')) > 0);
      await submitJob(accepting, 'accepted', payload('accepted'));
      await Promise.all([accepting.process.kill(), holder.process.kill()]);
      for (const [id, result] of results) {
        await waitFor(`job ${id} ends`, async () => {
          const { state } = await readJob(last, id);
          return ![JobState.Queued, JobState.Running].includes(state);
        });
        const job = await readJob(last, id);
        t.is(job.state, JobState.Succeeded, id);
        t.is(job.attempts, 1, id);
        t.is(await tasksOf(bed, id), 1, id);
        t.is(job.result?.sha256, sha256(result), id);
        t.is(await resultHash(last, id), sha256(result), id);
      }
    },
  },
];

for (const faultCase of cases) {
  test.serial(faultCase.title, async (t) => {
    const bed = await startBed(faultCase);
    try {
      await faultCase.run(t, bed);
      t.deepEqual(bed.callers.history.violations(), []);
    } finally {
      await bed.deployment.stop();
    }
  });
}
