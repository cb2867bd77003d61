export { explainDefaults } from './defaults.js';
export { JobExplainer, type JobExplainerDeps } from './explainer.js';
export { explainJob, type HolderState } from './explainJob.js';
export {
  ExplainOutcome,
  Unknown,
  WaitReason,
  type ExplainIdentity,
  type ExplainRequest,
  type HolderExplanation,
  type JobExplanation,
  type LeftOutWorkers,
  type StepAhead,
  type TaskPlace,
} from './types.js';
