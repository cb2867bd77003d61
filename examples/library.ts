import {
  createBackendHealth,
  createExecutorChooser,
  createRandom,
  createScheduler,
  Lifecycle,
  Metrics,
  backendsSchema,
  schedulingSchema,
  systemClock,
} from '../src/index.js';

/**
 * Schedules three requests on one executor with two slots, using the library without a daemon.
 *
 * @returns the VM that each request was assigned to, in order of submission
 */
export async function scheduleThree(): Promise<string[]> {
  const lifecycle = new Lifecycle('example');
  const shared = { clock: systemClock, random: createRandom(1), metrics: new Metrics() };
  const health = createBackendHealth({
    ...shared,
    lifecycle,
    settings: backendsSchema.parse({}),
    probe: () => Promise.resolve(true),
  });
  const weight = (vm: string) => health.weight(vm);
  const isLeaving = () => false;
  const scheduler = createScheduler({
    ...shared,
    settings: schedulingSchema.parse({}),
    service: (id) => ({ id, pool: id, maxQueued: 10, spill: false, minAvailableSlots: 0 }),
    team: (id) => ({ id, weight: 1, maxQueued: 10, maxRunning: 10, maxUrgent: 1, maxJobs: 1 }),
    choose: createExecutorChooser({ random: shared.random, weight, isLeaving }),
  });
  const executor = { vm: 'vm-1', service: 'motions', slots: 2 };
  health.setExecutors([executor]);
  scheduler.setExecutors([executor]);
  const submit = async (requestId: string) => {
    const granted = await scheduler.submit({
      requestId,
      service: 'motions',
      team: 'league',
      urgent: false,
      operation: 'GET /draws',
      deadline: systemClock.now() + 10_000,
      signal: lifecycle.signal,
    });
    if (granted.isErr) throw granted.error;
    granted.value.release(1);
    return granted.value.vm;
  };
  const vms = await Promise.all(['r-1', 'r-2', 'r-3'].map(submit));
  scheduler.close();
  await lifecycle.close();
  return vms;
}
