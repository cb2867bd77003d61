export { Lifecycle, LifecycleError, LifecycleErrorCode } from './lifecycle.js';
export {
  RestartPolicy,
  Supervisor,
  SupervisorError,
  SupervisorErrorCode,
  supervisorDefaults,
  type ChildSpec,
  type SupervisorOptions,
} from './supervisor.js';
export { guardProcess, UnhandledErrorEvent, type ProcessGuardDeps } from './processGuard.js';
