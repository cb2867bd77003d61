import {
  EntityKind,
  MoveState,
  StopState,
  type ConfigDelta,
  type ConfigHistory,
  type ConfigView,
  type EntityChange,
  type Pool,
  type Service,
  type Vm,
} from '../configuration/index.js';
import {
  Budget,
  controllerDefaults,
  createControllerMetrics,
  leaseKey,
  ProbeResult,
  runZoneController,
  type ControllerSettings,
  type LeaseRow,
  type ZoneControllerDeps,
} from '../controller/index.js';
import { createEventBus } from '../events/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { silentLogger } from '../logger/index.js';
import { MemberState, type Member, type Membership } from '../membership/index.js';
import { Metrics } from '../metrics/index.js';
import type { MemberInfo } from '../peers/index.js';
import type { PlatformClient } from '../platform/index.js';
import { createRandom } from '../random/index.js';
import { FakePlatform } from './fakePlatform.js';
import { CallFault, interceptPlatform, type PlatformCall } from './interceptedPlatform.js';
import { MemoryView } from './memoryView.js';
import { createTableHistory } from './tableHistory.js';
import { createVirtualClock } from './virtualClock.js';

/** Deltas read at once when the history is replayed. */
const ALL_DELTAS = 100_000;

/** Shape of a test fleet. */
export interface FleetShape {
  zones: number;
  racksPerZone: number;
  vmsPerRack: number;
  pools: readonly Partial<Pool>[];
  /** Slots that each service must keep. */
  minAvailableSlots?: number;
}

/** Entities of a fleet whose VMs are dealt to the pools in turn. */
export function fleetOf(shape: FleetShape): EntityChange[] {
  const changes: EntityChange[] = [];
  const pools = shape.pools.map((pool, i): Pool => ({
    id: `p${i}`,
    minAvailable: 0,
    maxAway: 1_000,
    maxAwayPerRack: 1_000,
    maxAwayPerZone: 1_000,
    isSpare: false,
    mayBorrow: false,
    ...pool,
  }));
  for (const value of pools) {
    changes.push({ kind: EntityKind.Pool, id: value.id, value });
    const service: Service = {
      id: `s-${value.id}`,
      pool: value.id,
      maxQueued: 100,
      spill: true,
      minAvailableSlots: shape.minAvailableSlots ?? 0,
    };
    changes.push({ kind: EntityKind.Service, id: service.id, value: service });
  }
  let next = 0;
  for (let zone = 0; zone < shape.zones; zone += 1) {
    for (let rack = 0; rack < shape.racksPerZone; rack += 1) {
      for (let i = 0; i < shape.vmsPerRack; i += 1) {
        const id = `z${zone}r${rack}v${i}`;
        const pool = pools[next % pools.length]?.id ?? '';
        next += 1;
        const executor = { host: '127.0.0.1', port: 1, slots: 8, connections: 64 };
        const value: Vm = {
          id,
          zone: `z${zone}`,
          rack: `r${rack}`,
          pool,
          cores: 64,
          memoryMib: 262_144,
          accelerators: 0,
          executor,
        };
        changes.push({ kind: EntityKind.Vm, id, value });
      }
    }
  }
  return changes;
}

/** How one entry process of the rig behaves. */
export interface RigProcessOptions {
  faultOf?: (call: PlatformCall) => CallFault;
  pauseMs?: number;
  /** Time that each call to the platform takes before its effect. */
  delayMs?: number;
  vacate?: (vm: string) => Promise<boolean>;
  inFlight?: (vm: string) => number;
  members?: () => Member[];
  /** Replaces the history, to show that a check finds a broken one. */
  history?: (history: ConfigHistory) => ConfigHistory;
}

/** Several zone controllers over one fake platform under virtual time. */
export class ControllerRig {
  readonly clock = createVirtualClock();
  readonly platform = new FakePlatform(this.clock);
  /** Result of probes of VMs that are not healthy. */
  readonly unhealthyVms = new Map<string, ProbeResult>();
  /** Change ids that were committed by a holder that had lost its lease. */
  readonly lateCommits: string[] = [];
  readonly #history = createTableHistory(this.platform.client().table);
  readonly #settings: ControllerSettings;
  readonly #lifecycles: Lifecycle[] = [];

