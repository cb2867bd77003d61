export { operatorsSchema, type OperatorsSettings } from './defaults.js';
export type { JobSummary, OperatorDeps, PlannedMaintenance, Readiness } from './deps.js';
export { startOperatorListener } from './operatorListener.js';
export { isAuthorized } from './auth.js';
export * from './types.js';
