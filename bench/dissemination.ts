import { DisseminationMethodName, EntityKind, type ChangeSet } from '../src/configuration/index.js';
import { InvariantError } from '../src/errors/index.js';
import {
  PeerMessageType,
  encodeFrame,
  type MemberInfo,
  type PeerMessage,
} from '../src/peers/index.js';
import { createRandom } from '../src/random/index.js';
import { createConfigFleet, type ConfigProcess } from '../src/testing/configFleet.js';
import type { FakePeerHub } from '../src/testing/index.js';

/** Result of one run of one method at one size. Times are in virtual ms after the commit. */
export interface DisseminationRow {
  seed: number;
  method: DisseminationMethodName;
  members: number;
  /** Members that do not respond and are not yet suspected. */
  dead: number;
  /** Live members that had adopted the version when the run ended; all live members on success. */
  informed: number;
  /** Configuration messages, including confirmations and requests but not heartbeats. */
  messages: number;
  /** Bytes of these messages when encoded as frames. */
  bytes: number;
  /** Maximum number of messages sent by one process. */
  maxMessagesOfOne: number;
  /** Platform reads until the last live member had adopted the version. */
  platformReads: number;
  /** Time until the last live member of the committer's zone had adopted the version. */
  zoneLastMs: number;
  /** Time until 99% of the live members had adopted the version. */
  p99Ms: number;
  /** Time until the last live member had adopted the version. */
  lastMs: number;
}

/** Fleet sizes to compare, in members. */
export const disseminationSizes = [7, 100, 1_000];

/** Share of members that are dead. */
const DEAD_SHARE = 0.1;

/** Time between heartbeats in virtual milliseconds. */
const HEARTBEAT_MS = 1_000;

/** Maximum heartbeats of one process per round; 1,000 members would not use a full mesh. */
const MAX_HEARTBEATS = 20;

/** Virtual milliseconds before the commit, in which all processes load the configuration. */
const WARM_UP_MS = 2_000;

/** Maximum duration of a run after the commit, in virtual milliseconds. */
const RUN_MS = 10_000;

/** One-way delays in milliseconds; the resolution of the virtual clock is 1 ms. */
const DELAY_MS = { sameZone: 1, sameRegion: 1, otherRegion: 30 };

/** Zones of the first deployment, and of the design size. */
const SMALL_TOPOLOGY = { members: 7, zones: 3, zonesPerRegion: 3 };
const LARGE_TOPOLOGY = { zones: 13, zonesPerRegion: 4 };

/** Duration of a platform call in milliseconds. */
const PLATFORM_MS = 5;

/** The committed change, which assigns one VM to another pool. */
const CHANGE: ChangeSet = {
  changeId: 'bench-change-1',
  author: 'controller of zone-0',
  changes: [
    {
      kind: EntityKind.Assignment,
      id: 'pool-a-vm-17',
      value: { id: 'pool-a-vm-17', pool: 'pool-b' },
    },
  ],
};

/**
 * Compares the dissemination methods by running the production code under virtual time.
 *
 * @param seed - determines the dead members, the committer and all random choices
 */
export async function run(
  seed: number,
  sizes: readonly number[] = disseminationSizes,
  methods: readonly DisseminationMethodName[] = Object.values(DisseminationMethodName),
): Promise<DisseminationRow[]> {
  const rows: DisseminationRow[] = [];
  for (const members of sizes) {
    for (const method of methods) rows.push(await runOnce(seed, members, method));
  }
  return rows;
}

/** Runs several seeds and returns the lines of a Markdown table with medians and maximums. */
export async function main(seeds: readonly number[] = [1, 2, 3, 4, 5]): Promise<string[]> {
  const rows: DisseminationRow[] = [];
  for (const seed of seeds) rows.push(...(await run(seed)));
  const header =
    '| members | method | messages | bytes | max by one process | platform reads | zone last ms | p99 ms | last ms |';
  const lines = [header, '|---|---|---|---|---|---|---|---|---|'];
  for (const members of disseminationSizes) {
    for (const method of Object.values(DisseminationMethodName)) {
      const group = rows.filter((row) => row.members === members && row.method === method);
      lines.push(summaryLine(members, method, group));
    }
  }
  return lines;
}

function summaryLine(members: number, method: string, group: DisseminationRow[]): string {
  const columns = [
    'messages',
    'bytes',
    'maxMessagesOfOne',
    'platformReads',
    'zoneLastMs',
    'p99Ms',
    'lastMs',
  ] as const;
  const cells = columns.map((column) => {
    const values = group.map((row) => row[column]).sort((a, b) => a - b);
    const median = values[Math.floor(values.length / 2)] ?? 0;
    return `${round(median)} / ${round(values.at(-1) ?? 0)}`;
  });
  return `| ${members} | ${method} | ${cells.join(' | ')} |`;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}

