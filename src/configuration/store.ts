import { EventName, type EventBus } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import { EntityState, type IndexedConfigView } from './entities.js';
import type { ConfigDelta, ConfigSnapshot } from './types.js';

/** Origin of an adopted version. */
export enum AdoptionSource {
  /** Committed by this process. */
  Local = 'local',
  Peer = 'peer',
  Platform = 'platform',
}

/** Result of offering a version to the store. */
export enum AdoptionResult {
  Adopted = 'adopted',
  /** The same or a later version is already in force. */
  Stale = 'stale',
  /** Versions between the version in force and the offered version are missing. */
  Gap = 'gap',
}

/** Called after versions have been adopted; `deltas` is empty if a snapshot was adopted. */
export type AdoptionListener = (deltas: readonly ConfigDelta[], source: AdoptionSource) => void;

/** The configuration in force on this process. */
export interface ConfigStore {
  /** Live view; reads within one synchronous block see a single version. */
  readonly view: IndexedConfigView;
  /** Whether a configuration has been adopted, including the empty one of a new platform. */
  readonly isReady: boolean;
  /** Adopts a delta if it is the next version. */
  adoptDelta(delta: ConfigDelta, source: AdoptionSource): AdoptionResult;
  /** Adopts deltas in order and notifies listeners once. Returns the result for the last delta. */
  adoptDeltas(deltas: readonly ConfigDelta[], source: AdoptionSource): AdoptionResult;
  /** Adopts a snapshot of a later version, or any snapshot if nothing has been adopted yet. */
  adoptSnapshot(snapshot: ConfigSnapshot, source: AdoptionSource): AdoptionResult;
  /** Returns the configuration in force; its entities are shared and must not be modified. */
  snapshot(): ConfigSnapshot;
  /**
   * Returns at most `limit` recent deltas that follow a version, in order; undefined if the store
   * does not have them all.
   */
  deltasAfter(version: number, limit: number): readonly ConfigDelta[] | undefined;
  /** Registers a listener for adopted versions and returns a function that removes it. */
  onAdopted(listener: AdoptionListener): () => void;
}

/** Options of {@link createConfigStore}. */
export interface ConfigStoreOptions {
  events: EventBus;
  metrics: Metrics;
  /** Maximum number of recent deltas kept for peers that are behind. */
  maxRecentDeltas: number;
  /** Maximum number of changes in all kept deltas together. */
  maxRecentChanges: number;
}

/** Creates the store of the configuration in force. */
export function createConfigStore(options: ConfigStoreOptions): ConfigStore {
  const { events, metrics, maxRecentDeltas, maxRecentChanges } = options;
  const state = new EntityState();
  const listeners = new Set<AdoptionListener>();
  const recentDeltas: ConfigDelta[] = [];
  let recentChangeCount = 0;
  let isReady = false;
  const versionGauge = metrics.gauge('config_version', 'Configuration version in force');
  const offers = metrics.counter(
    'config_offers_total',
    'Configuration versions offered to the store',
    ['source', 'result'],
  );
  const droppedDeltas = metrics.counter(
    'config_recent_dropped_total',
    'Configuration deltas dropped because the limits on recent deltas were reached',
  );

  function notifyListeners(deltas: readonly ConfigDelta[], source: AdoptionSource): void {
    versionGauge.set(state.version);
    for (const listener of listeners) listener(deltas, source);
    void events.emit(EventName.ConfigInForce, { version: state.version });
  }

  function retainDelta(delta: ConfigDelta): void {
    recentDeltas.push(delta);
    recentChangeCount += delta.changes.length;
    while (recentDeltas.length > maxRecentDeltas || recentChangeCount > maxRecentChanges) {
      recentChangeCount -= recentDeltas.shift()?.changes.length ?? 0;
      droppedDeltas.inc();
    }
  }

  function applyDelta(delta: ConfigDelta): AdoptionResult {
    if (delta.version <= state.version) return AdoptionResult.Stale;
    if (delta.version !== state.version + 1) return AdoptionResult.Gap;
    state.apply(delta, delta.version);
    isReady = true;
    retainDelta(delta);
    return AdoptionResult.Adopted;
  }

  function adoptDeltas(deltas: readonly ConfigDelta[], source: AdoptionSource): AdoptionResult {
    let last = AdoptionResult.Stale;
    const adopted = deltas.filter((delta) => {
      last = applyDelta(delta);
      offers.inc({ source, result: last });
      return last === AdoptionResult.Adopted;
    });
    if (adopted.length > 0) notifyListeners(adopted, source);
    return last;
  }

  function applySnapshot(snapshot: ConfigSnapshot): AdoptionResult {
    if (snapshot.version < state.version) return AdoptionResult.Stale;
    if (snapshot.version === state.version && isReady) return AdoptionResult.Stale;
    state.reset(snapshot);
    isReady = true;
    recentDeltas.length = 0;
    recentChangeCount = 0;
    return AdoptionResult.Adopted;
  }

  return {
    view: state,
    get isReady() {
      return isReady;
    },
    adoptDelta: (delta, source) => adoptDeltas([delta], source),
    adoptDeltas,
    adoptSnapshot: (snapshot, source) => {
      const result = applySnapshot(snapshot);
      offers.inc({ source, result });
      if (result === AdoptionResult.Adopted) notifyListeners([], source);
      return result;
    },
    snapshot: () => state.snapshot(),
    deltasAfter: (version, limit) => {
      if (version >= state.version) return [];
      const oldest = recentDeltas[0]?.version;
      if (oldest === undefined || version < oldest - 1) return undefined;
      const start = version - oldest + 1;
      return recentDeltas.slice(start, start + limit);
    },
    onAdopted: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
