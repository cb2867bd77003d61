import { z } from 'zod';

/** Settings of the links to other entry processes. */
export const peersSchema = z.strictObject({
  listenHost: z.string().default('0.0.0.0').describe('IP address that the peer listener binds to'),
  port: z
    .int()
    .min(0)
    .max(65_535)
    .default(7400)
    .describe('TCP port of the peer listener; 0 lets the kernel choose'),
  advertiseHost: z
    .string()
    .default('127.0.0.1')
    .describe('IP address at which other members reach the peer listener'),
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
    .describe('Largest frame body in bytes, sent or received'),
  maxBufferedBytes: z
    .int()
    .min(4_096)
    .default(8_388_608)
    .describe('Most bytes waiting to be written on one link; further messages are refused'),
  maxInbound: z.int().min(1).default(256).describe('Most inbound connections at once'),
  maxMembers: z.int().min(1).default(2_048).describe('Most members to keep links to'),
  maxDials: z.int().min(1).default(16).describe('Most connections being established at once'),
  handshakeTimeoutMs: z
    .int()
    .min(1)
    .default(2_000)
    .describe('Longest time in milliseconds to connect and prove membership'),
  idleTimeoutMs: z
    .int()
    .min(1)
    .default(10_000)
    .describe('Silence in milliseconds after which a link is closed'),
  backoffBaseMs: z
    .int()
    .min(1)
    .default(100)
    .describe('Ceiling in milliseconds of the first reconnection delay, doubled for each failure'),
  backoffMaxMs: z
    .int()
    .min(1)
    .default(5_000)
    .describe('Largest ceiling in milliseconds of the reconnection delay'),
});

/** Settings of the links to other entry processes. */
export type PeersSettings = z.infer<typeof peersSchema>;
