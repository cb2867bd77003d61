import test from 'ava';
import fc from 'fast-check';
import { EventName, createEventBus } from '../events/index.js';
import { Metrics } from '../metrics/index.js';
import { sampleFleet } from '../testing/sampleFleet.js';
import {
  AdoptionResult,
  AdoptionSource,
  EntityKind,
  configurationDefaults,
  createConfigStore,
  type ConfigDelta,
  type ConfigStore,
  type ConfigurationSettings,
} from './index.js';

/** Seed of the generated cases. */
const SEED = 20_261_204;

function createStore(limits: Partial<ConfigurationSettings> = {}): ConfigStore {
  const settings = { ...configurationDefaults, ...limits };
  return createConfigStore({ events: createEventBus(), metrics: new Metrics(), ...settings });
}

function delta(version: number, pool = 'p1'): ConfigDelta {
  const value = { id: 'p0-v0', pool };
  const changes = [{ kind: EntityKind.Assignment as const, id: 'p0-v0', value }];
  return { changeId: `c${version}`, author: 'a', version, changes };
}

const offers = fc.array(
  fc.record({ isSnapshot: fc.boolean(), version: fc.integer({ min: 0, max: 12 }) }),
  { minLength: 1, maxLength: 60 },
);

/** Whether versions in force never decrease, and increase by one unless a snapshot is adopted. */
function versionsAreMonotonic(create: () => ConfigStore): boolean {
  const property = fc.property(offers, (sequence) => {
    const store = create();
    return sequence.every(({ isSnapshot, version }) => {
      const before = store.view.version;
      if (isSnapshot) store.adoptSnapshot({ ...sampleFleet(), version }, AdoptionSource.Peer);
      else store.adoptDelta(delta(version), AdoptionSource.Peer);
      const step = store.view.version - before;
      return isSnapshot ? step >= 0 : step === 0 || step === 1;
    });
  });
  return !fc.check(property, { seed: SEED, numRuns: 300 }).failed;
}

// Guards against a process that reverts to an earlier configuration.
test(`versions in force never decrease (seed ${SEED})`, (t) => {
  t.true(versionsAreMonotonic(() => createStore()));
});

test('the property fails for a store that adopts any snapshot', (t) => {
  const createResettingStore = () => {
    const store = createStore();
    let current = store;
    const broken: ConfigStore = Object.create(store, {
      view: { get: () => current.view },
      adoptSnapshot: {
        value: (...args: Parameters<ConfigStore['adoptSnapshot']>) => {
          current = createStore();
          return current.adoptSnapshot(...args);
        },
      },
    }) as ConfigStore;
    return broken;
  };
  t.false(versionsAreMonotonic(createResettingStore));
});

test('the property fails for a store that skips missing versions', (t) => {
  const createSkippingStore = () => {
    const store = createStore();
    const adoptDelta: ConfigStore['adoptDelta'] = (offered, source) =>
      store.adoptSnapshot({ ...store.snapshot(), version: offered.version }, source);
    return Object.create(store, { adoptDelta: { value: adoptDelta } }) as ConfigStore;
  };
  t.false(versionsAreMonotonic(createSkippingStore));
});

// Guards against requests that are sent to a VM as a member of its previous pool.
test('the indexes by pool and zone are updated by moves and deletions', (t) => {
  const store = createStore();
  store.adoptSnapshot({ ...sampleFleet(), version: 1 }, AdoptionSource.Platform);
  t.is(store.view.vmsOfPool('p0').length, 6);
  store.adoptDelta(delta(2), AdoptionSource.Local);
  t.is(store.view.poolOf('p0-v0'), 'p1');
  t.is(store.view.vmsOfPool('p0').length, 5);
  t.is(store.view.vmsOfPool('p1').length, 7);
  t.is(store.view.vmsOfZone('z0').length, 4);
  const changes = [{ kind: EntityKind.Vm as const, id: 'p0-v0' }];
  store.adoptDelta({ changeId: 'd', author: 'a', version: 3, changes }, AdoptionSource.Local);
  t.is(store.view.vmsOfPool('p1').length, 6);
  t.is(store.view.vmsOfZone('z0').length, 3);
  t.is(store.view.get(EntityKind.Assignment, 'p0-v0'), undefined);
});

test('adopting a version emits the event for the version in force', async (t) => {
  const events = createEventBus();
  const store = createConfigStore({ events, metrics: new Metrics(), ...configurationDefaults });
  const announced = events.once(EventName.ConfigInForce);
  t.is(store.adoptDelta(delta(1), AdoptionSource.Local), AdoptionResult.Adopted);
  t.deepEqual(await announced, { version: 1 });
});

// Guards against unbounded memory on a process that never restarts.
test('recent deltas are bounded by their number and by their changes', (t) => {
  for (const limits of [
    { maxRecentDeltas: 5, maxRecentChanges: 1_000 },
    { maxRecentDeltas: 1_000, maxRecentChanges: 5 },
  ]) {
    const store = createStore(limits);
    for (let version = 1; version <= 20; version++) {
      store.adoptDelta(delta(version), AdoptionSource.Peer);
    }
    t.is(store.deltasAfter(14, 100), undefined);
    const kept = store.deltasAfter(15, 100) ?? [];
    t.deepEqual(
      kept.map(({ version }) => version),
      [16, 17, 18, 19, 20],
    );
    t.deepEqual(store.deltasAfter(20, 100), []);
  }
});
