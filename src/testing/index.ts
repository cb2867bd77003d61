export { createFakeTimers, createVirtualClock, type VirtualClock } from './virtualClock.js';
export { FakePlatform, type PlatformFaults } from './fakePlatform.js';
export { FakePeerHub } from './fakePeers.js';
export { ProcessGate, gateClock, gatePeers, gateTable } from './processGate.js';
export { FakeConfigView } from './fakeView.js';
export { FakeScheduler } from './fakeScheduler.js';
export { FakeBackends, SendFault, type FakeBackendsOptions } from './fakeBackends.js';
export {
  expectedAnswer,
  HistoryRule,
  RequestHistory,
  type HistoryViolation,
  type ObservedEnd,
} from './requestHistory.js';
export {
  RequestCluster,
  type ClusterProcess,
  type ClusterVariant,
  type RequestClusterOptions,
} from './requestCluster.js';
export { FakeWorkers, type TimedWork, type WorkerFaults } from './fakeWorkers.js';
export {
  createJobZone,
  idList,
  settle,
  type JobZone,
  type JobZoneOptions,
  type RunningController,
} from './jobZone.js';
export { CallFault, withFaults } from './platformFaults.js';
export {
  brokenVariants,
  RequestIdentity,
  callWithRetries,
  restartProcess,
  scenarioFaults,
  startThreeProcesses,
  type BrokenVariant,
  type ScenarioFault,
} from './requestScenario.js';
