import test, { type ExecutionContext } from 'ava';
import { CallOutcome } from '../batch/gateway.js';
import { renderMetrics } from '../batch/metricsPage.js';
import type { JobSpec, StepSpec } from '../batch/types.js';
import {
  BatchRig,
  required,
  StoreFault,
  type BatchRigOptions,
  type RigNode,
} from '../testing/batchRig/index.js';
import { budgetKey, BUDGET_TABLE, encodeBudget } from './budgetRow.js';
import { budgetDefaults } from './defaults.js';
import { NO_RESOURCES } from './resourceMath.js';

const ACCOUNT = 'herons';
const SERVICES = ['motions', 'sightings'];

interface Case {
  title: string;
  rig?: BatchRigOptions;
  run: (t: ExecutionContext, rig: BatchRig) => Promise<void>;
}

/** Gauges of accounts on the metrics page of a node: values by series without the prefix. */
async function gaugesOf({ counters }: RigNode): Promise<Record<string, number>> {
  const page = await renderMetrics(counters);
  const series = page.matchAll(
    /^burdocknotch_(account_(?:limit|granted|used|wanted|waiting_tasks)\{[^}]*\}) (\S+)$/gm,
  );
  return Object.fromEntries([...series].map(([, name = '', value]) => [name, Number(value)]));
}

const cpu = (metric: string, service = 'motions', account = ACCOUNT) =>
  `account_${metric}{account="${account}",service="${service}",resource="cpu_millis"}`;
const waiting = (service = 'motions', account = ACCOUNT) =>
  `account_waiting_tasks{account="${account}",service="${service}"}`;

async function submit(
  rig: BatchRig,
  service: string,
  step: Partial<StepSpec>,
  fields: Partial<JobSpec> = { account: ACCOUNT },
): Promise<void> {
  const spec = rig.createJob(service, [step], fields);
  const node = required(rig.nodes.find(({ isDead }) => !isDead));
  const answer = await rig.settle(node.node.gateway.submit(rig.queue(service), spec, 3_000));
  if (answer.outcome !== CallOutcome.Ok) throw new Error(`refused: ${answer.outcome}`);
}

function holderOf(rig: BatchRig, service: string): RigNode {
  return required(rig.holderOf(service));
}

/** Starts runs that do not end, more than the limit allows. */
async function fillLimit(rig: BatchRig): Promise<RigNode> {
  await rig.ready(SERVICES);
  rig.fleet.script = () => ({ runMs: Infinity });
  await submit(rig, 'motions', { count: 6 });
  await rig.advance(2_000);
  return holderOf(rig, 'motions');
}

const LIMIT = { [ACCOUNT]: { cpuMillis: 4_000 } };
const twoServices: BatchRigOptions = { services: SERVICES, nodes: 4, limits: LIMIT };