async function runOnce(
  seed: number,
  members: number,
  method: DisseminationMethodName,
): Promise<DisseminationRow> {
  const fleet = createConfigFleet({
    delayMs: delayBetween,
    seed,
    heartbeatMs: HEARTBEAT_MS,
    maxHeartbeats: MAX_HEARTBEATS,
    platformDelayMs: PLATFORM_MS,
    settings: { dissemination: method },
    isLeaseHolder: (name) => name.endsWith('-0'),
    readsHeartbeatVersions: true,
    hasLivePeers: true,
  });
  const { clock, hub, platform } = fleet;
  const memberInfos = createRandom(seed).shuffle(createMemberInfos(members));
  const dead = memberInfos.splice(0, Math.max(1, Math.floor(members * DEAD_SHARE)));
  for (const info of dead) hub.join(info);
  const processes = memberInfos.map((info) => fleet.start(info));
  await clock.advance(WARM_UP_MS);

  const traffic = countTraffic(hub);
  const informedAt = new Map<string, number>();
  let committedAt = 0;
  for (const { info, store } of processes) {
    store.onAdopted(() => {
      if (!informedAt.has(info.name)) informedAt.set(info.name, clock.now());
    });
  }
  const [committer] = processes;
  if (!committer) throw new InvariantError('a dissemination run needs at least one live member');
  const committed = committer.commit(committer.store.view.version, CHANGE).then(() => {
    committedAt = clock.now();
  });
  const start = clock.now();
  platform.reads = 0;
  while (clock.now() - start < RUN_MS && informedAt.size < processes.length) {
    await clock.advance(1);
  }
  await committed;
  const platformReads = platform.reads;
  const informedAfterMs = (from: readonly ConfigProcess[]) =>
    from.map(({ info }) => (informedAt.get(info.name) ?? Infinity) - committedAt);
  const sortedMs = informedAfterMs(processes).sort((a, b) => a - b);
  const zoneProcesses = processes.filter(({ info }) => info.zone === committer.info.zone);
  await fleet.close();
  return {
    seed,
    method,
    members,
    dead: dead.length,
    informed: informedAt.size,
    messages: traffic.messages,
    bytes: traffic.bytes,
    maxMessagesOfOne: Math.max(0, ...traffic.bySender.values()),
    platformReads,
    zoneLastMs: Math.max(...informedAfterMs(zoneProcesses)),
    p99Ms: sortedMs[Math.ceil(sortedMs.length * 0.99) - 1] ?? Infinity,
    lastMs: sortedMs.at(-1) ?? Infinity,
  };
}

function countTraffic(hub: FakePeerHub) {
  const traffic = { messages: 0, bytes: 0, bySender: new Map<string, number>() };
  const sizes = new WeakMap<PeerMessage, number>();
  hub.onSend = ({ name }, _to, message) => {
    if (message.type === PeerMessageType.Heartbeat) return;
    const size = sizes.get(message) ?? sizeOf(message);
    sizes.set(message, size);
    traffic.messages += 1;
    traffic.bytes += size;
    traffic.bySender.set(name, (traffic.bySender.get(name) ?? 0) + 1);
  };
  return traffic;
}

function sizeOf(message: PeerMessage): number {
  return encodeFrame(message, Number.MAX_SAFE_INTEGER)
    .map((frame) => frame.length)
    .unwrapOr(0);
}

function createMemberInfos(members: number): MemberInfo[] {
  const { zones } = members <= SMALL_TOPOLOGY.members ? SMALL_TOPOLOGY : LARGE_TOPOLOGY;
  return Array.from({ length: members }, (_, index) => {
    const zone = index % zones;
    return {
      name: `entry-${zone}-${Math.floor(index / zones)}`,
      incarnation: String(index).padStart(16, '0'),
      zone: `zone-${zone}`,
      host: '10.0.0.1',
      port: 0,
      startedAt: 0,
    };
  });
}

function delayBetween(from: MemberInfo, to: MemberInfo): number {
  if (from.zone === to.zone) return DELAY_MS.sameZone;
  return regionOf(from) === regionOf(to) ? DELAY_MS.sameRegion : DELAY_MS.otherRegion;
}

function regionOf({ zone }: MemberInfo): number {
  return Math.floor(Number(zone.slice('zone-'.length)) / LARGE_TOPOLOGY.zonesPerRegion);
}
