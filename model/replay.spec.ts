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

// Replays traces of the specification on the production configuration history and store. Guards
// against divergence between the code and the specification.

const LEASE_KEY = 'lease/zone/z';
const WALK_COUNT = 150;
const WALK_LENGTH = 14;
const SEED = 20_261_204;

type ModelState = typeof specification.initial;

interface PendingCommit {
  base: number;
  epoch: number;
  changeId: string;
  changes: EntityChange[];
}

interface Process {
  store: ConfigStore;
  history: TableConfigHistory;
  epoch: number;
  pending?: PendingCommit;
  /**
   * Once armed, the next transaction takes effect but its response is lost, and all later calls
   * fail until this is reset.
   */
  responseLoss: { isArmed: boolean; isActive: boolean };
}

const vmId = (vm: number) => `vm-${vm}`;

/** The production code in the role of the processes of the specification. */
class Implementation {
  readonly #clock: VirtualClock = createVirtualClock();
  readonly #platform = new FakePlatform(this.#clock);
  readonly processes: Process[];
  #changeCount = 0;
  #isPlatformUp = true;

  constructor(count: number) {
    this.processes = Array.from({ length: count }, () => this.#createProcess());
  }

  #createProcess(): Process {
    const responseLoss = { isArmed: false, isActive: false };
    const shared = { clock: this.#clock, random: createRandom(1), logger: silentLogger };
    const metrics = new Metrics();
    const table = this.#createLossyTable(responseLoss);
    return {
      store: createConfigStore({ events: createEventBus(), metrics, ...configurationDefaults }),
      history: createConfigHistory(table, { ...shared, metrics, ...configurationDefaults }),
      epoch: 0,
      responseLoss,
    };
  }

  #createLossyTable(responseLoss: Process['responseLoss']): Table {
    const { table } = this.#platform.client();
    const outcomeUnknown = () =>
      Result.err<never, PlatformError>(
        new PlatformError(PlatformErrorCode.OutcomeUnknown, 'response was lost'),
      );
    return {
      get: async (key) => (responseLoss.isActive ? outcomeUnknown() : table.get(key)),
      scan: async (prefix, limit, after) =>
        responseLoss.isActive ? outcomeUnknown() : table.scan(prefix, limit, after),
      transact: async (conditions, writes) => {
        if (responseLoss.isActive) return outcomeUnknown();
        const result = await table.transact(conditions, writes);
        if (!responseLoss.isArmed) return result;
        responseLoss.isActive = true;
        return outcomeUnknown();
      },
    };
  }

  /** Commits the initial inventory as version 1. */
  async start(vms: number): Promise<void> {
    const hardware = { zone: 'z', rack: 'r', pool: 'a', cores: 1, memoryMib: 1, accelerators: 0 };
    const changes = Array.from({ length: vms }, (_, vm): EntityChange => ({
      ...{ kind: EntityKind.Vm, id: vmId(vm), value: { id: vmId(vm), ...hardware } },
    }));
    const initialProcess = this.#createProcess();
    await initialProcess.history.commit(0, { changeId: 'start', author: 'test', changes });
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
        this.processes[step.process ?? 0] = this.#createProcess();
        return;
      case 'commit':
        await this.#commit(self);
        self.pending = undefined;
        return;
      case 'commitAnswerLost':
        self.responseLoss.isArmed = true;
        await this.#commit(self);
        self.responseLoss.isArmed = false;
        self.responseLoss.isActive = false;
        return;
      default:
        this.#changeCount += 1;
        self.pending = {
          base: self.store.view.version,
          epoch: self.epoch,
          changeId: `change-${this.#changeCount}`,
          changes: [entityChangeFor(step)],
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
    const commitPromise = history.commit(base, { changeId, author: 'test', changes }, [
      { key: LEASE_KEY, version: epoch },
    ]);
    // Retries wait on the virtual clock, so it is advanced until the commit settles.
    const progress = { isSettled: false };
    void commitPromise.finally(() => {
      progress.isSettled = true;
    });
    for (let i = 0; i < 100 && !progress.isSettled; i++) await this.#clock.advance(1_000);
    const result = await commitPromise;
    if (result.isOk) return;
    const expectedCodes = [
      ConfigErrorCode.Conflict,
      ConfigErrorCode.ConditionFailed,
      ConfigErrorCode.OutcomeUnknown,
    ];
    if (!expectedCodes.includes(result.error.code)) throw result.error;
  }

  /** State of the platform, in the format of the specification. */
  async platformState(vms: number): Promise<Pick<ModelState, 'version' | 'vms'>> {
    const loaded = await this.#createProcess().history.load();
    const snapshot: ConfigSnapshot = loaded.unwrapOrElse((err) => {
      throw err;
    });
    const { entities, version } = snapshot;
    const includesVm = (list: readonly { id: string }[], vm: number) =>
      list.some(({ id }) => id === vmId(vm));
    const assignments = entities[EntityKind.Assignment];
    return {
      version,
      vms: Array.from({ length: vms }, (_, vm) => ({
        pool: includesVm(assignments, vm) ? 'b' : 'a',
        stopped: includesVm(entities[EntityKind.Stop], vm),
        failed: includesVm(entities[EntityKind.VmStatus], vm),
      })),
    };
  }

  get isPlatformUp(): boolean {
    return this.#isPlatformUp;
  }
}

function entityChangeFor(step: Step): EntityChange {
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

/** The specification bounds versions and the code does not, so a replay ends at this version. */
const MAX_VERSION = 3;

async function replay(t: ExecutionContext, trace: readonly Step[]): Promise<void> {
  const implementation = new Implementation(specification.initial.processes.length);
  const vms = specification.initial.vms.length;
  await implementation.start(vms);
  let state = specification.initial;
  for (const [index, step] of trace.entries()) {
    if (step.type.startsWith('commit') && state.version >= MAX_VERSION) return;
    state = specification.next(state, step);
    await implementation.apply(step);
    const position = `after step ${index + 1} of ${trace.map(({ type }) => type).join(' ')}`;
    t.deepEqual(
      await implementation.platformState(vms),
      { version: state.version, vms: state.vms },
      `platform ${position}`,
    );
    t.deepEqual(
      implementation.processes.map(({ store }) => store.view.version),
      state.processes.map(({ version }) => version),
      `versions in force ${position}`,
    );
    t.is(implementation.isPlatformUp, state.isPlatformUp);
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

test(`the code matches the specification on ${WALK_COUNT} random traces (seed ${SEED})`, async (t) => {
  const random = createRandom(SEED);
  for (let walk = 0; walk < WALK_COUNT; walk++) await replay(t, randomWalk(random));
});

// These traces violate an invariant in a faulty variant. The code must follow the correct protocol.
const traces: { title: string; steps: Step[] }[] = [
  {
    title: 'a permit based on an outdated version is refused',
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
    title: 'a controller with a stale lease epoch writes nothing',
    steps: [
      { type: 'takeLease', process: 0 },
      { type: 'read', process: 0 },
      { type: 'decide:stop', process: 0, vm: 0 },
      { type: 'takeLease', process: 1 },
      { type: 'commit', process: 0 },
    ],
  },
  {
    title: 'a change whose response was lost is applied once',
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
