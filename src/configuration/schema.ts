import { z } from 'zod';
import {
  EntityKind,
  LAST_OPERATOR_CHANGE,
  MoveState,
  StopState,
  VmState,
  WaveState,
  type EntityOfKind,
} from './types.js';

/** Maximum length of an id in characters. Ids are part of row keys and metric labels. */
const MAX_ID_LENGTH = 128;

/** Id of an entity, zone or rack. */
export const idSchema = z
  .string()
  .min(1)
  .max(MAX_ID_LENGTH)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._:-]*$/, 'must consist of letters, digits and . _ : -')
  .describe('Identifier: letters, digits and . _ : -');

const count = (description: string) => z.int().min(0).describe(description);
const positive = (description: string) => z.int().min(1).describe(description);

/** A service to which clients send requests. */
export const serviceSchema = z.strictObject({
  id: idSchema,
  pool: idSchema.describe('Id of the pool that serves the service'),
  maxQueued: count('Maximum number of queued requests for this service on one entry process'),
  spill: z.boolean().describe('Whether requests may be forwarded to other availability zones'),
  minAvailableSlots: count(
    'Availability budget: minimum number of slots in service across all availability zones',
  ),
});

/** A group of VMs with the limits on how many may be out of service. */
export const poolSchema = z.strictObject({
  id: idSchema,
  minAvailable: count('Minimum number of VMs in service'),
  maxAway: count('Maximum number of VMs away at the same time'),
  maxAwayPerRack: count('Maximum number of VMs of one rack away at the same time'),
  maxAwayPerZone: count('Maximum number of VMs of one availability zone away at the same time'),
  isSpare: z.boolean().describe('Whether this pool lends VMs to other pools'),
  mayBorrow: z.boolean().describe('Whether this pool may borrow VMs from the spare pool'),
});

/** A customer team with its quotas. */
export const teamSchema = z.strictObject({
  id: idSchema,
  weight: z.number().positive().describe('Weight in fair queueing, relative to other teams'),
  maxQueued: count('Maximum number of queued requests on one entry process'),
  maxRunning: count('Maximum number of concurrent requests on one entry process'),
  maxUrgent: count(
    'Maximum number of concurrent urgent requests on one entry process; further ones are treated as normal',
  ),
  maxJobs: count('Maximum number of open jobs across the whole fleet'),
});

/** The backend server of a VM. */
export const executorSchema = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]).describe('IP address of the backend server'),
  port: z.int().min(1).max(65_535).describe('TCP port of the backend server'),
  slots: positive('Maximum number of concurrent requests on the backend server'),
  connections: positive('Maximum number of connections to the backend server'),
});

/** A VM of the fleet. */
export const vmSchema = z.strictObject({
  id: idSchema,
  zone: idSchema.describe('Availability zone of the VM'),
  rack: idSchema.describe('Rack of the VM, a failure domain'),
  pool: idSchema.describe('Home pool'),
  cores: positive('Number of processor cores'),
  memoryMib: positive('Memory in MiB'),
  accelerators: count('Number of accelerators'),
  executor: executorSchema.optional().describe('Backend server on this VM, if it runs one'),
});

/** Current pool of a VM. */
export const assignmentSchema = z.strictObject({
  id: idSchema.describe('Id of the VM'),
  pool: idSchema.describe('Current pool'),
});

/** Recorded availability of a VM. */
export const vmStatusSchema = z.strictObject({
  id: idSchema.describe('Id of the VM'),
  state: z.enum(VmState).describe('Availability as recorded by the zone controller'),
});

const drainVersion = positive('Configuration version in which draining began').optional();

/** Permit of a planned stop. */
export const stopSchema = z.strictObject({
  id: idSchema.describe('Id of the VM'),
  wave: idSchema.describe('Id of the wave'),
  state: z.enum(StopState).describe('Progress of the stop'),
  drainVersion,
});

/** Move of a VM between pools. */
export const moveSchema = z.strictObject({
  id: idSchema.describe('Id of the VM'),
  from: idSchema.describe('Pool that the VM leaves'),
  to: idSchema.describe('Pool that the VM joins'),
  state: z.enum(MoveState).describe('Progress of the move'),
  drainVersion,
});

/** A maintenance wave. */
export const waveSchema = z.strictObject({
  id: idSchema,
  state: z.enum(WaveState).describe('State of the wave'),
  batches: z.array(z.array(idSchema)).describe('Ids of the VMs of each batch, in order'),
  done: z.array(idSchema).describe('Ids of the VMs whose stop was completed'),
  reason: z.string().optional().describe('Why the wave is paused'),
});

/** The latest change made by an operator. */
export const operatorChangeSchema = z.strictObject({
  id: z
    .literal(LAST_OPERATOR_CHANGE)
    .describe('Fixed id, as there is a single entity of this kind'),
  version: positive('Version of the change'),
  changeId: z.string().min(1).describe('Identifier of the change'),
  author: z.string().min(1).describe('Author of the change'),
});

/** Schema of each kind of entity. */
export const entitySchemas: { readonly [K in EntityKind]: z.ZodType<EntityOfKind[K]> } = {
  [EntityKind.Service]: serviceSchema,
  [EntityKind.Pool]: poolSchema,
  [EntityKind.Team]: teamSchema,
  [EntityKind.Vm]: vmSchema,
  [EntityKind.Assignment]: assignmentSchema,
  [EntityKind.VmStatus]: vmStatusSchema,
  [EntityKind.Stop]: stopSchema,
  [EntityKind.Move]: moveSchema,
  [EntityKind.Wave]: waveSchema,
  [EntityKind.OperatorChange]: operatorChangeSchema,
};
