import { z } from 'zod';

/** Settings of the links to other entry processes. */
export const peersSchema = z.strictObject({
  listenHost: z.string().default('0.0.0.0').describe('IP address that the peer listener binds to'),
  port: z
    .int()
    .min(0)
    .max(65_535)
    .default(7400)
    .describe('TCP port of the peer listener; 0 selects a free port'),
  advertiseHost: z
    .string()
    .default('127.0.0.1')
    .describe('IP address under which other members reach the peer listener'),
  secret: z
    .string()
    .default('')
    .describe(
      'Secret shared by all members of the deployment, at least 16 characters; the listener does not start without it',
    ),
  maxFrameBytes: z
    .int()
    .min(4_096)
    .default(2_097_152)
    .describe('Maximum size of a frame body in bytes, sent or received'),
  maxBufferedBytes: z
    .int()
    .min(4_096)
    .default(8_388_608)
    .describe(
      'Maximum number of bytes queued for writing on one link; further messages are refused',
    ),
  maxInbound: z
    .int()
    .min(1)
    .default(256)
    .describe('Maximum number of concurrent inbound connections'),
  maxMembers: z
    .int()
    .min(1)
    .default(2_048)
    .describe('Maximum number of members and seed addresses to keep links to'),
  maxDials: z
    .int()
    .min(1)
    .default(16)
    .describe('Maximum number of outbound connections being established concurrently'),
  handshakeTimeoutMs: z
    .int()
    .min(1)
    .default(2_000)
    .describe('Timeout in milliseconds for connecting and completing the handshake'),
  idleTimeoutMs: z
    .int()
    .min(1)
    .default(10_000)
    .describe('Time in milliseconds without received messages after which a link is closed'),
  backoffBaseMs: z
    .int()
    .min(1)
    .default(100)
    .describe(
      'Upper bound in milliseconds of the first random reconnection delay; doubled for each consecutive failure',
    ),
  backoffMaxMs: z
    .int()
    .min(1)
    .default(5_000)
    .describe('Maximum of the upper bound of the reconnection delay in milliseconds'),
});

/** Settings of the links to other entry processes. */
export type PeersSettings = z.infer<typeof peersSchema>;
