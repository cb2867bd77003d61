import type { Clock } from '../clock/index.js';
import { BaseError } from '../errors/index.js';
import type { EventBus } from '../events/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Random } from '../random/index.js';
import type { EntrySettings } from './defaults.js';

/** Settings and services shared by all components of an entry process. */
export interface EntryContext {
  settings: EntrySettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  events: EventBus;
}

/** Codes of {@link EntryError}. */
export enum EntryErrorCode {
  /** A listener could not be started, or a secret is missing or invalid. */
  StartFailed = 'start_failed',
}

/** Thrown when an entry process cannot be started. */
export class EntryError extends BaseError<EntryErrorCode> {}

/** TCP ports of the listeners of an entry process. */
export interface EntryPorts {
  callers: number;
  operators: number;
  peers: number;
}

/** A running entry process. */
export interface EntryProcess {
  readonly ports: EntryPorts;
  /** Rejects when a supervised child exceeds its restart limit. Never resolves. */
  readonly failed: Promise<never>;
  /** Shuts down gracefully: accepts no new work, completes requests in flight, releases leases. */
  stop(): Promise<void>;
}
