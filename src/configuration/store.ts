import { EventName, type EventBus } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import { EntityState, type IndexedConfigView } from './entities.js';
import type { ConfigDelta, ConfigSnapshot } from './types.js';

/** Where an adopted version came from. */
export enum AdoptionSource {
  /** Committed by this process. */
  Local = 'local',
  Peer = 'peer',
  Platform = 'platform',
}

/** What happened to an offered version. */
export enum AdoptionResult {
  Adopted = 'adopted',
  /** The version, or a larger one, is in force already. */
  Stale = 'stale',
  /** Versions between the one in force and the offered one are missing. */
  Gap = 'gap',
}

/** Called after versions came into force; `deltas` is empty after a snapshot. */
export type AdoptionListener = (deltas: readonly ConfigDelta[], source: AdoptionSource) => void;

/** The configuration in force on this process. */
export interface ConfigStore {
  /** Live view; reads within one synchronous step see one version. */
  readonly view: IndexedConfigView;
  /** Whether a configuration was adopted, even the empty one of an unused platform. */
  readonly isReady: boolean;
  /** Adopts the next version. */
  adoptDelta(delta: ConfigDelta, source: AdoptionSource): AdoptionResult;
  /** Adopts versions in order and announces them together. Returns what happened to the last. */
  adoptDeltas(deltas: readonly ConfigDelta[], source: AdoptionSource): AdoptionResult;
  /** Adopts a snapshot with a larger version, or any snapshot when nothing was adopted yet. */
  adoptSnapshot(snapshot: ConfigSnapshot, source: AdoptionSource): AdoptionResult;
  /** The configuration in force; its entities are shared and must not be changed. */
  snapshot(): ConfigSnapshot;
  /**
   * Kept deltas after a version, in order, at most `limit` of them; undefined when they are no
   * longer kept.
   */
  deltasAfter(version: number, limit: number): readonly ConfigDelta[] | undefined;
  /** Registers a listener for adopted versions. Returns a function that removes it. */
  onAdopted(listener: AdoptionListener): () => void;
}

/** Options of {@link createConfigStore}. */
export interface ConfigStoreOptions {
  events: EventBus;
  metrics: Metrics;
  /** Most recent deltas kept for peers that are behind. */
  maxRecentDeltas: number;
  /** Most changes, over all kept deltas. */
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
  const offers = metrics.counter('config_offers_total', 'Versions offered to the store', [
    'source',
    'result',
  ]);
  const droppedDeltas = metrics.counter(
    'config_recent_dropped_total',
    'Deltas no longer kept for peers',
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
