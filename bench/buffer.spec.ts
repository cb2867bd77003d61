import test from 'ava';
import { capacityPolicies, CapacityPolicyId, type CapacityPolicy } from '../src/capacity/index.js';
import { run, runOnce, type BufferRow } from './buffer.js';
import type { StartDemand } from './bufferDemand.js';
import { DeploymentId, deployments } from './bufferFleet.js';
import { compareWithTargets } from './bufferSummary.js';

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);

/** Budgets do not depend on the demand, and without demand a run takes a few milliseconds. */
const noDemand: StartDemand = () => undefined;

const costBased = capacityPolicies[CapacityPolicyId.CostBased];

async function countViolations(policy: CapacityPolicy, id: DeploymentId, waveReserve: number) {
  const deployment = { ...deployments[id], waveReserve };
  let sum = 0;
  for (const seed of SEEDS) {
    const row = await runOnce({ seed, deployment, policy, demand: noDemand });
    sum += row.violations;
  }
  return sum;
}

for (const id of [DeploymentId.First, DeploymentId.Second]) {
  // Guards against a buffer that is too small for a rack failure during the wave.
  test(`deployment ${id} violates no budget with a buffer, and some without one (seeds 1 to 10)`, async (t) => {
    t.is(await countViolations(costBased, id, deployments[id].waveReserve), 0);
    const withoutBuffer: CapacityPolicy = { ...costBased, bufferVms: () => 0 };
    t.true((await countViolations(withoutBuffer, id, 0)) > 0);
  });
}

const createRow = (policy: CapacityPolicyId, figures: Partial<BufferRow>): BufferRow => ({
  seed: 1,
  deployment: DeploymentId.First,
  policy,
  bufferVms: 10,
  waveReserveVms: 10,
  rollOutMs: 1,
  moves: 1,
  movesUndone: 0,
  budgetLoans: 0,
  waitMeanMs: 100,
  waitP50Ms: 100,
  waitP99Ms: 100,
  waitMaxMs: 100,
  served: 1,
  lost: 0,
  violations: 0,
  ownViolations: 0,
  ...figures,
});

const missedTargets: [string, Partial<BufferRow>][] = [
  ['moves / moves on every rise', { moves: 2 }],
  ['mean wait / on every rise', { waitMeanMs: 111 }],
  ['p99 wait / on every rise', { waitP99Ms: 111 }],
  ['buffer / fixed rack per pool', { bufferVms: 17 }],
  ['wave reserve / fixed rack per pool', { waveReserveVms: 17 }],
  ['budget violations, all runs', { violations: 1 }],
];

test('each target is met at its limit and reported as missed above it', (t) => {
  const moveOnRise = createRow(CapacityPolicyId.MoveOnRise, { moves: 10 });
  const atLimit = { waitMeanMs: 110, waitP99Ms: 110, bufferVms: 16, waveReserveVms: 16 };
  const met = compareWithTargets([moveOnRise, createRow(CapacityPolicyId.CostBased, atLimit)]);
  t.deepEqual(
    met.filter(({ isMet }) => !isMet),
    [],
  );
  for (const [target, figures] of missedTargets) {
    const results = compareWithTargets([
      moveOnRise,
      createRow(CapacityPolicyId.CostBased, figures),
    ]);
    t.deepEqual(
      results.filter(({ isMet }) => !isMet).map((each) => each.target),
      [target],
    );
  }
});

test('two runs with the same seed give the same result (seed 1)', async (t) => {
  const policies = [CapacityPolicyId.CostBased];
  const ids = [DeploymentId.Second];
  t.deepEqual(await run(1, ids, policies), await run(1, ids, policies));
});
