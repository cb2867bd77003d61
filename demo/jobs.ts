import { fileURLToPath } from 'node:url';
import { RunEnd } from '../src/batch/index.js';
import { StandinDeployment, type Daemon } from '../platform/standin/deployment.js';
import { waitFor } from '../testbed/index.js';

const MAIN = fileURLToPath(new URL('../platform/main.js', import.meta.url));
const JOB_ID = '00000000000000d1';
const NODE_COUNT = 3;

/** Records whether a guarantee was met. */
export type Check = (guarantee: string, isMet: boolean, detail: string) => void;

/** Runs a job of two steps on three nodes and kills the holder of its service during the first one. */
export async function checkNodeJobs(check: Check): Promise<void> {
  const deployment = await StandinDeployment.start(3);
  try {
    const nodes = Array.from({ length: NODE_COUNT }, () => deployment.startDaemon(MAIN));
    for (const node of nodes) {
      await waitFor(`${node.name} is ready`, () => deployment.isReady(node));
    }
    const isHolder = ({ output }: Daemon) => output().includes('service_loaded service=motions');
    await waitFor('the service has a holder', () => nodes.some(isHolder));
    deployment.executors.script = () => ({ runMs: 1_500 });
    const holder = nodes.find(isHolder);
    const caller = nodes.find((node) => node !== holder);
    if (!holder || !caller) return;
    await runJob(deployment, caller, holder);
    const runs = deployment.executors.runs();
    const areDone = runs.every(({ end }) => end === RunEnd.Done);
    check(
      'a job runs each task once although the holder of its service is killed',
      areDone && runs.length === 6,
      `${runs.length} runs of 6 tasks in two steps`,
    );
  } finally {
    await deployment.stop();
  }
}

async function runJob(
  deployment: StandinDeployment,
  caller: Daemon,
  holder: Daemon,
): Promise<void> {
  const step = { count: 3, cpu: 1_000, memMb: 100, estRuntimeMs: 1_500 };
  const steps = [step, { ...step, after: [0] }];
  await deployment.call(caller, 'POST', JOB_ID, { spec: 'pairings', steps });
  await waitFor('the first step runs', () => deployment.executors.runs().length === 3);
  holder.process.kill('SIGKILL');
  await waitFor('the job succeeds', async () => {
    const res = await deployment.call(caller, 'GET', JOB_ID);
    return res?.body.state === 'succeeded';
  });
}
