import { readFile } from 'node:fs/promises';
import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';
import { ExitCode } from '../src/errors/index.js';
import { Deployment, waitFor, type TestEntry } from '../testbed/index.js';

// Wall-clock benchmark, run by hand: compares requests through entry processes with requests sent
// directly to the stand-in backend servers, interleaved in one run. It asserts nothing.

const ROUNDS = 10;
const REQUESTS_PER_ROUND = 300;
const PACED_REQUESTS_PER_S = 200;
const RUN_MS = 2;
const WARM_UP_REQUESTS = 3_000;
const ENTRIES = 3;
const VMS = 6;
const US_PER_MS = 1_000;

/** Clock ticks per second in /proc; the same on every Linux system. */
const TICKS_PER_S = 100;

interface Route {
  name: string;
  pools: Pool[];
  path: string;
  headers: Record<string, string>;
}

function createHistogram() {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
}

type Histogram = ReturnType<typeof createHistogram>;

async function sendOne(route: Route, index: number, latencies: Histogram): Promise<void> {
  const pool = route.pools[index % route.pools.length];
  if (!pool) return;
  const start = performance.now();
  const res = await pool.request({ method: 'GET', path: route.path, headers: route.headers });
  await res.body.dump();
  if (res.statusCode === 200) {
    latencies.recordValue(Math.ceil((performance.now() - start) * US_PER_MS));
  }
}

/** Sends requests with bounded concurrency; returns the rate in requests per second. */
async function sendMany(
  route: Route,
  count: number,
  concurrency: number,
  latencies: Histogram,
): Promise<number> {
  let next = 0;
  const start = performance.now();
  const worker = async () => {
    while (next < count) {
      next += 1;
      await sendOne(route, next, latencies);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
  return (count * 1000) / (performance.now() - start);
}

/** Sends requests at a fixed rate, whether or not earlier ones have completed. */
async function sendPaced(route: Route, count: number, latencies: Histogram): Promise<void> {
  const start = performance.now();
  const pending: Promise<void>[] = [];
  for (let index = 0; index < count; index++) {
    const delayMs = start + (index * 1000) / PACED_REQUESTS_PER_S - performance.now();
    if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
    pending.push(sendOne(route, index, latencies));
  }
  await Promise.all(pending);
}

const formatMs = (microseconds: number) => (microseconds / US_PER_MS).toFixed(2);

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printLatencies(name: string, latencies: Histogram): void {
  const [p50, p99] = [50, 99].map((share) => formatMs(latencies.getValueAtPercentile(share)));
  print(`${name.padEnd(22)} ${latencies.totalCount} responses, p50 ${p50} ms, p99 ${p99} ms`);
}

/** CPU time used by a process so far, in seconds. */
async function cpuTimeS(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}

async function residentMib(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
}

function directRoute(deployment: Deployment): Route {
  const pools = deployment.vms.map((vm) => new Pool(deployment.backendUrl(vm)));
  return { name: 'direct', pools, path: `/work?ms=${RUN_MS}`, headers: { 'request-id': 'x' } };
}

function entryRoute(entries: readonly TestEntry[]): Route {
  const pools = entries.map(({ callerUrl }) => new Pool(callerUrl));
  const path = `/v1/services/motions/work?ms=${RUN_MS}`;
  return { name: `${entries.length} entry process(es)`, pools, path, headers: { team: 'league' } };
}

async function closeRoute({ pools }: Route): Promise<void> {
  await Promise.all(pools.map((pool) => pool.close()));
}

async function compareOverhead(deployment: Deployment): Promise<void> {
  const direct = directRoute(deployment);
  const entry = entryRoute(deployment.entries.slice(0, 1));
  const latencies = { direct: createHistogram(), entry: createHistogram() };
  await sendPaced(entry, REQUESTS_PER_ROUND, createHistogram());
  await sendPaced(direct, REQUESTS_PER_ROUND, createHistogram());
  for (let round = 0; round < ROUNDS; round++) {
    await sendPaced(direct, REQUESTS_PER_ROUND, latencies.direct);
    await sendPaced(entry, REQUESTS_PER_ROUND, latencies.entry);
  }
  print(
    `overhead at ${PACED_REQUESTS_PER_S} requests/s, run time ${RUN_MS} ms, ${ROUNDS} interleaved rounds`,
  );
  printLatencies('direct', latencies.direct);
  printLatencies('one entry process', latencies.entry);
  const ratio = (share: number) =>
    latencies.entry.getValueAtPercentile(share) / latencies.direct.getValueAtPercentile(share);
  const addedUs =
    latencies.entry.getValueAtPercentile(99) - latencies.direct.getValueAtPercentile(99);
  print(`ratio p50 ${ratio(50).toFixed(2)}, p99 ${ratio(99).toFixed(2)}`);
  print(
    `added at the 99th percentile ${formatMs(addedUs)} ms (target: below 1 ms beyond the network)`,
  );
  await Promise.all([direct, entry].map(closeRoute));
}

async function compareThroughput(deployment: Deployment): Promise<void> {
  print(
    'throughput by number of entry processes (callers, backend servers and entry processes on the same computer)',
  );
  const callers = 64;
  const requests = 12_000;
  for (let count = 1; count <= deployment.entries.length; count++) {
    const entries = deployment.entries.slice(0, count);
    const route = entryRoute(entries);
    const pids = entries.map(({ process }) => process.pid);
    const before = await Promise.all(pids.map(cpuTimeS));
    const latencies = createHistogram();
    const rate = await sendMany(route, requests, callers, latencies);
    const after = await Promise.all(pids.map(cpuTimeS));
    const memory = await Promise.all(pids.map(residentMib));
    const usedS = after.reduce((sum, seconds, index) => sum + seconds - (before[index] ?? 0), 0);
    const msPerRequest = ((usedS * 1000) / requests).toFixed(3);
    const mib = memory.map((each) => each.toFixed(0)).join('+');
    print(
      `${route.name.padEnd(22)} ${rate.toFixed(0)} requests/s, ${msPerRequest} ms of CPU time each, resident ${mib} MiB, ${callers} in flight`,
    );
    await closeRoute(route);
  }
}

/** Waits until all entry processes serve requests, then sends more to warm up the JIT compiler. */
async function warmUp(deployment: Deployment): Promise<void> {
  const { entries } = deployment;
  const route = entryRoute(entries);
  await waitFor('all entry processes serve', async () => {
    const latencies = createHistogram();
    await sendMany(route, entries.length * 4, 4, latencies);
    return latencies.totalCount === entries.length * 4;
  });
  await sendMany(route, WARM_UP_REQUESTS * entries.length, 4, createHistogram());
  await closeRoute(route);
}

const deployment = new Deployment({
  zones: ['zone-a'],
  entriesPerZone: 1,
  vmsPerZone: { motions: VMS },
});
try {
  await deployment.start();
  const [first] = deployment.entries;
  if (!first) throw new Error('no entry process was started');
  const status = () => deployment.cli(first, 'status');
  await waitFor(
    'the first entry process is ready',
    async () => (await status()).exitCode === ExitCode.Success,
  );
  const inventory = deployment.inventory((draft) => {
    for (const team of draft.teams) Object.assign(team, { maxRunning: 1_000, maxQueued: 1_000 });
  });
  await deployment.cli(first, 'apply', await deployment.writeInventory(inventory), '--wait');
  await warmUp(deployment);
  await compareOverhead(deployment);
  for (let count = 1; count < ENTRIES; count++) await deployment.startEntry('zone-a');
  await warmUp(deployment);
  await compareThroughput(deployment);
} finally {
  await deployment.stop();
}