const cases: Case[] = [
  {
    // Guards against gauges that are missing or computed in another way than the log line.
    title: 'the page shows what the last log line of the account shows',
    rig: twoServices,
    run: async (t, rig) => {
      const holder = await fillLimit(rig);
      const line = holder.logLines.findLast((text) =>
        text.includes(`event=account_state account=${ACCOUNT} service=motions`),
      );
      const logged = (field: string) =>
        Number(new RegExp(` ${field}=(\\d+)`).exec(line ?? '')?.[1] ?? NaN);
      const gauges = await gaugesOf(holder);
      const own = Object.fromEntries(
        Object.entries(gauges).filter(([name]) => name.includes('service="motions"')),
      );
      t.deepEqual(own, {
        [cpu('limit')]: logged('limit'),
        [cpu('granted')]: logged('granted'),
        [cpu('used')]: logged('used'),
        [cpu('wanted')]: logged('wanted'),
        [waiting()]: logged('waiting'),
      });
      t.is(gauges[cpu('limit')], 4_000);
      t.is(gauges[cpu('used')], 4_000);
      t.is(gauges[cpu('wanted')], 2_000);
      t.is(gauges[waiting()], 2);
    },
  },
  {
    // Guards against values of an earlier request for the page.
    title: 'the page shows the present values each time that it is requested',
    rig: twoServices,
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      rig.fleet.script = () => ({ runMs: 600 });
      await submit(rig, 'motions', { count: 6 });
      const holder = holderOf(rig, 'motions');
      await rig.until(() => rig.fleet.runs().length === 4);
      t.is((await gaugesOf(holder))[waiting()], 2);
      await rig.until(() => rig.fleet.runs().filter(({ endedAt }) => endedAt).length === 6);
      await rig.advance(200);
      const gauges = await gaugesOf(holder);
      t.is(gauges[waiting()], 0);
      t.is(gauges[cpu('used')], 0);
    },
  },
  {
    // Guards against series of what cannot be exceeded, and against costs of accounts without a limit.
    title: 'only limited resources of accounts with a limit have gauges',
    rig: { ...twoServices, limits: { [ACCOUNT]: { cpuMillis: 4_000, memoryMb: 900 }, egrets: {} } },
    run: async (t, rig) => {
      const holder = await fillLimit(rig);
      await submit(rig, 'motions', { count: 3 }, { account: 'egrets' });
      await submit(rig, 'motions', { count: 3 }, {});
      await rig.advance(1_000);
      const names = Object.keys(await gaugesOf(holder)).filter((name) => name.includes('motions'));
      t.is(names.length, 9);
      t.true(names.every((name) => name.includes(`account="${ACCOUNT}"`)));
      t.false(names.some((name) => name.includes('accelerators')));
    },
  },
  {
    // Guards against two nodes that show one service, of which one shows earlier values.
    title: 'the gauges move with the service',
    rig: twoServices,
    run: async (t, rig) => {
      const holder = await fillLimit(rig);
      await rig.settle(holder.node.leave(1_000));
      t.deepEqual(await gaugesOf(holder), {});
      const isTaken = () =>
        rig.nodes.some((other) => other !== holder && other.node.hasLoadedService('motions'));
      t.true(await rig.until(isTaken));
      await rig.advance(1_000);
      t.deepEqual(await gaugesOf(holder), {});
      const successor = required(
        rig.nodes.find((other) => other !== holder && other.node.hasLoadedService('motions')),
      );
      t.is((await gaugesOf(successor))[cpu('used')], 4_000);
    },
  },
  {
    // Guards against values that nothing updates, because placement rounds have ended.
    title: 'while the store is down, a holder shows gauges as long as it may start tasks',
    rig: twoServices,
    run: async (t, rig) => {
      const holder = await fillLimit(rig);
      for (const { name } of rig.nodes) rig.store.faults.set(name, StoreFault.DropCall);
      await rig.advance(5_000);
      t.is((await gaugesOf(holder))[cpu('limit')], 4_000);
      await rig.advance(2_500);
      t.true(holder.node.hasLoadedService('motions'));
      t.deepEqual(await gaugesOf(holder), {});
    },
  },
  {
    // Guards against a process that was suspended and shows the values from before.
    title: 'a node that was frozen shows no gauges when it resumes',
    rig: twoServices,
    run: async (t, rig) => {
      const holder = await fillLimit(rig);
      holder.wallOffsetMs = 8_000;
      t.deepEqual(await gaugesOf(holder), {});
    },
  },
  {
    // Guards against grants that look empty while they are unknown.
    title: 'a new holder shows no gauges before it has read the rows',
    rig: twoServices,
    run: async (t, rig) => {
      const holder = await fillLimit(rig);
      for (const { name } of rig.nodes) rig.store.delays.set(`${name} ${BUDGET_TABLE}`, 3_000);
      await rig.settle(holder.node.leave(1_000));
      const successor = () =>
        rig.nodes.find((other) => other !== holder && other.node.hasLoadedService('motions'));
      t.true(await rig.until(() => successor() !== undefined));
      await rig.advance(500);
      t.false(cpu('granted') in (await gaugesOf(required(successor()))));
      await rig.advance(5_000);
      t.is((await gaugesOf(required(successor())))[cpu('granted')], 4_000);
    },
  },
  {
    // Guards against series of accounts that no longer exist.
    title: 'the gauges of an account disappear when it leaves the configuration',
    rig: twoServices,
    run: async (t, rig) => {
      const holder = await fillLimit(rig);
      rig.configure({ version: 2, services: SERVICES, limits: { egrets: { cpuMillis: 1_000 } } });
      await rig.advance(1_500);
      const { logLines } = holder;
      // Its jobs keep the last limit, so that the log goes on.
      t.true(logLines.some((line) => line.includes(`event=account_state account=${ACCOUNT}`)));
      t.deepEqual(await gaugesOf(holder), {});
    },
  },
  {
    // Guards against a page that grows with the number of accounts, and that omits the ones that wait.
    title: 'accounts beyond the cap have no gauges and are counted, idle ones first',
    rig: {
      ...twoServices,
      limits: Object.fromEntries(manyAccounts().map((name) => [name, { cpuMillis: 4_000 }])),
    },
    run: async (t, rig) => {
      await rig.ready(SERVICES);
      const limit = { ...NO_RESOURCES, cpuMillis: 4_000 };
      for (const account of manyAccounts()) {
        rig.store.put(budgetKey(account), encodeBudget({ version: 1, limit, shares: {} }));
      }
      rig.fleet.script = () => ({ runMs: Infinity });
      const last = required(manyAccounts().at(-1));
      await submit(rig, 'motions', { count: 6 }, { account: last });
      await rig.advance(2_000);
      const holder = holderOf(rig, 'motions');
      const gauges = await gaugesOf(holder);
      const names = Object.keys(gauges).filter((name) => name.includes('service="motions"'));
      t.is(names.length, budgetDefaults.maxGaugeAccounts * 5);
      t.is(gauges[waiting('motions', last)], 2);
      t.is(holder.counters.value('account_gauges_left_out', 'motions'), 3);
      t.regex(
        await renderMetrics(holder.counters),
        /account_gauges_left_out_total\{reason="motions"\} 6/,
      );
    },
  },
];

function manyAccounts(): string[] {
  const count = budgetDefaults.maxGaugeAccounts + 3;
  return Array.from({ length: count }, (_, index) => `account-${index}`);
}

for (const { title, rig: options, run } of cases) {
  test(title, async (t) => {
    await run(t, new BatchRig(options));
  });
}
