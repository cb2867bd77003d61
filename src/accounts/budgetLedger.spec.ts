import test, { type ExecutionContext } from 'ava';
import { CallOutcome } from '../batch/gateway.js';
import { type JobSpec, type Resources, type StepSpec } from '../batch/types.js';
import {
  BatchRig,
  required,
  StoreFault,
  type BatchRigOptions,
  type RigNode,
} from '../testing/batchRig/index.js';
import { BUDGET_PART, BUDGET_TABLE, budgetKey, decodeBudget } from './budgetRow.js';

const ACCOUNT = 'herons';
const SERVICES = ['motions', 'sightings'];

interface Case {
  title: string;
  rig?: BatchRigOptions;
  run: (t: ExecutionContext, rig: BatchRig) => Promise<void>;
}

function budgetRows(rig: BatchRig) {
  return rig.store.rowsOfPart(BUDGET_TABLE, BUDGET_PART);
}

function budget(rig: BatchRig, account = ACCOUNT) {
  const row = budgetRows(rig).find(({ key }) => key === account);
  const decoded = row && decodeBudget(row.value);
  return decoded?.isOk ? decoded.value : undefined;
}

function granted(rig: BatchRig, service: string): number {
  return budget(rig)?.shares[service]?.granted.cpuMillis ?? 0;
}

async function submit(
  rig: BatchRig,
  service: string,
  step: Partial<StepSpec>,
  fields: Partial<JobSpec> = { account: ACCOUNT },
): Promise<JobSpec> {
  const spec = rig.createJob(service, [step], fields);
  const node = required(rig.nodes.find(({ isDead }) => !isDead));
  const answer = await rig.settle(node.node.gateway.submit(rig.queue(service), spec, 3_000));
  if (answer.outcome !== CallOutcome.Ok) throw new Error(`refused: ${answer.outcome}`);
  return spec;
}

/** Runs that workers carry out now, of tasks whose name has the prefix. */
function running(rig: BatchRig, prefix = ''): number {
  return [...rig.fleet.executors.values()]
    .flatMap(({ running: tasks }) => tasks)
    .filter((task) => task.startsWith(prefix)).length;
}

/** Advances time in short steps; returns the largest number of runs at any of them. */
async function mostRunning(rig: BatchRig, ms: number): Promise<number> {
  let most = 0;
  const end = rig.clock.now() + ms;
  while (rig.clock.now() < end) {
    await rig.advance(10);
    most = Math.max(most, running(rig));
  }
  return most;
}

function holderOf(rig: BatchRig, service: string): RigNode {
  return required(rig.holderOf(service));
}

/** Nodes that hold only one of the two services, so that a fault affects only that one. */
async function separateHolders(rig: BatchRig): Promise<RigNode[]> {
  await rig.ready(SERVICES);
  return SERVICES.map((service) => holderOf(rig, service));
}

function countTransactions(rig: BatchRig): Map<string, number[]> {
  const times = new Map<string, number[]>();
  rig.store.onTransaction = (node, { writes }) => {
    if (!writes.some(({ table }) => table === BUDGET_TABLE)) return;
    const list = times.get(node) ?? [];
    list.push(rig.clock.now());
    times.set(node, list);
  };
  return times;
}

/** Largest number of entries within a second. */
function mostPerSecond(times: readonly number[]): number {
  return Math.max(0, ...times.map((at) => times.filter((t) => t >= at && t < at + 1_000).length));
}

const LIMIT: Record<string, Partial<Resources>> = { [ACCOUNT]: { cpuMillis: 4_000 } };
const twoServices: BatchRigOptions = { services: SERVICES, nodes: 4, limits: LIMIT };
const lasting: Partial<StepSpec> = { isLasting: true };

