import { z } from 'zod';

const milliseconds = (value: number, description: string) =>
  z.int().min(1).default(value).describe(`${description}, in milliseconds`);

/** Settings of the membership. */
export const membershipSchema = z.strictObject({
  seeds: z
    .array(
      z.strictObject({
        host: z.string().min(1).describe('IP address of a peer listener'),
        port: z.int().min(1).max(65_535).describe('TCP port of a peer listener'),
      }),
    )
    .default([])
    .describe('Peer listeners to contact first; the process itself may be listed'),
  zoneHeartbeatMs: milliseconds(500, 'Time between heartbeats to members of the own zone'),
  remoteHeartbeatMs: milliseconds(
    1_000,
    'Shortest time between heartbeats to a member of another zone; it grows with their number by `heartbeatBytesPerSecond`',
  ),
  maxRemoteHeartbeatMs: milliseconds(
    20_000,
    'Longest time between heartbeats to a member of another zone',
  ),
  heartbeatBytesPerSecond: z
    .int()
    .min(1_000)
    .default(8_000)
    .describe(
      'Bytes per second that this process may send as heartbeats, packet headers included; half of it for the own zone, whose interval is fixed',
    ),
  suspectAfterMs: milliseconds(
    3_000,
    'Silence after which a member is Suspect, or three of its heartbeat intervals if that is longer',
  ),
  removeAfterMs: milliseconds(
    10_000,
    'Silence after which a member is removed, or ten of its heartbeat intervals if that is longer',
  ),
  sweepIntervalMs: milliseconds(250, 'Time between checks for silent members'),
  pauseThresholdMs: milliseconds(
    2_000,
    'Lateness of a check from which this process counts as paused and gives members a fresh period',
  ),
  forgetAfterMs: milliseconds(
    3_600_000,
    'Time during which links to removed members are still attempted',
  ),
  tableFallbackMs: milliseconds(
    2_000,
    'Time without any link after which member rows are read from the platform',
  ),
  tableFallbackMaxMs: milliseconds(60_000, 'Longest time between reads of the member rows'),
  registrationMs: milliseconds(60_000, 'Time between checks of the own member row'),
  digestSize: z
    .int()
    .min(0)
    .default(2)
    .describe(
      'Members named to one random member per round of heartbeats; all are named when a link comes up',
    ),
  maxMembers: z
    .int()
    .min(1)
    .default(2_048)
    .describe('Most members known at once; further ones are refused'),
});

/** Settings of the membership. */
export type MembershipSettings = z.infer<typeof membershipSchema>;
