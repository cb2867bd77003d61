export { loadPacingDefaults } from './defaults.js';
export { LoadPacing } from './loadPacing.js';
export type { LoadPacingDeps } from './types.js';
