import { Result } from 'true-myth';
import type { Clock, Timer } from '../clock/index.js';
import { EventName, type EventBus } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Logger } from '../logger/index.js';
import { PlatformErrorCode, type Condition, type Row, type Table } from '../platform/index.js';
import type { Random } from '../random/index.js';
import type { ControllerSettings } from './defaults.js';
import type { ControllerMetrics } from './metrics.js';
import { ControllerError, ControllerErrorCode, type HeldLease, type LeaseRow } from './types.js';

/** Number of regular renewals per lease duration. */
const RENEWALS_PER_TTL = 3;
/** Number of attempts per lease duration while renewals fail. */
const RETRIES_PER_TTL = 12;

/** Dependencies of a zone lease. */
export interface ZoneLeaseDeps {
  zone: string;
  /** Name and incarnation of this process; a restarted process counts as another holder. */
  holder: string;
  table: Table;
  clock: Clock;
  random: Random;
  logger: Logger;
  events: EventBus;
  settings: Pick<ControllerSettings, 'leaseTtlMs'>;
  metrics: Pick<ControllerMetrics, 'leaseTakeovers' | 'leaseLosses'>;
  /**
   * Work of the holder. It must run until its lifecycle is closed, which happens when the lease is
   * lost or released; the next term starts only after it has returned.
   */
  whileHeld: (lease: HeldLease, lifecycle: Lifecycle) => Promise<void>;
}

/** Key of the lease row of a zone. */
export function leaseKey(zone: string): string {
  return `lease/zone/${zone}`;
}

/**
 * Acquires the controller lease of a zone, holds it while it can be renewed, and acquires it again
 * after a loss. Releases the lease on shutdown.
 *
 * @returns when the lifecycle is closed
 * @throws the error that `whileHeld` throws, after the lease was released
 */
export async function runZoneLease(deps: ZoneLeaseDeps, lifecycle: Lifecycle): Promise<void> {
  while (!lifecycle.signal.aborted) {
    const lease = await acquire(deps, lifecycle.signal);
    if (lease) await holdLease(deps, lease, lifecycle);
  }
}

/** Waits until the lease is free or has expired, and acquires it. */
async function acquire(deps: ZoneLeaseDeps, signal: AbortSignal): Promise<Lease | undefined> {
  const { clock, settings, table } = deps;
  const intervalMs = settings.leaseTtlMs / RENEWALS_PER_TTL;
  let lastSeen: { version: number; at: number } | undefined;
  while (!signal.aborted) {
    const read = await table.get(leaseKey(deps.zone));
    if (read.isOk) {
      const row = read.value;
      const version = row?.version ?? 0;
      if (lastSeen?.version !== version) lastSeen = { version, at: clock.now() };
      const hasExpired = clock.now() - lastSeen.at >= settings.leaseTtlMs;
      if (hasExpired || isFree(row, deps.holder)) {
        const lease = await tryAcquire(deps, row);
        if (lease) return lease;
      }
    } else {
      // While the row cannot be read, a missing renewal does not show that the lease has expired.
      lastSeen = undefined;
    }
    await clock.sleep(intervalMs * (0.75 + deps.random.next() / 2), signal);
  }
  return undefined;
}

/**
 * Whether the lease can be acquired at once. A row that names this process was left by a term that
 * has ended, or by an acquisition whose response was lost.
 */
function isFree(row: Row | undefined, self: string): boolean {
  if (!row) return true;
  const { holder } = row.value as LeaseRow;
  return holder === '' || holder === self;
}

async function tryAcquire(deps: ZoneLeaseDeps, row: Row | undefined): Promise<Lease | undefined> {
  const startedAt = deps.clock.now();
  const key = leaseKey(deps.zone);
  const version = row?.version ?? 0;
  const epoch = ((row?.value as LeaseRow | undefined)?.epoch ?? 0) + 1;
  const value: LeaseRow = { holder: deps.holder, epoch, renewals: 0 };
  const acquired = await deps.table.transact([{ key, version }], [{ key, value }]);
  if (acquired.isErr) return undefined;
  return new Lease(deps, epoch, version + 1, startedAt);
}

