export { runTimesDefaults } from './defaults.js';
export { RunTimes } from './runTimes.js';
export { SnapshotKeeper, SnapshotWrite, type SnapshotKeeperDeps } from './snapshotKeeper.js';
export { createSnapshotRow } from './snapshotRow.js';
export {
  declaredMs,
  RunTimesError,
  RunTimesErrorCode,
  type PredictMs,
  type TimedStep,
} from './types.js';
