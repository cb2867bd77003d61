import { setMaxListeners } from 'node:events';
import { build } from 'hdr-histogram-js';
import {
  capacityPolicies,
  CapacityPolicyId,
  capacitySchema,
  createCapacityMetrics,
  runCapacityPolicy,
  type CapacityPolicy,
  type CapacitySettings,
  type CommitMoves,
} from '../src/capacity/index.js';
import {
  EntityKind,
  EntityState,
  VmState,
  type Team,
  type Vm,
} from '../src/configuration/index.js';
import { rackKey, slotsOf } from '../src/controller/index.js';
import { Lifecycle } from '../src/lifecycle/index.js';
import { silentLogger } from '../src/logger/index.js';
import { Metrics } from '../src/metrics/index.js';
import { createRandom, type Random } from '../src/random/index.js';
import { createScheduler, schedulingSchema, type Scheduler } from '../src/scheduling/index.js';
import { SimulatedControllers } from './bufferControl.js';
import { startDemand, WorkType, type SimulatedRequest, type StartDemand } from './bufferDemand.js';
import { deployments, DeploymentId, inventoryOf, type BufferDeployment } from './bufferFleet.js';
import { summarizeBuffer } from './bufferSummary.js';
import { createSteppedClock } from './steppedClock.js';

/** Result of one run of one policy in one deployment. Times are in virtual milliseconds. */
export interface BufferRow {
  seed: number;
  deployment: DeploymentId;
  policy: CapacityPolicyId;
  /** VMs of all pools held back from moves, averaged over time. */
  bufferVms: number;
  /** VMs of all pools held back from planned stops, averaged over time. */
  waveReserveVms: number;
  /** Duration of the maintenance wave; undefined if it did not finish. */
  rollOutMs: number | undefined;
  /** Completed moves between pools, including budget loans. */
  moves: number;
  /** Moves abandoned because the VM was out of service. */
  movesUndone: number;
  /** Loans requested by a violated budget. */
  budgetLoans: number;
  /** Mean wait time of short work. */
  waitMeanMs: number;
  waitP50Ms: number;
  waitP99Ms: number;
  waitMaxMs: number;
  /** Requests that completed. */
  served: number;
  /** Requests that were refused or aborted by the failure of a VM. */
  lost: number;
  /** Number of times that the budget of a pool became violated. */
  violations: number;
  /** Violations caused by a decision rather than by a failure. */
  ownViolations: number;
}

/** Duration of a run in virtual milliseconds. */
export const RUN_MS = 240_000;

/** Start of the maintenance wave in virtual milliseconds. */
const WAVE_AT_MS = 30_000;

/** Period after the start of the wave in which failures occur, in virtual milliseconds. */
const FAILURE_WINDOW_MS = 150_000;

/** Time until VMs are back in service, by the cause of their absence. */
const REPAIR_MS = { vm: 30_000, rack: 40_000, vendor: 40_000 };

/** Number of single VMs that fail in one run. */
const SINGLE_VM_FAILURES = 4;

/** Size classes that fit the run times of the simulated work. */
const SCHEDULING_SETTINGS = schedulingSchema.parse({ shortMaxMs: 1_000, mediumMaxMs: 4_000 });

const TEAMS: readonly Team[] = ['team-a', 'team-b', 'team-c', 'team-d'].map((id) => ({
  ...{ id, weight: 1, maxQueued: 20_000, maxRunning: 1_000, maxUrgent: 100, maxJobs: 1 },
}));

/** Options of {@link runOnce}. */
export interface BufferRunOptions {
  /** Determines demand, run times and failures. */
  seed: number;
  deployment: BufferDeployment;
  policy: CapacityPolicy;
  /** Duration of the run in virtual milliseconds; {@link RUN_MS} by default. */
  runMs?: number;
  /** Generates the demand; {@link startDemand} by default. */
  demand?: StartDemand;
}

/** Deployments that have targets. */
const targetDeployments: readonly DeploymentId[] = [DeploymentId.First, DeploymentId.Second];

