import { request } from 'undici';
import { ExitCode } from '../src/errors/index.js';
import { Outcome } from '../src/peers/index.js';
import type { StatusResponse, VmSummary } from '../src/operators/index.js';
import { Deployment, waitFor, type TestEntry } from '../testbed/index.js';
import { callService, CallerLoad, percentile } from './callers.js';
import { showJobs } from './jobs.js';

/** Bound on the whole demonstration, in milliseconds. */
const TOTAL_BOUND_MS = 85_000;

/** Bound for a change to be in force everywhere, in milliseconds. */
const CHANGE_BOUND_MS = 8_000;

const broken: string[] = [];
const summary: string[] = [];

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Records whether a promise was kept. */
function check(promise: string, isKept: boolean, detail: string): void {
  summary.push(`${isKept ? 'kept  ' : 'BROKEN'}  ${promise}: ${detail}`);
  if (!isKept) broken.push(promise);
}

async function main(deployment: Deployment): Promise<void> {
  print('1/9 starting the platform and backend stand-ins, and two zones with two entry processes');
  await deployment.start();
  const [first] = deployment.entries;
  if (!first) throw new Error('no entry process was started');
  await waitFor('all members know each other', () => knowsAll(deployment, first));

  print('2/9 loading the inventory through the command line');
  await loadInventory(deployment, first);

  print('3/9 sending short and long requests');
  const load = new CallerLoad();
  const urls = () =>
    deployment.entries.filter(({ process }) => !process.hasExited).map(({ callers }) => callers);
  load.start(urls, 'motions', '/work?ms=5', 8);
  load.start(urls, 'motions', '/work?ms=400', 2);
  await waitFor('the first 200 answers', () => load.ends.length >= 200);

  print('4/9 repeating a non-idempotent request through other entry processes');
  await repeatRequest(deployment);

  print('5/9 submitting one job');
  await runJob(first);

  print('6/9 changing a rule');
  await changeRule(deployment, first);

  print('7/9 draining and rebooting one VM under load');
  await rebootVm(deployment, first);

  print('8/9 killing one entry process under load');
  await killEntry(deployment, first, load);

  await load.stop();
  summarizeLoad(deployment, load);
  await checkCutOff(deployment);
  await checkGracefulExit(first);
}

async function knowsAll(deployment: Deployment, entry: TestEntry): Promise<boolean> {
  const status = await deployment.cliJson<StatusResponse>(entry, 'status').catch(() => undefined);
  return status?.ready === true && status.members.length === deployment.entries.length - 1;
}

async function loadInventory(deployment: Deployment, entry: TestEntry): Promise<void> {
  const file = await deployment.writeInventory(deployment.inventory());
  const applied = await deployment.cli(entry, 'apply', file, '--wait');
  if (applied.exitCode !== ExitCode.Success)
    throw new Error(`apply failed: ${applied.errors.join(' ')}`);
  print(`    ${applied.output.slice(-2).join('; ')}`);
  await waitFor('backends serve', async () => {
    const end = await callService(entry.callers, 'motions', '/work?ms=1');
    return end.isWhole;
  });
}

async function repeatRequest(deployment: Deployment): Promise<void> {
  const [first, second, third] = deployment.entries;
  if (!first || !second || !third) return;
  const res = await request(`${first.callers}/v1/request-ids`, {
    method: 'POST',
    headers: { team: 'league', 'content-type': 'application/json' },
    body: '{}',
  });
  const { requestIds } = (await res.body.json()) as { requestIds: string[] };
  const id = requestIds[0] ?? '';
  const ends = await Promise.all(
    [first, second, third, second].map((entry) =>
      callService(entry.callers, 'motions', '/work?ms=50', { 'request-id': id }),
    ),
  );
  const answered = ends.filter((end) => end.isWhole).length;
  const runs = await totalRuns(deployment, id);
  check(
    'a non-idempotent request runs at most once',
    runs === 1 && answered >= 1,
    `sent 4 times through 3 entry processes, ran ${runs} time(s), ${answered} whole answers`,
  );
}

/** Submits a job twice, as a caller does that lost the first answer, and fetches its result. */
async function runJob(entry: TestEntry): Promise<void> {
  const headers = { team: 'league', 'content-type': 'application/json' };
  const job = {
    ...{ id: 'export-1', kind: 'export', urgent: true, idempotent: true },
    ...{ cores: 2, memoryMib: 1_024 },
    payload: { runMs: 300, result: 'archive of the season' },
  };
  const start = performance.now();
  for (const attempt of [1, 2]) {
    const res = await request(`${entry.callers}/v1/jobs`, {
      method: 'POST',
      headers,
      body: JSON.stringify(job),
    });
    print(`    attempt ${attempt}: status ${res.statusCode} ${await res.body.text()}`);
  }
  let result = '';
  await waitFor('the result of the job', async () => {
    const res = await request(`${entry.callers}/v1/jobs/${job.id}/result`, { headers });
    const text = await res.body.text();
    if (res.statusCode === 200) result = text;
    return res.statusCode === 200;
  });
  check(
    'an accepted job finishes and its result is whole',
    result.includes('archive of the season'),
    `${result.length} bytes after ${Math.round(performance.now() - start)} ms`,
  );
}

async function totalRuns(deployment: Deployment, id: string): Promise<number> {
  let total = 0;
  for (const vm of deployment.vms) {
    const url = deployment.backendUrl(vm);
    const path = `runs?id=${encodeURIComponent(id)}`;
    const { runs } = await deployment.control<{ runs: Record<string, number> }>(url, path);
    total += runs[id] ?? 0;
  }
  return total;
}

