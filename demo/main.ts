import { request } from 'undici';
import { ExitCode } from '../src/errors/index.js';
import { Outcome } from '../src/peers/index.js';
import type { StatusResponse, VmSummary } from '../src/operators/index.js';
import { Deployment, waitFor, type TestEntry } from '../testbed/index.js';
import { callService, CallerLoad, percentile } from './callers.js';
import { checkNodeJobs } from './jobs.js';

/** Timeout of the whole demonstration. */
const TOTAL_TIMEOUT_MS = 85_000;

/** Time within which an accepted change must be in force everywhere. */
const CHANGE_TIMEOUT_MS = 8_000;

const failedChecks: string[] = [];
const summary: string[] = [];

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Records whether a guarantee was met. */
function check(guarantee: string, isMet: boolean, detail: string): void {
  summary.push(`${isMet ? 'ok    ' : 'FAILED'}  ${guarantee}: ${detail}`);
  if (!isMet) failedChecks.push(guarantee);
}

async function main(deployment: Deployment): Promise<void> {
  print(
    '1/9 starting the platform and backend stand-ins, and two entry processes in each of two zones',
  );
  await deployment.start();
  const [first] = deployment.entries;
  if (!first) throw new Error('no entry process was started');
  await waitFor('all members know each other', () => seesAllMembers(deployment, first));

  print('2/9 loading the inventory through the command line');
  await loadInventory(deployment, first);

  print('3/9 sending short and long requests');
  const load = new CallerLoad();
  const urls = () =>
    deployment.entries
      .filter(({ process }) => !process.hasExited)
      .map(({ callerUrl }) => callerUrl);
  load.start(urls, 'motions', '/work?ms=5', 8);
  load.start(urls, 'motions', '/work?ms=400', 2);
  await waitFor('the first 200 responses', () => load.results.length >= 200);

  print('4/9 retrying a non-idempotent request through other entry processes');
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
  await checkInterruptedRequests(deployment);
  await checkGracefulExit(first);
}

async function seesAllMembers(deployment: Deployment, entry: TestEntry): Promise<boolean> {
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
    const result = await callService(entry.callerUrl, 'motions', '/work?ms=1');
    return result.isComplete;
  });
}

async function repeatRequest(deployment: Deployment): Promise<void> {
  const [first, second, third] = deployment.entries;
  if (!first || !second || !third) return;
  const res = await request(`${first.callerUrl}/v1/request-ids`, {
    method: 'POST',
    headers: { team: 'league', 'content-type': 'application/json' },
    body: '{}',
  });
  const { requestIds } = (await res.body.json()) as { requestIds: string[] };
  const id = requestIds[0] ?? '';
  const results = await Promise.all(
    [first, second, third, second].map((entry) =>
      callService(entry.callerUrl, 'motions', '/work?ms=50', { 'request-id': id }),
    ),
  );
  const completeCount = results.filter((result) => result.isComplete).length;
  const runs = await totalRuns(deployment, id);
  check(
    'a non-idempotent request runs at most once',
    runs === 1 && completeCount >= 1,
    `sent 4 times through 3 entry processes, ran ${runs} time(s), ${completeCount} complete responses`,
  );
}

/** Submits a job twice, as after a lost response, and fetches its result. */
async function runJob(entry: TestEntry): Promise<void> {
  const headers = { team: 'league', 'content-type': 'application/json' };
  const job = {
    ...{ id: 'export-1', kind: 'export', urgent: true, idempotent: true },
    ...{ cores: 2, memoryMib: 1_024 },
    payload: { runMs: 300, result: 'archive of the season' },
  };
  const startMs = performance.now();
  for (const attempt of [1, 2]) {
    const res = await request(`${entry.callerUrl}/v1/jobs`, {
      method: 'POST',
      headers,
      body: JSON.stringify(job),
    });
    print(`    attempt ${attempt}: status ${res.statusCode} ${await res.body.text()}`);
  }
  let result = '';
  await waitFor('the result of the job', async () => {
    const res = await request(`${entry.callerUrl}/v1/jobs/${job.id}/result`, { headers });
    const text = await res.body.text();
    if (res.statusCode === 200) result = text;
    return res.statusCode === 200;
  });
  check(
    'an accepted job finishes and its result is complete',
    result.includes('archive of the season'),
    `${result.length} bytes after ${Math.round(performance.now() - startMs)} ms`,
  );
}

