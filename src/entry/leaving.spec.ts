import test from 'ava';
import { createLeavingSet } from '../backends/index.js';
import {
  DisseminationMethodName,
  EntityKind,
  MoveState,
  StopState,
} from '../configuration/index.js';
import { DrainState, ListedVmState } from '../platform/index.js';
import { MemoryView } from '../testing/memoryView.js';
import { LeavingVmZone, type LeavingVmZoneOptions } from '../testing/leavingZone.js';

/** Maximum time after the first sign until the VM gets no new work, in virtual milliseconds. */
const MAX_DELAY_MS = 3_000;
/** Time for which the VM is observed after the first sign, in virtual milliseconds. */
const OBSERVATION_MS = 15_000;
/** Time from the first sign until the VM list shows the VM as leaving, in virtual milliseconds. */
const VM_LIST_DELAY_MS = 10_000;
/** Interval between unrelated commits at 38,000 changes a day, in virtual milliseconds. */
const OTHER_COMMIT_INTERVAL_MS = 2_270;
/**
 * Step by which the time of the sign is shifted against the reads of the VM list, in milliseconds.
 */
const PHASE_STEP_MS = 310;
const PHASES = [0, 1, 2, 3, 4];
const VM = 'z0r0v0';
const SEED = 20_261_204;

type Variant = Partial<LeavingVmZoneOptions>;

/** Triggers the first sign and returns its time. */
type TriggerSign = (zone: LeavingVmZone) => Promise<number>;

const signs = {
  list: (zone: LeavingVmZone) => {
    zone.platform.vms.set(VM, { id: VM, zone: 'z0', state: ListedVmState.Leaving });
    return Promise.resolve(zone.clock.now());
  },
  stop: async (zone: LeavingVmZone) => {
    const value = { id: VM, wave: 'w', state: StopState.Granted };
    await zone.commitAsOperator([{ kind: EntityKind.Stop, id: VM, value }]);
    return zone.untilCommitted(
      (change) => change.kind === EntityKind.Stop && change.value?.state === StopState.Draining,
    );
  },
  move: async (zone: LeavingVmZone) => {
    const value = { id: VM, from: 'p0', to: 'p1', state: MoveState.Requested };
    await zone.commitAsOperator([{ kind: EntityKind.Move, id: VM, value }]);
    return zone.untilCommitted(
      (change) => change.kind === EntityKind.Move && change.value?.state === MoveState.Draining,
    );
  },
  refusal: async (zone: LeavingVmZone) => {
    const [, secondProcess] = zone.processes;
    if (secondProcess) secondProcess.hasCallers = false;
    zone.refusingVms.add(VM);
    const signAtMs = zone.clock.now();
    await zone.clock.advance(MAX_DELAY_MS);
    if (secondProcess) secondProcess.hasCallers = true;
    return signAtMs;
  },
};

/**
 * Returns the longest time, over all phases, from the first sign until the last new work on the VM.
 * Returns Infinity when the VM never got any work, so that a setup without work does not pass.
 */
async function latestGrantDelayMs(sign: TriggerSign, variant: Variant): Promise<number> {
  let latestMs = 0;
  for (const phase of PHASES) {
    const zone = new LeavingVmZone({ seed: SEED + phase, platformDelayMs: 500, ...variant });
    // A request that never ends keeps the drain from completing while the VM is observed.
    zone.platform.drains.set(VM, { state: DrainState.InService, active: 1 });
    await zone.start(['a', 'b']);
    await zone.clock.advance(phase * PHASE_STEP_MS);
    const signAtMs = await sign(zone);
    await zone.clock.advance(Math.max(0, signAtMs + VM_LIST_DELAY_MS - zone.clock.now()));
    zone.platform.vms.set(VM, { id: VM, zone: 'z0', state: ListedVmState.Leaving });
    await zone.clock.advance(OBSERVATION_MS - VM_LIST_DELAY_MS);
    if (!zone.grants.some((grant) => grant.vm === VM)) return Infinity;
    const grantsAfterSign = zone.grants.filter(
      (grant) => grant.vm === VM && grant.grantedAtMs > signAtMs,
    );
    latestMs = Math.max(latestMs, ...grantsAfterSign.map((grant) => grant.grantedAtMs - signAtMs));
    await zone.close();
  }
  return latestMs;
}

const noPushes = { dissemination: DisseminationMethodName.Polling, pollMs: 3_600_000 };

const variants: Record<string, Variant> = {
  pushes: {},
  'anti-entropy only': { configuration: noPushes },
  'anti-entropy only and unrelated commits at the design rate': {
    configuration: noPushes,
    operatorCommitIntervalMs: OTHER_COMMIT_INTERVAL_MS,
  },
};

const noDissemination: Variant = { configuration: noPushes, readsHeartbeatVersions: false };

/** Faulty variants of the code, and the signs after which they exceed the time limit. */
const faultyVariants: Record<string, { variant: Variant; violatingSigns: readonly TriggerSign[] }> =
  {
    'a leaving set that ignores the configuration': {
      variant: {
        leavingSet: (options) => createLeavingSet({ ...options, view: new MemoryView() }),
      },
      violatingSigns: [signs.stop, signs.move],
    },
    'neither pushes nor anti-entropy': {
      variant: noDissemination,
      violatingSigns: [signs.stop, signs.move],
    },
    'neither pushes nor anti-entropy nor reports of leaving VMs': {
      variant: { ...noDissemination, reportsLeaving: false },
      violatingSigns: [signs.list],
    },
    'no reports of leaving VMs': {
      variant: { reportsLeaving: false },
      violatingSigns: [signs.refusal],
    },
    'a refusing VM that gets work again without a probe': {
      variant: {
        leavingSet: (options) => createLeavingSet({ ...options, mayReturn: () => true }),
        platformDelayMs: 1_500,
      },
      violatingSigns: [signs.refusal],
    },
  };

// Guards against P6: a process of the zone that keeps sending new work to a leaving VM.
for (const [signName, sign] of Object.entries(signs)) {
  for (const [variantName, variant] of Object.entries(variants)) {
    test(`a VM gets no new work 3 s after the first sign of leaving (${signName}), with ${variantName} (seed ${SEED})`, async (t) => {
      const latestMs = await latestGrantDelayMs(sign, variant);
      t.log(`last new work after ${latestMs} ms`);
      t.true(latestMs <= MAX_DELAY_MS, `new work ${latestMs} ms after the sign`);
    });
  }
}

for (const [name, { variant, violatingSigns }] of Object.entries(faultyVariants)) {
  test(`a leaving VM gets new work for more than 3 s with ${name} (seed ${SEED})`, async (t) => {
    for (const sign of violatingSigns) {
      const latestMs = await latestGrantDelayMs(sign, variant);
      t.log(`last new work after ${latestMs} ms`);
      t.true(
        latestMs > MAX_DELAY_MS && Number.isFinite(latestMs),
        `new work ${latestMs} ms after the sign`,
      );
    }
  });
}
