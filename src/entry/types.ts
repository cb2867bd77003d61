import type { Clock } from '../clock/index.js';
import { BaseError } from '../errors/index.js';
import type { EventBus } from '../events/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Random } from '../random/index.js';
import type { EntrySettings } from './defaults.js';

/** What all parts of an entry process share. */
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
  /** A listener or secret could not be set up. */
  StartFailed = 'start_failed',
}

/** An entry process could not be started. */
export class EntryError extends BaseError<EntryErrorCode> {}

/** Ports that an entry process listens on. */
export interface EntryPorts {
  callers: number;
  operators: number;
  peers: number;
}

/** A running entry process. */
export interface EntryProcess {
  readonly ports: EntryPorts;
  /** Rejects when a child keeps failing. Never resolves. */
  readonly failed: Promise<never>;
  /** Graceful shutdown: takes no new work, finishes what is in flight, releases leases. */
  stop(): Promise<void>;
}