  constructor(settings: Partial<ControllerSettings> = {}) {
    this.#settings = { ...controllerDefaults, ...settings };
  }

  /** Commits changes as an operator does, against the newest version. */
  async commitAsOperator(changes: EntityChange[], author = 'operator'): Promise<void> {
    for (;;) {
      const head = await this.#history.head();
      if (head.isErr) throw head.error;
      const changeId = `${author}/${head.value.version + 1}`;
      const changeSet = { changeId, author, changes };
      const committed = await this.#history.commit(head.value.version, changeSet);
      if (committed.isOk) return;
    }
  }

  /** Commits a fleet and lists its VMs as live. */
  async load(fleet: EntityChange[]): Promise<void> {
    await this.commitAsOperator(fleet);
    for (const { kind, value } of fleet) {
      if (kind === EntityKind.Vm && value) this.platform.addLiveVms(value.zone, [value.id]);
    }
  }

  /** Starts an entry process that contends for the controller lease of its zone. */
  start(zone: string, name: string, options: RigProcessOptions = {}) {
    const { clock } = this;
    const faults = { down: false, loseAnswers: 0, delayMs: options.delayMs ?? 0 };
    const platform = interceptPlatform(this.platform.client(faults), {
      clock,
      pauseMs: options.pauseMs ?? 3 * this.#settings.leaseTtlMs,
      faultOf: options.faultOf ?? (() => CallFault.None),
    });
    const view = new MemoryView();
    const correct = createTableHistory(platform.table);
    const history = options.history?.(correct) ?? correct;
    const metrics = new Metrics();
    const lifecycle = new Lifecycle(name);
    const deps: ZoneControllerDeps = {
      zone,
      holder: name,
      config: { view, adopt: view.adopt, history: this.#recordLate(zone, history) },
      platform,
      membership: fakeMembership(zone, name, options.members),
      clock,
      random: createRandom(this.#lifecycles.length + 1),
      logger: silentLogger,
      events: createEventBus(),
      settings: this.#settings,
      metrics: createControllerMetrics(metrics),
      vacate: options.vacate ?? (() => Promise.resolve(true)),
      inFlight: options.inFlight ?? (() => 0),
      probe: (vm) => Promise.resolve(this.unhealthyVms.get(vm) ?? ProbeResult.Healthy),
      lastProbe: (vm) => this.unhealthyVms.get(vm) ?? ProbeResult.Healthy,
    };
    const task = runZoneController(deps, lifecycle);
    lifecycle.own('task', () => task);
    this.#lifecycles.push(lifecycle);
    return { deps, view, metrics, lifecycle, platform: platform satisfies PlatformClient };
  }

  /** Notes commits that took effect under an epoch that has been taken over. */
  #recordLate(zone: string, history: ConfigHistory): ConfigHistory {
    const commit: ConfigHistory['commit'] = async (base, changeSet, extra) => {
      const committed = await history.commit(base, changeSet, extra);
      const lease = this.platform.rows.get(leaseKey(zone))?.value as LeaseRow | undefined;
      const isOld = Number(changeSet.changeId.split('/')[2]) !== lease?.epoch;
      const isNew = committed.isOk && !committed.value.alreadyApplied;
      if (isOld && isNew) this.lateCommits.push(changeSet.changeId);
      return committed;
    };
    return { ...history, commit };
  }

  /** Advances time in steps until the condition holds at the newest version. */
  async until(
    condition: (view: MemoryView) => boolean,
    limitMs: number,
    stepMs = 250,
  ): Promise<boolean> {
    for (let passed = 0; passed < limitMs; passed += stepMs) {
      if (condition(await this.newestView())) return true;
      await this.clock.advance(stepMs);
    }
    return condition(await this.newestView());
  }

  /** The configuration at the newest version. */
  async newestView(): Promise<MemoryView> {
    const view = new MemoryView();
    view.adopt(await this.deltas());
    return view;
  }

  /** All committed versions. */
  async deltas(): Promise<ConfigDelta[]> {
    const deltas = await this.#history.deltasAfter(0, ALL_DELTAS);
    if (deltas.isErr) throw deltas.error;
    return deltas.value;
  }

  /** Closes the processes that can still be closed. */
  async close(lifecycles: readonly Lifecycle[] = this.#lifecycles): Promise<void> {
    const closing = Promise.all(lifecycles.map((lifecycle) => lifecycle.close()));
    await this.clock.advance(60_000);
    await closing;
  }
}

function fakeMembership(zone: string, name: string, members?: () => Member[]): Membership {
  const self = memberInfo(zone, name);
  return {
    self,
    members: members ?? (() => []),
    member: (other) => members?.().find(({ info }) => info.name === other),
    liveMembers: () => [self],
    ownerOf: () => name,
  };
}

function memberInfo(zone: string, name: string): MemberInfo {
  return { name, incarnation: '0', zone, host: '127.0.0.1', port: 1, startedAt: 0 };
}

/** A member as another one sees it. */
export function memberOf(zone: string, name: string, seen: Partial<Member>): Member {
  return {
    info: memberInfo(zone, name),
    state: MemberState.Alive,
    lastHeardAt: 0,
    configVersion: 0,
    load: [],
    draining: [],
    ...seen,
  };
}

const NEXT_STOP_STATE: Record<StopState, StopState | undefined> = {
  [StopState.Granted]: StopState.Draining,
  [StopState.Draining]: StopState.Drained,
  [StopState.Drained]: StopState.Stopping,
  [StopState.Stopping]: StopState.Returning,
  [StopState.Returning]: undefined,
};

/**
 * Replays all versions and names each one that breaks a rule: a permit beyond a budget, a step of a
 * stop or move that is left out, or a change of pool without a drained move.
 */
export function findViolations(deltas: readonly ConfigDelta[]): string[] {
  const view = new MemoryView();
  const violations: string[] = [];
  for (const delta of deltas) {
    const before = new Map(
      delta.changes.map(({ kind, id }) => [`${kind}/${id}`, view.get(kind, id)]),
    );
    const poolsBefore = new Map(delta.changes.map(({ id }) => [id, view.poolOf(id)]));
    view.adopt([delta]);
    if (!delta.author.startsWith('controller/')) continue;
    const budget = new Budget(view, { silentZones: new Set() });
    for (const change of delta.changes) {
      const problem =
        findBadStep(change, before.get(`${change.kind}/${change.id}`)) ??
        findBadAssignment(change, before.get(`${EntityKind.Move}/${change.id}`), poolsBefore) ??
        findDoubleWork(view, change.id);
      if (problem) violations.push(`version ${delta.version}: ${problem}`);
      const pool = isPermit(change) ? view.poolOf(change.id) : undefined;
      const broken = pool === undefined ? undefined : budget.firstViolation(pool);
      if (broken) violations.push(`version ${delta.version}: ${change.id}: ${broken.message}`);
    }
  }
  return violations;
}

function isPermit({ kind, value }: EntityChange): boolean {
  if (kind === EntityKind.Stop) return value?.state === StopState.Granted;
  return kind === EntityKind.Move && value?.state === MoveState.Draining;
}

/** A VM that is stopped and moved at the same time would be put in service by one under the other. */
function findDoubleWork(view: ConfigView, vm: string): string | undefined {
  const move = view.get(EntityKind.Move, vm);
  const isMoving = move !== undefined && move.state !== MoveState.Requested;
  return isMoving && view.get(EntityKind.Stop, vm) ? `${vm} has a stop and a move` : undefined;
}

function findBadStep(change: EntityChange, before: unknown): string | undefined {
  if (change.kind !== EntityKind.Stop) return undefined;
  const from = (before as { state: StopState } | undefined)?.state;
  const to = change.value?.state;
  const isAllowed =
    from === undefined
      ? to === StopState.Granted
      : to === undefined
        ? from !== StopState.Stopping
        : NEXT_STOP_STATE[from] === to;
  return isAllowed ? undefined : `stop of ${change.id} goes from ${String(from)} to ${String(to)}`;
}

function findBadAssignment(
  change: EntityChange,
  move: unknown,
  poolsBefore: ReadonlyMap<string, string | undefined>,
): string | undefined {
  if (change.kind !== EntityKind.Assignment) return undefined;
  const done = move as { from: string; to: string; state: MoveState } | undefined;
  const isDrained = done?.state === MoveState.Drained;
  const isSame = done?.from === poolsBefore.get(change.id) && done?.to === change.value?.pool;
  return isDrained && isSame ? undefined : `${change.id} is reassigned without a drained move`;
}
