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

/** Bound after the first sign, in virtual milliseconds. */
const BOUND_MS = 3_000;
/** Time for which the VM is watched after the first sign, in virtual milliseconds. */
const WATCHED_MS = 15_000;
/** Time after the first sign at which the VM list follows, in virtual milliseconds. */
const LIST_LAG_MS = 10_000;
/** Time between commits of others at 38,000 changes a day, in virtual milliseconds. */
const OTHER_COMMIT_MS = 2_270;
/** Steps of the moment of the sign against the readings of the VM list, in milliseconds. */
const PHASE_MS = 310;
const PHASES = [0, 1, 2, 3, 4];
const VM = 'z0r0v0';
const SEED = 20_261_204;

type Variant = Partial<LeavingVmZoneOptions>;

/** Brings the first sign about and returns its time. */
type Sign = (zone: LeavingVmZone) => Promise<number>;

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
    const [, second] = zone.processes;
    if (second) second.hasCallers = false;
    zone.refusingVms.add(VM);
    const at = zone.clock.now();
    await zone.clock.advance(BOUND_MS);
    if (second) second.hasCallers = true;
    return at;
  },
};

/**
 * Time of the last new work on the VM after the first sign, the longest over all phases; Infinity
 * when the VM got none before either, so that a rig without work does not pass.
 */
async function latestWork(sign: Sign, variant: Variant): Promise<number> {
  let latest = 0;
  for (const phase of PHASES) {
    const zone = new LeavingVmZone({ seed: SEED + phase, platformDelayMs: 500, ...variant });
    // A request that does not end keeps the drain from ending while the VM is watched.
    zone.platform.drains.set(VM, { state: DrainState.InService, active: 1 });
    await zone.start(['a', 'b']);
    await zone.clock.advance(phase * PHASE_MS);
    const at = await sign(zone);
    await zone.clock.advance(Math.max(0, at + LIST_LAG_MS - zone.clock.now()));
    zone.platform.vms.set(VM, { id: VM, zone: 'z0', state: ListedVmState.Leaving });
    await zone.clock.advance(WATCHED_MS - LIST_LAG_MS);
    if (!zone.grants.some((grant) => grant.vm === VM)) return Infinity;
    const after = zone.grants.filter((grant) => grant.vm === VM && grant.grantedAtMs > at);
    latest = Math.max(latest, ...after.map((grant) => grant.grantedAtMs - at));
    await zone.close();
  }
  return latest;
}

const noPush = { dissemination: DisseminationMethodName.Polling, pollMs: 3_600_000 };

const variants: Record<string, Variant> = {
  pushes: {},
  'anti-entropy only': { configuration: noPush },
  'anti-entropy only and other commits at the design rate': {
    configuration: noPush,
    operatorCommitIntervalMs: OTHER_COMMIT_MS,
  },
};

const nothingHeard: Variant = { configuration: noPush, readsHeartbeatVersions: false };

/** Variants of the code that must break the bound, and the signs for which they break it. */
const broken: Record<string, { variant: Variant; breaks: readonly Sign[] }> = {
  'a leaving set that ignores the configuration': {
    variant: {
      leavingSet: (options) => createLeavingSet({ ...options, view: new MemoryView() }),
    },
    breaks: [signs.stop, signs.move],
  },
  'neither pushes nor anti-entropy': { variant: nothingHeard, breaks: [signs.stop, signs.move] },
  'neither pushes nor anti-entropy nor reports': {
    variant: { ...nothingHeard, reportsLeaving: false },
    breaks: [signs.list],
  },
  'no reports of leaving VMs': { variant: { reportsLeaving: false }, breaks: [signs.refusal] },
  'a refusing VM that is tried again without a probe': {
    variant: {
      leavingSet: (options) => createLeavingSet({ ...options, mayReturn: () => true }),
      platformDelayMs: 1_500,
    },
    breaks: [signs.refusal],
  },
};

// Guards against P6: a process of the zone that goes on sending to a VM that leaves.
for (const [name, sign] of Object.entries(signs)) {
  for (const [how, variant] of Object.entries(variants)) {
    test(`nothing new 3 s after the first sign (${name}), with ${how} (seed ${SEED})`, async (t) => {
      const latest = await latestWork(sign, variant);
      t.log(`last new work after ${latest} ms`);
      t.true(latest <= BOUND_MS, `new work ${latest} ms after the sign`);
    });
  }
}

for (const [name, { variant, breaks }] of Object.entries(broken)) {
  test(`the bound is broken by ${name} (seed ${SEED})`, async (t) => {
    for (const sign of breaks) {
      const latest = await latestWork(sign, variant);
      t.log(`last new work after ${latest} ms`);
      t.true(latest > BOUND_MS && Number.isFinite(latest), `new work ${latest} ms after the sign`);
    }
  });
}
