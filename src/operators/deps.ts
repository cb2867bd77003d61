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

/** Whether the process is ready to serve requests. */
export interface Readiness {
  ready: boolean;
  /** Why the process is not ready; undefined when it is. */
  reason?: string;
  /** Milliseconds since the current configuration version was adopted. */
  configAgeMs: number;
  platformReachable: boolean;
  holdsZoneLease: boolean;
}

/** A maintenance plan that has not been committed. */
export interface PlannedMaintenance {
  /** Waves of bounded size, in order. */
  waves: Wave[];
  /** Total number of batches of all waves. */
  batches: number;
  /** Minimum number of batches of any plan under the rules. */
  lowerBound: number;
  /** Expected duration of the roll-out. */
  expectedMs: number;
  /** Why no plan is possible; undefined when there is a plan. */
  impossible?: string;
}

/** An item of the response of `GET /v1/jobs`. */
export interface JobSummary {
  job: string;
  zone: string;
  team: string;
  state: string;
  urgent: boolean;
  attempts: number;
  /** VM of the first attempt that may be running, if any. */
  vm?: string;
  /** Why the job is parked, or else the message of its last failed attempt. */
  reason?: string;
}

/** Dependencies of the operator listener. */
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
  /** Validates, commits and applies a change set that was created against version `base`. */
  commit: (base: number, changeSet: ChangeSet) => Promise<Result<Commit, ConfigError>>;
  /** Version in which a change id was committed; undefined when it was not committed. */
  committedVersion(changeId: string): PlatformResult<number | undefined>;
  /** The newest committed versions, oldest first. */
  history(limit: number): PlatformResult<ConfigDelta[]>;
  planWaves(id: string, selection: WaveSelection): PlannedMaintenance;
  /** Cuts or restores peer links; undefined unless the settings allow faults. */
  setCut?: (memberOrZone: string, on: boolean) => void;
  jobs(zone: string, limit: number): PlatformResult<JobSummary[]>;
}
