export { BatchRig, required, type BatchRigOptions, type RigNode } from './batchRig.js';
export {
  FakeExecutors,
  type FakeExecutor,
  type SeenRun,
  type TaskScript,
} from './fakeExecutors.js';
export { FakeRowStore, StoreFault } from './fakeRowStore.js';
