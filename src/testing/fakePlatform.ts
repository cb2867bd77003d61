import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import {
  DrainState,
  ListedVmState,
  PlatformError,
  PlatformErrorCode,
  type Condition,
  type DrainStatus,
  type ListedVm,
  type PlatformClient,
  type PlatformResult,
  type Row,
  type RowPage,
  type RowValue,
  type TaskStatus,
  type Write,
} from '../platform/index.js';
import { FakeWorkers } from './fakeWorkers.js';

/** Faults of a client of {@link FakePlatform}; may be changed while it is in use. */
export interface PlatformFaults {
  /** Every call fails as unreachable and has no effect. */
  down: boolean;
  /** Number of next calls that take effect but whose answers are lost. */
  loseAnswers: number;
  /** Delay in milliseconds before each call takes effect, on the platform's clock. */
  delayMs: number;
}

/** In-memory platform. Its state is shared by all clients, each of which represents a process. */
export class FakePlatform {
  readonly rows = new Map<string, Row>();
  readonly objects = new Map<string, Uint8Array>();
  readonly vms = new Map<string, ListedVm & { zone: string }>();
  readonly drains = new Map<string, DrainStatus>();
  readonly reboots: string[] = [];
  reads = 0;
  writes = 0;
  readonly workers: FakeWorkers;
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.workers = new FakeWorkers(clock, this.objects);
  }

  /** Tasks by VM. */
  get tasks(): Map<string, TaskStatus[]> {
    return this.workers.tasks;
  }

  /** Creates the client of one process, with its own faults. */
  client(faults: PlatformFaults = { down: false, loseAnswers: 0, delayMs: 0 }): PlatformClient & {
    faults: PlatformFaults;
  } {
    const call = async <T>(effect: () => Result<T, PlatformError>): PlatformResult<T> => {
      if (faults.delayMs > 0) await this.#clock.sleep(faults.delayMs);
      else await Promise.resolve();
      if (faults.down) {
        return Result.err(new PlatformError(PlatformErrorCode.Unreachable, 'the platform is down'));
      }
      const result = effect();
      if (faults.loseAnswers > 0) {
        faults.loseAnswers -= 1;
        return Result.err(
          new PlatformError(PlatformErrorCode.OutcomeUnknown, 'the answer was lost'),
        );
      }
      return result;
    };
    const done = (effect: () => void) =>
      call((): Result<void, PlatformError> => {
        effect();
        return Result.ok(undefined);
      });
    return {
      faults,
      table: {
        get: (key) =>
          call(() => {
            this.reads += 1;
            return Result.ok(structuredClone(this.rows.get(key)));
          }),
        scan: (prefix, limit, after) => call(() => Result.ok(this.#scan(prefix, limit, after))),
        transact: (conditions, writes) => call(() => this.#transact(conditions, writes)),
      },
      objects: {
        put: (key, body) =>
          done(() => {
            this.writes += 1;
            this.objects.set(key, body);
          }),
        get: (key) => call(() => Result.ok(this.objects.get(key))),
      },
      vmList: {
        list: (zone) =>
          call(() =>
            Result.ok(
              [...this.vms.values()]
                .filter((vm) => vm.zone === zone)
                .map(({ id, state }) => ({ id, state })),
            ),
          ),
      },
      pools: {
        drain: (vm) =>
          done(() => {
            const active = this.drains.get(vm)?.active ?? 0;
            const state = active > 0 ? DrainState.Draining : DrainState.Drained;
            this.drains.set(vm, { state, active });
          }),
        cancelDrain: (vm) => done(() => this.drains.delete(vm)),
        drainStatus: (vm) =>
          call(() => Result.ok(this.drains.get(vm) ?? { state: DrainState.InService, active: 0 })),
        reboot: (vm) =>
          done(() => {
            this.reboots.push(vm);
            this.drains.delete(vm);
          }),
      },
      workers: {
        start: (vm, task) => call(() => this.workers.start(vm, task)),
        renew: (vm, taskId, epoch, leaseMs) =>
          call(() => this.workers.renew(vm, taskId, epoch, leaseMs)),
        checkpoint: (vm, taskId) => call(() => this.workers.checkpoint(vm, taskId)),
        throttle: (vm, taskId, share) => call(() => this.workers.throttle(vm, taskId, share)),
        stop: (vm, taskId) => call(() => this.workers.stop(vm, taskId)),
        report: (vm) => call(() => this.workers.report(vm)),
      },
    };
  }

  /** Adds VMs to the VM list of a zone as live. */
  addLiveVms(zone: string, ids: readonly string[]): void {
    for (const id of ids) this.vms.set(id, { id, zone, state: ListedVmState.Live });
  }

  #scan(prefix: string, limit: number, after?: string): RowPage {
    this.reads += 1;
    const keys = [...this.rows.keys()]
      .filter((key) => key.startsWith(prefix) && (after === undefined || key > after))
      .sort();
    const page = keys.slice(0, limit);
    const rows = page.flatMap((key) => structuredClone(this.rows.get(key) ?? []));
    return { rows, next: keys.length > limit ? page.at(-1) : undefined };
  }

  #transact(conditions: Condition[], writes: Write[]): Result<void, PlatformError> {
    this.writes += 1;
    for (const { key, version } of conditions) {
      const found = this.rows.get(key)?.version ?? 0;
      if (found === version) continue;
      const message = `row ${key} has version ${found}, expected ${version}`;
      return Result.err(
        new PlatformError(PlatformErrorCode.ConditionFailed, message, undefined, key),
      );
    }
    for (const { key, value } of writes) this.#write(key, value);
    return Result.ok(undefined);
  }

  #write(key: string, value: RowValue): void {
    if (value === undefined) {
      this.rows.delete(key);
      return;
    }
    const version = (this.rows.get(key)?.version ?? 0) + 1;
    this.rows.set(key, { key, version, value: structuredClone(value) });
  }
}
