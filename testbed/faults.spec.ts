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

/** Time within which an accepted change must be in force. */
const CHANGE_TIMEOUT_MS = 8_000;

interface Testbed {
  deployment: Deployment;
  callers: RecordedCallers;
}

function readStatus(bed: Testbed, entry: TestEntry): Promise<StatusResponse> {
  return bed.deployment.cliJson<StatusResponse>(entry, 'status');
}

function entryAt(bed: Testbed, index: number): TestEntry {
  const entry = bed.deployment.entries[index];
  if (!entry) throw new Error(`no entry process with index ${index}`);
  return entry;
}

/** Two zones with two entry processes each. */
const TWO_ZONES: DeploymentShape = {
  zones: ['zone-a', 'zone-b'],
  entriesPerZone: 2,
  vmsPerZone: { motions: 2 },
  settings: { controller: { leaseTtlMs: 2_000 } },
};

/** Controller settings with short intervals and no wave reserve, so that it grants up to the limits. */
const SHORT_INTERVALS = {
  controller: {
    ...{ leaseTtlMs: 2_000, viewTtlMs: 4_000, reconcileIntervalMs: 250 },
    ...{ confirmIntervalMs: 100, statusIntervalMs: 250, waveReserve: 0 },
  },
};

function singleZone(entriesPerZone: number, vmsPerZone: Record<string, number>): DeploymentShape {
  return { zones: ['zone-a'], entriesPerZone, vmsPerZone, settings: SHORT_INTERVALS };
}

async function startTestbed({ shape = TWO_ZONES, edit }: FaultCase): Promise<Testbed> {
  const deployment = new Deployment(shape);
  await deployment.start();
  const bed = { deployment, callers: new RecordedCallers(deployment) };
  await waitFor('all members are ready and know each other', async () => {
    const all = await Promise.all(deployment.entries.map((entry) => readStatus(bed, entry)));
    return all.every(
      ({ ready, members }) => ready && members.length === deployment.entries.length - 1,
    );
  });
  const file = await deployment.writeInventory(deployment.inventory(edit));
  const { exitCode, errors } = await deployment.cli(entryAt(bed, 0), 'apply', file, '--wait');
  if (exitCode !== ExitCode.Success) throw new Error(errors.join('\n'));
  await Promise.all(deployment.entries.map((entry) => waitForService(bed, entry)));
  return bed;
}

async function waitForService(bed: Testbed, entry: TestEntry): Promise<void> {
  await waitFor(`${entry.name} serves`, async () => {
    const id = await bed.callers.issueId(entry);
    const end = await bed.callers.send(entry, id, '/work?ms=1');
    return end.outcome === Outcome.Answered;
  });
}

async function waitForVersion(bed: Testbed, entry: TestEntry, version: number): Promise<void> {
  await waitFor(
    `version ${version} on ${entry.name}`,
    async () => (await readStatus(bed, entry)).configVersion >= version,
    CHANGE_TIMEOUT_MS,
  );
}

