import type { Clock } from '../clock/index.js';
import {
  EntityKind,
  MoveState,
  StopState,
  VmState,
  type ConfigView,
} from '../configuration/index.js';
import { EventName, LeavingSign, type EventBus } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Metrics } from '../metrics/index.js';
import type { BackendsSettings } from './defaults.js';

/** VMs that are leaving service and must get no new work. */
export interface LeavingSet {
  has(vm: string): boolean;
  /**
   * Records a sign that a VM is leaving. Refusals by the VM, reports from other members and signs
   * from the VM list of a standby count for `refusalHoldMs`, and after that for as long as
   * `mayReturn` is false. All other signs count until they are cleared.
   */
  add(vm: string, sign: LeavingSign): void;
  /** Removes the signs of a VM that is back; VMs that leave by configuration stay in the set. */
  clear(vm: string): void;
  /**
   * VMs with signs that this process observed itself and that the configuration does not show, at
   * most `maxReportedLeaving`.
   */
  locallyObserved(): string[];
}

/** Options of {@link createLeavingSet}. */
export interface LeavingSetOptions {
  clock: Clock;
  bus: EventBus;
  view: ConfigView;
  metrics: Metrics;
  settings: BackendsSettings;
  /** Whether a VM may get work again once its signs have expired; by default, every VM may. */
  mayReturn?: (vm: string) => boolean;
  /** Removes the event subscriptions when it is closed. */
  lifecycle: Lifecycle;
}

/** VMs that get no new work by configuration: they are being stopped or moved, or are not up. */
export function leavingVmsInConfig(view: ConfigView): Set<string> {
  const stops = view.list(EntityKind.Stop).filter(({ state }) => state !== StopState.Granted);
  const moves = view.list(EntityKind.Move).filter(({ state }) => state !== MoveState.Requested);
  const notUp = view.list(EntityKind.VmStatus).filter(({ state }) => state !== VmState.Up);
  return new Set([...stops, ...moves, ...notUp].map(({ id }) => id));
}

/** Signs that expire, because no event announces that the VM is back. */
const EXPIRING_SIGNS: ReadonlySet<LeavingSign> = new Set([
  LeavingSign.OwnRefusal,
  LeavingSign.PeerReport,
  LeavingSign.VmListStandby,
]);

/** Creates a set that is updated from events, the configuration and {@link LeavingSet.add}. */
export function createLeavingSet(options: LeavingSetOptions): LeavingSet {
  const { clock, bus, view, settings, lifecycle } = options;
  const mayReturn = options.mayReturn ?? (() => true);
  /** Time until which the signs of each VM count. */
  const signExpiries = new Map<string, number>();
  /** VMs that only other members reported. Repeated, such reports would never end. */
  const peerReportedOnly = new Set<string>();
  const droppedSigns = options.metrics.counter(
    'backend_leaving_dropped_total',
    'Signs of leaving VMs that were dropped because the table was full',
  );
  let leavingInConfig = leavingVmsInConfig(view);

  const has = (vm: string): boolean => {
    if (leavingInConfig.has(vm)) return true;
    const expiresAt = signExpiries.get(vm);
    if (expiresAt === undefined) return false;
    // Probes, not new work, must find out whether a VM still refuses.
    if (expiresAt > clock.now() || !mayReturn(vm)) return true;
    removeSigns(vm);
    return false;
  };

  const removeSigns = (vm: string) => {
    signExpiries.delete(vm);
    peerReportedOnly.delete(vm);
  };

  const removeExpired = () => {
    const now = clock.now();
    for (const [vm, expiresAt] of signExpiries)
      if (expiresAt <= now && mayReturn(vm)) removeSigns(vm);
  };

  const add = (vm: string, sign: LeavingSign): void => {
    if (!signExpiries.has(vm) && signExpiries.size >= settings.maxLeaving) removeExpired();
    if (!signExpiries.has(vm) && signExpiries.size >= settings.maxLeaving) {
      droppedSigns.inc();
      return;
    }
    if (sign !== LeavingSign.PeerReport) peerReportedOnly.delete(vm);
    else if (!signExpiries.has(vm)) peerReportedOnly.add(vm);
    const expiresAt = EXPIRING_SIGNS.has(sign) ? clock.now() + settings.refusalHoldMs : Infinity;
    signExpiries.set(vm, Math.max(expiresAt, signExpiries.get(vm) ?? 0));
  };

  /** A VM that the configuration no longer shows as leaving is back, so its signs are removed. */
  const applyConfig = () => {
    const nextLeaving = leavingVmsInConfig(view);
    for (const vm of leavingInConfig) if (!nextLeaving.has(vm)) removeSigns(vm);
    leavingInConfig = nextLeaving;
  };

  lifecycle.own(
    'leaving events',
    bus.on(EventName.VmLeaving, ({ vm, sign }) => {
      add(vm, sign);
    }),
  );
  /**
   * After a lost lease, the signs that this process observed as the holder expire unless the next
   * lease holder confirms them.
   */
  const capSignExpiries = () => {
    const expiresAt = clock.now() + settings.refusalHoldMs;
    for (const vm of signExpiries.keys())
      signExpiries.set(vm, Math.min(expiresAt, signExpiries.get(vm) ?? expiresAt));
  };

  lifecycle.own(
    'return events',
    bus.on(EventName.VmReturned, ({ vm }) => {
      removeSigns(vm);
    }),
  );
  lifecycle.own(
    'lease events',
    bus.on(EventName.LeaseChanged, ({ held }) => {
      if (!held) capSignExpiries();
    }),
  );
  lifecycle.own('config events', bus.on(EventName.ConfigInForce, applyConfig));
  const locallyObserved = () =>
    [...signExpiries.keys()]
      .filter((vm) => !peerReportedOnly.has(vm) && !leavingInConfig.has(vm) && has(vm))
      .slice(0, settings.maxReportedLeaving);
  return { has, add, clear: removeSigns, locallyObserved };
}
