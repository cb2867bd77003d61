import type { GaugeReading } from '../batch/counters.js';
import type { LogFields } from '../batch/decisionLog.js';
import type { Resources } from '../batch/types.js';
import { isNone, RESOURCE_KINDS } from './resourceMath.js';

/** What the holder of a service knows of an account with a limit, for logs and metrics. */
export interface AccountState {
  account: string;
  service: string;
  limit: Resources;
  /** The part of the grant that is in use, or may be in use by runs that are not known yet. */
  used: Resources;
  granted: Resources;
  /** What the service requests beyond its grant, as recorded for the other services. */
  wanted: Resources;
  /** Grants of the other services by name. */
  others: readonly (readonly [service: string, granted: Resources])[];
  /** Held tasks of the last placement round by reason. */
  held: ReadonlyMap<string, number>;
  /** Services whose share is unknown; undefined if there are none. */
  missing?: readonly string[];
}

/** Values of the label `resource`. */
const RESOURCE_LABELS = {
  cpuMillis: 'cpu_millis',
  memoryMb: 'memory_mb',
  accelerators: 'accelerators',
} as const;

/** Fields of the log line `account_state` after the account and the service. */
export function stateFields(state: AccountState): LogFields {
  const { held, others, missing } = state;
  return {
    limit: formatAmount(state.limit),
    used: formatAmount(state.used),
    granted: formatAmount(state.granted),
    wanted: formatAmount(state.wanted),
    others: others.map(([name, granted]) => `${name}:${formatAmount(granted)}`).join(','),
    waiting: waitingTasks(state),
    reasons: [...held].map(([reason, count]) => `${reason}:${count}`).join(','),
    missing: missing?.join(','),
  };
}

/** Gauges of an account; amounts only for the resources that are limited. */
export function* stateGauges(state: AccountState): Generator<GaugeReading> {
  const { account, service, limit, granted, used, wanted } = state;
  const amounts = {
    account_limit: limit,
    account_granted: granted,
    account_used: used,
    account_wanted: wanted,
  };
  for (const kind of RESOURCE_KINDS) {
    if (limit[kind] === 0) continue;
    const labels = { account, service, resource: RESOURCE_LABELS[kind] };
    for (const [name, amount] of Object.entries(amounts))
      yield { name, labels, value: amount[kind] };
  }
  yield { name: 'account_waiting_tasks', labels: { account, service }, value: waitingTasks(state) };
}

/**
 * Chooses the accounts that have gauges: those with waiting tasks before those with a grant, and the
 * idle ones last.
 */
export function chooseStates(
  states: Iterable<AccountState>,
  maxCount: number,
): { chosen: AccountState[]; leftOutCount: number } {
  const all = [...states];
  if (all.length <= maxCount) return { chosen: all, leftOutCount: 0 };
  const rank = (state: AccountState) =>
    waitingTasks(state) > 0 ? 0 : isNone(state.granted) && isNone(state.used) ? 2 : 1;
  // Sorting is stable, so that accounts of a rank keep their gauges from page to page.
  const ranked = all
    .map((state) => ({ state, rank: rank(state) }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ state }) => state);
  return { chosen: ranked.slice(0, maxCount), leftOutCount: all.length - maxCount };
}

function waitingTasks({ held }: AccountState): number {
  return [...held.values()].reduce((sum, count) => sum + count, 0);
}

function formatAmount({ cpuMillis, memoryMb, accelerators }: Readonly<Resources>): string {
  return `${cpuMillis}/${memoryMb}/${accelerators}`;
}
