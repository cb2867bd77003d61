import test, { type ExecutionContext } from 'ava';
import {
  AdoptionSource,
  ConfigErrorCode,
  configurationDefaults,
  createConfigHistory,
  createConfigStore,
  EntityKind,
  StopState,
  VmState,
  type ConfigSnapshot,
  type ConfigStore,
  type EntityChange,
  type TableConfigHistory,
} from '../src/configuration/index.js';
import { createEventBus } from '../src/events/index.js';
import { silentLogger } from '../src/logger/index.js';
import { Metrics } from '../src/metrics/index.js';
import { PlatformError, PlatformErrorCode, type Table } from '../src/platform/index.js';
import { createRandom, type Random } from '../src/random/index.js';
import { createVirtualClock, FakePlatform, type VirtualClock } from '../src/testing/index.js';
import { Result } from 'true-myth';
import { configurationSpecification as specification } from './index.js';
import type { Step } from './types.js';

// Replays traces of the specification against the real history and store. Guards against code and
// specification that drift apart.

const LEASE_KEY = 'lease/zone/z';
const WALKS = 150;
const WALK_LENGTH = 14;
const SEED = 20_261_204;

type ModelState = typeof specification.initial;

interface Pending {
  base: number;
  epoch: number;
  changeId: string;
  changes: EntityChange[];
}

interface Process {
  store: ConfigStore;
  history: TableConfigHistory;
  epoch: number;
  pending?: Pending;
  /** The next transaction takes effect, and all later calls fail until this is reset. */
  loseAnswer: { armed: boolean; isCut: boolean };
}

const vmId = (vm: number) => `vm-${vm}`;

/** The real code in the place of the specification's processes. */
class Replay {
  readonly #clock: VirtualClock = createVirtualClock();
  readonly #platform = new FakePlatform(this.#clock);
  readonly processes: Process[];
  #changeIds = 0;
  #isPlatformUp = true;

  constructor(count: number) {
    this.processes = Array.from({ length: count }, () => this.#newProcess());
  }

  #newProcess(): Process {
    const loseAnswer = { armed: false, isCut: false };
    const shared = { clock: this.#clock, random: createRandom(1), logger: silentLogger };
    const metrics = new Metrics();
    const table = this.#table(loseAnswer);
    return {
      store: createConfigStore({ events: createEventBus(), metrics, ...configurationDefaults }),
      history: createConfigHistory(table, { ...shared, metrics, ...configurationDefaults }),
      epoch: 0,
      loseAnswer,
    };
  }

  #table(loseAnswer: Process['loseAnswer']): Table {
    const { table } = this.#platform.client();
    const lost = () =>
      Result.err<never, PlatformError>(
        new PlatformError(PlatformErrorCode.OutcomeUnknown, 'answer was lost'),
      );
    return {
      get: async (key) => (loseAnswer.isCut ? lost() : table.get(key)),
      scan: async (prefix, limit, after) =>
        loseAnswer.isCut ? lost() : table.scan(prefix, limit, after),
      transact: async (conditions, writes) => {
        if (loseAnswer.isCut) return lost();
        const result = await table.transact(conditions, writes);
        if (!loseAnswer.armed) return result;
        loseAnswer.isCut = true;
        return lost();
      },
    };
  }

  /** Commits the initial inventory as version 1. */
  async start(vms: number): Promise<void> {
    const hardware = { zone: 'z', rack: 'r', pool: 'a', cores: 1, memoryMib: 1, accelerators: 0 };
    const changes = Array.from({ length: vms }, (_, vm): EntityChange => ({
      ...{ kind: EntityKind.Vm, id: vmId(vm), value: { id: vmId(vm), ...hardware } },
    }));
    const first = this.#newProcess();
    await first.history.commit(0, { changeId: 'start', author: 'test', changes });
  }

  async apply(step: Step): Promise<void> {
    const self = this.processes[step.process ?? 0];
    if (!self) return;
    switch (step.type) {
      case 'platformDown':
      case 'platformUp':
        this.#isPlatformUp = step.type === 'platformUp';
        return;
      case 'takeLease':
        await this.#takeLease(self);
        return;
      case 'read':
        await this.#read(self);
        return;
      case 'adoptFromPeer': {
        const peer = this.processes[step.peer ?? 0];
        if (peer) self.store.adoptSnapshot(peer.store.snapshot(), AdoptionSource.Peer);
        return;
      }
      case 'restart':
        this.processes[step.process ?? 0] = this.#newProcess();
        return;
      case 'commit':
        await this.#commit(self);
        self.pending = undefined;
        return;
      case 'commitAnswerLost':
        self.loseAnswer.armed = true;
        await this.#commit(self);
        self.loseAnswer.armed = false;
        self.loseAnswer.isCut = false;
        return;
      default:
        this.#changeIds += 1;
        self.pending = {
          base: self.store.view.version,
          epoch: self.epoch,
          changeId: `change-${this.#changeIds}`,
          changes: [decided(step)],
        };
    }
  }

