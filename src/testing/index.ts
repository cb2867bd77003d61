export { createVirtualClock, type VirtualClock } from './virtualClock.js';
export { FakePlatform, type PlatformFaults } from './fakePlatform.js';
export { FakePeerHub } from './fakePeers.js';
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
