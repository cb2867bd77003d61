export { BatchRig, required, type BatchRigOptions, type RigNode } from './batchRig.js';
export {
  FakeExecutors,
  type FakeExecutor,
  type ObservedRun,
  type TaskScript,
} from './fakeExecutors.js';
export { fakeStoreLimits, FakeRowStore, StoreFault } from './fakeRowStore.js';
export { PausableProcess } from './pausableProcess.js';
export { RunControlRig } from './runControlRig.js';