async function holdLease(deps: ZoneLeaseDeps, lease: Lease, lifecycle: Lifecycle): Promise<void> {
  const { zone } = deps;
  if (lifecycle.isClosed) return lease.release();
  const term = lifecycle.child('term');
  deps.metrics.leaseTakeovers.inc({ zone });
  deps.logger.info({ event: 'lease_acquired', zone, epoch: lease.epoch });
  emitLeaseChanged(deps, lease.epoch, true);
  const work = deps.whileHeld(lease, term);
  // A failure is rethrown below, after the lease was released.
  work.catch(() => {
    lease.markLost();
  });
  await lease.renewUntilLost(lifecycle.signal);
  if (!lifecycle.signal.aborted) deps.metrics.leaseLosses.inc({ zone });
  emitLeaseChanged(deps, lease.epoch, false);
  try {
    await Promise.all([term.close(), work]);
  } finally {
    await lease.release();
    deps.logger.info({ event: 'lease_ended', zone, epoch: lease.epoch });
  }
}

function emitLeaseChanged({ events, zone }: ZoneLeaseDeps, epoch: number, held: boolean): void {
  void events.emit(EventName.LeaseChanged, { zone, epoch, held });
}

/** One term of the lease. */
class Lease implements HeldLease {
  readonly zone: string;
  readonly holder: string;
  readonly epoch: number;
  readonly #deps: ZoneLeaseDeps;
  readonly #key: string;
  readonly #lost = new AbortController();
  readonly #untilLost: Promise<false>;
  #version: number;
  #renewals = 0;
  #expiresAt: number;
  #expiry: Timer | undefined;
  /** Writes in progress, which a renewal waits for. */
  #writes = 0;
  #onIdle: (() => void) | undefined;
  /** Renewal in progress, which writes wait for. */
  #renewal: Promise<void> | undefined;

