import { z } from 'zod';

const milliseconds = (value: number, text: string) =>
  z.number().int().positive().default(value).describe(`${text}, in milliseconds.`);

const count = (value: number, text: string) =>
  z.number().int().nonnegative().default(value).describe(text);

/** Settings of the zone controller. */
export const controllerSchema = z.object({
  leaseTtlMs: milliseconds(
    6_000,
    'Time without a renewal after which another process takes the zone controller lease',
  ),
  viewTtlMs: milliseconds(
    15_000,
    'Silence of a zone member after which its view counts as expired when a VM is drained',
  ),
  reportTtlMs: milliseconds(
    30_000,
    'Silence of the controller of a zone after which all VMs of that zone count as away',
  ),
  statusIntervalMs: milliseconds(1_000, 'Time between two readings of the VM list of the zone'),
  reconcileIntervalMs: milliseconds(
    2_000,
    'Time between two looks for stops, moves and waves that need work',
  ),
  confirmIntervalMs: milliseconds(1_000, 'Time between two checks of a VM that drains or returns'),
  drainTimeoutMs: milliseconds(
    1_800_000,
    'Time after which a drain that does not end is given up and the VM is put back in service',
  ),
  returnTimeoutMs: milliseconds(
    1_800_000,
    'Time after which a VM that does not return from a planned stop is recorded as failed',
  ),
  orphanDrainMs: milliseconds(
    120_000,
    'Time for which a VM must be drained without a known reason before its drain is taken back; longer than the lag of the VM list',
  ),
  sweepIntervalMs: milliseconds(
    5_000,
    'Time between two looks for VMs that are drained without a known reason',
  ),
  sweepBatch: count(10, 'VMs that one look for drains without a known reason asks, in VMs.'),
  retryBaseMs: milliseconds(50, 'Upper limit of the first random delay before a retried commit'),
  retryMaxMs: milliseconds(5_000, 'Upper limit of the random delay before a retried commit'),
  maxJointDecisions: z
    .number()
    .int()
    .positive()
    .default(200)
    .describe('Decisions of the controller that are committed as one change set, in decisions.'),
  conflictMaxMs: milliseconds(
    400,
    'Upper limit of the random delay before a commit that lost to another one is tried again; other commits of the controller wait meanwhile',
  ),
  deltaPageSize: z
    .number()
    .int()
    .positive()
    .default(500)
    .describe('Configuration versions read from the platform in one call, in versions.'),
  maxOpenStops: count(50, 'Planned stops of one zone that run at the same time, in VMs.'),
  maxOpenMoves: count(20, 'Moves of one zone that run at the same time, in VMs.'),
  waveReserve: count(
    1,
    'VMs that waves leave unused of the away limits of each pool, so that one failure during a wave does not break them, in VMs.',
  ),
  maxWaveVms: z
    .number()
    .int()
    .positive()
    .default(256)
    .describe('VMs in one wave entity, which is rewritten at each completed stop, in VMs.'),
  resumeAfterMs: milliseconds(
    600_000,
    'Time without a broken budget after which a wave that the controller paused is resumed',
  ),
  returnLentAfterMs: milliseconds(
    600_000,
    'Time for which a pool must hold its budget without a lent VM before the VM is sent home',
  ),
});

/** Settings of the zone controller. */
export type ControllerSettings = z.infer<typeof controllerSchema>;

/** Default settings of the zone controller. */
export const controllerDefaults: ControllerSettings = controllerSchema.parse({});
