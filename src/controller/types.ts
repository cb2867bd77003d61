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
  /** Increases by one with each acquisition; never reused. */
  epoch: number;
  renewals: number;
}

/** Codes of {@link ControllerError}. */
export enum ControllerErrorCode {
  /** The lease is no longer held; nothing more is written under its epoch. */
  LeaseLost = 'lease_lost',
  /** The controller is shutting down. */
  Closed = 'closed',
  /** The configuration rejected the change as invalid. */
  Invalid = 'invalid',
}

/** An operation of the zone controller failed. */
export class ControllerError extends BaseError<ControllerErrorCode> {}

/** The zone controller lease while this process holds it. */
export interface HeldLease {
  readonly zone: string;
  readonly holder: string;
  readonly epoch: number;
  /** False from the moment at which another process may have acquired the lease. */
  readonly isHeld: boolean;
  /**
   * Transaction condition on the last known version of the lease row; undefined when the lease is
   * not held. A renewal in progress may invalidate it, so read it again after a failed write.
   */
  readonly condition: Condition | undefined;
  /**
   * Runs a write whose transaction must include the given condition. Writes and renewals do not
   * overlap, so that a renewal does not invalidate the condition.
   */
  write<T>(run: (condition: Condition) => Promise<T>): Promise<Result<T, ControllerError>>;
  /** Reads the lease row again after a transaction failed on the condition. */
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

/** Access of the controller to the configuration. */
export interface ControllerConfig {
  readonly view: ConfigView;
  readonly history: ConfigHistory;
  /**
   * Applies committed versions in this process and propagates them to other processes. `view` is at
   * the last of them when the call returns; versions that are already applied are ignored.
   */
  adopt(deltas: readonly ConfigDelta[]): void;
}

/** Dependencies of the zone controller. */
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
  /** Checkpoints the jobs on a VM and prevents new ones; resolves to true when none is left. */
  vacate: (vm: string) => Promise<boolean>;
  /** Number of requests that this process has in flight on a VM. */
  inFlight: (vm: string) => number;
  /** Probes a VM immediately. */
  probe: (vm: string) => Promise<ProbeResult>;
  /** Result of the last regular probe of a VM. */
  lastProbe: (vm: string) => ProbeResult;
}

/** State shared by the tasks of one lease term. */
export interface ControllerContext extends ControllerDeps {
  lease: HeldLease;
  /**
   * Zones whose controller has not renewed its lease for longer than `reportTtlMs`; replaced by a
   * new set on each change.
   */
  silentZones: () => ReadonlySet<string>;
  /**
   * Budgets at the view's version, without a reserve and cached per version. The result is shared,
   * so no permits are granted on it.
   */
  budgetAt: (view: ConfigView) => ReadonlyBudget;
  /** False until each zone is known to be active or silent; no permit is granted before. */
  mayGrant: () => boolean;
  /** Aborted when the lease is lost or the process shuts down. */
  signal: AbortSignal;
  /** Decisions that wait to be committed. */
  commits: CommitQueue;
}
