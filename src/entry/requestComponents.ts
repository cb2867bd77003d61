import {
  createBackendConnections,
  createBackendHealth,
  createExecutorChooser,
  createHttpProbe,
  createLeavingSet,
  createUsablePredicate,
  type BackendConnections,
  type BackendHealthTracker,
  type ExecutorChooserOptions,
  type LeavingSet,
  type Probe,
} from '../backends/index.js';
import { EntityKind, type IndexedConfigView } from '../configuration/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import { createScheduler, type Scheduler } from '../scheduling/index.js';
import type { EntryContext } from './types.js';

/** Components of the request path that do not depend on other members. */
export interface RequestComponents {
  backends: BackendConnections;
  health: BackendHealthTracker;
  scheduler: Scheduler;
  probe: Probe;
  leaving: LeavingSet;
}

/** Creates and connects the backend connections, health checks, leaving set and scheduler. */
export function createRequestComponents(
  ctx: EntryContext,
  view: IndexedConfigView,
  mayReturn: (vm: string) => boolean,
  lifecycle: Lifecycle,
): RequestComponents {
  const { clock, random, metrics, events } = ctx;
  const settings = ctx.settings.backends;
  const probe = createHttpProbe(settings, (vm) => view.get(EntityKind.Vm, vm)?.executor);
  const health = createBackendHealth({ clock, random, metrics, settings, lifecycle, probe });
  const onSend = (vm: string) => {
    health.recordStart(vm);
  };
  const backends = createBackendConnections({ clock, metrics, settings, lifecycle, onSend });
  const leaving = createLeavingSet({
    ...{ clock, bus: events, view, metrics, settings, lifecycle },
    mayReturn,
  });
  const chooser: ExecutorChooserOptions = {
    random,
    weight: (vm) => health.weight(vm),
    isLeaving: (vm) => leaving.has(vm),
  };
  const scheduler = createScheduler({
    clock,
    metrics,
    settings: ctx.settings.scheduling,
    service: (id) => view.get(EntityKind.Service, id),
    team: (id) => view.get(EntityKind.Team, id),
    choose: createExecutorChooser(chooser),
    usable: createUsablePredicate(chooser),
  });
  return { backends, health, scheduler, probe, leaving };
}
