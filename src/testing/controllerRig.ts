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

/** Limit of deltas per read; large enough to read the whole history of a test at once. */
const ALL_DELTAS = 100_000;

/** Size and pools of a test fleet. */
export interface FleetShape {
  zones: number;
  racksPerZone: number;
  vmsPerRack: number;
  pools: readonly Partial<Pool>[];
  /** Available slots that each service must keep. */
  minAvailableSlots?: number;
}

/** Creates the entities of a fleet whose VMs are assigned to the pools round-robin. */
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

/** Options of one entry process of the rig. */
export interface RigProcessOptions {
  faultOf?: (call: PlatformCall) => CallFault;
  pauseMs?: number;
  /** Delay in milliseconds of each platform call before it takes effect. */
  delayMs?: number;
  vacate?: (vm: string) => Promise<boolean>;
  inFlight?: (vm: string) => number;
  members?: () => Member[];
  /** Replaces the history by a faulty one, to verify that the checks detect it. */
  history?: (history: ConfigHistory) => ConfigHistory;
}

/** Zone controllers that share one fake platform under virtual time. */
export class ControllerRig {
  readonly clock = createVirtualClock();
  readonly platform = new FakePlatform(this.clock);
  /** Probe results of unhealthy VMs by VM id; all other VMs are healthy. */
  readonly unhealthyVms = new Map<string, ProbeResult>();
  /** Ids of changes that a holder committed after it had lost its lease. */
  readonly lateCommits: string[] = [];
  readonly #history = createTableHistory(this.platform.client().table);
  readonly #settings: ControllerSettings;
  readonly #lifecycles: Lifecycle[] = [];

  constructor(settings: Partial<ControllerSettings> = {}) {
    this.#settings = { ...controllerDefaults, ...settings };
  }

  /** Commits changes against the newest version, as an operator does; retries until it succeeds. */
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

  /** Commits the entities of a fleet and adds its VMs to the VM list as live. */
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
    const tableHistory = createTableHistory(platform.table);
    const history = options.history?.(tableHistory) ?? tableHistory;
    const metrics = new Metrics();
    const lifecycle = new Lifecycle(name);
    const deps: ZoneControllerDeps = {
      zone,
      holder: name,
      config: { view, adopt: view.adopt, history: this.#recordLateCommits(zone, history) },
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

  /** Records commits that took effect under an epoch that another holder has replaced. */
  #recordLateCommits(zone: string, history: ConfigHistory): ConfigHistory {
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

  /** Advances time in steps until the condition holds at the newest version or time runs out. */
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

  /** Returns the configuration at the newest version. */
  async newestView(): Promise<MemoryView> {
    const view = new MemoryView();
    view.adopt(await this.deltas());
    return view;
  }

  /** Returns all committed deltas. */
  async deltas(): Promise<ConfigDelta[]> {
    const deltas = await this.#history.deltasAfter(0, ALL_DELTAS);
    if (deltas.isErr) throw deltas.error;
    return deltas.value;
  }

  /** Closes the given processes, by default all of them; a crashed process would not finish. */
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

/** Creates a live member with the given overrides. */
export function memberOf(zone: string, name: string, overrides: Partial<Member>): Member {
  return {
    info: memberInfo(zone, name),
    state: MemberState.Alive,
    lastHeardAt: 0,
    configVersion: 0,
    load: [],
    draining: [],
    ...overrides,
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
 * Replays all versions and describes each rule violation by a controller: a permit that exceeds a
 * budget, an invalid step of a stop, a stop during a move, or a change of pool without a drained
 * move.
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
        findInvalidStopStep(change, before.get(`${change.kind}/${change.id}`)) ??
        findInvalidAssignment(change, before.get(`${EntityKind.Move}/${change.id}`), poolsBefore) ??
        findStopDuringMove(view, change.id);
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

/** With a stop and a move at the same time, one would return the VM to service during the other. */
function findStopDuringMove(view: ConfigView, vm: string): string | undefined {
  const move = view.get(EntityKind.Move, vm);
  const isMoving = move !== undefined && move.state !== MoveState.Requested;
  return isMoving && view.get(EntityKind.Stop, vm)
    ? `${vm} is stopped and moved at the same time`
    : undefined;
}

function findInvalidStopStep(change: EntityChange, before: unknown): string | undefined {
  if (change.kind !== EntityKind.Stop) return undefined;
  const from = (before as { state: StopState } | undefined)?.state;
  const to = change.value?.state;
  const isAllowed =
    from === undefined
      ? to === StopState.Granted
      : to === undefined
        ? from !== StopState.Stopping
        : NEXT_STOP_STATE[from] === to;
  return isAllowed
    ? undefined
    : `stop of ${change.id} changed from ${String(from)} to ${String(to)}`;
}

function findInvalidAssignment(
  change: EntityChange,
  move: unknown,
  poolsBefore: ReadonlyMap<string, string | undefined>,
): string | undefined {
  if (change.kind !== EntityKind.Assignment) return undefined;
  const done = move as { from: string; to: string; state: MoveState } | undefined;
  const isDrained = done?.state === MoveState.Drained;
  const isSame = done?.from === poolsBefore.get(change.id) && done?.to === change.value?.pool;
  return isDrained && isSame ? undefined : `${change.id} was reassigned without a drained move`;
}
