export { runTimesDefaults } from './defaults.js';
export { isRepresentative, recordRunTime, type RunTimeRecordDeps } from './recordRunTime.js';
export { RunTimeLearning, type RunTimeLearningDeps } from './runTimeLearning.js';
export { RunTimes } from './runTimes.js';
export { SnapshotKeeper, SnapshotWrite, type SnapshotKeeperDeps } from './snapshotKeeper.js';
export {
  declaredMs,
  RunTimesError,
  RunTimesErrorCode,
  type PredictMs,
  type TimedStep,
} from './types.js';