  async #takeLease(self: Process): Promise<void> {
    const { table } = this.#platform.client();
    const row = (await table.get(LEASE_KEY)).unwrapOr(undefined);
    const version = row?.version ?? 0;
    await table.transact([{ key: LEASE_KEY, version }], [{ key: LEASE_KEY, value: {} }]);
    self.epoch = version + 1;
  }

  async #read(self: Process): Promise<void> {
    const loaded = await self.history.load();
    if (loaded.isOk) self.store.adoptSnapshot(loaded.value, AdoptionSource.Platform);
  }

  async #commit({ history, pending }: Process): Promise<void> {
    if (!pending) return;
    const { base, changeId, changes, epoch } = pending;
    const done = history.commit(base, { changeId, author: 'test', changes }, [
      { key: LEASE_KEY, version: epoch },
    ]);
    // Retries wait on the virtual clock.
    const waiting = { isOver: false };
    void done.finally(() => {
      waiting.isOver = true;
    });
    for (let i = 0; i < 100 && !waiting.isOver; i++) await this.#clock.advance(1_000);
    const result = await done;
    if (result.isOk) return;
    const allowed = [
      ConfigErrorCode.Conflict,
      ConfigErrorCode.ConditionFailed,
      ConfigErrorCode.OutcomeUnknown,
    ];
    if (!allowed.includes(result.error.code)) throw result.error;
  }

  /** State of the platform in the terms of the specification. */
  async platformState(vms: number): Promise<Pick<ModelState, 'version' | 'vms'>> {
    const loaded = await this.#newProcess().history.load();
    const snapshot: ConfigSnapshot = loaded.unwrapOrElse((err) => {
      throw err;
    });
    const { entities, version } = snapshot;
    const has = (list: readonly { id: string }[], vm: number) =>
      list.some(({ id }) => id === vmId(vm));
    const moved = entities[EntityKind.Assignment];
    return {
      version,
      vms: Array.from({ length: vms }, (_, vm) => ({
        pool: has(moved, vm) ? 'b' : 'a',
        stopped: has(entities[EntityKind.Stop], vm),
        failed: has(entities[EntityKind.VmStatus], vm),
      })),
    };
  }

  get isPlatformUp(): boolean {
    return this.#isPlatformUp;
  }
}

function decided(step: Step): EntityChange {
  const id = vmId(step.vm ?? 0);
  switch (step.type) {
    case 'decide:stop':
      return { kind: EntityKind.Stop, id, value: { id, wave: 'w', state: StopState.Granted } };
    case 'decide:return':
      return { kind: EntityKind.Stop, id };
    case 'decide:fail':
      return { kind: EntityKind.VmStatus, id, value: { id, state: VmState.Failed } };
    default:
      return { kind: EntityKind.Assignment, id, value: { id, pool: 'b' } };
  }
}

/** The specification bounds versions; the code does not. */
const MAX_VERSION = 3;

async function replay(t: ExecutionContext, trace: readonly Step[]): Promise<void> {
  const real = new Replay(specification.initial.processes.length);
  const vms = specification.initial.vms.length;
  await real.start(vms);
  let state = specification.initial;
  for (const [index, step] of trace.entries()) {
    if (step.type.startsWith('commit') && state.version >= MAX_VERSION) return;
    state = specification.next(state, step);
    await real.apply(step);
    const at = `after step ${index + 1} of ${trace.map(({ type }) => type).join(' ')}`;
    t.deepEqual(
      await real.platformState(vms),
      { version: state.version, vms: state.vms },
      `platform ${at}`,
    );
    t.deepEqual(
      real.processes.map(({ store }) => store.view.version),
      state.processes.map(({ version }) => version),
      `versions in force ${at}`,
    );
    t.is(real.isPlatformUp, state.isPlatformUp);
  }
}

function randomWalk(random: Random): Step[] {
  const trace: Step[] = [];
  let state = specification.initial;
  while (trace.length < WALK_LENGTH) {
    const step = random.pick(specification.steps(state));
    trace.push(step);
    state = specification.next(state, step);
  }
  return trace;
}

test(`${WALKS} random traces give the same states in the code (seed ${SEED})`, async (t) => {
  const random = createRandom(SEED);
  for (let walk = 0; walk < WALKS; walk++) await replay(t, randomWalk(random));
});

// These traces break an invariant under a wrong variant; the code has to follow the right protocol.
const traces: { title: string; steps: Step[] }[] = [
  {
    title: 'a permit counted against an outdated version is refused',
    steps: [
      { type: 'takeLease', process: 0 },
      { type: 'read', process: 0 },
      { type: 'decide:stop', process: 0, vm: 0 },
      { type: 'commit', process: 0 },
      { type: 'decide:stop', process: 0, vm: 0 },
      { type: 'commit', process: 0 },
    ],
  },
  {
    title: 'a holder whose lease lapsed writes nothing',
    steps: [
      { type: 'takeLease', process: 0 },
      { type: 'read', process: 0 },
      { type: 'decide:stop', process: 0, vm: 0 },
      { type: 'takeLease', process: 1 },
      { type: 'commit', process: 0 },
    ],
  },
  {
    title: 'a change whose answer was lost is applied once',
    steps: [
      { type: 'takeLease', process: 0 },
      { type: 'read', process: 0 },
      { type: 'decide:stop', process: 0, vm: 0 },
      { type: 'commitAnswerLost', process: 0 },
      { type: 'commit', process: 0 },
    ],
  },
];

for (const { title, steps } of traces) test(title, (t) => replay(t, steps));
