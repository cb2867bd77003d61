export { ArrivalRateEstimator, workOf } from './arrivals.js';
export {
  planMoves,
  typicalCpu,
  wantedWorkers,
  type BalancedService,
  type BalancedVm,
  type PlannedMove,
} from './balance.js';
export { DepartedWorkers, type DepartedWorker } from './departedWorkers.js';
export { DemandForecast } from './demandForecast.js';
export { ExpectedDemand, type ExpectedDemandDeps } from './expectedDemand.js';
export { WorkerEnvelope } from './workerEnvelope.js';
