import test from 'ava';
import { createVirtualClock } from '../testing/index.js';
import type { Connection } from './connection.js';
import { DialLimit } from './dialLimit.js';
import { Links, RefusalReason } from './links.js';
import type { MemberInfo } from './types.js';

function info(name: string): MemberInfo {
  return { name, incarnation: name, zone: 'z', host: 'h', port: 1, startedAt: 0 };
}

type CreateLinks = (self: MemberInfo) => Links;

const createLinks: CreateLinks = (self) => new Links(self, createVirtualClock(), 1_000);

/** A wrong rule: whichever connection is there first stays. */
class FirstStays extends Links {
  override refusalOf(member: MemberInfo): RefusalReason | undefined {
    return this.get(member.name) ? RefusalReason.Duplicate : undefined;
  }
}

/** A step of one of the two handshakes, named after its dialer. */
type Step = 'a accepted' | 'a welcomed' | 'b accepted' | 'b welcomed';

/** Every order in which each handshake is accepted before its dialer is welcomed. */
const orders: Step[][] = [
  ['a accepted', 'a welcomed', 'b accepted', 'b welcomed'],
  ['a accepted', 'b accepted', 'a welcomed', 'b welcomed'],
  ['a accepted', 'b accepted', 'b welcomed', 'a welcomed'],
  ['b accepted', 'a accepted', 'a welcomed', 'b welcomed'],
  ['b accepted', 'a accepted', 'b welcomed', 'a welcomed'],
  ['b accepted', 'b welcomed', 'a accepted', 'a welcomed'],
];

/** Plays two members that dial each other; returns the dialers of the links that stay open. */
function play(create: CreateLinks, order: readonly Step[], seesCloseAtOnce: boolean): string[] {
  const links = { a: create(info('a')), b: create(info('b')) };
  const ends = new Map<string, Connection>();
  const closed = new Set<string>();
  const dropClosed = () => {
    for (const [key, end] of ends) if (closed.has(key.charAt(0))) links[ownerOf(key)].remove(end);
  };
  for (const step of order) {
    const dialer = step.charAt(0) as 'a' | 'b';
    const own = step === 'a welcomed' || step === 'b accepted' ? 'a' : 'b';
    const peer = own === 'a' ? 'b' : 'a';
    if (closed.has(dialer)) continue;
    if (links[own].refusalOf(info(peer), dialer)) {
      closed.add(dialer);
    } else {
      const close = () => closed.add(dialer);
      const end = { peer: info(peer), dialer, establishedAt: 0, close } as unknown as Connection;
      ends.set(`${dialer}${own}`, end);
      links[own].install(end, info(peer));
    }
    if (seesCloseAtOnce) dropClosed();
  }
  dropClosed();
  return [links.a.get('b')?.dialer ?? 'none', links.b.get('a')?.dialer ?? 'none'];
}

function ownerOf(key: string): 'a' | 'b' {
  return key.endsWith('a') ? 'a' : 'b';
}

/** Whether both members end up with the same link in every order. */
function alwaysAgree(create: CreateLinks): boolean {
  return orders.every((order) =>
    [true, false].every((seesCloseAtOnce) => {
      const [first, second] = play(create, order, seesCloseAtOnce);
      return first === second && first !== 'none';
    }),
  );
}

// Guards against pairs that keep two links, or close both, when both sides dial at once.
test('members that dial each other at once agree on one link in every order', (t) => {
  t.true(alwaysAgree(createLinks));
  t.false(alwaysAgree((self) => new FirstStays(self, createVirtualClock(), 1_000)));
});

// Guards against a burst of connections after a partition heals.
test('the number of connections being established is bounded', async (t) => {
  const limit = new DialLimit(2);
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
