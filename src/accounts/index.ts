export { compareOwner, JobOwner, mayAccessJob } from './access.js';
export { accountRuleDefaults } from './defaults.js';
export { AccountError, AccountErrorCode, KeyRefusal, KeyRefusalReason } from './errors.js';
export { digestOfKey } from './keyDigest.js';
export { KeyRegistry, type KeyRegistryDeps } from './keyRegistry.js';
export { RefusalLog } from './refusalLog.js';
export type { Account, AccountRules, Moment } from './types.js';
