export {
  Deployment,
  waitFor,
  type CommandResult,
  type DeploymentShape,
  type TestEntry,
  type TestVm,
} from './deployment.js';
export { compiledPath, startProcess, type TestProcess } from './processes.js';
export { outcomeOf } from './outcomes.js';
