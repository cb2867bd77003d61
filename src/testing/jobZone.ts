import type { JobControllerDeps, JobController, JobSpec, JobStore, Worker } from '../jobs/index.js';
import { createJobController, createJobStore, fitsSomeWorker, jobsSchema } from '../jobs/index.js';
import type { JobRecord, JobsSettings } from '../jobs/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { Metrics } from '../metrics/index.js';
import type { PlatformClient } from '../platform/index.js';
import { createRandom } from '../random/index.js';
import { FakePlatform } from './fakePlatform.js';
import type { TimedWork } from './fakeWorkers.js';
import { CallFault, withFaults } from './platformFaults.js';
import { createVirtualClock, type VirtualClock } from './virtualClock.js';

const ZONE = 'zone-a';
const LEASE_KEY = `lease/zone/${ZONE}`;

/** Options for {@link createJobZone}. */
export interface JobZoneOptions {
  settings?: Partial<JobsSettings>;
  /** Number of workers; each has 8 cores and 16,384 MiB of memory. */
  workers?: number;
  /** Wraps the clients of the job store and, by default, of the controllers. */
  wrap?: (client: PlatformClient) => PlatformClient;
  policy?: JobControllerDeps['policy'];
  maxOpenJobs?: number;
  /** Latency of the controllers' table calls in milliseconds. */
  tableLatencyMs?: number;
  /** Whether notifications of the job store reach the controller; true by default. */
  deliversNotices?: boolean;
}

/** A job controller under test. */
export interface RunningController extends JobController {
  metrics: Metrics;
  close: () => Promise<void>;
}

/** A zone with a job store, job controllers and fake workers under virtual time. */
export interface JobZone {
  clock: VirtualClock;
  platform: FakePlatform;
  workers: Worker[];
  store: JobStore;
  /** Takes the zone lease for a new controller, which holds it until the lease is taken again. */
  startController: (wrap?: (client: PlatformClient) => PlatformClient) => RunningController;
  /** Takes the zone lease from its holder; returns the new version of the lease row. */
  takeLease: () => number;
  submit: (id: string, work?: TimedWork, spec?: Partial<JobSpec>) => Promise<void>;
  /** Starts of tasks by job id, with the virtual time in milliseconds. */
  starts: Map<string, { atMs: number; vm: string }[]>;
  /** Reads a job; throws if that fails. */
  job: (id: string) => Promise<JobRecord>;
  /** Sum of a counter over all label values that match the given labels. */
  counterTotal: (
    metrics: Metrics,
    name: string,
    labels?: Record<string, string>,
  ) => Promise<number>;
  storeMetrics: Metrics;
}

/** Creates ids that consist of the prefix and a number from 0. */
export function idList(count: number, prefix = 'j'): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${index}`);
}

/** Creates a zone; no controller runs until `startController` is called. */
export function createJobZone(options: JobZoneOptions = {}): JobZone {
  const clock = createVirtualClock();
  const platform = new FakePlatform(clock);
  const settings = jobsSchema.parse(options.settings ?? {});
  const wrap = options.wrap ?? ((client: PlatformClient) => client);
  const workers: Worker[] = Array.from({ length: options.workers ?? 2 }, (_, index) => ({
    vm: `vm-${index}`,
    cores: 8,
    memoryMib: 16_384,
    accelerators: 0,
    usable: true,
  }));
  let rotation: readonly Worker[] = workers;
  const starts: JobZone['starts'] = new Map();
  platform.workers.onStart = (vm, { jobId }) => {
    starts.set(jobId, [...(starts.get(jobId) ?? []), { atMs: clock.now(), vm }]);
  };
  const storeMetrics = new Metrics();
  let latestController: JobController | undefined;
  const store = createJobStore({
    platform: wrap(platform.client()),
    settings,
    clock,
    random: createRandom(5),
    metrics: storeMetrics,
    zone: ZONE,
    maxOpenJobs: (team) => (team === 'nobody' ? undefined : (options.maxOpenJobs ?? 10_000)),
    fitsInventory: (kind, declared) =>
      fitsSomeWorker(workers, declared, latestController?.learnedUsage(kind)),
    notify: (_zone, jobId) => {
      if (options.deliversNotices !== false) latestController?.notify(jobId);
    },
  });

  const withLatency = (client: PlatformClient) =>
    withFaults(client, async (part) => {
      if (part === 'table' && options.tableLatencyMs) await clock.sleep(options.tableLatencyMs);
      return CallFault.None;
    });

  function takeLease(): number {
    const version = (platform.rows.get(LEASE_KEY)?.version ?? 0) + 1;
    platform.rows.set(LEASE_KEY, { key: LEASE_KEY, version, value: {} });
    return version;
  }

  function startController(wrapClient = wrap): RunningController {
    const epoch = takeLease();
    const metrics = new Metrics();
    const lifecycle = new Lifecycle('controller');
    const controller = createJobController({
      zone: ZONE,
      platform: withLatency(wrapClient(platform.client())),
      settings,
      clock,
      logger: silentLogger,
      metrics,
      // A replaced holder keeps its old condition, as if it had been paused during the takeover.
      leaseCondition: () => ({ key: LEASE_KEY, version: epoch }),
      // The order rotates with each call, so that no test passes because of a fixed order.
      workers: () => {
        const [first, ...others] = rotation;
        if (first) rotation = [...others, first];
        return rotation;
      },
      policy: options.policy,
    });
    latestController = controller;
    const running = controller.run(lifecycle);
    const close = async () => {
      await settle(clock, Promise.all([lifecycle.close(), running]));
    };
    return { ...controller, metrics, close };
  }

  async function submit(id: string, work: TimedWork = {}, spec: Partial<JobSpec> = {}) {
    const result = await settle(
      clock,
      store.submit({
        id,
        team: 'team',
        kind: 'kind',
        urgent: false,
        idempotent: true,
        cores: 1,
        memoryMib: 1_024,
        accelerators: 0,
        payload: { runMs: 1_000, ...work },
        ...spec,
      }),
    );
    if (result.isErr) throw result.error;
  }

  async function job(id: string): Promise<JobRecord> {
    const result = await settle(clock, store.get(id));
    if (result.isErr) throw result.error;
    return result.value;
  }

  async function counterTotal(metrics: Metrics, name: string, labels: Record<string, string> = {}) {
    const metric = await metrics.registry.getSingleMetric(`burdocknotch_${name}`)?.get();
    return (metric?.values ?? [])
      .filter((sample) => Object.entries(labels).every(([k, v]) => sample.labels[k] === v))
      .reduce((sum, { value }) => sum + value, 0);
  }

  return {
    clock,
    platform,
    workers,
    store,
    startController,
    takeLease,
    submit,
    job,
    starts,
    counterTotal,
    storeMetrics,
  };
}

/** Advances virtual time in small steps until a promise settles, and returns the promise. */
export async function settle<T>(clock: VirtualClock, promise: Promise<T>): Promise<T> {
  let isSettled = false;
  const markSettled = () => {
    isSettled = true;
  };
  promise.then(markSettled, markSettled);
  await clock.advance(0);
  while (!isSettled) await clock.advance(10);
  return promise;
}
