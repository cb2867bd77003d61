import type { Router } from 'express';
import { leavingByConfig } from '../backends/index.js';
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
import type { EntryParts } from './parts.js';
import type { EntryContext } from './types.js';

/** The job subsystem of an entry process. */
export interface JobParts {
  /** Routes for the caller listener. */
  routes: Router;
  /** Places jobs while the zone lease is held. */
  runWhileHeld(lease: HeldLease, lifecycle: Lifecycle): Promise<void>;
  /** Checkpoints the jobs of a VM; resolves to true when none is left. */
  vacate(vm: string): Promise<boolean>;
  list(zone: string, limit: number): PlatformResult<JobSummary[]>;
}

/** Creates the job store with its routes, and the job controller that runs under the zone lease. */
export function createJobParts(ctx: EntryContext, parts: EntryParts): JobParts {
  const { settings, clock, logger, metrics } = ctx;
  const { store, network, membership } = parts;
  const { view } = store;
  const { zone } = network.self;
  const platform = parts.platform.forPurpose(CallPurpose.Job);
  /** The controller of the present term of the lease. */
  let active: JobController | undefined;
  /** VMs emptied for a planned stop or a move. */
  const vacated = new Set<string>();

  function workers(): Worker[] {
    const leaving = leavingByConfig(view);
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
      fitsSomeWorker(workers(), declared, active?.learnedUse(kind)),
    notify: (target, jobId, urgent) => {
      active?.notice(jobId);
      for (const { name } of membership.liveMembers(target)) {
        if (name === network.self.name) continue;
        network.send(name, { type: PeerMessageType.JobNotice, zone: target, jobId, urgent });
      }
    },
  });
  network.handle(PeerMessageType.JobNotice, (_from, { jobId }) => {
    active?.notice(jobId);
  });

  async function runWhileHeld(lease: HeldLease, lifecycle: Lifecycle): Promise<void> {
    const controller = createJobController({
      ...{ zone, platform, clock, logger, metrics, workers },
      settings: settings.jobs,
      leaseCondition: () => lease.condition,
    });
    active = controller;
    lifecycle.own('config events', ctx.events.on(EventName.ConfigInForce, readmitReturned));
    try {
      await controller.run(lifecycle);
    } finally {
      active = undefined;
      vacated.clear();
    }
  }

  /** VMs that are back in service get jobs again. */
  function readmitReturned(): void {
    if (vacated.size === 0) return;
    const leaving = leavingByConfig(view);
    for (const vm of vacated) {
      if (leaving.has(vm)) continue;
      vacated.delete(vm);
      active?.readmit(vm);
    }
  }

  return {
    routes: createJobRoutes({ store: jobs, settings: settings.jobs }),
    runWhileHeld,
    vacate: async (vm) => {
      if (!active) return false;
      vacated.add(vm);
      const { remaining } = await active.vacate(vm);
      return remaining.length === 0;
    },
    list: async (target, limit) => {
      const page = await platform.table.scan(jobKeys.openPrefix(target), limit);
      return page.map(({ rows }) => rows.map(({ value }) => toLine(value as JobRecord)));
    },
  };
}

function toLine(job: JobRecord): JobSummary {
  const { id, zone, team, state, urgent, attempts, runs, parkReason, error } = job;
  const vm = runs[0]?.vm;
  return { job: id, zone, team, state, urgent, attempts, vm, reason: parkReason ?? error };
}
