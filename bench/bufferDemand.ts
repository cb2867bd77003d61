import type { Clock } from '../src/clock/index.js';
import type { Random } from '../src/random/index.js';
import { SLOTS, type BufferDeployment } from './bufferFleet.js';

/** Time of one turn in milliseconds. */
export const TURN_MS = 8_000;

/** Demand of a service in its turn, as a multiple of the slots of its pool. */
const PEAK_LOAD = 1.3;

/** Peak and demand between turns, as multiples of the mean. */
const PEAK_FACTOR = 5;
const TROUGH_FACTOR = 1 / 20;

/** Kinds of work. */
export enum Work {
  /** Requests that people wait for. */
  Short = 'short',
  /** Non-idempotent recomputes. */
  Recompute = 'recompute',
  Export = 'export',
}

interface WorkKind {
  work: Work;
  /** Share of the requests. */
  share: number;
  /** Mean run time in milliseconds. */
  meanMs: number;
  /** Time from arrival to the deadline in milliseconds. */
  timeoutMs: number;
}

const SHORT: WorkKind = { work: Work.Short, share: 0.962, meanMs: 400, timeoutMs: 30_000 };

const kinds: readonly WorkKind[] = [
  SHORT,
  { work: Work.Recompute, share: 0.033, meanMs: 2_000, timeoutMs: 60_000 },
  { work: Work.Export, share: 0.005, meanMs: 10_000, timeoutMs: 240_000 },
];

/** Short work that runs many times longer than other work. */
const STRAGGLER_SHARE = 0.001;
const STRAGGLER_FACTOR = 20;

const MEAN_MS = kinds.reduce((sum, { share, meanMs }) => sum + share * meanMs, 0);

/** Starts the demand on a deployment. */
export type StartDemand = typeof startDemand;

/** One request. */
export interface Demand {
  service: string;
  work: Work;
  runMs: number;
  timeoutMs: number;
}

/**
 * Sends requests of all services until the time is over. Services peak in turn, in an order that
 * is shuffled for each round of turns.
 */
export function startDemand(
  { services, lasting }: BufferDeployment,
  clock: Clock,
  random: Random,
  untilMs: number,
  submit: (demand: Demand) => void,
): void {
  const names = Object.keys(services);
  const turns: string[] = [];
  while (turns.length * TURN_MS < untilMs) turns.push(...random.shuffle(names));

  for (const [service, vms] of Object.entries(services)) {
    const peak = (PEAK_LOAD * vms * SLOTS) / MEAN_MS;
    const trough = (peak / PEAK_FACTOR) * TROUGH_FACTOR;
    const steady = lasting?.service === service ? (peak / PEAK_LOAD) * lasting.load : undefined;
    // Kept apart from the clock, which counts whole milliseconds.
    let at = 0;
    const next = () => {
      const turn = Math.floor(at / TURN_MS);
      const rate = steady ?? (turns[turn] === service ? peak : trough);
      const gapMs = random.exponential(1 / rate);
      const turnEndMs = (turn + 1) * TURN_MS;
      // Gaps have no memory, so one that reaches into the next turn is drawn again there.
      const isArrival = at + gapMs < turnEndMs;
      at = isArrival ? at + gapMs : turnEndMs;
      if (at >= untilMs) return;
      clock.setTimer(Math.max(0, at - clock.now()), () => {
        if (isArrival) submit(drawDemand(service, random));
        next();
      });
    };
    next();
  }
}

function drawDemand(service: string, random: Random): Demand {
  let draw = random.next();
  const { work, meanMs, timeoutMs } = kinds.find(({ share }) => (draw -= share) < 0) ?? SHORT;
  const isStraggler = work === Work.Short && random.next() < STRAGGLER_SHARE;
  const factor = isStraggler ? STRAGGLER_FACTOR : 0.5 + random.next();
  return { service, work, runMs: meanMs * factor, timeoutMs };
}
