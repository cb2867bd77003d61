import { z } from 'zod';
import { backendsSchema } from '../backends/index.js';
import { capacitySchema } from '../capacity/index.js';
import { configurationSchema } from '../configuration/index.js';
import { controllerSchema } from '../controller/index.js';
import { jobsSchema } from '../jobs/index.js';
import { LogLevel } from '../logger/index.js';
import { membershipSchema } from '../membership/index.js';
import { operatorsSchema } from '../operators/index.js';
import { peersSchema } from '../peers/index.js';
import { platformSchema } from '../platform/index.js';
import { requestsSchema } from '../requests/index.js';
import { schedulingSchema } from '../scheduling/index.js';

/** Creates an optional section of the settings that rejects unknown keys. */
function section<T extends z.ZodRawShape>(schema: z.ZodObject<T>, description: string) {
  const strict = z.strictObject(schema.shape);
  return strict.prefault({} as never).describe(description);
}

const idSchema = z
  .string()
  .min(1)
  .max(64)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'must consist of letters, digits and . _ -');

const callersSchema = z.strictObject({
  host: z.string().default('0.0.0.0').describe('IP address of the caller listener'),
  port: z
    .int()
    .min(0)
    .max(65_535)
    .default(7200)
    .describe('TCP port of the caller listener; 0 lets the kernel choose'),
});

/** Settings of an entry process, as written in its YAML file. */
export const entrySettingsSchema = z.strictObject({
  name: idSchema.describe('Name of this process, unique in the deployment'),
  zone: idSchema.describe('Availability zone of this process'),
  logLevel: z.enum(LogLevel).default(LogLevel.Info).describe('Minimum severity of logged messages'),
  secretEnv: z
    .string()
    .default('BURDOCKNOTCH_SECRET')
    .describe('Environment variable that holds the peer secret when `peers.secret` is empty'),
  shutdownGraceMs: z
    .int()
    .min(0)
    .default(30_000)
    .describe('Maximum time to complete requests in flight at shutdown, in milliseconds'),
  allowFaults: z
    .boolean()
    .default(false)
    .describe('Whether operators may cut peer links for tests; must be off in production'),
  configuration: section(configurationSchema, 'Versioned configuration and its dissemination'),
  callers: section(callersSchema, 'Listener for callers'),
  requests: section(requestsSchema, 'Request path'),
  scheduling: section(schedulingSchema, 'Queues and slots'),
  backends: section(backendsSchema, 'Connections to backend servers and their health'),
  peers: section(peersSchema, 'Links to other entry processes'),
  membership: section(membershipSchema, 'Membership'),
  platform: section(platformSchema, 'Platform client'),
  jobs: section(jobsSchema, 'Jobs'),
  controller: section(controllerSchema, 'Zone controller'),
  capacity: section(capacitySchema, 'VM buffer and moves between pools'),
  operators: section(operatorsSchema, 'Listener for operators'),
});

/** Settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
