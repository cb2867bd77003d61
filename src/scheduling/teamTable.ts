import type { Team } from '../configuration/index.js';
import type { Flow } from './fairQueue.js';
import type { ServiceQueue, WaitingItem } from './serviceQueue.js';

/** Usage of a team's quotas in this process. */
export interface TeamUsage {
  quota: Team;
  queued: number;
  running: number;
  /** Number of items admitted as urgent and not yet finished. */
  urgent: number;
  /** Flows blocked by the running quota because their next item is of this team. */
  blockedFlows: Map<Flow<WaitingItem>, ServiceQueue>;
}

/** Whether a team has reached its quota of running items. */
export function isAtRunningQuota(team: TeamUsage): boolean {
  return team.running >= team.quota.maxRunning;
}

/** Expected time until the running quota of a team admits one more item, in milliseconds. */
export function quotaWaitMs(team: TeamUsage, costMs: number): number {
  const { maxRunning } = team.quota;
  const excess = team.running + team.queued + 1 - maxRunning;
  if (excess <= 0) return 0;
  return maxRunning > 0 ? (excess * costMs) / maxRunning : Infinity;
}

/** Unblocks the flows excluded because of a team's running quota; returns their queues. */
export function unblockFlows(team: TeamUsage): ServiceQueue[] {
  const queues = [...team.blockedFlows.values()];
  for (const flow of team.blockedFlows.keys()) flow.queue.unblock(flow);
  team.blockedFlows.clear();
  return queues;
}

/** Teams with waiting or running items. */
export class TeamTable {
  readonly #teams = new Map<string, TeamUsage>();

  get size(): number {
    return this.#teams.size;
  }

  /** Returns the usage of a team and updates its quota. */
  get(quota: Team): TeamUsage {
    const existing = this.#teams.get(quota.id);
    if (!existing) {
      const team: TeamUsage = { quota, queued: 0, running: 0, urgent: 0, blockedFlows: new Map() };
      this.#teams.set(quota.id, team);
      return team;
    }
    existing.quota = quota;
    if (!isAtRunningQuota(existing)) unblockFlows(existing);
    return existing;
  }

  removeIfIdle(team: TeamUsage): void {
    if (team.queued === 0 && team.running === 0) this.#teams.delete(team.quota.id);
  }
}
