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

/** Dependencies of {@link runOwnershipSync}. */
export interface OwnershipSyncDeps {
  view: IndexedConfigView;
  membership: Membership;
  events: EventBus;
  scheduler: Scheduler;
  backends: BackendConnections;
  health: BackendHealthTracker;
}

/** Returns the executors of the zone that rendezvous hashing assigns to this process. */
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
 * Updates the executors of the scheduler, the backend connections and the health checks whenever
 * the configuration or the membership changes. Runs until the lifecycle is closed.
 */
export async function runOwnershipSync(
  deps: OwnershipSyncDeps,
  lifecycle: Lifecycle,
): Promise<void> {
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
  await untilClosing(lifecycle);
}

function executorEntry(view: IndexedConfigView, id: string): [string, Executor][] {
  const vm: Vm | undefined = view.get(EntityKind.Vm, id);
  return vm?.executor ? [[id, vm.executor]] : [];
}

/** Resolves when a lifecycle starts to close. */
export function untilClosing(lifecycle: Lifecycle): Promise<void> {
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
