export {
  Deployment,
  waitFor,
  type CommandResult,
  type DeploymentShape,
  type TestEntry,
  type TestVm,
} from './deployment.js';
export { compiledPath, startProcess, type TestProcess } from './processes.js';
export { parseOutcome } from './outcomes.js';
