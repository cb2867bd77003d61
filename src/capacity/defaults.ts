import { z } from 'zod';

/** Ids of the capacity policies; each has an entry in `capacityPolicies`. */
export enum CapacityPolicyId {
  NeverMove = 'never_move',
  MoveOnRise = 'move_on_rise',
  CostBased = 'cost_based',
}

const milliseconds = (value: number, text: string) =>
  z.number().int().positive().default(value).describe(`${text}, in milliseconds.`);

const weight = (value: number, text: string) =>
  z.number().min(0).default(value).describe(`${text} (factor).`);

/** Settings of the capacity policy. */
export const capacitySchema = z.object({
  policy: z
    .enum(CapacityPolicyId)
    .default(CapacityPolicyId.CostBased)
    .describe('Policy that sizes buffers and requests moves; never_move disables moves (name).'),
  intervalMs: milliseconds(5_000, 'Time between two rounds of the policy'),
  hysteresisMs: milliseconds(
    600_000,
    'Minimum time between two moves of a VM; a lent VM must also be unneeded for this time before it returns to its home pool',
  ),
  smoothingMs: milliseconds(
    300_000,
    'Time over which load is averaged; should be several times longer than a drain or a peak',
  ),
  drainMs: milliseconds(
    60_000,
    'Expected duration of a drain, during which a moving VM serves no requests',
  ),
  horizonMs: milliseconds(
    1_800_000,
    'Time during which a move is expected to pay off before the VM returns to its home pool',
  ),
  waitingWeight: weight(1, 'Weight of waiting: value of a slot that serves waiting work'),
  moveWeight: weight(1, 'Weight of moves: cost of a slot that is out of service during a drain'),
  bufferWeight: weight(
    0.25,
    'Weight of the buffer: cost of a slot that a move adds to the buffers',
  ),
  returnShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.02)
    .describe(
      'Slot utilization of a lent VM below which it returns to its home pool; capped at half of the utilization from which a VM is lent (share of slots).',
    ),
  maxMovesPerRound: z
    .number()
    .int()
    .positive()
    .default(1)
    .describe('Maximum number of moves that one round requests in one zone, in VMs.'),
  requestTtlMs: milliseconds(
    60_000,
    'Time after which a requested move that has not started is withdrawn',
  ),
  fixedBufferVms: z
    .number()
    .int()
    .nonnegative()
    .default(4)
    .describe(
      'Buffer that the policies never_move and move_on_rise keep in each pool, by default the size of one rack, in VMs.',
    ),
});

/** Settings of the capacity policy. */
export type CapacitySettings = z.infer<typeof capacitySchema>;

export const capacityDefaults: CapacitySettings = capacitySchema.parse({});