/** Changes `maxAway` of all pools and returns the resulting configuration version. */
async function changeRule(bed: Testbed, entry: TestEntry, maxAway: number): Promise<number> {
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

function readBackendStatus({ deployment }: Testbed, vm: TestVm): Promise<BackendStatus> {
  return deployment.callControl<BackendStatus>(deployment.backendUrl(vm), 'status');
}

/** Number of requests that reached a VM, including those that it refused. */
async function countReceivedRequests(bed: Testbed, vm: TestVm): Promise<number> {
  const url = bed.deployment.backendUrl(vm);
  const { runs } = await bed.deployment.callControl<{ runs: Record<string, number> }>(url, 'runs');
  const { refused } = await readBackendStatus(bed, vm);
  return Object.values(runs).reduce((sum, count) => sum + count, refused);
}

async function countInterruptedRequests(bed: Testbed): Promise<number> {
  const all = await Promise.all(bed.deployment.vms.map((vm) => readBackendStatus(bed, vm)));
  return all.reduce((sum, { cutOff }) => sum + cutOff, 0);
}

function readVmLines({ deployment }: Testbed, entry: TestEntry): Promise<VmSummary[]> {
  return deployment.cliJson<VmSummary[]>(entry, 'vms');
}

async function readVmLine(
  bed: Testbed,
  entry: TestEntry,
  vm: TestVm,
): Promise<VmSummary | undefined> {
  return (await readVmLines(bed, entry)).find((line) => line.vm === vm.id);
}

function readHistory({ deployment }: Testbed, entry: TestEntry): Promise<ConfigDelta[]> {
  return deployment.cliJson<ConfigDelta[]>(entry, 'config', 'history', '--limit', '1000');
}

async function readRebootedVms({ deployment }: Testbed): Promise<string[]> {
  const { url } = deployment.platform;
  return (await deployment.callControl<{ reboots: string[] }>(url, 'status')).reboots;
}

function startVendorDrain(
  { deployment }: Testbed,
  vm: TestVm,
  rebootAfterMs: number,
): Promise<unknown> {
  return deployment.callControl(deployment.platform.url, `vms/${vm.id}/vendor-drain`, {
    rebootAfterMs,
  });
}

async function waitForLeaseHolder(bed: Testbed, among: readonly TestEntry[]): Promise<TestEntry> {
  const found: TestEntry[] = [];
  await waitFor('one process holds the lease', async () => {
    const states = await Promise.all(among.map((entry) => readStatus(bed, entry)));
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

/** Starts a maintenance wave; `selection` holds the options that select its VMs. */
async function startWave(bed: Testbed, entry: TestEntry, ...selection: string[]): Promise<void> {
  const started = await bed.deployment.cli(entry, 'maintenance', 'start', 'w', ...selection);
  if (started.exitCode !== ExitCode.Success) throw new Error(started.errors.join(' '));
}

async function readWaveState(bed: Testbed, entry: TestEntry): Promise<WaveState | undefined> {
  const waves = await bed.deployment.cliJson<Wave[]>(entry, 'maintenance', 'list');
  return waves[0]?.state;
}

/** Starts callers that send non-idempotent requests through all entry processes until `stop`. */
function startLoad(bed: Testbed, callers: number) {
  const outcomes: string[] = [];
  const { entries } = bed.deployment;
  let isStopped = false;
  const sendLoop = async (index: number) => {
    while (!isStopped) {
      const entry = entries[index % entries.length] ?? entryAt(bed, 0);
      const id = await bed.callers.issueId(entry);
      outcomes.push((await bed.callers.send(entry, id, '/work?ms=50')).outcome);
    }
  };
  const loops = Promise.all(Array.from({ length: callers }, (_, index) => sendLoop(index)));
  const stop = async () => {
    isStopped = true;
    await loops;
  };
  return { outcomes, stop };
}

/** Finds versions at which the planned stops alone exceed the limits of a pool. */
function findExcessiveStops(deltas: readonly ConfigDelta[]): string[] {
  const view = new MemoryView();
  const found: string[] = [];
  for (const delta of deltas) {
    view.adopt([delta]);
    for (const pool of view.list(EntityKind.Pool)) {
      const vms = view.vmsOfPool(pool.id);
      const stops = vms.filter(({ id }) => view.get(EntityKind.Stop, id)).length;
      const isWithinLimits = stops <= pool.maxAway && vms.length - stops >= pool.minAvailable;
      if (!isWithinLimits) found.push(`version ${delta.version}: ${stops} stops in ${pool.id}`);
    }
  }
  return found;
}

/** States of the planned stop of a VM in version order; undefined stands for its removal. */
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
  const res = await request(`${entry.callerUrl}/v1/jobs`, {
    ...{ method: 'POST', headers: JOB_HEADERS, body: JSON.stringify(spec) },
  });
  const text = await res.body.text();
  if (res.statusCode !== 201) throw new Error(`job ${id}: status ${res.statusCode}: ${text}`);
}

async function readJob(entry: TestEntry, id: string): Promise<JobAnswer> {
  const res = await request(`${entry.callerUrl}/v1/jobs/${id}`, { headers: JOB_HEADERS });
  return (await res.body.json()) as JobAnswer;
}

async function readResultHash(entry: TestEntry, id: string): Promise<string> {
  const res = await request(`${entry.callerUrl}/v1/jobs/${id}/result`, { headers: JOB_HEADERS });
  return sha256(Buffer.from(await res.body.arrayBuffer()));
}

function sha256(body: Uint8Array | string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Number of tasks of a job on all workers, as reported by the platform. */
async function countTasks({ deployment }: Testbed, jobId: string): Promise<number> {
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
  /** Modifies the inventory before it is applied. */
  edit?: (inventory: Inventory) => void;
  run: (t: ExecutionContext, bed: Testbed) => Promise<void>;
}

const cases: FaultCase[] = [
  {
    title: 'a non-idempotent request does not run twice when its entry process is killed',
    run: async (t, bed) => {
      const [victim, sameZoneEntry, other] = [entryAt(bed, 0), entryAt(bed, 1), entryAt(bed, 2)];
      const id = await bed.callers.issueId(victim);
      const first = bed.callers.send(victim, id, '/work?ms=1500');
      await waitFor('the request runs', async () => {
        const states = await Promise.all(
          bed.deployment.vms.map((vm) =>
            bed.deployment.callControl<{ active: number }>(bed.deployment.backendUrl(vm), 'status'),
          ),
        );
        return states.some(({ active }) => active > 0);
      });
      await victim.process.kill();
      t.is((await first).outcome, 'closed');
      for (const entry of [sameZoneEntry, other]) {
        const end = await bed.callers.send(entry, id, '/work?ms=1');
        t.is(end.outcome, Outcome.Unknown, `retry through ${entry.name}`);
      }
      await waitForService(bed, sameZoneEntry);
      await waitForService(bed, other);
    },
  },
  {
    title:
      'a lease holder suspended until its lease expires leaves it to the new holder and catches up',
    run: async (t, bed) => {
      const all = bed.deployment.entries;
      const zone = [entryAt(bed, 0), entryAt(bed, 1)];
      const holderOf = async (entries: TestEntry[]) => {
        const states = await Promise.all(entries.map((entry) => readStatus(bed, entry)));
        return entries.filter((_, index) => states[index]?.holdsZoneLease);
      };
      await waitFor('the zone has a lease holder', async () => (await holderOf(zone)).length === 1);
      const [holder] = await holderOf(zone);
      const other = zone.find((entry) => entry !== holder);
      if (!holder || !other) return;
      holder.process.signal('SIGSTOP');
      await waitFor(
        'the other entry process acquires the lease',
        async () => (await holderOf([other])).length === 1,
      );
      const version = await changeRule(bed, other, 3);
      const id = await bed.callers.issueId(other);
      const end = await bed.callers.send(other, id, '/work?ms=5');
      t.not(end.outcome, Outcome.Unknown);
      holder.process.signal('SIGCONT');
      await waitForVersion(bed, holder, version);
      const holders = await holderOf(zone);
      t.deepEqual(
        holders.map(({ name }) => name),
        [other.name],
      );
      await Promise.all(all.map((entry) => waitForVersion(bed, entry, version)));
      await waitForService(bed, holder);
    },
  },
  {
    title: 'partitioned zones keep serving, and their views converge after the partition heals',
    run: async (t, bed) => {
      const zoneA = [entryAt(bed, 0), entryAt(bed, 1)];
      const zoneB = [entryAt(bed, 2), entryAt(bed, 3)];
      const setPartition = async (on: boolean) => {
        for (const entry of [...zoneA, ...zoneB]) {
          const target = entry.zone === 'zone-a' ? 'zone-b' : 'zone-a';
          t.is(await bed.deployment.postToOperator(entry, '/v1/faults/cut', { target, on }), 200);
        }
      };
      const countLiveMembers = async (entry: TestEntry) => {
        const { members } = await readStatus(bed, entry);
        return members.filter(({ state }) => state === 'alive').length;
      };
      const everyEntrySees = (count: number) => async () => {
        const counts = await Promise.all([...zoneA, ...zoneB].map(countLiveMembers));
        return counts.every((live) => live === count);
      };
      await setPartition(true);
      await waitFor('each zone sees only its own members', everyEntrySees(1));
      for (const entry of [...zoneA, ...zoneB]) await waitForService(bed, entry);
      const version = await changeRule(bed, entryAt(bed, 0), 4);
      await setPartition(false);
      await waitFor('the views converge', everyEntrySees(3));
      for (const entry of zoneB) await waitForVersion(bed, entry, version);
    },
  },
  {
    title:
      'without the platform, requests are served, changes are refused and a restarted entry process loads its configuration from the zone',
    run: async (t, bed) => {
      const { deployment } = bed;
      const [survivor, victim] = [entryAt(bed, 0), entryAt(bed, 1)];
      const { configVersion } = await readStatus(bed, survivor);
      await deployment.setFault(deployment.platform.url, { kind: 'fail', path: '/' });
      for (const entry of [entryAt(bed, 0), entryAt(bed, 2)]) await waitForService(bed, entry);
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
        const now = await readStatus(bed, restarted);
        return now.ready && now.configVersion >= configVersion;
      });
      await waitForService(bed, restarted);
      await deployment.setFault(deployment.platform.url);
      await waitFor('changes are accepted again', async () => {
        const { exitCode } = await deployment.cli(survivor, 'apply', file);
        return exitCode === ExitCode.Success;
      });
    },
  },
  {
    title:
      'of two concurrent changes one is applied, and the error of the other names the applied version',
    run: async (t, bed) => {
      const { deployment } = bed;
      const base = (await readStatus(bed, entryAt(bed, 0))).configVersion;
      const exported = await deployment.cliJson<Inventory>(entryAt(bed, 0), 'config', 'export');
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
          deployment.cli(entryAt(bed, index * 2), 'apply', file, '--author', `operator-${index}`),
        ),
      );
      const codes = results.map(({ exitCode }) => exitCode).sort();
      t.deepEqual(codes, [ExitCode.Success, ExitCode.Conflict]);
      const loser = results.find(({ exitCode }) => exitCode === ExitCode.Conflict);
      t.regex(loser?.errors.join(' ') ?? '', /version \d+ by operator-\d was applied first/);
    },
  },
  {
    // Guards against interrupted requests, and new requests on a leaving VM, when the vendor drains a
    // VM without notice (P3 to P6): the VM refuses requests before the VM list shows it as leaving.
    title: 'a VM that the vendor drains under load loses no request and returns to service',
    shape: singleZone(2, { motions: 3 }),
    run: async (t, bed) => {
      const entries = [entryAt(bed, 0), entryAt(bed, 1)];
      const [vm] = bed.deployment.vms;
      if (!vm) return;
      const isInState = (state: VmState) => async () => {
        const lines = await Promise.all(entries.map((entry) => readVmLine(bed, entry, vm)));
        return lines.every((line) => line?.state === state);
      };
      const load = startLoad(bed, 8);
      try {
        await waitFor('the VM serves', async () => (await countReceivedRequests(bed, vm)) > 10);
        await startVendorDrain(bed, vm, 5_000);
        await waitFor('all entry processes see the VM as leaving', isInState(VmState.Leaving));
        const reached = await countReceivedRequests(bed, vm);
        const ended = load.outcomes.length;
        await waitFor('other VMs serve', () => load.outcomes.length > ended + 50);
        t.is(await countReceivedRequests(bed, vm), reached, 'no new requests on a leaving VM');
        await waitFor('the VM is up again', isInState(VmState.Up));
        await waitFor(
          'the VM serves again',
          async () => (await countReceivedRequests(bed, vm)) > reached,
        );
      } finally {
        await load.stop();
      }
      t.deepEqual([...new Set(load.outcomes)], [Outcome.Answered]);
      t.is(await countInterruptedRequests(bed), 0);
      t.deepEqual(await readRebootedVms(bed), [vm.id]);
    },
  },
  {
    // Guards against too few available VMs in a pool (P1) when a rack is drained while planned stops
    // are in progress.
    title:
      'when the vendor drains a rack during a wave, stops are cancelled and the spare pool lends a VM',
    shape: singleZone(2, { motions: 4, spare: 2 }),
    edit: ({ pools, vms }) => {
      for (const pool of pools) pool.maxAwayPerZone = 2;
      const [motions] = pools;
      if (motions) motions.minAvailable = 3;
      for (const [index, vm] of vms.entries()) vm.rack = `rack-${Math.floor(index / 2)}`;
    },
    run: async (t, bed) => {
      const { deployment } = bed;
      const entry = entryAt(bed, 0);
      const motions = deployment.vms.filter(({ pool }) => pool === 'motions');
      // Long requests on all VMs keep the first stop in its drain phase.
      const senders = Array.from({ length: 8 }, () => deployment.entries).flat();
      const pendingResults = senders.map(async (sender) => {
        return bed.callers.send(sender, await bed.callers.issueId(sender), '/work?ms=8000');
      });
      // If the test fails before it awaits these, their rejections must not count as further failures.
      void Promise.allSettled(pendingResults);
      await waitFor('each VM is busy', async () => {
        const all = await Promise.all(motions.map((vm) => readBackendStatus(bed, vm)));
        return all.every(({ active }) => active > 0);
      });
      await startWave(bed, entry, '--pool', 'motions');
      let stopped: TestVm | undefined;
      await waitFor('a stop drains its VM', async () => {
        const line = (await readVmLines(bed, entry)).find(
          (each) => each.stop === StopState.Draining,
        );
        stopped = motions.find(({ id }) => id === line?.vm);
        return stopped !== undefined;
      });
      if (!stopped) return;
      const stop = stopped;
      const drainedRackVms = motions.indexOf(stop) < 2 ? motions.slice(2) : motions.slice(0, 2);
      await Promise.all(drainedRackVms.map((vm) => startVendorDrain(bed, vm, 20_000)));
      await waitFor('the stop is cancelled', async () => {
        const line = await readVmLine(bed, entry, stop);
        return line?.stop === undefined && line?.state === VmState.Up;
      });
      await waitFor('the wave is paused', async () => {
        return (await readWaveState(bed, entry)) === WaveState.Paused;
      });
      await waitFor('a spare VM serves the pool', async () => {
        const lines = await readVmLines(bed, entry);
        return lines.some((line) => line.homePool === 'spare' && line.pool === 'motions');
      });
      const available = (await readVmLines(bed, entry)).filter(
        (line) => line.pool === 'motions' && isInService(line),
      );
      t.is(available.length, 3);
      const deltas = await readHistory(bed, entry);
      t.is(deltas[0]?.version, 1);
      const states = stopStates(deltas, stop);
      t.deepEqual(states, [StopState.Granted, StopState.Draining, undefined]);
      t.deepEqual(await readRebootedVms(bed), []);
      t.deepEqual(findViolations(deltas), []);
      t.deepEqual(findExcessiveStops(deltas), []);
      const ends = await Promise.all(pendingResults);
      t.deepEqual([...new Set(ends.map(({ outcome }) => outcome))], [Outcome.Answered]);
      t.is(await countInterruptedRequests(bed), 0);
    },
  },
  {
    // Guards against a planned stop that is left unfinished, or reboots a busy VM, after a takeover.
    title: 'a planned stop is completed after two lease holders are killed in turn',
    shape: singleZone(3, { motions: 2 }),
    run: async (t, bed) => {
      const { entries, vms } = bed.deployment;
      const first = await waitForLeaseHolder(bed, entries);
      const others = entries.filter((entry) => entry !== first);
      // The caller loses its connection, but the request must not be interrupted on the VM.
      const id = await bed.callers.issueId(first);
      const pendingResult = bed.callers.send(first, id, '/work?ms=8000');
      let busyVm: TestVm | undefined;
      await waitFor('a VM is busy', async () => {
        const all = await Promise.all(vms.map((vm) => readBackendStatus(bed, vm)));
        busyVm = vms[all.findIndex(({ active }) => active > 0)];
        return busyVm !== undefined;
      });
      if (!busyVm) return;
      const vm = busyVm;
      const [observer] = others;
      if (!observer) return;
      await startWave(bed, observer, '--vm', vm.id);
      await waitFor('the stop drains its VM', async () => {
        return (await readVmLine(bed, observer, vm))?.stop === StopState.Draining;
      });
      await first.process.kill();
      const second = await waitForLeaseHolder(bed, others);
      t.is(
        (await readVmLine(bed, second, vm))?.stop,
        StopState.Draining,
        'the stop is still draining',
      );
      await second.process.kill();
      const [survivor] = others.filter((entry) => entry !== second);
      if (!survivor) return;
      await waitFor('the stop is complete', async () => {
        const line = await readVmLine(bed, survivor, vm);
        const isDone = (await readWaveState(bed, survivor)) === WaveState.Finished;
        return isDone && line?.stop === undefined && line?.state === VmState.Up;
      });
      await pendingResult;
      t.true((await readStatus(bed, survivor)).holdsZoneLease);
      t.deepEqual(await readRebootedVms(bed), [vm.id]);
      t.is(await countInterruptedRequests(bed), 0);
      const deltas = await readHistory(bed, survivor);
      t.deepEqual(stopStates(deltas, vm), [
        ...[StopState.Granted, StopState.Draining, StopState.Drained],
        ...[StopState.Stopping, StopState.Returning, undefined],
      ]);
      t.deepEqual(findViolations(deltas), []);
      await waitForService(bed, survivor);
    },
  },
  {
    // Guards against accepted jobs that are lost, run twice or return a truncated result.
    title: 'jobs survive when the process that accepted them and the lease holder are killed',
    shape: singleZone(3, { motions: 2 }),
    run: async (t, bed) => {
      const { entries } = bed.deployment;
      const holder = await waitForLeaseHolder(bed, entries);
      const [accepting, survivor] = entries.filter((entry) => entry !== holder);
      if (!accepting || !survivor) return;
      const results = new Map(
        ['running', 'accepted'].map((id) => [id, `${id}, `.repeat(2_000)] as const),
      );
      const payload = (id: string) => ({ runMs: 3_000, result: results.get(id) });
      await submitJob(accepting, 'running', payload('running'));
      await waitFor('the first job runs', async () => (await countTasks(bed, 'running')) > 0);
      await submitJob(accepting, 'accepted', payload('accepted'));
      await Promise.all([accepting.process.kill(), holder.process.kill()]);
      for (const [id, result] of results) {
        await waitFor(`job ${id} ends`, async () => {
          const { state } = await readJob(survivor, id);
          return ![JobState.Queued, JobState.Running].includes(state);
        });
        const job = await readJob(survivor, id);
        t.is(job.state, JobState.Succeeded, id);
        t.is(job.attempts, 1, id);
        t.is(await countTasks(bed, id), 1, id);
        t.is(job.result?.sha256, sha256(result), id);
        t.is(await readResultHash(survivor, id), sha256(result), id);
      }
    },
  },
];

for (const faultCase of cases) {
  test.serial(faultCase.title, async (t) => {
    const bed = await startTestbed(faultCase);
    try {
      await faultCase.run(t, bed);
      t.deepEqual(bed.callers.history.violations(), []);
    } finally {
      await bed.deployment.stop();
    }
  });
}
