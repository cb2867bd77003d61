export { QueueIndex, type QueueMatch } from './queueIndex.js';