  constructor(deps: ZoneLeaseDeps, epoch: number, version: number, acquisitionStartedAt: number) {
    this.#deps = deps;
    this.zone = deps.zone;
    this.holder = deps.holder;
    this.epoch = epoch;
    this.#key = leaseKey(deps.zone);
    this.#version = version;
    this.#expiresAt = acquisitionStartedAt + deps.settings.leaseTtlMs;
    this.#untilLost = new Promise((resolve) => {
      const onLost = () => {
        resolve(false);
      };
      this.#lost.signal.addEventListener('abort', onLost, { once: true });
    });
    this.#scheduleExpiry();
  }

  get isHeld(): boolean {
    // The clock is authoritative, since the expiry timer of a paused process fires late.
    return !this.#lost.signal.aborted && this.#deps.clock.now() < this.#expiresAt;
  }

  get condition(): Condition | undefined {
    return this.isHeld ? { key: this.#key, version: this.#version } : undefined;
  }

  async write<T>(run: (condition: Condition) => Promise<T>): Promise<Result<T, ControllerError>> {
    while (this.#renewal && this.isHeld) await Promise.race([this.#renewal, this.#untilLost]);
    if (!this.isHeld) return Result.err(this.#lostError());
    this.#writes += 1;
    try {
      return Result.ok(await run({ key: this.#key, version: this.#version }));
    } finally {
      this.#writes -= 1;
      if (this.#writes === 0) this.#onIdle?.();
    }
  }

  async refresh(): Promise<void> {
    await this.#refresh();
  }

  markLost(): void {
    this.#expiry?.cancel();
    this.#lost.abort();
  }

  /** Renews the lease periodically until it is lost or the signal is aborted. */
  async renewUntilLost(signal: AbortSignal): Promise<void> {
    const { clock, settings } = this.#deps;
    const endSignal = AbortSignal.any([signal, this.#lost.signal]);
    const renewalIntervalMs = settings.leaseTtlMs / RENEWALS_PER_TTL;
    let delayMs = renewalIntervalMs;
    while (await clock.sleep(delayMs, endSignal)) {
      if (!this.isHeld) break;
      // A renewal that hangs must not delay the end of the term.
      const renewed = await Promise.race([this.#renewExclusively(), this.#untilLost]);
      delayMs = renewed ? renewalIntervalMs : settings.leaseTtlMs / RETRIES_PER_TTL;
    }
    this.#expiry?.cancel();
    if (!signal.aborted) this.markLost();
  }

  /** Releases the lease, unless another process has acquired it. The epoch stays in the row. */
  async release(): Promise<void> {
    this.#expiry?.cancel();
    const value: LeaseRow = { holder: '', epoch: this.epoch, renewals: this.#renewals };
    const condition = { key: this.#key, version: this.#version };
    this.#lost.abort();
    await this.#deps.table.transact([condition], [{ key: this.#key, value }]);
  }

  async #renewExclusively(): Promise<boolean> {
    let finishRenewal: () => void = () => undefined;
    this.#renewal = new Promise((resolve) => {
      finishRenewal = resolve;
    });
    try {
      await this.#waitForWrites();
      return await this.#renew();
    } finally {
      this.#renewal = undefined;
      finishRenewal();
    }
  }

  /**
   * Waits for the writes in progress, for at most half a renewal interval. The condition of a write
   * that takes longer fails, and its decision is evaluated again.
   */
  #waitForWrites(): Promise<void> {
    if (this.#writes === 0) return Promise.resolve();
    const writeTimeoutMs = this.#deps.settings.leaseTtlMs / RENEWALS_PER_TTL / 2;
    return new Promise((resolve) => {
      const timer = this.#deps.clock.setTimer(writeTimeoutMs, resolve);
      this.#onIdle = () => {
        timer.cancel();
        resolve();
      };
    });
  }

  async #renew(): Promise<boolean> {
    const startedAt = this.#deps.clock.now();
    const renewals = this.#renewals + 1;
    const value: LeaseRow = { holder: this.holder, epoch: this.epoch, renewals };
    const condition = { key: this.#key, version: this.#version };
    const renewed = await this.#deps.table.transact([condition], [{ key: this.#key, value }]);
    if (renewed.isOk) {
      this.#version += 1;
      this.#renewals = renewals;
      this.#extend(startedAt);
      return true;
    }
    const { code } = renewed.error;
    if (code !== PlatformErrorCode.OutcomeUnknown && code !== PlatformErrorCode.ConditionFailed) {
      return false;
    }
    await this.#refresh();
    if (this.#renewals < renewals) return false;
    this.#extend(startedAt);
    return true;
  }

  /** Reads the row; adopts it if it still belongs to this term, and ends the term if not. */
  async #refresh(): Promise<void> {
    const read = await this.#deps.table.get(this.#key);
    if (read.isErr) return;
    const row = read.value?.value as LeaseRow | undefined;
    if (row?.holder !== this.holder || row.epoch !== this.epoch) {
      this.markLost();
      return;
    }
    this.#version = read.value?.version ?? 0;
    this.#renewals = row.renewals;
  }

  /**
   * Extends the lease from the start of a renewal. This is safe because other processes measure the
   * duration from when they see the renewal, which is later.
   */
  #extend(renewalStartedAt: number): void {
    this.#expiresAt = renewalStartedAt + this.#deps.settings.leaseTtlMs;
    this.#scheduleExpiry();
  }

  #scheduleExpiry(): void {
    this.#expiry?.cancel();
    if (this.#lost.signal.aborted) return;
    const remainingMs = Math.max(0, this.#expiresAt - this.#deps.clock.now());
    this.#expiry = this.#deps.clock.setTimer(remainingMs, () => {
      this.markLost();
    });
  }

  #lostError(): ControllerError {
    return new ControllerError(
      ControllerErrorCode.LeaseLost,
      `lease of zone ${this.zone} with epoch ${this.epoch} is no longer held`,
    );
  }
}
