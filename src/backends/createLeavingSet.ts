import type { Clock } from '../clock/index.js';
import {
  EntityKind,
  MoveState,
  StopState,
  VmState,
  type ConfigView,
} from '../configuration/index.js';
import { EventName, LeavingReason, type EventBus } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Metrics } from '../metrics/index.js';
import type { BackendsSettings } from './defaults.js';

/** VMs that must get no new work. */
export interface LeavingSet {
  has(vm: string): boolean;
  /**
   * Records a sign. A VM's own refusal and the report of another member count for a limited time
   * and then for as long as the VM may not return, the others until cleared.
   */
  add(vm: string, sign: LeavingReason): void;
  /** Drops the signs of a VM that is back. What the configuration says stays in force. */
  clear(vm: string): void;
  /** VMs whose signs this process saw itself and the configuration does not show, bounded. */
  firstHand(): string[];
}

/** Options of {@link createLeavingSet}. */
export interface LeavingSetOptions {
  clock: Clock;
  bus: EventBus;
  view: ConfigView;
  metrics: Metrics;
  settings: BackendsSettings;
  /** Whether a VM may be tried again when its signs are out of date; all may when absent. */
  mayReturn?: (vm: string) => boolean;
  /** Ends the subscriptions when it is closed. */
  lifecycle: Lifecycle;
}

/** VMs that the configuration keeps from new work: stops under way, moves under way, not Up. */
export function leavingByConfig(view: ConfigView): Set<string> {
  const stops = view.list(EntityKind.Stop).filter(({ state }) => state !== StopState.Granted);
  const moves = view.list(EntityKind.Move).filter(({ state }) => state !== MoveState.Requested);
  const away = view.list(EntityKind.VmStatus).filter(({ state }) => state !== VmState.Up);
  return new Set([...stops, ...moves, ...away].map(({ id }) => id));
}

/** Signs after which a VM may be back without anything being announced. */
const LIMITED_SIGNS: ReadonlySet<LeavingReason> = new Set([
  LeavingReason.OwnRefusal,
  LeavingReason.PeerReport,
  LeavingReason.VmListStandby,
]);

/** Creates the set of leaving VMs, fed by events, the configuration and {@link LeavingSet.add}. */
export function createLeavingSet(options: LeavingSetOptions): LeavingSet {
  const { clock, bus, view, settings, lifecycle } = options;
  const mayReturn = options.mayReturn ?? (() => true);
  /** Time until which the signs of a VM count. */
  const signs = new Map<string, number>();
  /** VMs that only other members reported. They are not reported again, so that reports end. */
  const reportedOnly = new Set<string>();
  const dropped = options.metrics.counter(
    'backend_leaving_dropped_total',
    'Signs of leaving VMs that were not kept because the table was full',
  );
  let configured = leavingByConfig(view);

  const has = (vm: string): boolean => {
    if (configured.has(vm)) return true;
    const until = signs.get(vm);
    if (until === undefined) return false;
    // New work must not be what finds out that a VM still refuses.
    if (until > clock.now() || !mayReturn(vm)) return true;
    drop(vm);
    return false;
  };

  const drop = (vm: string) => {
    signs.delete(vm);
    reportedOnly.delete(vm);
  };

  const removeExpired = () => {
    const now = clock.now();
    for (const [vm, until] of signs) if (until <= now && mayReturn(vm)) drop(vm);
  };

  const add = (vm: string, sign: LeavingReason): void => {
    if (!signs.has(vm) && signs.size >= settings.maxLeaving) removeExpired();
    if (!signs.has(vm) && signs.size >= settings.maxLeaving) {
      dropped.inc();
      return;
    }
    if (sign !== LeavingReason.PeerReport) reportedOnly.delete(vm);
    else if (!signs.has(vm)) reportedOnly.add(vm);
    const until = LIMITED_SIGNS.has(sign) ? clock.now() + settings.refusalHoldMs : Infinity;
    signs.set(vm, Math.max(until, signs.get(vm) ?? 0));
  };

  /** A VM that leaves the configured set is back, so earlier signs no longer count. */
  const adoptConfig = () => {
    const next = leavingByConfig(view);
    for (const vm of configured) if (!next.has(vm)) drop(vm);
    configured = next;
  };

  lifecycle.own(
    'leaving events',
    bus.on(EventName.VmLeaving, ({ vm, reason }) => {
      add(vm, reason);
    }),
  );
  /** The next lease holder has to confirm the signs that this process saw as the holder. */
  const limitSigns = () => {
    const until = clock.now() + settings.refusalHoldMs;
    for (const vm of signs.keys()) signs.set(vm, Math.min(until, signs.get(vm) ?? until));
  };

  lifecycle.own(
    'return events',
    bus.on(EventName.VmReturned, ({ vm }) => {
      drop(vm);
    }),
  );
  lifecycle.own(
    'lease events',
    bus.on(EventName.LeaseChanged, ({ held }) => {
      if (!held) limitSigns();
    }),
  );
  lifecycle.own('config events', bus.on(EventName.ConfigInForce, adoptConfig));
  const firstHand = () =>
    [...signs.keys()]
      .filter((vm) => !reportedOnly.has(vm) && !configured.has(vm) && has(vm))
      .slice(0, settings.maxReportedLeaving);
  return { has, add, clear: drop, firstHand };
}
