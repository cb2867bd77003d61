import { z } from 'zod';

/** Settings of the connections to backend servers, their health checks and load balancing. */
export const backendsSchema = z.object({
  connectTimeoutMs: z
    .number()
    .int()
    .positive()
    .default(1_000)
    .describe('Timeout for opening a connection (ms)'),
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
    .describe('Largest response body that is accepted (bytes)'),
  maxHeaderBytes: z
    .number()
    .int()
    .positive()
    .default(16_384)
    .describe('Largest response header section that is accepted (bytes)'),
  healthWindowMs: z
    .number()
    .positive()
    .default(10_000)
    .describe('Time constant of the exponential decay of recorded attempts (ms)'),
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
    .describe(
      'Failure rate of recent attempts from which an executor is ejected (share of attempts)',
    ),
  outlierFactor: z
    .number()
    .min(1)
    .default(2)
    .describe(
      'An executor is ejected only if its failure rate is at least this many times that of the others (factor)',
    ),
  maxEjectedShare: z
    .number()
    .min(0)
    .lt(1)
    .default(0.34)
    .describe(
      'Largest part of the executors of a service that may be ejected at once (share of executors)',
    ),
  stallMs: z
    .number()
    .positive()
    .default(2_000)
    .describe('Time without any response after which an executor may count as stalled (ms)'),
  stallInFlight: z
    .number()
    .int()
    .positive()
    .default(6)
    .describe('Requests without a response from which an executor may count as stalled (count)'),
  stallPeerAnswers: z
    .number()
    .int()
    .positive()
    .default(20)
    .describe(
      'Responses from the other executors of the service during a stall that confirm it (count)',
    ),
  ejectBaseMs: z
    .number()
    .positive()
    .default(1_000)
    .describe(
      'Delay from the first ejection to its first probe; doubles with each further probe or ejection (ms)',
    ),
  ejectMaxMs: z
    .number()
    .positive()
    .default(60_000)
    .describe('Longest delay between probes of an ejected executor (ms)'),
  probePath: z
    .string()
    .startsWith('/')
    .default('/health')
    .describe('Path of health probes (URL path)'),
  probeTimeoutMs: z
    .number()
    .int()
    .positive()
    .default(1_000)
    .describe('Timeout of a health probe (ms)'),
  slowStartMs: z
    .number()
    .positive()
    .default(10_000)
    .describe(
      'Time over which a new or readmitted executor ramps up to its full share of work (ms)',
    ),
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
      'Shortest time for which a refusal by an executor, or a report from another member, marks a VM as leaving (ms)',
    ),
  maxLeaving: z
    .number()
    .int()
    .positive()
    .default(32_768)
    .describe('Largest number of leaving VMs remembered from events (count)'),
  maxReportedLeaving: z
    .number()
    .int()
    .positive()
    .default(2_000)
    .describe('Largest number of leaving VMs reported in one heartbeat (count)'),
});

export type BackendsSettings = z.infer<typeof backendsSchema>;
