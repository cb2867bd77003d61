import type { Router } from 'express';
import { leavingVmsInConfig } from '../backends/index.js';
import { EntityKind } from '../configuration/index.js';
import type { HeldLease } from '../controller/index.js';
import { EventName } from '../events/index.js';
import {
  createJobController,
  createJobRoutes,
  createJobStore,
  fitsSomeWorker,
  jobKeys,
  type JobController,
  type JobRecord,
  type Worker,
} from '../jobs/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { JobSummary } from '../operators/index.js';
import { PeerMessageType } from '../peers/index.js';
import { CallPurpose, type PlatformResult } from '../platform/index.js';
import type { EntryComponents } from './components.js';
import type { EntryContext } from './types.js';

/** Job submission, placement and listing in an entry process. */
export interface JobSubsystem {
  /** HTTP routes for the caller listener. */
  routes: Router;
  /** Runs the job controller while the zone lease is held. */
  runWhileLeaseHeld(lease: HeldLease, lifecycle: Lifecycle): Promise<void>;
  /**
   * Checkpoints the jobs of a VM. Resolves to true when none is left, and to false while no job
   * controller runs in this process.
   */
  vacate(vm: string): Promise<boolean>;
  /** Lists up to `limit` jobs of a zone that have not ended. */
  listOpenJobs(zone: string, limit: number): PlatformResult<JobSummary[]>;
}

/** Creates the job store and its routes, and runs the job controller under the zone lease. */
export function createJobSubsystem(ctx: EntryContext, components: EntryComponents): JobSubsystem {
  const { settings, clock, logger, metrics } = ctx;
  const { store, network, membership } = components;
  const { view } = store;
  const { zone } = network.self;
  const platform = components.platform.forPurpose(CallPurpose.Job);
  /** Job controller of the current lease term; undefined while the lease is not held. */
  let activeController: JobController | undefined;
  /** VMs that were vacated for a planned stop or a move and have not returned to service. */
  const vacated = new Set<string>();

  function workers(): Worker[] {
    const leaving = leavingVmsInConfig(view);
    return view.vmsOfZone(zone).map(({ id, cores, memoryMib, accelerators }) => ({
      ...{ vm: id, cores, memoryMib, accelerators },
      usable: !leaving.has(id),
    }));
  }

  const jobs = createJobStore({
    ...ctx,
    ...{ platform, zone },
    settings: settings.jobs,
    maxOpenJobs: (team) => view.get(EntityKind.Team, team)?.maxJobs,
    fitsInventory: (kind, declared) =>
      fitsSomeWorker(workers(), declared, activeController?.learnedUsage(kind)),
    notify: (target, jobId, urgent) => {
      activeController?.notify(jobId);
      for (const { name } of membership.liveMembers(target)) {
        if (name === network.self.name) continue;
        network.send(name, { type: PeerMessageType.JobNotice, zone: target, jobId, urgent });
      }
    },
  });
  network.handle(PeerMessageType.JobNotice, (_from, { jobId }) => {
    activeController?.notify(jobId);
  });

  async function runWhileLeaseHeld(lease: HeldLease, lifecycle: Lifecycle): Promise<void> {
    const controller = createJobController({
      ...{ zone, platform, clock, logger, metrics, workers },
      settings: settings.jobs,
      leaseCondition: () => lease.condition,
    });
    activeController = controller;
    lifecycle.own('config events', ctx.events.on(EventName.ConfigInForce, readmitReturnedVms));
    try {
      await controller.run(lifecycle);
    } finally {
      activeController = undefined;
      vacated.clear();
    }
  }

  /** Allows job placement again on vacated VMs that are back in service. */
  function readmitReturnedVms(): void {
    if (vacated.size === 0) return;
    const leaving = leavingVmsInConfig(view);
    for (const vm of vacated) {
      if (leaving.has(vm)) continue;
      vacated.delete(vm);
      activeController?.readmit(vm);
    }
  }

  return {
    routes: createJobRoutes({ store: jobs, settings: settings.jobs }),
    runWhileLeaseHeld,
    vacate: async (vm) => {
      if (!activeController) return false;
      vacated.add(vm);
      const { remaining } = await activeController.vacate(vm);
      return remaining.length === 0;
    },
    listOpenJobs: async (target, limit) => {
      const page = await platform.table.scan(jobKeys.openPrefix(target), limit);
      return page.map(({ rows }) => rows.map(({ value }) => toSummary(value as JobRecord)));
    },
  };
}

function toSummary(job: JobRecord): JobSummary {
  const { id, zone, team, state, urgent, attempts, runs, parkReason, error } = job;
  const vm = runs[0]?.vm;
  return { job: id, zone, team, state, urgent, attempts, vm, reason: parkReason ?? error };
}
