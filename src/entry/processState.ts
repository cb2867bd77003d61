import type { ConfigStore } from '../configuration/index.js';
import { EventName } from '../events/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Membership } from '../membership/index.js';
import type { Readiness } from '../operators/index.js';
import type { EntryContext } from './types.js';

/** What an entry process knows about its own state. */
export interface ProcessState {
  readonly holdsZoneLease: boolean;
  readiness(): Readiness;
  /** Makes the process not ready from now on. */
  startStopping(): void;
}

/** Follows the events that make up the state of the process, and its gauges. */
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
  const follow = (name: string, off: () => void) => lifecycle.own(name, off);
  follow(
    'platform events',
    events.on(EventName.PlatformReachability, ({ reachable }) => {
      platformReachable = reachable;
    }),
  );
  follow(
    'lease events',
    events.on(EventName.LeaseChanged, ({ held }) => {
      holdsZoneLease = held;
    }),
  );
  follow(
    'config events',
    events.on(EventName.ConfigInForce, () => {
      adoptedAt = clock.now();
    }),
  );
  const ageHelp = 'Time since the configuration in force was adopted';
  metrics.gauge('config_age_seconds', ageHelp, [], (gauge) => {
    gauge.set(configAgeMs() / 1000);
  });

  function notReadyReason(): string | undefined {
    if (isStopping) return 'the process shuts down';
    return store.isReady ? undefined : 'no configuration was read yet';
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
    startStopping: () => {
      isStopping = true;
    },
  };
}

/** Registers the gauge of live members by zone. */
export function addMemberGauge({ metrics }: EntryContext, membership: Membership): void {
  metrics.gauge('members', 'Live members by zone', ['zone'], (gauge) => {
    gauge.reset();
    const zones = membership.members().map(({ info }) => info.zone);
    for (const zone of new Set([membership.self.zone, ...zones])) {
      gauge.set({ zone }, membership.liveMembers(zone).length);
    }
  });
}
