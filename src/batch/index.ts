export * from './types.js';
export * from './ports.js';
