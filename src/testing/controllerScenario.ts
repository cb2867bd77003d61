import { Result } from 'true-myth';
import {
  EntityKind,
  MoveState,
  WaveState,
  type ConfigView,
  type Wave,
} from '../configuration/index.js';
import { Budget, pendingVms, planWave, ProbeResult, startWave } from '../controller/index.js';
import { DrainState, ListedVmState, type PlatformClient } from '../platform/index.js';
import { createRandom, type Random } from '../random/index.js';
import {
  ControllerRig,
  findViolations,
  fleetOf,
  memberOf,
  type RigProcessOptions,
} from './controllerRig.js';
import { CallFault } from './interceptedPlatform.js';

const MINUTE_MS = 60_000;
/** Time after which a rebooted VM is healthy again. */
const REBOOT_MS = 10_000;

/** Plans waves over all VMs and starts them. */
export async function startWaves(rig: ControllerRig): Promise<void> {
  const options = { id: 'w', reserve: 0, stopMs: MINUTE_MS, maxWaveVms: 6 };
  const plan = planWave(await rig.newestView(), options);
  if (plan.isErr) throw plan.error;
  await rig.commitAsOperator(plan.value.waves.map(startWave));
}

/** Kinds of faults and operator actions in a scenario. */
export enum ScenarioEventKind {
  VendorDrain = 'vendor_drain',
  RackLost = 'rack_lost',
  Heal = 'heal',
  Outage = 'outage',
  LostAnswers = 'lost_answers',
  Crash = 'crash',
  Pause = 'pause',
  OperatorMove = 'operator_move',
  OperatorCancelMoves = 'operator_undo',
}

/** An event and the number that selects its target, modulo the number of candidates. */
export interface ScenarioEvent {
  event: ScenarioEventKind;
  targetIndex: number;
}

type Process = ReturnType<ControllerRig['start']> & {
  name: string;
  zone: string;
  fault: CallFault;
};

/** Parts of the system that a faulty variant replaces or leaves out; empty for the real system. */
export interface ScenarioVariant {
  history?: RigProcessOptions['history'];
  /** Controllers see no other members and no requests in flight; VMs always report as drained. */
  withoutConfirmation?: boolean;
  /** Cancelling a drain succeeds without effect. */
  withoutDrainCancel?: boolean;
}

/** Four entry processes in two zones that send requests to VMs while faults are injected. */
export class ControllerScenario {
  readonly rig = new ControllerRig({
    resumeAfterMs: MINUTE_MS,
    returnLentAfterMs: MINUTE_MS,
    waveReserve: 0,
  });
  /** VMs that were rebooted while they ran a request. */
  readonly cutOff: string[] = [];
  #processes: Process[] = [];
  #requests: { process: Process; vm: string; endsAt: number }[] = [];
  readonly #random: Random = createRandom(1);
  readonly #variant: ScenarioVariant;

  constructor(variant: ScenarioVariant) {
    this.#variant = variant;
  }

  /** Loads the fleet, starts the maintenance waves and starts the processes. */
  async start(): Promise<void> {
    const rules = { maxAway: 3, maxAwayPerRack: 2, maxAwayPerZone: 2 };
    const pools = [
      { ...rules, minAvailable: 5, mayBorrow: true },
      { ...rules, minAvailable: 4, isSpare: true },
    ];
    await this.rig.load(fleetOf({ zones: 2, racksPerZone: 2, vmsPerRack: 4, pools }));
    await startWaves(this.rig);
    for (const name of ['z0-a', 'z1-a', 'z0-b', 'z1-b']) this.#startProcess(name);
  }

