import type { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import type {
  ChangeSet,
  Commit,
  ConfigDelta,
  ConfigError,
  ConfigSnapshot,
  ConfigView,
  Wave,
} from '../configuration/index.js';
import type { Logger } from '../logger/index.js';
import type { Membership } from '../membership/index.js';
import type { Metrics } from '../metrics/index.js';
import type { MemberInfo } from '../peers/index.js';
import type { PlatformResult } from '../platform/index.js';
import type { OperatorsSettings } from './defaults.js';
import type { WaveSelection } from './types.js';

/** Whether the process can serve, and why not. */
export interface Readiness {
  ready: boolean;
  reason?: string;
  /** Milliseconds since the configuration in force was adopted. */
  configAgeMs: number;
  platformReachable: boolean;
  holdsZoneLease: boolean;
}

/** A planned maintenance, before it is committed. */
export interface PlannedMaintenance {
  /** Waves of bounded size, in order. */
  waves: Wave[];
  /** Batches over all waves. */
  batches: number;
  /** Fewest batches that any plan needs under the rules. */
  lowerBound: number;
  /** Expected time of the roll-out in milliseconds. */
  expectedMs: number;
  /** Why no plan exists, if there is none. */
  impossible?: string;
}

/** One job as shown to operators. */
export interface JobSummary {
  job: string;
  zone: string;
  team: string;
  state: string;
  urgent: boolean;
  attempts: number;
  vm?: string;
  reason?: string;
}

/** What the operator listener needs from the entry process. */
export interface OperatorDeps {
  self: MemberInfo;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  settings: OperatorsSettings;
  token: string;
  view: ConfigView;
  membership: Membership;
  readiness(): Readiness;
  snapshot(): ConfigSnapshot;
  /** Checks, commits and publishes a change set decided against version `base`. */
  commit: (base: number, changeSet: ChangeSet) => Promise<Result<Commit, ConfigError>>;
  /** Version as which a change id was committed; undefined when it was not. */
  committedVersion(changeId: string): PlatformResult<number | undefined>;
  /** Newest committed versions, oldest first. */
  history(limit: number): PlatformResult<ConfigDelta[]>;
  planWaves(id: string, selection: WaveSelection): PlannedMaintenance;
  /** Cuts or heals peer links; only where the settings allow faults. */
  setCut?: (memberOrZone: string, on: boolean) => void;
  jobs(zone: string, limit: number): PlatformResult<JobSummary[]>;
}
