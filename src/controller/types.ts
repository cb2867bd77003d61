import type { Clock } from '../clock/index.js';
import type { ConfigDelta, ConfigHistory, ConfigView } from '../configuration/index.js';
import { BaseError } from '../errors/index.js';
import type { EventBus } from '../events/index.js';
import type { Logger } from '../logger/index.js';
import type { Membership } from '../membership/index.js';
import type { Condition, PlatformClient } from '../platform/index.js';
import type { Random } from '../random/index.js';
import type { Result } from 'true-myth';
import type { ReadonlyBudget } from './budget.js';
import type { CommitQueue } from './commit.js';
import type { ControllerSettings } from './defaults.js';
import type { ControllerMetrics } from './metrics.js';

/** Value of the row `lease/zone/<zone>`. */
export interface LeaseRow {
  /** Name and incarnation of the holder; empty after a release. */
  holder: string;
  /** Increases by one with each takeover; never reused. */
  epoch: number;
  renewals: number;
}

/** Codes of {@link ControllerError}. */
export enum ControllerErrorCode {
  /** The lease is no longer held; nothing more is written under its epoch. */
  LeaseLost = 'lease_lost',
  /** The controller is shutting down. */
  Closed = 'closed',
  /** The configuration refused the change as invalid. */
  Invalid = 'invalid',
}

/** A step of the zone controller could not be taken. */
export class ControllerError extends BaseError<ControllerErrorCode> {}

/** The zone controller lease while this process holds it. */
export interface HeldLease {
  readonly zone: string;
  readonly holder: string;
  readonly epoch: number;
  /** False from the moment at which another process may have taken the lease. */
  readonly isHeld: boolean;
  /**
   * Condition on the row as it was last known; undefined when the lease is not held. A renewal that
   * is under way may invalidate it, so a writer that uses it must read it again after a failure.
   */
  readonly condition: Condition | undefined;
  /**
   * Runs a write whose transaction must contain the given condition. Writes do not overlap with a
   * renewal, so that a renewal does not invalidate the condition.
   */
  write<T>(run: (condition: Condition) => Promise<T>): Promise<Result<T, ControllerError>>;
  /** Reads the row again after a transaction found that the condition does not hold. */
  refresh(): Promise<void>;
}

/** Result of a health probe of a VM. */
export enum ProbeResult {
  Healthy = 'healthy',
  /** The VM answers and reports a fault. */
  Failed = 'failed',
  /** The VM does not answer. */
  Unreachable = 'unreachable',
  /** Not probed yet. */
  Unknown = 'unknown',
}

/** The configuration as the controller uses it. */
export interface ControllerConfig {
  readonly view: ConfigView;
  readonly history: ConfigHistory;
  /**
   * Puts committed versions in force on this process and passes them on. `view` is at the last of
   * them when the call returns; versions that are already in force are ignored.
   */
  adopt(deltas: readonly ConfigDelta[]): void;
}

/** What the zone controller is built from. */
export interface ControllerDeps {
  zone: string;
  /** Name and incarnation of this process. */
  holder: string;
  config: ControllerConfig;
  platform: PlatformClient;
  membership: Membership;
  clock: Clock;
  random: Random;
  logger: Logger;
  events: EventBus;
  settings: ControllerSettings;
  metrics: ControllerMetrics;
  /** Checkpoints the jobs of a VM and keeps new ones away; resolves to true when none is left. */
  vacate: (vm: string) => Promise<boolean>;
  /** Requests that this process has in flight on a VM. */
  inFlight: (vm: string) => number;
  /** Probes a VM now. */
  probe: (vm: string) => Promise<ProbeResult>;
  /** Result of the last regular probe of a VM. */
  lastProbe: (vm: string) => ProbeResult;
}

/** What the tasks of one term of the lease share. */
export interface ControllerContext extends ControllerDeps {
  lease: HeldLease;
  /** Zones whose controller has been silent for longer than `reportTtlMs`; a new set on a change. */
  silentZones: () => ReadonlySet<string>;
  /** The bare budgets at the view's version, counted once a version. Permits are not granted on it. */
  budgetAt: (view: ConfigView) => ReadonlyBudget;
  /** False until the reports of all zones are known; no permit is granted before. */
  mayGrant: () => boolean;
  /** Aborted when the lease is lost or the process shuts down. */
  signal: AbortSignal;
  /** Decisions that wait for a commit. */
  commits: CommitQueue;
}
