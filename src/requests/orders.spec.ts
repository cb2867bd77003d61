import test from 'ava';
import fc from 'fast-check';
import {
  createVirtualClock,
  RequestIdentity,
  callWithRetries,
  RequestCluster,
  restartProcess,
  SendFault,
  startThreeProcesses,
  type ClusterVariant,
} from '../testing/index.js';

const SEED = 20_261;
const RUNS = 300;
const MAX_STEPS = 25;
const SETTLE_MS = 20_000;
const NAMES = ['a', 'b', 'c'] as const;

type Step = (cluster: RequestCluster) => Promise<void> | void;

const processName = fc.constantFrom(...NAMES);
const processPair = fc.tuple(processName, processName).filter(([from, to]) => from !== to);

const forEachProcess = (cluster: RequestCluster, change: (name: string) => void) => {
  for (const process of cluster.processes.keys()) change(process);
};

/** One arbitrary for each kind of event; it yields a step with a description. */
const eventArbitraries: fc.Arbitrary<{ text: string; step: Step }>[] = [
  fc
    .tuple(
      fc.nat(9),
      fc.constantFrom(...Object.values(RequestIdentity)),
      fc.shuffledSubarray([...NAMES], { minLength: 1 }),
    ) // prettier-ignore
    .map(([n, identity, names]) => ({
      text: `call ${identity} ${n} on ${names.join()}`,
      step: (cluster) => {
        // One persistent caller per request: the number of attempts so far tells the tags apart.
        const tag = `${identity}-${n}-${cluster.history.outcomes().length}`;
        void callWithRetries(cluster, tag, identity, names);
      },
    })),
  fc.integer({ min: 1, max: 300 }).map((ms) => ({
    text: `wait ${ms}`,
    step: (cluster) => (cluster.clock as ReturnType<typeof createVirtualClock>).advance(ms),
  })),
  processName.map((process) => ({
    text: `restart ${process}`,
    step: (cluster) => {
      restartProcess(cluster, process);
    },
  })),
  processName.map((process) => ({
    text: `pause ${process}`,
    step: (cluster) => {
      cluster.process(process).gate.pause();
    },
  })),
  processName.map((process) => ({
    text: `resume ${process}`,
    step: (cluster) => {
      cluster.process(process).gate.resume();
    },
  })),
  fc.tuple(processPair, fc.boolean()).map(([[from, to], up]) => ({
    text: `link ${from}-${to} ${up ? 'up' : 'down'}`,
    step: (cluster) => {
      cluster.hub.setLink(from, to, up);
    },
  })),
  fc.tuple(processPair, fc.boolean()).map(([[from, to], lossy]) => ({
    text: `messages ${from} to ${to} ${lossy ? 'lost' : 'delivered'}`,
    step: (cluster) => {
      cluster.hub.setLossy(from, to, lossy);
    },
  })),
  fc.tuple(processName, fc.boolean()).map(([process, down]) => ({
    text: `platform ${down ? 'down' : 'up'} for ${process}`,
    step: (cluster) => {
      cluster.process(process).platform.down = down;
    },
  })),
  fc.tuple(processName, fc.integer({ min: 1, max: 3 })).map(([process, count]) => ({
    text: `${process} loses ${count} platform answers`,
    step: (cluster) => {
      cluster.process(process).platform.loseAnswers = count;
    },
  })),
];

/** Runs the steps, resumes all processes and the platform, and returns the violated rules. */
async function findViolations(
  events: readonly { step: Step }[],
  sendFaults: readonly SendFault[],
  variant?: ClusterVariant,
) {
  const clock = createVirtualClock();
  let sent = 0;
  const nextFault = () => sendFaults[(sent += 1) % sendFaults.length] ?? SendFault.None;
  const cluster = new RequestCluster({ clock, seed: SEED, fault: nextFault, variant });
  startThreeProcesses(cluster);
  for (const { step } of events) await step(cluster);
  forEachProcess(cluster, (process) => {
    cluster.process(process).gate.resume();
    cluster.process(process).platform.down = false;
  });
  await clock.advance(SETTLE_MS);
  return cluster.violations();
}

const scenarios = fc.tuple(
  fc.array(fc.oneof(...eventArbitraries), { minLength: 5, maxLength: MAX_STEPS }),
  fc.array(fc.constantFrom(...Object.values(SendFault)), { minLength: 1, maxLength: 6 }),
);

const parameters = { seed: SEED, numRuns: RUNS };

// Guards against violations in sequences of events that the tests of single faults do not cover.
test('history rules hold in random sequences of calls and faults', async (t) => {
  await fc.assert(
    fc.asyncProperty(scenarios, async ([events, faults]) => {
      const found = await findViolations(events, faults);
      if (found.length > 0) {
        const texts = events.map(({ text }) => text).join('; ');
        throw new Error(`${JSON.stringify(found)} after ${texts} with ${faults.join()}`);
      }
    }),
    parameters,
  );
  t.pass();
});

test('random sequences detect a router that runs a keyed request without a claim', async (t) => {
  const variant: ClusterVariant = {
    router: (router) => ({
      ...router,
      handle: (req) => router.handle({ ...req, idempotencyKey: undefined }),
    }),
  };
  const property = fc.asyncProperty(scenarios, async ([events, faults]) => {
    return (await findViolations(events, faults, variant)).length === 0;
  });
  const { failed } = await fc.check(property, { ...parameters, endOnFailure: true });
  t.true(failed);
});