async function changeRule(deployment: Deployment, entry: TestEntry): Promise<void> {
  const inventory = deployment.inventory((draft) => {
    for (const pool of draft.pools) pool.maxAway = 3;
  });
  const file = await deployment.writeInventory(inventory, 'rule.yaml');
  const dryRun = await deployment.cli(entry, 'apply', file, '--dry-run');
  for (const line of dryRun.output) print(`    ${line}`);
  const start = performance.now();
  const { version } = await deployment.cliJson<{ version: number }>(entry, 'apply', file);
  const times = await Promise.all(
    deployment.entries.map(async (each) => {
      await waitFor(`version ${version} on ${each.name}`, async () => {
        const status = await deployment.cliJson<StatusResponse>(each, 'status');
        return status.configVersion >= version;
      });
      const elapsedMs = Math.round(performance.now() - start);
      print(`    in force on ${each.name} within ${elapsedMs} ms`);
      return elapsedMs;
    }),
  );
  const slowest = Math.max(...times);
  check(
    'an accepted configuration is in force everywhere within 8 s',
    slowest <= CHANGE_BOUND_MS,
    `${slowest} ms until the last of ${times.length} entry processes, apply included`,
  );
}

async function rebootVm(deployment: Deployment, entry: TestEntry): Promise<void> {
  const vm = deployment.vms.find(({ pool }) => pool === 'motions');
  if (!vm) return;
  const started = await deployment.cli(entry, 'maintenance', 'start', 'patch', '--vm', vm.id);
  if (started.exitCode !== ExitCode.Success)
    throw new Error(`maintenance failed: ${started.errors.join(' ')}`);
  const stateOf = async () => {
    const lines = await deployment.cliJson<VmSummary[]>(entry, 'vms', '--pool', vm.pool);
    return lines.find((line) => line.vm === vm.id)?.stop;
  };
  await waitFor(`${vm.id} is being stopped`, async () => (await stateOf()) !== undefined);
  let last: string | undefined;
  const elapsedMs = await waitFor(`${vm.id} is back in service`, async () => {
    const state = await stateOf();
    if (state !== last) print(`    ${vm.id}: ${state ?? 'in service'}`);
    last = state;
    return state === undefined;
  });
  summary.push(`        planned stop of ${vm.id} took ${Math.round(elapsedMs)} ms`);
}

async function killEntry(
  deployment: Deployment,
  survivor: TestEntry,
  load: CallerLoad,
): Promise<void> {
  const victim = deployment.entries.find(
    ({ name, zone }) => name !== survivor.name && zone === survivor.zone,
  );
  if (!victim) return;
  await victim.process.kill();
  const before = load.ends.length;
  await waitFor('answers after the kill', () => load.ends.length > before + 100);
  const end = await callService(survivor.callers, 'motions', '/work?ms=5');
  check(
    'a zone goes on serving after an entry process is killed',
    end.isWhole,
    `${victim.name} killed, ${survivor.name} answered with status ${end.status}`,
  );
}

function summarizeLoad(deployment: Deployment, load: CallerLoad): void {
  const whole = load.ends.filter((end) => end.isWhole);
  const lost = load.ends.filter((end) => end.outcome === undefined).length;
  const refused = load.ends.filter((end) => end.outcome === Outcome.NotRun).length;
  const wrong = load.ends.filter((end) => end.outcome === Outcome.Answered && !end.isWhole).length;
  const short = whole.map((end) => end.elapsedMs);
  check(
    'a caller receives the whole answer to its own request',
    wrong === 0 && whole.length > 0,
    `${whole.length} whole answers, ${wrong} wrong ones, ${refused} refusals, ${lost} connections closed by the kill`,
  );
  const p50 = percentile(short, 0.5).toFixed(1);
  const p99 = percentile(short, 0.99).toFixed(1);
  summary.push(
    `        ${deployment.vms.length} VMs; answers after ${p50} ms (median), ${p99} ms (99th percentile, long requests of 400 ms included)`,
  );
}

async function checkCutOff(deployment: Deployment): Promise<void> {
  let cutOff = 0;
  for (const vm of deployment.vms) {
    const url = deployment.backendUrl(vm);
    cutOff += (await deployment.control<{ cutOff: number }>(url, 'status')).cutOff;
  }
  check('a planned stop cuts off no request', cutOff === 0, `${cutOff} requests cut off`);
}

async function checkGracefulExit(entry: TestEntry): Promise<void> {
  const exitCode = await entry.process.stop();
  check('SIGTERM is a graceful shutdown', exitCode === 0, `exit code ${String(exitCode)}`);
}

const deployment = new Deployment({
  zones: ['zone-a', 'zone-b'],
  entriesPerZone: 2,
  vmsPerZone: { motions: 2, spare: 1 },
  settings: {
    controller: { reconcileIntervalMs: 250, confirmIntervalMs: 100, statusIntervalMs: 250 },
  },
});
const timer = setTimeout(() => {
  print(`the demonstration did not end within ${TOTAL_BOUND_MS} ms`);
  void deployment.stop().finally(() => process.exit(1));
}, TOTAL_BOUND_MS);
try {
  await main(deployment);
  print("9/9 running a job of two steps on the nodes for the users' platform");
  await showJobs(check);
} catch (err) {
  broken.push('the demonstration runs to its end');
  print(err instanceof Error ? err.message : String(err));
} finally {
  clearTimeout(timer);
  await deployment.stop();
}
print('\nSummary');
for (const line of summary) print(line);
print(broken.length === 0 ? 'demo: all promises kept' : `demo: BROKEN: ${broken.join('; ')}`);
process.exitCode = broken.length === 0 ? 0 : 1;