  #startProcess(name: string): void {
    const zone = name.slice(0, 2);
    const { rig } = this;
    const inFlight = (vm: string, owner: Process) =>
      this.#requests.filter((req) => req.vm === vm && req.process === owner).length;
    const members = () =>
      this.#processes
        .filter((other) => other.zone === zone && other !== process)
        .map((other) =>
          memberOf(zone, other.name, {
            lastHeardAt: isWorking(other) ? rig.clock.now() : 0,
            configVersion: other.view.version,
            draining: this.#requests
              .filter((req) => req.process === other)
              .map(({ vm }) => ({ vm, inFlight: 1 })),
          }),
        );
    const process = { name, zone, fault: CallFault.None } as Process;
    const started = rig.start(zone, name, {
      pauseMs: 20_000,
      delayMs: 50,
      history: this.#variant.history,
      faultOf: (call) => {
        if (call.name === 'pools.reboot') this.#onReboot(String(call.args[0]));
        return process.fault;
      },
      members: this.#variant.withoutConfirmation ? () => [] : members,
      inFlight: (vm) => (this.#variant.withoutConfirmation ? 0 : inFlight(vm, process)),
    });
    Object.assign(process, started);
    if (this.#variant.withoutConfirmation) alwaysReportDrained(process.deps.platform);
    if (this.#variant.withoutDrainCancel) ignoreDrainCancels(process.deps.platform);
    this.#processes.push(process);
  }

  #onReboot(vm: string): void {
    if (this.#requests.some((req) => req.vm === vm)) this.cutOff.push(vm);
    this.rig.unhealthyVms.set(vm, ProbeResult.Unreachable);
    this.rig.clock.setTimer(REBOOT_MS, () => this.rig.unhealthyVms.delete(vm));
  }

  /** Applies an event to its target. */
  async apply({ event, targetIndex }: ScenarioEvent): Promise<void> {
    const view = await this.rig.newestView();
    const vms = view.list(EntityKind.Vm);
    const vm = elementAt(vms, targetIndex);
    const rack = vms.filter((other) => other.zone === vm.zone && other.rack === vm.rack);
    const process = elementAt(this.#processes, targetIndex);
    const from = view.poolOf(vm.id) ?? '';
    const to = from === 'p0' ? 'p1' : 'p0';
    const move = { id: vm.id, from, to, state: MoveState.Requested };
    const setFault = (fault: CallFault) => {
      if (process.fault !== CallFault.CrashBefore) process.fault = fault;
    };
    const actions: Record<ScenarioEventKind, () => unknown> = {
      [ScenarioEventKind.VendorDrain]: () => {
        for (const { id, zone } of rack.slice(0, 1 + (targetIndex % 4))) {
          this.rig.platform.vms.set(id, { id, zone, state: ListedVmState.Leaving });
        }
      },
      [ScenarioEventKind.RackLost]: () => {
        for (const { id } of rack) this.rig.unhealthyVms.set(id, ProbeResult.Unreachable);
      },
      [ScenarioEventKind.Heal]: () => {
        this.#heal();
      },
      [ScenarioEventKind.Outage]: () => {
        for (const each of this.#processes) {
          if (each.fault !== CallFault.CrashBefore) each.fault = CallFault.Down;
        }
      },
      [ScenarioEventKind.LostAnswers]: () => {
        setFault(CallFault.LoseAnswer);
      },
      [ScenarioEventKind.Crash]: () => {
        process.fault = CallFault.CrashBefore;
        this.#requests = this.#requests.filter((req) => req.process !== process);
        this.#startProcess(`${process.zone}-${this.#processes.length}`);
      },
      [ScenarioEventKind.Pause]: () => {
        setFault(CallFault.Pause);
      },
      [ScenarioEventKind.OperatorMove]: () =>
        view.get(EntityKind.Move, vm.id) ??
        this.rig.commitAsOperator([{ kind: EntityKind.Move, id: vm.id, value: move }]),
      [ScenarioEventKind.OperatorCancelMoves]: () =>
        this.rig.commitAsOperator(
          view.list(EntityKind.Move).map(({ id }) => ({ kind: EntityKind.Move, id })),
        ),
    };
    await actions[event]();
  }

  #heal(): void {
    this.rig.unhealthyVms.clear();
    for (const vm of this.rig.platform.vms.values()) vm.state = ListedVmState.Live;
    for (const process of this.#processes) {
      if (process.fault !== CallFault.CrashBefore) process.fault = CallFault.None;
    }
  }

  /** Advances time in steps; in each, working processes adopt new versions and send a request. */
  async advance(ms: number, stepMs: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      const deltas = await this.rig.deltas();
      for (const process of this.#processes) {
        if (!isWorking(process)) continue;
        process.view.adopt(deltas);
        this.#sendRequest(process);
      }
      const now = this.rig.clock.now();
      this.#requests = this.#requests.filter(({ endsAt }) => endsAt > now);
      this.#updateDrainStates();
      await this.rig.clock.advance(stepMs);
    }
  }

  #sendRequest(process: Process): void {
    const { view } = process;
    const usableVms = view.list(EntityKind.Vm).filter(({ id, zone }) => {
      const kinds = [EntityKind.Stop, EntityKind.Move, EntityKind.VmStatus] as const;
      const state = this.rig.platform.drains.get(id)?.state ?? DrainState.InService;
      const isOpen = !kinds.some((kind) => view.get(kind, id));
      return zone === process.zone && isOpen && state === DrainState.InService;
    });
    if (usableVms.length === 0) return;
    const vm = this.#random.pick(usableVms).id;
    const endsAt = this.rig.clock.now() + this.#random.exponential(2_000);
    this.#requests.push({ process, vm, endsAt });
  }

