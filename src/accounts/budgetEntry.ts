import type { Resources } from '../batch/types.js';
import type { BudgetRow } from './budgetRow.js';
import type { HeldReason } from './budgetTypes.js';
import { isEqual, NO_RESOURCES } from './resourceMath.js';
import type { Demand } from './startableDemand.js';

/** A limit and the version of the configuration that it is from. */
export interface VersionedLimit {
  version: number;
  limit: Resources;
}

/** A write whose outcome is not known. */
interface PendingWrite {
  /** Version that the write requires. */
  version: number;
  granted: Resources;
  /** Whether no usable response arrived, so that the write may still be applied. */
  isUnresolved: boolean;
}

/** State of one account in the ledger. */
export interface BudgetEntry {
  account: string;
  /** Last readable row. */
  row?: BudgetRow;
  /** Version of the row in the store; 0 if there is none. */
  version: number;
  /** The row cannot be read, or disappeared. */
  isLost: boolean;
  /** Whether this ledger has written the share, so that no late write of another one can change it. */
  isOwn: boolean;
  /** Last grant that this ledger knew to be its own. */
  lastGrant: Resources;
  /** Grant of an earlier holder, which its runs may use until they are all known. */
  inherited: Resources;
  /** Resources of the runs that this holder started. */
  started: Resources;
  /** Resources of the adopted runs. */
  adopted: Resources;
  /** Grant of ended runs that is to be returned because others are below their share. */
  returning: Resources;
  pending?: PendingWrite;
  hasOverrun: boolean;
  cap?: Resources;
  fairShare: Resources;
  demand: Demand[];
  raisePausedUntil: number;
  surplusSince?: number;
  unwantedSince?: number;
  /** Needs for which the grant has no room in this placement round. */
  blocked?: Resources;
  /** Held tasks of the last placement round by reason. */
  held: Map<HeldReason, number>;
  loggedState: string;
}

/** Fair share while no service that is below its share wants more. */
export const UNCONTESTED: Resources = {
  cpuMillis: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
};

export function createEntry(account: string): BudgetEntry {
  return {
    account,
    version: 0,
    isLost: false,
    isOwn: false,
    lastGrant: NO_RESOURCES,
    inherited: NO_RESOURCES,
    started: NO_RESOURCES,
    adopted: NO_RESOURCES,
    returning: NO_RESOURCES,
    hasOverrun: false,
    fairShare: UNCONTESTED,
    demand: [],
    raisePausedUntil: -Infinity,
    held: new Map(),
    loggedState: '',
  };
}

export function isSame(a: Readonly<Resources>, b: Readonly<Resources> | undefined): boolean {
  return b !== undefined && isEqual(a, b);
}
