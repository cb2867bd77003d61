import { z } from 'zod';

const milliseconds = (value: number, text: string) =>
  z.number().int().positive().default(value).describe(`${text}, in milliseconds.`);

const count = (value: number, text: string) =>
  z.number().int().nonnegative().default(value).describe(text);

/** Settings of the zone controller. */
export const controllerSchema = z.object({
  leaseTtlMs: milliseconds(
    6_000,
    'Time without a renewal after which another process acquires the zone controller lease',
  ),
  viewTtlMs: milliseconds(
    15_000,
    'Time without contact after which the configuration view of a zone member counts as expired while a VM is drained',
  ),
  reportTtlMs: milliseconds(
    30_000,
    'Time without a lease renewal by the controller of a zone after which all VMs of that zone count as away',
  ),
  statusIntervalMs: milliseconds(1_000, 'Time between two readings of the VM list of the zone'),
  reconcileIntervalMs: milliseconds(
    2_000,
    'Time between two checks for stops, moves and waves that need work',
  ),
  confirmIntervalMs: milliseconds(1_000, 'Time between two checks of a VM that drains or returns'),
  drainTimeoutMs: milliseconds(
    1_800_000,
    'Time after which a drain that does not complete is cancelled and the VM is put back in service',
  ),
  returnTimeoutMs: milliseconds(
    1_800_000,
    'Time after which a VM that does not return from a planned stop is recorded as failed',
  ),
  orphanDrainMs: milliseconds(
    120_000,
    'Time for which a VM must be drained without a known reason before the drain is cancelled; must be longer than the lag of the VM list',
  ),
  sweepIntervalMs: milliseconds(
    5_000,
    'Time between two checks for VMs that are drained without a known reason',
  ),
  sweepBatch: count(
    10,
    'Number of VMs covered by one check for drains without a known reason, besides those already found drained, in VMs.',
  ),
  retryBaseMs: milliseconds(50, 'Upper limit of the first random delay before a retried commit'),
  retryMaxMs: milliseconds(5_000, 'Upper limit of the random delay before a retried commit'),
  maxJointDecisions: z
    .number()
    .int()
    .positive()
    .default(200)
    .describe(
      'Maximum number of decisions of the controller that are committed as one change set, in decisions.',
    ),
  conflictMaxMs: milliseconds(
    400,
    'Upper limit of the random delay before a commit that conflicted with another one is retried; other commits of the controller wait meanwhile',
  ),
  deltaPageSize: z
    .number()
    .int()
    .positive()
    .default(500)
    .describe(
      'Maximum number of configuration versions read from the platform in one call, in versions.',
    ),
  maxOpenStops: count(
    50,
    'Maximum number of planned stops of one zone in progress at the same time, in VMs.',
  ),
  maxOpenMoves: count(
    20,
    'Maximum number of moves of one zone in progress at the same time, in VMs.',
  ),
  waveReserve: count(
    1,
    'Number of VMs of each pool that waves hold in reserve below its pool-wide limits, so that one failure during a wave does not violate them, in VMs.',
  ),
  maxWaveVms: z
    .number()
    .int()
    .positive()
    .default(256)
    .describe(
      'Maximum number of VMs in one wave entity, which is rewritten at each completed stop, in VMs.',
    ),
  resumeAfterMs: milliseconds(
    600_000,
    'Time without a violated budget after which a wave that the controller paused is resumed',
  ),
  returnLentAfterMs: milliseconds(
    600_000,
    'Time for which a pool must satisfy its budget without a lent VM before the VM is returned to its home pool',
  ),
});

/** Settings of the zone controller. */
export type ControllerSettings = z.infer<typeof controllerSchema>;

/** Default settings of the zone controller. */
export const controllerDefaults: ControllerSettings = controllerSchema.parse({});