  #updateDrainStates(): void {
    const { drains } = this.rig.platform;
    const active = new Map<string, number>();
    for (const { vm } of this.#requests) active.set(vm, (active.get(vm) ?? 0) + 1);
    for (const id of new Set([...active.keys(), ...drains.keys()])) {
      const count = active.get(id) ?? 0;
      const before = drains.get(id)?.state ?? DrainState.InService;
      const drained = count > 0 ? DrainState.Draining : DrainState.Drained;
      const state = before === DrainState.InService ? before : drained;
      drains.set(id, { state, active: count });
    }
  }

  /** Ends all faults, waits up to an hour for open work to finish, and describes all violations. */
  async settle(): Promise<string[]> {
    this.#heal();
    for (let minute = 0; minute < 60; minute += 1) {
      if (isSettled(await this.rig.newestView())) break;
      await this.advance(MINUTE_MS, 1_000);
    }
    await this.advance(4 * MINUTE_MS, 1_000);
    const view = await this.rig.newestView();
    const drained = [...this.rig.platform.drains].filter(
      ([, { state }]) => state !== DrainState.InService,
    );
    return [
      ...findViolations(await this.rig.deltas()),
      ...this.rig.lateCommits.map((id) => `late commit ${id}`),
      ...this.cutOff.map((vm) => `reboot of ${vm} cut off a request`),
      ...drained.map(([vm]) => `${vm} was left drained`),
      ...(isSettled(view) ? [] : [`work was left open: ${describeOpen(view)}`]),
    ];
  }

  /** Closes all processes that have not crashed. */
  async close(): Promise<void> {
    const live = this.#processes.filter(({ fault }) => fault !== CallFault.CrashBefore);
    await this.rig.close(live.map(({ lifecycle }) => lifecycle));
  }
}

function elementAt<T>(items: readonly T[], index: number): T {
  return items[index % items.length] as T;
}

function isWorking({ fault }: Process): boolean {
  return fault !== CallFault.CrashBefore && fault !== CallFault.Pause;
}

function alwaysReportDrained(platform: PlatformClient): void {
  const status = { state: DrainState.Drained, active: 0 };
  platform.pools.drainStatus = () => Promise.resolve(Result.ok(status));
}

function ignoreDrainCancels(platform: PlatformClient): void {
  platform.pools.cancelDrain = () => Promise.resolve(Result.ok(undefined));
}

/**
 * Whether no work is open. Moves by operators can leave a pool without a VM to spare, so VMs of a
 * running wave may stay pending as long as the budget does not allow their stop.
 */
function isSettled(view: ConfigView): boolean {
  const budget = new Budget(view, { silentZones: new Set() });
  const mayWait = (vm: string) => budget.check(vm).isErr;
  const isDone = (wave: Wave) =>
    wave.state === WaveState.Finished ||
    (wave.state === WaveState.Running && pendingVms(wave).every(mayWait));
  const open = [EntityKind.Stop, EntityKind.Move, EntityKind.VmStatus] as const;
  return (
    open.every((kind) => view.list(kind).length === 0) && view.list(EntityKind.Wave).every(isDone)
  );
}

function describeOpen(view: ConfigView): string {
  const kinds = [EntityKind.Stop, EntityKind.Move, EntityKind.VmStatus, EntityKind.Wave] as const;
  return JSON.stringify(kinds.flatMap((kind): readonly unknown[] => view.list(kind)));
}
