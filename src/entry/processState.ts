import type { ConfigStore } from '../configuration/index.js';
import { EventName } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Membership } from '../membership/index.js';
import type { Readiness } from '../operators/index.js';
import type { EntryContext } from './types.js';

/** Readiness and lease state of an entry process. */
export interface ProcessState {
  readonly holdsZoneLease: boolean;
  readiness(): Readiness;
  /** Makes the process report not ready from now on. */
  startShutdown(): void;
}

/**
 * Tracks the state of the process from events, and registers the gauge of the configuration age.
 */
export function createProcessState(
  ctx: EntryContext,
  store: ConfigStore,
  lifecycle: Lifecycle,
): ProcessState {
  const { clock, events, metrics } = ctx;
  let platformReachable = true;
  let holdsZoneLease = false;
  let isStopping = false;
  let adoptedAt = clock.now();
  const configAgeMs = () => clock.now() - adoptedAt;
  const ownSubscription = (name: string, unsubscribe: () => void) =>
    lifecycle.own(name, unsubscribe);
  ownSubscription(
    'platform events',
    events.on(EventName.PlatformReachability, ({ reachable }) => {
      platformReachable = reachable;
    }),
  );
  ownSubscription(
    'lease events',
    events.on(EventName.LeaseChanged, ({ held }) => {
      holdsZoneLease = held;
    }),
  );
  ownSubscription(
    'config events',
    events.on(EventName.ConfigInForce, () => {
      adoptedAt = clock.now();
    }),
  );
  const ageHelp = 'Seconds since the current configuration version was adopted';
  metrics.gauge('config_age_seconds', ageHelp, [], (gauge) => {
    gauge.set(configAgeMs() / 1000);
  });

  function notReadyReason(): string | undefined {
    if (isStopping) return 'the process is shutting down';
    return store.isReady ? undefined : 'no configuration has been loaded yet';
  }

  return {
    get holdsZoneLease() {
      return holdsZoneLease;
    },
    readiness: () => {
      const reason = notReadyReason();
      const ready = reason === undefined;
      return { ready, reason, configAgeMs: configAgeMs(), platformReachable, holdsZoneLease };
    },
    startShutdown: () => {
      isStopping = true;
    },
  };
}

/** Registers the gauge of live members per zone. */
export function registerMemberGauge({ metrics }: EntryContext, membership: Membership): void {
  metrics.gauge('members', 'Live members per zone', ['zone'], (gauge) => {
    gauge.reset();
    const zones = membership.members().map(({ info }) => info.zone);
    for (const zone of new Set([membership.self.zone, ...zones])) {
      gauge.set({ zone }, membership.liveMembers(zone).length);
    }
  });
}