async function totalRuns(deployment: Deployment, id: string): Promise<number> {
  let total = 0;
  for (const vm of deployment.vms) {
    const url = deployment.backendUrl(vm);
    const path = `runs?id=${encodeURIComponent(id)}`;
    const { runs } = await deployment.callControl<{ runs: Record<string, number> }>(url, path);
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
  const startMs = performance.now();
  const { version } = await deployment.cliJson<{ version: number }>(entry, 'apply', file);
  const times = await Promise.all(
    deployment.entries.map(async (each) => {
      await waitFor(`version ${version} on ${each.name}`, async () => {
        const status = await deployment.cliJson<StatusResponse>(each, 'status');
        return status.configVersion >= version;
      });
      const elapsedMs = Math.round(performance.now() - startMs);
      print(`    in force on ${each.name} after ${elapsedMs} ms`);
      return elapsedMs;
    }),
  );
  const slowest = Math.max(...times);
  check(
    'an accepted configuration is in force everywhere within 8 s',
    slowest <= CHANGE_TIMEOUT_MS,
    `${slowest} ms until the last of ${times.length} entry processes, apply included`,
  );
}

async function rebootVm(deployment: Deployment, entry: TestEntry): Promise<void> {
  const vm = deployment.vms.find(({ pool }) => pool === 'motions');
  if (!vm) return;
  const started = await deployment.cli(entry, 'maintenance', 'start', 'patch', '--vm', vm.id);
  if (started.exitCode !== ExitCode.Success)
    throw new Error(`maintenance failed: ${started.errors.join(' ')}`);
  const readStopState = async () => {
    const lines = await deployment.cliJson<VmSummary[]>(entry, 'vms', '--pool', vm.pool);
    return lines.find((line) => line.vm === vm.id)?.stop;
  };
  await waitFor(`${vm.id} is being stopped`, async () => (await readStopState()) !== undefined);
  let previousState: string | undefined;
  const elapsedMs = await waitFor(`${vm.id} is back in service`, async () => {
    const state = await readStopState();
    if (state !== previousState) print(`    ${vm.id}: ${state ?? 'in service'}`);
    previousState = state;
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
  const before = load.results.length;
  await waitFor('responses after the kill', () => load.results.length > before + 100);
  const result = await callService(survivor.callerUrl, 'motions', '/work?ms=5');
  check(
    'a zone keeps serving after an entry process is killed',
    result.isComplete,
    `${victim.name} killed, ${survivor.name} responded with status ${result.status}`,
  );
}

function summarizeLoad(deployment: Deployment, load: CallerLoad): void {
  const complete = load.results.filter((result) => result.isComplete);
  const disconnected = load.results.filter((result) => result.outcome === undefined).length;
  const refused = load.results.filter((result) => result.outcome === Outcome.NotRun).length;
  const mismatched = load.results.filter(
    (result) => result.outcome === Outcome.Answered && !result.isComplete,
  ).length;
  const latenciesMs = complete.map((result) => result.elapsedMs);
  check(
    'a caller receives the complete response to its own request',
    mismatched === 0 && complete.length > 0,
    `${complete.length} complete responses, ${mismatched} mismatched, ${refused} refused, ${disconnected} connections closed by the kill`,
  );
  const p50 = percentile(latenciesMs, 0.5).toFixed(1);
  const p99 = percentile(latenciesMs, 0.99).toFixed(1);
  summary.push(
    `        ${deployment.vms.length} VMs; responses after ${p50} ms (median), ${p99} ms (99th percentile, long requests of 400 ms included)`,
  );
}

async function checkInterruptedRequests(deployment: Deployment): Promise<void> {
  let interruptedRequests = 0;
  for (const vm of deployment.vms) {
    const url = deployment.backendUrl(vm);
    interruptedRequests += (await deployment.callControl<{ cutOff: number }>(url, 'status')).cutOff;
  }
  check(
    'a planned stop interrupts no request',
    interruptedRequests === 0,
    `${interruptedRequests} requests interrupted`,
  );
}

async function checkGracefulExit(entry: TestEntry): Promise<void> {
  const exitCode = await entry.process.stop();
  check(
    'SIGTERM shuts an entry process down gracefully',
    exitCode === 0,
    `exit code ${String(exitCode)}`,
  );
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
  print(`the demonstration did not finish within ${TOTAL_TIMEOUT_MS} ms`);
  void deployment.stop().finally(() => process.exit(1));
}, TOTAL_TIMEOUT_MS);
try {
  await main(deployment);
  print("9/9 running a job of two steps on the nodes for the users' platform");
  await checkNodeJobs(check);
} catch (err) {
  failedChecks.push('the demonstration runs to completion');
  print(err instanceof Error ? err.message : String(err));
} finally {
  clearTimeout(timer);
  await deployment.stop();
}
print('\nSummary');
for (const line of summary) print(line);
print(
  failedChecks.length === 0
    ? 'demo: all checks passed'
    : `demo: FAILED: ${failedChecks.join('; ')}`,
);
process.exitCode = failedChecks.length === 0 ? 0 : 1;