/**
 * Runs each policy in each deployment with the same demand and failures.
 *
 * @param seed - determines demand, run times and failures
 */
export async function run(
  seed: number,
  ids: readonly DeploymentId[] = targetDeployments,
  policies: readonly CapacityPolicyId[] = Object.values(CapacityPolicyId),
): Promise<BufferRow[]> {
  const rows: BufferRow[] = [];
  for (const id of ids) {
    for (const policy of policies) {
      const options = { deployment: deployments[id], policy: capacityPolicies[policy] };
      rows.push(await runOnce({ seed, ...options }));
    }
  }
  return rows;
}

/** Default seeds of {@link main}. */
const SEEDS: readonly number[] = [1, 2, 3];

/**
 * Runs several seeds, and the deployment with a sustained load with the first of them. Returns a
 * summary with the targets beside the figures.
 */
export async function main(seeds: readonly number[] = SEEDS): Promise<string[]> {
  const rows: BufferRow[] = [];
  for (const seed of seeds) rows.push(...(await run(seed)));
  const comparedPolicies = [CapacityPolicyId.NeverMove, CapacityPolicyId.CostBased];
  rows.push(...(await run(seeds[0] ?? 1, [DeploymentId.SustainedLoad], comparedPolicies)));
  return summarizeBuffer(rows);
}

/** Runs one policy in one deployment. */
export async function runOnce(options: BufferRunOptions): Promise<BufferRow> {
  const { seed, deployment, policy, runMs = RUN_MS, demand = startDemand } = options;
  const { id } = policy;
  const clock = createSteppedClock();
  const random = createRandom(seed);
  const view = new EntityState();
  const settings = capacitySchema.parse({ ...deployment.settings, policy: id });
  const waits = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000 });
  const running = new Map<string, Set<() => void>>();
  let served = 0;
  let lost = 0;

  const scheduler = createScheduler({
    clock,
    metrics: new Metrics(),
    settings: SCHEDULING_SETTINGS,
    service: (service) => view.get(EntityKind.Service, service),
    team: (team) => TEAMS.find((each) => each.id === team),
    choose: (candidates, busy) =>
      candidates.reduce((best, each) => (busy(each.vm) < busy(best.vm) ? each : best)),
  });

  const teamRandom = createRandom(seed + 1);
  const submit = async (request: SimulatedRequest) => {
    const granted = await scheduler.submit(toWorkItem(request, teamRandom, clock.now()));
    if (granted.isErr) {
      lost += 1;
      return;
    }
    const grant = granted.value;
    const { vm, waitedMs } = grant;
    if (request.work === WorkType.Short) waits.recordValue(Math.round(waitedMs));
    const onVm = running.get(vm) ?? new Set();
    running.set(vm, onVm);
    const complete = () => {
      onVm.delete(abort);
      served += 1;
      grant.release(request.runMs);
    };
    const timer = clock.setTimer(request.runMs, complete);
    const abort = () => {
      timer.cancel();
      lost += 1;
      grant.release();
    };
    onVm.add(abort);
  };

  const controllers = new SimulatedControllers({
    ...{ clock, view, settings, policy, waveAtMs: WAVE_AT_MS },
    waveReserve: deployment.waveReserve,
    inFlight: (vm) => running.get(vm)?.size ?? 0,
    onServing: (vms) => {
      scheduler.setExecutors(vms.map((vm) => executorOf(view, vm)));
    },
  });
  controllers.commit(inventoryOf(deployment));
  scheduleFailures(createRandom(seed + 2), view, clock, (vms, state, repairMs) => {
    controllers.markUnavailable(vms, state, repairMs);
    if (state !== VmState.Failed) return;
    for (const vm of vms) {
      for (const abort of running.get(vm) ?? []) abort();
      running.delete(vm);
    }
  });
  demand(deployment, clock, random, runMs, (request) => void submit(request));

  const lifecycle = new Lifecycle('bench');
  setMaxListeners(0, lifecycle.signal);
  const tasks = [controllers.run(lifecycle.signal)];
  for (const zone of view.zones()) {
    tasks.push(
      runZonePolicy(zone, { clock, view, settings, policy, scheduler, controllers }, lifecycle),
    );
  }
  await clock.runUntil(runMs);
  scheduler.close();
  await Promise.all([lifecycle.close(), ...tasks]);
  const { heldBack, waveReserve, rounds, ...otherCounts } = controllers.counts;
  return {
    ...{ seed, deployment: deployment.id, policy: id, served, lost, ...otherCounts },
    bufferVms: heldBack / rounds,
    waveReserveVms: waveReserve / rounds,
    waitMeanMs: waits.mean,
    waitP50Ms: waits.getValueAtPercentile(50),
    waitP99Ms: waits.getValueAtPercentile(99),
    waitMaxMs: waits.maxValue,
  };
}

