export * from './clock/index.js';
export * from './errors/index.js';
