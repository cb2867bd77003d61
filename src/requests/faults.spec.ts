import test from 'ava';
import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { PlatformError, PlatformErrorCode, type Table } from '../platform/index.js';
import {
  brokenVariants,
  createVirtualClock,
  HistoryRule,
  RequestIdentity,
  callWithRetries,
  RequestCluster,
  scenarioFaults,
  startThreeProcesses,
  type ClusterVariant,
  type HistoryViolation,
  type RequestClusterOptions,
  type ScenarioFault,
} from '../testing/index.js';

const SEED = 11;
/** Covers the claim, forwarding to issuer and owner, the run and the response, in steps of 1 ms. */
const FAULT_TIMES_MS = Array.from({ length: 34 }, (_, ms) => ms);
const HEAL_AFTER_MS = 1_200;
const SETTLE_MS = 10_000;

type Options = Pick<RequestClusterOptions, 'variant' | 'fault'>;

/** Runs one caller, injects a fault at the given time and returns the cluster after it settled. */
async function runScenario(
  identity: RequestIdentity,
  fault: ScenarioFault,
  atMs: number,
  options: Options = {},
): Promise<RequestCluster> {
  const clock = createVirtualClock();
  const cluster = new RequestCluster({ clock, seed: SEED, ...options });
  startThreeProcesses(cluster);
  void callWithRetries(cluster, 'x', identity, ['a', 'c', 'b']);
  await clock.advance(atMs);
  fault.inject(cluster);
  await clock.advance(HEAL_AFTER_MS);
  fault.heal?.(cluster);
  await clock.advance(SETTLE_MS);
  return cluster;
}

/** Finds the violations for all fault times, each with the time of its fault. */
async function findViolations(
  identity: RequestIdentity,
  fault: ScenarioFault,
  options: Options = {},
) {
  const found: (HistoryViolation & { atMs: number })[] = [];
  for (const atMs of FAULT_TIMES_MS) {
    const cluster = await runScenario(identity, fault, atMs, options);
    found.push(...cluster.violations().map((violation) => ({ ...violation, atMs })));
  }
  return found;
}

for (const fault of scenarioFaults) {
  for (const identity of Object.values(RequestIdentity)) {
    // Guards against a second run, a false refusal, another request's response and a lost result.
    test(`history rules hold with ${fault.title} at any time, identity ${identity}`, async (t) => {
      t.deepEqual(await findViolations(identity, fault), []);
    });
  }
}

/** Creates a table whose writes report an unknown outcome and take effect after a delay. */
function delayedTable(clock: Clock, table: Table, delayMs: number): Table {
  return {
    ...table,
    transact: (conditions, writes) => {
      clock.setTimer(delayMs, () => void table.transact(conditions, writes));
      const message = 'the answer was lost';
      return Promise.resolve(
        Result.err(new PlatformError(PlatformErrorCode.OutcomeUnknown, message)),
      );
    },
  };
}

/** Runs two callers with the same key while claims of some processes take effect late. */
async function runDelayedClaims(
  delayedProcesses: string[],
  delayMs: number,
  variant?: ClusterVariant,
) {
  const clock = createVirtualClock();
  const table = (own: Table, name: string) =>
    delayedProcesses.includes(name) ? delayedTable(clock, own, delayMs) : own;
  const cluster = new RequestCluster({ clock, seed: SEED, table, variant });
  startThreeProcesses(cluster);
  void callWithRetries(cluster, 'x', RequestIdentity.Key, ['a', 'c', 'b']);
  void callWithRetries(cluster, 'x', RequestIdentity.Key, ['c', 'b', 'a']);
  await clock.advance(SETTLE_MS);
  return cluster.violations();
}

for (const delayMs of [0, 1, 3, 10, 30, 100, 600]) {
  for (const delayedProcesses of [['a'], ['a', 'c'], ['a', 'b', 'c']]) {
    // Guards against a claim that takes effect after its process has given up on it.
    test(`history rules hold with claims at ${delayedProcesses.join()} ${delayMs} ms late`, async (t) => {
      t.deepEqual(await runDelayedClaims(delayedProcesses, delayMs), []);
    });
  }
}

test('a second run is detected if claims are assumed to succeed', async (t) => {
  const table = (own: Table): Table => ({
    ...own,
    transact: async (conditions, writes) => {
      await own.transact(conditions, writes);
      return Result.ok(undefined);
    },
  });
  const rules = (await runDelayedClaims(['a', 'c'], 30, { table })).map(({ rule }) => rule);
  t.true(rules.includes(HistoryRule.RunsAtMostOnce));
});

for (const { title, rule, ...options } of brokenVariants) {
  test(`the fault scenarios detect ${title}`, async (t) => {
    const rules = new Set<string>();
    for (const fault of scenarioFaults) {
      for (const identity of Object.values(RequestIdentity)) {
        for (const violation of await findViolations(identity, fault, options))
          rules.add(violation.rule);
        if (rules.has(rule)) break;
      }
      if (rules.has(rule)) break;
    }
    t.true(rules.has(rule), `broken rules: ${[...rules].join(', ')}`);
  });
}
