import { createHash } from 'node:crypto';
import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { isFields, isTextList, parseJson } from '../validation/index.js';
import type { Counters } from './counters.js';
import type { DecisionLog } from './decisionLog.js';
import { StoreError, StoreErrorCode, type Row, type RowStore } from './ports.js';
import { ASSIGNMENT_TABLE, assignmentKey } from './rows.js';
import type { BatchConfig, QueuePath } from './types.js';

/**
 * Time after which other nodes follow a configuration, in milliseconds. Until then, one with an earlier
 * configuration may record an assignment that this node has not read.
 */
const SETTLE_MS = 5_000;

/** Maximum transactions for recording an assignment: others may record one at the same time. */
const MAX_ATTEMPTS = 4;

interface Assignment {
  services: readonly string[];
  /** Version of the row. */
  version: number;
}

type Services = Result<readonly string[], StoreError>;

/** Dependencies of {@link QueueAssignments}. */
export interface QueueAssignmentsDeps {
  store: RowStore;
  clock: Clock;
  log: DecisionLog;
  counters: Counters;
  config: () => BatchConfig | undefined;
}

/**
 * Services that may have jobs of a queue: those to which it was assigned when a job was submitted to
 * it. Kept in the store, because a process knows only the configurations since its start.
 */
export class QueueAssignments {
  readonly #deps: QueueAssignmentsDeps;
  readonly #assignments = new Map<string, Assignment>();
  /** Keys of the rows by path, because each submission looks one up. */
  readonly #keys = new Map<string, string>();
  readonly #recordings = new Map<string, Promise<Services>>();
  /** Version of the configuration that was in force when the last read was requested. */
  #readVersion: number | undefined;
  /** Version of the configuration at the last {@link known}, and its monotonic time, in milliseconds. */
  #seen: { version: number; at: number; isSettled: boolean } | undefined;
  #reading: Promise<Result<undefined, StoreError>> | undefined;

  constructor(deps: QueueAssignmentsDeps) {
    this.#deps = deps;
  }

  /**
   * Records that a queue is assigned to a service, unless that is known already.
   *
   * @returns all services to which it was assigned, including this one
   */
  async record(path: QueuePath, service: string): Promise<Services> {
    const read = await this.#readOnce();
    if (read.isErr) return Result.err(read.error);
    const key = this.#keyOf(path);
    const services = this.#assignments.get(key)?.services;
    if (services?.includes(service)) return Result.ok(services);
    const recording = this.#recordings.get(key) ?? this.#write(key, path, service);
    this.#recordings.set(key, recording);
    const recorded = await recording;
    this.#recordings.delete(key);
    // The recording was for the service of another configuration.
    if (recorded.isOk && !recorded.value.includes(service)) return this.record(path, service);
    return recorded;
  }

  /** Reads the assignments for a new configuration, so that the next submission need not wait for it. */
  prefetch(): void {
    void this.#readOnce();
  }

  /**
   * Services to which a queue was assigned, as read under the configuration in force. Makes no call that
   * the caller has to wait for.
   *
   * @returns undefined if they have not been read yet; a read is then on its way
   */
  known(path: QueuePath): readonly string[] | undefined {
    const version = this.#deps.config()?.version;
    if (version === undefined) return undefined;
    this.#readAgainOnceSettled(version);
    if (this.#readVersion === version)
      return this.#assignments.get(this.#keyOf(path))?.services ?? [];
    if (!this.#reading) void this.#readOnce();
    return undefined;
  }

  #readAgainOnceSettled(version: number): void {
    const now = this.#deps.clock.now();
    if (this.#seen?.version !== version) this.#seen = { version, at: now, isSettled: false };
    if (this.#seen.isSettled || now - this.#seen.at < SETTLE_MS) return;
    this.#seen.isSettled = true;
    this.invalidate();
  }

  /** Key of the row of a queue; a path can be longer than a key may be. */
  #keyOf({ host, pathPrefix }: QueuePath): string {
    const path = `${host}\n${pathPrefix}`;
    const known = this.#keys.get(path);
    if (known !== undefined) return known;
    const key = createHash('sha256').update(path).digest('hex');
    this.#keys.set(path, key);
    return key;
  }

  /** Makes the next {@link record} read the assignments again. */
  invalidate(): void {
    this.#readVersion = undefined;
  }

  /**
   * Reads all assignments, once for each configuration. A queue may have been assigned to another
   * service in a configuration that this process has skipped.
   */
  async #readOnce(): Promise<Result<undefined, StoreError>> {
    while (this.#reading) await this.#reading;
    const version = this.#deps.config()?.version;
    if (version !== undefined && version === this.#readVersion) return Result.ok(undefined);
    this.#reading = this.#read(version);
    const res = await this.#reading;
    this.#reading = undefined;
    return res;
  }

  async #read(version: number | undefined): Promise<Result<undefined, StoreError>> {
    const res = await this.#deps.store.readPart(ASSIGNMENT_TABLE, '');
    if (res.isErr) return Result.err(res.error);
    for (const row of res.value.rows) this.#apply(row);
    this.#readVersion = version;
    return Result.ok(undefined);
  }

  async #write(key: string, { host, pathPrefix }: QueuePath, service: string): Promise<Services> {
    const { store, log } = this.#deps;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const { services: earlier = [], version = 0 } = this.#assignments.get(key) ?? {};
      if (earlier.includes(service)) return Result.ok(earlier);
      const services = [...earlier, service];
      const value = JSON.stringify({ host, pathPrefix, services });
      const res = await store.transact({
        conditions: [{ ...assignmentKey(key), version }],
        writes: [{ ...assignmentKey(key), value }],
        removes: [],
      });
      if (res.isErr) {
        // The row may have been written, so it has to be read again.
        this.invalidate();
        return Result.err(res.error);
      }
      if (res.value.isApplied) {
        this.#assignments.set(key, { services, version: res.value.version });
        const former = earlier.length > 0 ? earlier.join(',') : undefined;
        log.info('queue_assigned', { host, path: pathPrefix, service, former });
        return Result.ok(services);
      }
      for (const row of res.value.rows) this.#apply(row);
    }
    const message = `the assignment of ${pathPrefix} changed during ${MAX_ATTEMPTS} attempts`;
    return Result.err(new StoreError(StoreErrorCode.Refused, message));
  }

  #apply({ key, value, version }: Row): void {
    const known = this.#assignments.get(key);
    if (known && known.version >= version) return;
    const services = decodeServices(value);
    if (!services) {
      this.#deps.counters.count('bad_rows', ASSIGNMENT_TABLE);
      this.#deps.log.warn('assignment_row_unreadable', { key, version });
    }
    this.#assignments.set(key, { services: services ?? known?.services ?? [], version });
  }
}

function decodeServices(text: string): string[] | undefined {
  const fields = parseJson(text);
  return isFields(fields) && isTextList(fields.services) ? fields.services : undefined;
}