interface ZonePolicyDeps {
  clock: Parameters<typeof runCapacityPolicy>[0]['clock'];
  view: EntityState;
  settings: CapacitySettings;
  policy: CapacityPolicy;
  scheduler: Scheduler;
  controllers: SimulatedControllers;
}

function runZonePolicy(zone: string, deps: ZonePolicyDeps, lifecycle: Lifecycle): Promise<void> {
  const { scheduler, controllers, view } = deps;
  const commit: CommitMoves = (decide) => {
    const changes = decide(view);
    controllers.commit(changes);
    return Promise.resolve(changes.length > 0);
  };
  const policyDeps = {
    ...{ ...deps, zone, commit, logger: silentLogger },
    metrics: createCapacityMetrics(new Metrics()),
    loads: () => scheduler.load(),
  };
  return runCapacityPolicy(policyDeps, lifecycle);
}

function executorOf(view: EntityState, vm: Vm) {
  return { vm: vm.id, service: view.poolOf(vm.id) ?? vm.pool, slots: slotsOf(vm) };
}

let requestCount = 0;

/** Abort signals that never fire, since no caller disconnects. Waiting requests share them. */
const signals = Array.from({ length: 256 }, () => {
  const { signal } = new AbortController();
  setMaxListeners(0, signal);
  return signal;
});

function toWorkItem({ service, work, timeoutMs }: SimulatedRequest, random: Random, now: number) {
  requestCount += 1;
  return {
    ...{ requestId: String(requestCount), service, operation: work, urgent: false },
    team: random.pick(TEAMS).id,
    deadline: now + timeoutMs,
    signal: signals[requestCount % signals.length] as AbortSignal,
  };
}

type MarkUnavailable = (vms: readonly string[], state: VmState, repairMs: number) => void;

/**
 * Schedules failures of single VMs and of one rack, and one vendor drain, at random times during
 * the wave.
 */
function scheduleFailures(
  random: Random,
  view: EntityState,
  clock: ZonePolicyDeps['clock'],
  markUnavailable: MarkUnavailable,
): void {
  const vms = view.list(EntityKind.Vm);
  const failureTimeMs = () => WAVE_AT_MS + random.next() * FAILURE_WINDOW_MS;
  for (let i = 0; i < SINGLE_VM_FAILURES; i++) {
    const { id } = random.pick(vms);
    clock.setTimer(failureTimeMs(), () => {
      markUnavailable([id], VmState.Failed, REPAIR_MS.vm);
    });
  }
  const rack = rackKey(random.pick(vms));
  const rackVms = vms.filter((vm) => rackKey(vm) === rack).map(({ id }) => id);
  clock.setTimer(failureTimeMs(), () => {
    markUnavailable(rackVms, VmState.Failed, REPAIR_MS.rack);
  });
  const drainedVm = random.pick(vms).id;
  clock.setTimer(failureTimeMs(), () => {
    markUnavailable([drainedVm], VmState.Leaving, REPAIR_MS.vendor);
  });
}
