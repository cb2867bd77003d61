import { z } from 'zod';

const milliseconds = (value: number, description: string) =>
  z.int().min(1).default(value).describe(`${description}, in milliseconds`);

/** Settings of the membership protocol. */
export const membershipSchema = z.strictObject({
  seeds: z
    .array(
      z.strictObject({
        host: z.string().min(1).describe('IP address of a peer listener'),
        port: z.int().min(1).max(65_535).describe('TCP port of a peer listener'),
      }),
    )
    .default([])
    .describe('Peer listeners used to discover other members; may include this process'),
  zoneHeartbeatMs: milliseconds(500, 'Interval between heartbeats to members of the same zone'),
  remoteHeartbeatMs: milliseconds(
    1_000,
    'Shortest interval between heartbeats to a member of another zone; it grows with the number of such members to stay within `heartbeatBytesPerSecond`',
  ),
  maxRemoteHeartbeatMs: milliseconds(
    20_000,
    'Longest interval between heartbeats to a member of another zone',
  ),
  heartbeatBytesPerSecond: z
    .int()
    .min(1_000)
    .default(8_000)
    .describe(
      'Heartbeat bytes per second that this process may send, packet headers included; half of this budget is for members of the same zone, whose heartbeat interval is fixed',
    ),
  suspectAfterMs: milliseconds(
    3_000,
    'Silence after which a member becomes Suspect, or three of its heartbeat intervals if that is longer',
  ),
  removeAfterMs: milliseconds(
    10_000,
    'Silence after which a member is removed, or ten of its heartbeat intervals if that is longer',
  ),
  sweepIntervalMs: milliseconds(250, 'Interval between checks for silent members'),
  pauseThresholdMs: milliseconds(
    2_000,
    'Delay of a check above which this process counts as paused and restarts the silence period of all members',
  ),
  forgetAfterMs: milliseconds(
    3_600_000,
    'Time for which reconnecting to a removed member is attempted',
  ),
  tableFallbackMs: milliseconds(
    2_000,
    'Time without links to other members after which member rows are read from the platform',
  ),
  tableFallbackMaxMs: milliseconds(60_000, 'Longest interval between reads of the member rows'),
  registrationMs: milliseconds(60_000, 'Interval between checks of the member row of this process'),
  digestSize: z
    .int()
    .min(0)
    .default(2)
    .describe(
      'Number of members listed in the heartbeat to one random member per round; the first heartbeat on a link lists all of them',
    ),
  maxMembers: z
    .int()
    .min(1)
    .default(2_048)
    .describe('Maximum number of members known at a time; further ones are refused'),
});

/** Settings of the membership protocol. */
export type MembershipSettings = z.infer<typeof membershipSchema>;
