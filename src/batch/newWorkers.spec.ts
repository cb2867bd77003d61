import test from 'ava';
import { BatchRig, required } from '../testing/batchRig/index.js';

const SERVICE = 'motions';
/** Time from the registration of a worker until it runs a task that waits for it. */
const MAX_DELAY_MS = 400;
/** Interval at which some worker changes its registration. */
const BEAT_MS = 20;

for (let phaseMs = 0; phaseMs < 500; phaseMs += 50) {
  // Guards against VMs that are paid for and stay idle while the callers of a turn that begins wait.
  test(`a task that waits starts soon on a new worker (${phaseMs} ms)`, async (t) => {
    const rig = new BatchRig({ nodes: 2, workersPerService: 1 });
    await rig.ready();
    const { node } = required(rig.holderOf(SERVICE));
    const spec = rig.createJob(SERVICE, [{ count: 2, cpuMillis: 3_000 }]);
    rig.fleet.script = () => ({ runMs: 60_000 });
    await rig.settle(node.gateway.submit(rig.queue(SERVICE), spec, 3_000));
    await rig.advance(2_000);
    t.is(rig.fleet.runs().length, 1);
    // The registrations of a large fleet change all the time.
    const [other] = rig.fleet.executors.values();
    const beat = () => {
      rig.register(required(other));
      rig.clock.setTimer(BEAT_MS, beat);
    };
    beat();
    await rig.advance(1_000 + phaseMs);
    const registeredAt = rig.clock.now();
    rig.addWorker('new', SERVICE);
    t.true(await rig.until(() => rig.fleet.runs().length === 2, 2_000));
    const delayMs = rig.clock.now() - registeredAt;
    t.true(delayMs <= MAX_DELAY_MS, `${delayMs} ms`);
  });
}
