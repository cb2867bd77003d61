import { z } from 'zod';
import { poolSchema, serviceSchema, teamSchema, vmSchema } from '../configuration/index.js';

/** Schema of an inventory file. */
export const inventorySchema = z.strictObject({
  baseVersion: z
    .number()
    .int()
    .min(0)
    .optional()
    .describe(
      'configuration version that this file was edited from; when another operator changed something since, applying the file is a conflict',
    ),
  services: z.array(serviceSchema).default([]),
  pools: z.array(poolSchema).default([]),
  teams: z.array(teamSchema).default([]),
  vms: z.array(vmSchema).default([]),
});

/** The operator-owned part of the configuration, as written in a file. */
export type Inventory = z.infer<typeof inventorySchema>;
