export type { Account, AccountRules } from './types.js';
