import test from 'ava';
import {
  brokenVariants,
  createVirtualClock,
  Identity,
  persistentCaller,
  RequestCluster,
  scenarioFaults,
  startThree,
  type HistoryViolation,
  type RequestClusterOptions,
  type ScenarioFault,
} from '../testing/index.js';

const SEED = 11;
/** Covers claim, forwarding to the issuer and the owner, run and answer, in steps of 1 ms. */
const MOMENTS_MS = Array.from({ length: 34 }, (_, ms) => ms);
const HEAL_AFTER_MS = 1_200;
const SETTLE_MS = 10_000;

type Options = Pick<RequestClusterOptions, 'variant' | 'fault'>;

/** Runs one caller with a fault at one moment and returns the cluster when all has ended. */
async function runScenario(
  identity: Identity,
  fault: ScenarioFault,
  atMs: number,
  options: Options = {},
): Promise<RequestCluster> {
  const clock = createVirtualClock();
  const cluster = new RequestCluster({ clock, seed: SEED, ...options });
  startThree(cluster);
  void persistentCaller(cluster, 'x', identity, ['a', 'c', 'b']);
  await clock.advance(atMs);
  fault.inject(cluster);
  await clock.advance(HEAL_AFTER_MS);
  fault.heal?.(cluster);
  await clock.advance(SETTLE_MS);
  return cluster;
}

/** Violations over all moments, with the moments at which they occur. */
async function sweep(identity: Identity, fault: ScenarioFault, options: Options = {}) {
  const found: (HistoryViolation & { atMs: number })[] = [];
  for (const atMs of MOMENTS_MS) {
    const cluster = await runScenario(identity, fault, atMs, options);
    found.push(...cluster.violations().map((violation) => ({ ...violation, atMs })));
  }
  return found;
}

for (const fault of scenarioFaults) {
  for (const identity of Object.values(Identity)) {
    // Guards against a second run, an untrue refusal, a foreign answer or a lost end.
    test(`rules hold with ${fault.title} at any moment, identity ${identity}`, async (t) => {
      t.deepEqual(await sweep(identity, fault), []);
    });
  }
}

for (const { title, rule, ...options } of brokenVariants) {
  test(`the sweep notices ${title}`, async (t) => {
    const rules = new Set<string>();
    for (const fault of scenarioFaults) {
      for (const identity of Object.values(Identity)) {
        for (const violation of await sweep(identity, fault, options)) rules.add(violation.rule);
        if (rules.has(rule)) break;
      }
      if (rules.has(rule)) break;
    }
    t.true(rules.has(rule), `broken rules: ${[...rules].join(', ')}`);
  });
}
