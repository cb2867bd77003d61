import fc from 'fast-check';
import test from 'ava';
import type { ConfigHistory } from '../configuration/index.js';
import { messageOf } from '../errors/index.js';
import { ControllerRig, findViolations, fleetOf } from '../testing/controllerRig.js';
import {
  ScenarioEventKind,
  ControllerScenario,
  startWaves,
  type ScenarioVariant,
} from '../testing/controllerScenario.js';
import { CallFault } from '../testing/interceptedPlatform.js';

const SEED = 20_263;
const MINUTE_MS = 60_000;

/** Faulty variant: commits a decision against the newest version, not the one it evaluated. */
const countOutsideTransaction = (history: ConfigHistory): ConfigHistory => ({
  ...history,
  commit: async (base, changeSet, extra) => {
    const head = await history.head();
    return history.commit(head.isOk ? head.value.version : base, changeSet, extra);
  },
});

/** Faulty variant: in addition, commits without the lease condition. */
const withoutLeaseCondition = (history: ConfigHistory): ConfigHistory => {
  const outside = countOutsideTransaction(history);
  return { ...outside, commit: (base, changeSet) => outside.commit(base, changeSet) };
};

test('controllers of two zones that compete for the last permit never both get it', async (t) => {
  for (const [history, isSafe] of [
    [undefined, true],
    [countOutsideTransaction, false],
  ] as const) {
    let violations = 0;
    for (const pauseMs of [50, 100, 200, 400, 800]) {
      const rig = new ControllerRig({ waveReserve: 0 });
      const pools = [{ maxAway: 1 }];
      await rig.load(fleetOf({ zones: 2, racksPerZone: 2, vmsPerRack: 3, pools }));
      await startWaves(rig);
      const faultOf = ({ name }: { name: string }) =>
        name === 'table.transact' ? CallFault.Pause : CallFault.None;
      for (const zone of ['z0', 'z1']) rig.start(zone, zone, { faultOf, pauseMs, history });
      await rig.clock.advance(5 * MINUTE_MS);
      violations += findViolations(await rig.deltas()).length;
      if (isSafe) t.is(new Set(rig.platform.reboots).size, 12, `${pauseMs} ms`);
      await rig.close();
    }
    t.is(violations === 0, isSafe);
  }
});

test('a holder that is paused before any call commits nothing after it was replaced', async (t) => {
  for (const [history, isSafe] of [
    [undefined, true],
    [withoutLeaseCondition, false],
  ] as const) {
    let lateCommits = 0;
    for (let step = 0; step < 60; step += 1) {
      const rig = new ControllerRig();
      await rig.load(fleetOf({ zones: 1, racksPerZone: 1, vmsPerRack: 2, pools: [{}] }));
      await startWaves(rig);
      let resumesAt = Infinity;
      const faultOf = ({ index }: { index: number }) => {
        if (index === step) resumesAt = rig.clock.now() + 20_000;
        return index >= step && rig.clock.now() < resumesAt ? CallFault.Pause : CallFault.None;
      };
      rig.start('z0', 'a', { history, faultOf });
      await rig.clock.advance(50);
      const second = rig.start('z0', 'b');
      await rig.clock.advance(MINUTE_MS);
      lateCommits += rig.lateCommits.length;
      await rig.close([second.lifecycle]);
    }
    t.is(lateCommits === 0, isSafe);
  }
});

async function exploreScenarios(variant: ScenarioVariant, numRuns: number): Promise<void> {
  const event = fc.record({
    event: fc.constantFrom(...Object.values(ScenarioEventKind)),
    targetIndex: fc.nat({ max: 1_000 }),
  });
  const property = fc.asyncProperty(
    fc.array(event, { minLength: 4, maxLength: 10 }),
    async (events) => {
      const scenario = new ControllerScenario(variant);
      await scenario.start();
      for (const each of events) {
        await scenario.advance(8_000, 500);
        await scenario.apply(each);
      }
      await scenario.advance(8_000, 500);
      const problems = await scenario.settle();
      await scenario.close();
      if (problems.length > 0) throw new Error(problems.slice(0, 5).join('\n'));
    },
  );
  await fc.assert(property, { seed: SEED, numRuns, endOnFailure: true });
}

test('random faults and events violate no rule and leave no work unfinished', async (t) => {
  t.timeout(120_000);
  const failure = await exploreScenarios({}, 20).then(
    () => undefined,
    (err: unknown) => messageOf((err as Error).cause ?? err),
  );
  t.is(failure, undefined);
});

const faultyVariants: [string, ScenarioVariant, RegExp][] = [
  ['permits counted outside the transaction', { history: countOutsideTransaction }, /version \d+/],
  ['no lease condition', { history: withoutLeaseCondition }, /late commit|version \d+/],
  ['drains that are never cancelled', { withoutDrainCancel: true }, /left drained/],
  ['no confirmation of drains', { withoutConfirmation: true }, /cut off/],
];

for (const [title, variant, message] of faultyVariants) {
  test(`random scenarios detect ${title}`, async (t) => {
    const err = await t.throwsAsync(exploreScenarios(variant, 20));
    t.regex(messageOf(err.cause), message);
  });
}
