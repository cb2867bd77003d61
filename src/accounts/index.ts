export {
  capOf,
  divide,
  isBeyondCap,
  isWantedChange,
  maxMinShare,
  usableGrant,
  type Division,
  type DivisionInput,
} from './budgetDivision.js';
export { BudgetLedger, HeldReason, type BudgetLedgerDeps } from './budgetLedger.js';
export {
  BudgetError,
  BudgetErrorCode,
  budgetKey,
  BUDGET_PART,
  BUDGET_TABLE,
  decodeBudget,
  encodeBudget,
  type BudgetRow,
  type BudgetShare,
} from './budgetRow.js';
export { budgetDefaults } from './defaults.js';
export {
  demandTotal,
  largestTask,
  startableDemand,
  type Demand,
  type HeldTasks,
} from './startableDemand.js';
export type { Account, AccountRules } from './types.js';
