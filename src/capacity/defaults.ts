import { z } from 'zod';

/** Buffer and move policies; each has an entry in the policy registry. */
export enum CapacityPolicyId {
  NeverMove = 'never_move',
  MoveOnRise = 'move_on_rise',
  CostBased = 'cost_based',
}

const milliseconds = (value: number, text: string) =>
  z.number().int().positive().default(value).describe(`${text}, in milliseconds.`);

const weight = (value: number, text: string) =>
  z.number().min(0).default(value).describe(`${text} (factor).`);

/** Settings of the buffer and move policy. */
export const capacitySchema = z.object({
  policy: z
    .enum(CapacityPolicyId)
    .default(CapacityPolicyId.CostBased)
    .describe('Buffer and move policy; never_move switches moves off (name).'),
  intervalMs: milliseconds(5_000, 'Time between two rounds of the policy'),
  hysteresisMs: milliseconds(
    600_000,
    'Shortest time between two moves of a VM, and for which a lent VM must be unneeded before it is sent home',
  ),
  smoothingMs: milliseconds(
    300_000,
    'Time over which load is averaged; several times longer than a drain and than a peak',
  ),
  drainMs: milliseconds(
    60_000,
    'Expected time of a drain, during which a VM that moves serves nobody',
  ),
  horizonMs: milliseconds(
    1_800_000,
    'Time for which a move is expected to pay off before the VM is sent home',
  ),
  waitingWeight: weight(1, 'Weight of waiting: value of a slot that serves work which waits'),
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
      'Use of the slots of a lent VM below which it is sent home; at most half of the use from which it is lent counts (share of slots).',
    ),
  maxMovesPerRound: z
    .number()
    .int()
    .positive()
    .default(1)
    .describe('Most moves that one round requests in one zone, in VMs.'),
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
      'VMs that the policies never_move and move_on_rise hold back in each pool: one rack, in VMs.',
    ),
});

/** Settings of the buffer and move policy. */
export type CapacitySettings = z.infer<typeof capacitySchema>;

/** Default settings of the buffer and move policy. */
export const capacityDefaults: CapacitySettings = capacitySchema.parse({});
