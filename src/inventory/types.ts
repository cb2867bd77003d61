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
      'configuration version that this file is based on; applying the file is a conflict if the configuration was changed since',
    ),
  services: z.array(serviceSchema).default([]),
  pools: z.array(poolSchema).default([]),
  teams: z.array(teamSchema).default([]),
  vms: z.array(vmSchema).default([]),
});

/** The part of the configuration that operators own, as written in an inventory file. */
export type Inventory = z.infer<typeof inventorySchema>;
