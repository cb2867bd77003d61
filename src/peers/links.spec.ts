import test from 'ava';
import { createVirtualClock } from '../testing/index.js';
import type { Connection } from './connection.js';
import { Semaphore } from './semaphore.js';
import { Links, RefusalReason } from './links.js';
import type { MemberInfo } from './types.js';

function info(name: string): MemberInfo {
  return { name, incarnation: name, zone: 'z', host: 'h', port: 1, startedAt: 0 };
}

type CreateLinks = (self: MemberInfo) => Links;

const createLinks: CreateLinks = (self) => new Links(self, createVirtualClock(), 1_000);

/** An incorrect rule: the first connection wins, regardless of its dialer. */
class FirstConnectionWins extends Links {
  override refusalReasonFor(member: MemberInfo): RefusalReason | undefined {
    return this.get(member.name) ? RefusalReason.Duplicate : undefined;
  }
}

/**
 * A step of one of the two handshakes, named after the dialer: the other member accepts its
 * connection, or it is welcomed.
 */
type Step = 'a accepted' | 'a welcomed' | 'b accepted' | 'b welcomed';

/** All interleavings of the two handshakes; each is accepted before its dialer is welcomed. */
const stepOrders: Step[][] = [
  ['a accepted', 'a welcomed', 'b accepted', 'b welcomed'],
  ['a accepted', 'b accepted', 'a welcomed', 'b welcomed'],
  ['a accepted', 'b accepted', 'b welcomed', 'a welcomed'],
  ['b accepted', 'a accepted', 'a welcomed', 'b welcomed'],
  ['b accepted', 'a accepted', 'b welcomed', 'a welcomed'],
  ['b accepted', 'b welcomed', 'a accepted', 'a welcomed'],
];

/** Simulates two members that dial each other; returns the dialers of the links that they keep. */
function simulateHandshakes(
  create: CreateLinks,
  order: readonly Step[],
  detectsCloseImmediately: boolean,
): string[] {
  const links = { a: create(info('a')), b: create(info('b')) };
  const connections = new Map<string, Connection>();
  const closed = new Set<string>();
  const removeClosed = () => {
    for (const [key, connection] of connections)
      if (closed.has(key.charAt(0))) links[receiverOf(key)].remove(connection);
  };
  for (const step of order) {
    const dialer = step.charAt(0) as 'a' | 'b';
    const receiver = step === 'a welcomed' || step === 'b accepted' ? 'a' : 'b';
    const peer = receiver === 'a' ? 'b' : 'a';
    if (closed.has(dialer)) continue;
    if (links[receiver].refusalReasonFor(info(peer), dialer)) {
      closed.add(dialer);
    } else {
      const close = () => closed.add(dialer);
      const connection = {
        peer: info(peer),
        dialer,
        establishedAt: 0,
        close,
      } as unknown as Connection;
      connections.set(`${dialer}${receiver}`, connection);
      links[receiver].install(connection, info(peer));
    }
    if (detectsCloseImmediately) removeClosed();
  }
  removeClosed();
  return [links.a.get('b')?.dialer ?? 'none', links.b.get('a')?.dialer ?? 'none'];
}

function receiverOf(key: string): 'a' | 'b' {
  return key.endsWith('a') ? 'a' : 'b';
}

/** Whether both members keep the same link in every interleaving. */
function alwaysAgree(create: CreateLinks): boolean {
  return stepOrders.every((order) =>
    [true, false].every((detectsCloseImmediately) => {
      const [first, second] = simulateHandshakes(create, order, detectsCloseImmediately);
      return first === second && first !== 'none';
    }),
  );
}

// Guards against two members that keep two links, or close both, after dialing simultaneously.
test('members that dial each other simultaneously agree on one link in every interleaving', (t) => {
  t.true(alwaysAgree(createLinks));
  t.false(alwaysAgree((self) => new FirstConnectionWins(self, createVirtualClock(), 1_000)));
});

// Guards against a burst of handshakes when many members reconnect after a partition heals.
test('the semaphore limits concurrent holders and admits the next one on release', async (t) => {
  const limit = new Semaphore(2);
  const started: number[] = [];
  const releases: (() => void)[] = [];
  const dials = [1, 2, 3].map(async (index) => {
    const release = await limit.acquire();
    started.push(index);
    releases.push(release);
  });
  await Promise.all(dials.slice(0, 2));
  t.deepEqual(started, [1, 2]);
  releases[0]?.();
  await dials[2];
  t.deepEqual(started, [1, 2, 3]);
});
