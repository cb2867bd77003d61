import { z } from 'zod';

/** Settings of the operator listener. */
export const operatorsSchema = z.strictObject({
  host: z.string().default('127.0.0.1').describe('IP address to listen on'),
  port: z
    .number()
    .int()
    .min(0)
    .max(65535)
    .default(0)
    .describe('TCP port; 0 lets the kernel choose'),
  tokenEnv: z
    .string()
    .default('BURDOCKNOTCH_TOKEN')
    .describe('Environment variable that holds the operator token'),
  tokenFile: z.string().optional().describe('File that holds the operator token; read at start'),
  maxBodyBytes: z
    .number()
    .int()
    .min(1024)
    .default(16 * 1024 * 1024)
    .describe('Maximum size of a request body, in bytes'),
  maxConnections: z
    .number()
    .int()
    .min(1)
    .default(64)
    .describe('Maximum number of open connections'),
  requestTimeoutMs: z
    .number()
    .int()
    .min(100)
    .default(30_000)
    .describe('Maximum time to receive a whole request, in milliseconds'),
});

export type OperatorsSettings = z.infer<typeof operatorsSchema>;
