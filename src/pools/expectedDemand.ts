import type { JobSpec } from '../batch/types.js';
import type { Clock } from '../clock/index.js';
import type { PredictMs } from '../runTimes/index.js';
import { ArrivalRateEstimator, workOf } from './arrivals.js';
import { DemandForecast } from './demandForecast.js';

/** Dependencies of {@link ExpectedDemand}. */
export interface ExpectedDemandDeps {
  clock: Clock;
  predictMs: PredictMs;
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

  /** Records an accepted job. */
  add(spec: JobSpec): void {
    const { clock, predictMs, isForecast } = this.#deps;
    const now = clock.now();
    if (isForecast) this.#forecast.add(spec.queue, workOf(spec, predictMs), now);
    // The rate is kept only where it is read, because reading it removes old arrivals.
    else this.#arrivals.add(spec, now, predictMs);
  }

  /** Expected demand in thousandths of a core; 0 while there are too few jobs. */
  cpu(): number {
    const { clock, isForecast } = this.#deps;
    return (isForecast ? this.#forecast : this.#arrivals).expectedCpu(clock.now());
  }
}
