import type { Clock } from '../src/clock/index.js';
import type { Random } from '../src/random/index.js';
import { SLOTS_PER_EXECUTOR, type BufferDeployment } from './bufferFleet.js';

/** Duration of the peak of one service in milliseconds. */
export const PEAK_MS = 8_000;

/** Demand of a service at its peak, as a multiple of the slots of its pool. */
const PEAK_LOAD = 1.3;

/** Peak and off-peak demand, as multiples of the mean. */
const PEAK_FACTOR = 5;
const OFF_PEAK_FACTOR = 1 / 20;

/** Types of work. */
export enum WorkType {
  /** Requests that people wait for. */
  Short = 'short',
  /** Non-idempotent recomputations. */
  Recompute = 'recompute',
  Export = 'export',
}

interface WorkProfile {
  work: WorkType;
  /** Share of all requests. */
  share: number;
  /** Mean run time in milliseconds. */
  meanRunMs: number;
  /** Time from arrival to the deadline in milliseconds. */
  timeoutMs: number;
}

const SHORT_WORK: WorkProfile = {
  work: WorkType.Short,
  share: 0.962,
  meanRunMs: 400,
  timeoutMs: 30_000,
};

const workProfiles: readonly WorkProfile[] = [
  SHORT_WORK,
  { work: WorkType.Recompute, share: 0.033, meanRunMs: 2_000, timeoutMs: 60_000 },
  { work: WorkType.Export, share: 0.005, meanRunMs: 10_000, timeoutMs: 240_000 },
];

/** Share and run time factor of stragglers: short work that runs much longer than usual. */
const STRAGGLER_SHARE = 0.001;
const STRAGGLER_RUN_TIME_FACTOR = 20;

const MEAN_RUN_MS = workProfiles.reduce((sum, { share, meanRunMs }) => sum + share * meanRunMs, 0);

/** Generates the demand on a deployment. */
export type StartDemand = typeof startDemand;

/** One request. */
export interface SimulatedRequest {
  service: string;
  work: WorkType;
  runMs: number;
  timeoutMs: number;
}

/**
 * Submits requests of all services until `untilMs`. Services peak one after the other, in an order
 * that is shuffled for each cycle.
 */
export function startDemand(
  { services, sustainedLoad }: BufferDeployment,
  clock: Clock,
  random: Random,
  untilMs: number,
  submit: (request: SimulatedRequest) => void,
): void {
  const names = Object.keys(services);
  const peakOrder: string[] = [];
  while (peakOrder.length * PEAK_MS < untilMs) peakOrder.push(...random.shuffle(names));

  for (const [service, vms] of Object.entries(services)) {
    const peakRate = (PEAK_LOAD * vms * SLOTS_PER_EXECUTOR) / MEAN_RUN_MS;
    const offPeakRate = (peakRate / PEAK_FACTOR) * OFF_PEAK_FACTOR;
    const sustainedRate =
      sustainedLoad?.service === service ? (peakRate / PEAK_LOAD) * sustainedLoad.load : undefined;
    // Tracked separately from the clock, which counts whole milliseconds.
    let atMs = 0;
    const scheduleNext = () => {
      const peakIndex = Math.floor(atMs / PEAK_MS);
      const ratePerMs =
        sustainedRate ?? (peakOrder[peakIndex] === service ? peakRate : offPeakRate);
      const gapMs = random.exponential(1 / ratePerMs);
      const peakEndMs = (peakIndex + 1) * PEAK_MS;
      // Exponential gaps are memoryless, so one that extends into the next peak is redrawn there.
      const isArrival = atMs + gapMs < peakEndMs;
      atMs = isArrival ? atMs + gapMs : peakEndMs;
      if (atMs >= untilMs) return;
      clock.setTimer(Math.max(0, atMs - clock.now()), () => {
        if (isArrival) submit(sampleRequest(service, random));
        scheduleNext();
      });
    };
    scheduleNext();
  }
}

function sampleRequest(service: string, random: Random): SimulatedRequest {
  let remainingShare = random.next();
  const { work, meanRunMs, timeoutMs } =
    workProfiles.find(({ share }) => (remainingShare -= share) < 0) ?? SHORT_WORK;
  const isStraggler = work === WorkType.Short && random.next() < STRAGGLER_SHARE;
  const runTimeFactor = isStraggler ? STRAGGLER_RUN_TIME_FACTOR : 0.5 + random.next();
  return { service, work, runMs: meanRunMs * runTimeFactor, timeoutMs };
}
