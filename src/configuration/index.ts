export * from './types.js';
export { ChangedView } from './changedView.js';
export {
  assignmentSchema,
  entitySchemas,
  executorSchema,
  idSchema,
  moveSchema,
  operatorChangeSchema,
  poolSchema,
  serviceSchema,
  stopSchema,
  teamSchema,
  vmSchema,
  vmStatusSchema,
  waveSchema,
} from './schema.js';
export {
  EntityState,
  emptyEntities,
  emptySnapshot,
  entityKinds,
  type IndexedConfigView,
} from './entities.js';
export {
  AdoptionResult,
  AdoptionSource,
  createConfigStore,
  type AdoptionListener,
  type ConfigStore,
  type ConfigStoreOptions,
} from './store.js';
export {
  createConfigHistory,
  type ConfigHistoryOptions,
  type TableConfigHistory,
} from './history.js';
export { HEAD_KEY, changeKey, snapshotPartKey, snapshotPrefix, versionKey } from './rowKeys.js';
export { ConfigProblemCode, type ConfigProblem } from './problems.js';
export { MAX_CHANGES, checkChangeSet, checkConfiguration } from './checks.js';
export { createCommitter, type CommitAndAdopt } from './committer.js';
export { joinSnapshot, splitSnapshot } from './snapshotParts.js';
export {
  DisseminationMethodName,
  configurationDefaults,
  configurationSchema,
  type ConfigurationSettings,
} from './defaults.js';
export {
  disseminationMethods,
  type DisseminationContext,
  type DisseminationMethod,
  type Disseminator,
  type ReceivedPush,
} from './dissemination.js';
export { runConfigSync, type ConfigSyncDeps } from './configSync.js';