const cases: Case[] = [
  {
    // Guards against holders that each use the whole limit of an account.
    title: 'a limit is kept over two services',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      for (const service of SERVICES) await submit(rig, service, { count: 8 });
      t.true((await mostRunning(rig, 1_000)) <= 5);
      t.true((await mostRunning(rig, 1_000)) >= 4);
      await rig.until(() => rig.fleet.runs().filter(({ endedAt }) => endedAt).length === 16);
      t.is(rig.fleet.runs().length, 16);
      // Operators see who uses the limit and why tasks wait, at most once a second for each holder.
      const { logLines } = holderOf(rig, 'motions');
      const lines = logLines.filter((line) => line.includes('event=account_state'));
      t.regex(
        lines.join(''),
        /account=herons service=motions limit=4000\/0\/0 .*reasons=no_grant:\d/,
      );
      t.true(lines.length <= (rig.clock.now() / 1_000 + 1) * SERVICES.length);
    },
  },
  {
    // Guards against jobs of public queues and of other accounts that wait for an account's limit.
    title: 'jobs without an account and of an account without a limit do not wait',
    rig: { limits: { ...LIMIT, egrets: {} } },
    run: async (t, rig) => {
      await rig.ready();
      await submit(rig, 'motions', { count: 6 }, {});
      await submit(rig, 'motions', { count: 6 }, { account: 'egrets' });
      await rig.advance(300);
      t.is(running(rig), 12);
      t.deepEqual(budgetRows(rig), []);
    },
  },
  {
    // Guards against costs of deployments without limits.
    title: 'without limits the ledger neither reads nor writes',
    rig: { limits: { [ACCOUNT]: {} } },
    run: async (t, rig) => {
      await rig.ready();
      await submit(rig, 'motions', { count: 6 });
      await rig.advance(2_000);
      t.deepEqual(budgetRows(rig), []);
      t.false([...rig.store.tableReads.keys()].some((name) => name.includes(BUDGET_TABLE)));
    },
  },
  {
    // Guards against a service that waits for a grant that another one does not use.
    title: 'an unused grant is returned within 1 s to a service that wants it',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: 400 });
      // The surplus of the first job is returned although nobody wants it.
      await submit(rig, 'sightings', {});
      await rig.until(() => granted(rig, 'sightings') > 0, 1_000);
      t.true(await rig.until(() => granted(rig, 'sightings') === 0, 5_000));
      await submit(rig, 'motions', { count: 4 });
      await rig.until(() => rig.fleet.runs().filter(({ endedAt }) => endedAt).length === 5);
      t.true(granted(rig, 'motions') >= 4_000);
      const spec = await submit(rig, 'sightings', { count: 4 });
      t.true(await rig.until(() => running(rig, spec.id) === 4, 1_000));
    },
  },
  {
    // Guards against jobs that are lost because a grant comes late although the limit is not reached.
    title: 'a job starts within 3 s while its account is under half of its limit',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: Infinity });
      await submit(rig, 'motions', { ...lasting });
      await rig.until(() => running(rig) === 1);
      for (let number = 0; number < 2; number++) {
        const spec = await submit(rig, 'sightings', { ...lasting });
        t.true(await rig.until(() => running(rig, spec.id) === 1, 500));
      }
    },
  },
  {
    // Guards against one service that keeps the limit by starting a task whenever one ends.
    title: 'services that both want more than the limit get equal parts of it',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: 700 });
      await submit(rig, 'motions', { count: 60 });
      await rig.advance(2_000);
      await submit(rig, 'sightings', { count: 60 });
      await rig.advance(2_000);
      const from = rig.clock.now();
      t.true((await mostRunning(rig, 7_000)) <= 5);
      const recent = rig.fleet.runs().filter(({ startedAt }) => startedAt >= from);
      const count = (service: string) =>
        recent.filter(({ worker }) => worker.startsWith(service)).length;
      t.true(count('motions') >= recent.length * 0.35, `${count('motions')} of ${recent.length}`);
      t.true(count('sightings') >= recent.length * 0.35, `${count('sightings')}`);
    },
  },
  {
    // Guards against a grant that is used again while a start order may still be carried out.
    title: 'a start without an answer counts until its run is certainly over',
    rig: { ...twoServices, workersPerService: 2 },
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: Infinity });
      const late = [...rig.fleet.executors.values()].filter(
        ({ record }) => record.service === 'motions',
      );
      for (const executor of late) executor.unansweredDelayMs = 3_000;
      await submit(rig, 'motions', { count: 4, ...lasting });
      await rig.advance(200);
      await submit(rig, 'sightings', { count: 8, ...lasting });
      t.true((await mostRunning(rig, 12_000)) <= 5);
      for (const executor of late) executor.unansweredDelayMs = 0;
      t.true((await mostRunning(rig, 8_000)) <= 5);
      t.true(running(rig) >= 4);
    },
  },
  {
    // Guards against a successor that uses the grant of runs that it does not know yet.
    title: 'a successor starts nothing in place of runs that were not listed yet',
    rig: twoServices,
    run: async (t, rig) => {
      const [holder] = await separateHolders(rig);
      rig.fleet.script = () => ({ runMs: Infinity });
      await submit(rig, 'motions', { count: 4 });
      await rig.until(() => running(rig) === 4);
      const others = rig.nodes.filter((node) => node !== holder);
      const busy = [...rig.fleet.executors.values()].filter(
        ({ running: tasks }) => tasks.length > 0,
      );
      // The successor does not reach the workers of these runs, whose leases still last.
      for (const { record } of busy) {
        for (const { name } of others) rig.fleet.cuts.add(`${name}>${record.id}`);
      }
      rig.store.faults.set(required(holder).name, StoreFault.DropCall);
      const successor = () => others.find(({ node }) => node.hasLoadedService('motions'));
      t.true(await rig.until(() => successor() !== undefined, 10_000));
      t.is(running(rig), 4);
      const spec = rig.createJob('motions', [{ count: 4 }], { account: ACCOUNT });
      const { gateway } = required(successor()).node;
      t.is(
        (await rig.settle(gateway.submit(rig.queue('motions'), spec, 3_000))).outcome,
        CallOutcome.Ok,
      );
      t.true((await mostRunning(rig, 15_000)) <= 4);
      t.true(running(rig) >= 4);
    },
  },
  {
    // Guards against a grant that stays with a killed holder.
    title: 'the grant of a killed holder is usable again after its leases have expired',
    rig: twoServices,
    run: async (t, rig) => {
      const [holder] = await separateHolders(rig);
      rig.fleet.script = () => ({ runMs: 1_000 });
      await submit(rig, 'motions', { count: 4 });
      await rig.until(() => running(rig) === 4);
      required(holder).isDead = true;
      const spec = await submit(rig, 'sightings', { count: 4 });
      t.true(await rig.until(() => running(rig, spec.id) === 4, 14_000));
      t.true((await mostRunning(rig, 3_000)) <= 5);
    },
  },
  {
    // Guards against a grant that is returned while runs of a job that is no longer known end.
    title: 'a successor keeps the grant while runs of a cancelled job are being stopped',
    rig: twoServices,
    run: async (t, rig) => {
      const [holder] = await separateHolders(rig);
      rig.fleet.script = () => ({ runMs: Infinity });
      rig.fleet.stopMs = 1_500;
      const cancelled = await submit(rig, 'motions', { count: 4 });
      await rig.until(() => running(rig) === 4);
      // The predecessor sends no stop orders, so that the runs end only under the successor.
      const { name, node } = required(holder);
      for (const id of rig.fleet.executors.keys()) rig.fleet.cuts.add(`${name}>${id}`);
      await rig.settle(node.gateway.cancel(rig.queue('motions'), cancelled.id, cancelled.account));
      void node.leave(1_000);
      const isTaken = () =>
        rig.nodes.some((other) => other !== holder && other.node.hasLoadedService('motions'));
      t.true(await rig.until(isTaken));
      const spec = await submit(rig, 'sightings', { count: 4 });
      t.true((await mostRunning(rig, 4_000)) <= 5);
      t.true(await rig.until(() => running(rig, spec.id) === 4, 8_000));
    },
  },
  {
    // Guards against a holder that starts without a grant, or stops starting, without the store.
    title: 'a holder that is cut off from the store starts only within its grant',
    rig: twoServices,
    run: async (t, rig) => {
      const [holder] = await separateHolders(rig);
      rig.fleet.script = () => ({ runMs: 300 });
      await submit(rig, 'motions', { count: 200 });
      await rig.advance(1_000);
      const before = rig.fleet.runs().length;
      rig.store.faults.set(required(holder).name, StoreFault.DropCall);
      t.true((await mostRunning(rig, 1_500)) <= 5);
      t.true(rig.fleet.runs().length > before + 8);
      await submit(rig, 'sightings', { count: 30 });
      t.true((await mostRunning(rig, 12_000)) <= 5);
      rig.store.faults.clear();
      t.true((await mostRunning(rig, 4_000)) <= 5);
    },
  },
  {
    // Guards against double use of a grant whose raise or return may have been applied.
    title: 'writes that are applied late or not answered neither raise nor return twice',
    rig: twoServices,
    run: async (t, rig) => {
      const holders = await separateHolders(rig);
      rig.fleet.script = () => ({ runMs: 300 });
      for (const fault of [StoreFault.ApplyLate, StoreFault.LoseAnswer, StoreFault.SpoilAnswer]) {
        for (const service of SERVICES) await submit(rig, service, { count: 30 });
        rig.store.faults.set(required(holders[0]).name, fault);
        t.true((await mostRunning(rig, 2_500)) <= 5, fault);
        rig.store.faults.clear();
        t.true((await mostRunning(rig, 3_000)) <= 5, fault);
      }
      await rig.until(() => running(rig) === 0);
      const spec = await submit(rig, 'motions', {});
      t.true(await rig.until(() => running(rig, spec.id) === 1, 3_000));
    },
  },
  {
    // Guards against starts beyond the limit, and against lost work, while nobody reaches the store.
    title: 'while the store is down at a peak, starts continue within the grants',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: 300 });
      for (const service of SERVICES) await submit(rig, service, { count: 60 });
      await rig.advance(1_500);
      const before = rig.fleet.runs().length;
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.Refuse);
      t.true((await mostRunning(rig, 2_000)) <= 5);
      t.true(rig.fleet.runs().length > before + 6);
      rig.store.faults.clear();
      t.true((await mostRunning(rig, 10_000)) <= 5);
    },
  },
  {
    // Guards against starts beyond a limit that was lowered, and a raised limit that has no effect.
    title: 'a limit is lowered and raised',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: 400 });
      for (const service of SERVICES) await submit(rig, service, { count: 150 });
      await rig.advance(1_000);
      rig.configure({
        version: 2,
        services: SERVICES,
        limits: { [ACCOUNT]: { cpuMillis: 2_000 } },
      });
      await rig.advance(3_000);
      t.true((await mostRunning(rig, 3_000)) <= 3);
      t.true((await mostRunning(rig, 1_000)) >= 2);
      rig.configure({
        version: 3,
        services: SERVICES,
        limits: { [ACCOUNT]: { cpuMillis: 8_000 } },
      });
      await rig.advance(2_000);
      const most = await mostRunning(rig, 3_000);
      t.true(most >= 7 && most <= 9, String(most));
    },
  },
  {
    // Guards against an account that has no limit once it has left the configuration.
    title: 'the jobs of an account that left the configuration keep its last limit',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: 400 });
      for (const service of SERVICES) await submit(rig, service, { count: 60 });
      await rig.advance(1_000);
      rig.configure({ version: 2, services: SERVICES, limits: {} });
      t.true((await mostRunning(rig, 3_000)) <= 5);
      required(rig.holderOf('motions')).isDead = true;
      t.true((await mostRunning(rig, 14_000)) <= 5);
    },
  },
  {
    // Guards against a limit that does not count what ran before it was introduced.
    title: 'a limit counts the runs of all services from before it was introduced',
    rig: { ...twoServices, limits: { [ACCOUNT]: {} } },
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: Infinity });
      for (const service of SERVICES) await submit(rig, service, { count: 3, ...lasting });
      await rig.until(() => running(rig) === 6);
      rig.configure({ version: 2, services: SERVICES, limits: LIMIT });
      await rig.advance(1_500);
      await submit(rig, 'motions', { count: 2, ...lasting });
      t.is(await mostRunning(rig, 4_000), 6);
      t.is(granted(rig, 'motions') + granted(rig, 'sightings'), 6_000);
    },
  },
  {
    // Guards against starts before the other holders have entered what they run.
    title:
      'nothing is raised after a limit was introduced until every service has entered its runs',
    rig: { ...twoServices, limits: { [ACCOUNT]: {}, egrets: { cpuMillis: 1_000 } } },
    run: async (t, rig) => {
      const [, other] = await separateHolders(rig);
      rig.fleet.script = () => ({ runMs: Infinity });
      await submit(rig, 'sightings', { count: 4, ...lasting });
      await rig.until(() => running(rig) === 4);
      rig.store.faults.set(required(other).name, StoreFault.Refuse);
      rig.configure({ version: 2, services: SERVICES, limits: LIMIT });
      await rig.advance(1_100);
      await submit(rig, 'motions', { count: 4, ...lasting });
      t.is(await mostRunning(rig, 1_200), 4);
      rig.store.faults.clear();
      t.is(await mostRunning(rig, 5_000), 4);
      t.deepEqual(Object.keys(budget(rig)?.shares ?? {}).sort(), SERVICES);
    },
  },
  {
    // Guards against a task that waits forever, and against a second one beside it.
    title: 'a task larger than the limit runs alone',
    rig: { ...twoServices, limits: { [ACCOUNT]: { cpuMillis: 1_500 } } },
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: 500 });
      for (const service of SERVICES) await submit(rig, service, { count: 3, cpuMillis: 3_000 });
      t.is(await mostRunning(rig, 8_000), 1);
      t.is(rig.fleet.runs().length, 6);
    },
  },
  {
    // Guards against a gang that starts in part.
    title: 'a gang starts when the grant covers all its tasks',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: 1_500 });
      await submit(rig, 'sightings', { count: 3 });
      await rig.advance(300);
      const gang = await submit(rig, 'motions', { count: 4, isGang: true });
      const tooLarge = await submit(rig, 'motions', { count: 6, isGang: true });
      t.true((await mostRunning(rig, 900)) <= 3);
      t.true(await rig.until(() => running(rig, gang.id) === 4, 4_000));
      await rig.advance(3_000);
      t.is(rig.fleet.runs().filter(({ task }) => task.startsWith(tooLarge.id)).length, 0);
      t.true(holderOf(rig, 'motions').counters.value('account_starts_held', 'gang_too_large') > 0);
    },
  },
  {
    // Guards against a malformed row that frees the whole limit, or that blocks the account for good.
    title: 'an unreadable row counts as fully granted and is rewritten',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: 400 });
      for (const service of SERVICES) await submit(rig, service, { count: 100 });
      await rig.advance(1_500);
      for (const value of ['{', '{"version":1}']) {
        rig.store.put(budgetKey(ACCOUNT), value);
        t.true((await mostRunning(rig, 3_000)) <= 5);
        t.is(budget(rig)?.missing, undefined);
        t.deepEqual(Object.keys(budget(rig)?.shares ?? {}).sort(), SERVICES);
      }
      t.true((await mostRunning(rig, 2_000)) >= 4);
    },
  },
  {
    // Guards against store costs that grow with the number of tasks.
    title: 'a holder sends at most 4 transactions a second at a peak and none when nothing changes',
    rig: {
      ...twoServices,
      limits: { [ACCOUNT]: { cpuMillis: 9_000 }, egrets: { cpuMillis: 5_000 } },
    },
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = (task) => ({ runMs: 150 + (Number(task.split('.')[3]) % 7) * 90 });
      const times = countTransactions(rig);
      for (let round = 0; round < 20; round++) {
        const service = required(SERVICES[round % 2]);
        await submit(rig, service, { count: 7 });
        await submit(rig, service, { count: 5 }, { account: 'egrets' });
        await rig.advance(150);
      }
      for (const list of times.values())
        t.true(mostPerSecond(list) <= 4, String(mostPerSecond(list)));
      t.true(times.size > 0);
      await rig.advance(12_000);
      t.is(running(rig), 0);
      times.clear();
      await rig.advance(5_000);
      t.is(times.size, 0);
    },
  },
];

for (const { title, rig: options, run } of cases) {
  test(title, async (t) => {
    const rig = new BatchRig(options);
    await run(t, rig);
  });
}
