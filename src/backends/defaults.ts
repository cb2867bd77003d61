import { z } from 'zod';

/** Settings of the connections to backend servers, their health and the choice among them. */
export const backendsSchema = z.object({
  connectTimeoutMs: z
    .number()
    .int()
    .positive()
    .default(1_000)
    .describe('Longest time to open a connection (ms)'),
  keepAliveMs: z
    .number()
    .int()
    .positive()
    .default(30_000)
    .describe('Time after which an idle connection is closed (ms)'),
  maxAnswerBytes: z
    .number()
    .int()
    .positive()
    .default(1_048_576)
    .describe('Largest answer body that is accepted (bytes)'),
  maxHeaderBytes: z
    .number()
    .int()
    .positive()
    .default(16_384)
    .describe('Largest answer header section that is accepted (bytes)'),
  healthWindowMs: z
    .number()
    .positive()
    .default(10_000)
    .describe('Time over which a recorded attempt loses most of its weight (ms)'),
  minAttempts: z
    .number()
    .positive()
    .default(5)
    .describe('Recent attempts needed before an executor may be ejected (count)'),
  ejectFailureShare: z
    .number()
    .gt(0)
    .max(1)
    .default(0.5)
    .describe('Share of recent attempts that failed from which an executor is ejected (share)'),
  outlierFactor: z
    .number()
    .min(1)
    .default(2)
    .describe(
      'An executor is ejected only if its failure share is this many times that of the others (factor)',
    ),
  maxEjectedShare: z
    .number()
    .min(0)
    .lt(1)
    .default(0.34)
    .describe('Most executors of a service that may be ejected at once (share of executors)'),
  stallMs: z
    .number()
    .positive()
    .default(2_000)
    .describe('Time without any answer after which an executor may count as stalled (ms)'),
  stallInFlight: z
    .number()
    .int()
    .positive()
    .default(6)
    .describe('Requests in flight without an answer that a stalled executor has (count)'),
  stallPeerAnswers: z
    .number()
    .int()
    .positive()
    .default(20)
    .describe('Answers of other executors of the service during the stall (count)'),
  ejectBaseMs: z
    .number()
    .positive()
    .default(1_000)
    .describe(
      'Time from the first ejection to the first probe; doubled with each further one (ms)',
    ),
  ejectMaxMs: z
    .number()
    .positive()
    .default(60_000)
    .describe('Longest time between probes of an ejected executor (ms)'),
  probePath: z.string().startsWith('/').default('/health').describe('Path of probes (URL path)'),
  probeTimeoutMs: z
    .number()
    .int()
    .positive()
    .default(1_000)
    .describe('Longest time a probe may take (ms)'),
  slowStartMs: z
    .number()
    .positive()
    .default(10_000)
    .describe('Time from the return of an executor to its full share of work (ms)'),
  minWeight: z
    .number()
    .gt(0)
    .max(1)
    .default(0.05)
    .describe('Smallest weight of an executor that is not ejected (share of full weight)'),
  refusalHoldMs: z
    .number()
    .positive()
    .default(5_000)
    .describe(
      "Shortest time for which an executor's own refusal, or the report of another member, counts as a sign of leaving (ms)",
    ),
  maxLeaving: z
    .number()
    .int()
    .positive()
    .default(32_768)
    .describe('Leaving VMs remembered from events (count)'),
  maxReportedLeaving: z
    .number()
    .int()
    .positive()
    .default(2_000)
    .describe('Leaving VMs named in one heartbeat (count)'),
});

/** Settings of the backends module. */
export type BackendsSettings = z.infer<typeof backendsSchema>;
