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

/** VMs that must get no new work. */
export interface LeavingSet {
  has(vm: string): boolean;
  /** Records a sign; a VM's own refusal counts for a limited time, the others until cleared. */
  add(vm: string, sign: LeavingSign): void;
  /** Drops the signs of a VM that is back. What the configuration says stays in force. */
  clear(vm: string): void;
}

/** Options of {@link createLeavingSet}. */
export interface LeavingSetOptions {
  clock: Clock;
  bus: EventBus;
  view: ConfigView;
  metrics: Metrics;
  settings: BackendsSettings;
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

/** Creates the set of leaving VMs, fed by events, the configuration and {@link LeavingSet.add}. */
export function createLeavingSet(options: LeavingSetOptions): LeavingSet {
  const { clock, bus, view, settings, lifecycle } = options;
  /** Time until which the signs of a VM count. */
  const signs = new Map<string, number>();
  const dropped = options.metrics.counter(
    'backend_leaving_dropped_total',
    'Signs of leaving VMs that were not kept because the table was full',
  );
  let configured = leavingByConfig(view);

  const has = (vm: string): boolean => {
    if (configured.has(vm)) return true;
    const until = signs.get(vm);
    if (until === undefined) return false;
    if (until > clock.now()) return true;
    signs.delete(vm);
    return false;
  };

  const removeExpired = () => {
    const now = clock.now();
    for (const [vm, until] of signs) if (until <= now) signs.delete(vm);
  };

  const add = (vm: string, sign: LeavingSign): void => {
    if (!signs.has(vm) && signs.size >= settings.maxLeaving) removeExpired();
    if (!signs.has(vm) && signs.size >= settings.maxLeaving) {
      dropped.inc();
      return;
    }
    const until = sign === LeavingSign.OwnRefusal ? clock.now() + settings.refusalHoldMs : Infinity;
    signs.set(vm, Math.max(until, signs.get(vm) ?? 0));
  };

  /** A VM that leaves the configured set is back, so earlier signs no longer count. */
  const adoptConfig = () => {
    const next = leavingByConfig(view);
    for (const vm of configured) if (!next.has(vm)) signs.delete(vm);
    configured = next;
  };

  lifecycle.own(
    'leaving events',
    bus.on(EventName.VmLeaving, ({ vm, sign }) => {
      add(vm, sign);
    }),
  );
  lifecycle.own('config events', bus.on(EventName.ConfigInForce, adoptConfig));
  return { has, add, clear: (vm) => void signs.delete(vm) };
}
