export * from './types.js';
export {
  createPlatformClient,
  CallRefusalReason,
  type PlatformClientDeps,
} from './createPlatformClient.js';
export { platformSchema, type PlatformSettings } from './defaults.js';
export { TokenBucket, type TokenBucketOptions } from './tokenBucket.js';
