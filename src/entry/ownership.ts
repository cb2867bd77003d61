import type { BackendConnections, BackendHealthTracker } from '../backends/index.js';
import {
  EntityKind,
  type Executor,
  type IndexedConfigView,
  type Vm,
} from '../configuration/index.js';
import { EventName, type EventBus } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Membership } from '../membership/index.js';
import type { ExecutorSlots, Scheduler } from '../scheduling/index.js';

/** What follows the set of executors that this process owns. */
export interface OwnershipDeps {
  view: IndexedConfigView;
  membership: Membership;
  events: EventBus;
  scheduler: Scheduler;
  backends: BackendConnections;
  health: BackendHealthTracker;
}

/** Executors that this process owns: those of its zone that rendezvous hashing gives to it. */
export function ownedExecutors(view: IndexedConfigView, membership: Membership): ExecutorSlots[] {
  const { zone, name } = membership.self;
  const serviceOfPool = new Map(view.list(EntityKind.Service).map(({ id, pool }) => [pool, id]));
  const owned: ExecutorSlots[] = [];
  for (const vm of view.vmsOfZone(zone)) {
    const service = serviceOfPool.get(view.poolOf(vm.id) ?? '');
    if (!vm.executor || service === undefined) continue;
    if (membership.ownerOf(zone, vm.id) !== name) continue;
    owned.push({ vm: vm.id, service, slots: vm.executor.slots });
  }
  return owned;
}

/**
 * Follows the configuration and the membership, and gives the executors that this process owns to
 * the scheduler, the connections and the health checks. Runs until the life cycle is closed.
 */
export async function runOwnership(deps: OwnershipDeps, lifecycle: Lifecycle): Promise<void> {
  const { view, membership, events, scheduler, backends, health } = deps;
  const update = () => {
    const owned = ownedExecutors(view, membership);
    const executors = new Map(owned.flatMap(({ vm }) => executorEntry(view, vm)));
    backends.setExecutors(executors);
    health.setExecutors(owned);
    scheduler.setExecutors(owned);
  };
  lifecycle.own('config events', events.on(EventName.ConfigInForce, update));
  lifecycle.own('member events', events.on(EventName.MembersChanged, update));
  update();
  await untilClosed(lifecycle);
}

function executorEntry(view: IndexedConfigView, id: string): [string, Executor][] {
  const vm: Vm | undefined = view.get(EntityKind.Vm, id);
  return vm?.executor ? [[id, vm.executor]] : [];
}

/** Resolves when a life cycle starts to close. */
export function untilClosed(lifecycle: Lifecycle): Promise<void> {
  if (lifecycle.signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    lifecycle.signal.addEventListener(
      'abort',
      () => {
        resolve();
      },
      { once: true },
    );
  });
}
