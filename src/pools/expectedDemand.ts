import type { JobSpec } from '../batch/types.js';
import type { Clock } from '../clock/index.js';
import type { PredictMs } from '../runTimes/index.js';
import { ArrivalRateEstimator, workOf } from './arrivals.js';
import { DemandForecast } from './demandForecast.js';
import type { WorkerEnvelope } from './workerEnvelope.js';

/** Longest run time of a task that counts as demand, in milliseconds; estimates are not checked. */
const MAX_RUN_MS = 3_600_000;

/** Dependencies of {@link ExpectedDemand}. */
export interface ExpectedDemandDeps {
  clock: Clock;
  predictMs: PredictMs;
  /** What the workers of the fleet offer. */
  envelope: () => WorkerEnvelope;
  /** Whether demand is forecast; if not, it is that of the current arrival rate. */
  isForecast: boolean;
}

/** CPU that the arriving jobs of one service need, by their current rate or as forecast. */
export class ExpectedDemand {
  readonly #deps: ExpectedDemandDeps;
  readonly #arrivals = new ArrivalRateEstimator();
  readonly #forecast = new DemandForecast();

  constructor(deps: ExpectedDemandDeps) {
    this.#deps = deps;
  }

  /** Records an accepted job, without tasks that no worker can run. */
  add(spec: JobSpec): void {
    const { clock, isForecast } = this.#deps;
    const envelope = this.#deps.envelope();
    const now = clock.now();
    const predictMs: PredictMs = (step, queue) =>
      Math.min(MAX_RUN_MS, this.#deps.predictMs(step, queue));
    const job = { queue: spec.queue, steps: spec.steps.filter((step) => envelope.mayHold(step)) };
    if (isForecast) this.#forecast.add(spec.queue, workOf(job, predictMs), now);
    // The rate is kept only where it is read, because reading it removes old arrivals.
    else this.#arrivals.add(job, now, predictMs);
  }

  /** Expected demand in thousandths of a core; 0 while there are too few jobs. */
  cpu(): number {
    const { clock, isForecast } = this.#deps;
    return (isForecast ? this.#forecast : this.#arrivals).expectedCpu(clock.now());
  }
}
