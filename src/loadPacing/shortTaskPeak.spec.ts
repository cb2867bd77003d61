import test from 'ava';
import { BatchRig, required } from '../testing/batchRig/index.js';

const SERVICE = 'motions';
/** Jobs of two steps of four tasks each that are submitted in each second of the peak. */
const JOBS_PER_SECOND = 100;
const PEAK_MS = 4_000;
const JOB_INTERVAL_MS = 1_000 / JOBS_PER_SECOND;
/** Work of the holder for a start order, and for a list of runs. */
const CALL_MS = 0.9;

interface Load {
  title: string;
  callMs: number;
  /** Smallest share of the jobs that has to end in time. */
  inTime: number;
}

const loads: Load[] = [
  { title: 'with processor time to spare', callMs: CALL_MS / 4, inTime: 0.95 },
  { title: 'at the limit of its processor', callMs: CALL_MS, inTime: 0.95 },
];

for (const { title, callMs, inTime } of loads) {
  // Guards against a class of many short tasks that is served late while its workers are idle,
  // because its holder reads a list of runs for the end of nearly every task.
  test(`a peak of short tasks is served in time by a holder ${title}`, async (t) => {
    const rig = new BatchRig({ nodes: 1, workersPerService: 150, measuresBusyTime: true });
    let sequence = 0;
    rig.fleet.script = () => ({ runMs: 300 + ((sequence++ * 37) % 400) });
    await rig.ready();
    rig.fleet.orderSendMs = callMs;
    rig.fleet.listReadMs = callMs;
    const [node] = rig.nodes;
    const { gateway } = required(node).node;
    for (let sentMs = 0; sentMs < PEAK_MS; sentMs += JOB_INTERVAL_MS) {
      const steps = [{ count: 4, cpuMillis: 1_000, memoryMb: 10 }];
      const second = { ...required(steps[0]), after: [0] };
      void gateway.submit(rig.queue(SERVICE), rig.createJob(SERVICE, [...steps, second]), 3_000);
      await rig.advance(JOB_INTERVAL_MS);
    }
    await rig.advance(6_000);
    const { counters } = required(node);
    const succeeded = (timeliness: string) => counters.value('jobs_succeeded', timeliness);
    const all = succeeded('in_time') + succeeded('late') + succeeded('overdue');
    t.true(all >= (JOBS_PER_SECOND * PEAK_MS) / 1_000);
    t.log(`${rig.fleet.listCount} lists for ${all * 8} tasks`);
    t.true(succeeded('in_time') >= inTime * all, `${succeeded('in_time')} of ${all} in time`);
    t.deepEqual(rig.violations(), []);
  });
}
