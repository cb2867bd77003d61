import type { Resources } from '../batch/types.js';
import type { BudgetEntry, VersionedLimit } from './budgetEntry.js';
import type { BudgetLedgerDeps } from './budgetTypes.js';
import { budgetDefaults } from './defaults.js';
import { isNone } from './resourceMath.js';

/** Dependencies of {@link BudgetLimits}. */
export interface BudgetLimitsDeps extends Pick<BudgetLedgerDeps, 'config' | 'clock'> {
  /** Called for each configuration with an account that has a limit. */
  onLimited: () => void;
}

/** Limits of the accounts by the newest of the configuration and the budget rows. */
export class BudgetLimits {
  readonly #deps: BudgetLimitsDeps;
  #indexedConfig: ReturnType<BudgetLedgerDeps['config']>;
  #limits: ReadonlyMap<string, Resources> = new Map();
  /** Accounts that an earlier configuration listed without a limit. */
  readonly #formerlyUnlimited = new Set<string>();
  #configSeenAt = 0;

  constructor(deps: BudgetLimitsDeps) {
    this.#deps = deps;
  }

  /** Follows changes of the configuration. */
  update(): void {
    const config = this.#deps.config();
    if (config === this.#indexedConfig) return;
    this.#indexedConfig = config;
    this.#configSeenAt = this.#deps.clock.now();
    for (const [account, limit] of this.#limits) {
      if (isNone(limit)) this.#formerlyUnlimited.add(account);
    }
    this.#limits = new Map(config?.accounts?.map(({ name, limit }) => [name, limit]));
    if ([...this.#limits.values()].some((limit) => !isNone(limit))) this.#deps.onLimited();
  }

  /** What the account may run by the newest known configuration; undefined if no limit is known. */
  of({ account, row }: BudgetEntry): VersionedLimit | undefined {
    const config = this.#deps.config();
    const limit = this.#limits.get(account);
    const own = config && limit ? { version: config.version, limit } : undefined;
    if (row && (!own || row.version > own.version)) return row;
    return own;
  }

  /** Whether the configuration is known and has no limit for an account, so that only its row can. */
  lacksLimit(account: string): boolean {
    return !this.#limits.has(account) && this.#indexedConfig !== undefined;
  }

  /** Whether an earlier configuration listed an account without a limit. */
  wasUnlimited(account: string): boolean {
    return this.#formerlyUnlimited.has(account);
  }

  /** Whether a service left the configuration so long ago that none of its runs is left. */
  isRemovedService(service: string): boolean {
    const { config, clock } = this.#deps;
    const age = clock.now() - this.#configSeenAt;
    if (age < budgetDefaults.removedServiceMs) return false;
    return config()?.services.some(({ name }) => name === service) === false;
  }
}
