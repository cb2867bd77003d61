import test from 'ava';
import { HeldByteTable, type ByteHolder } from './heldBytes.js';
import { Holding } from './types.js';

const LIMIT = 100;

class FakeHolder implements ByteHolder {
  readonly name: string;
  readonly isWaiting: boolean;
  readonly #table: HeldByteTable;
  #bytes = 0;
  isReleased = false;

  constructor(table: HeldByteTable, name: string, isWaiting: boolean) {
    this.#table = table;
    this.name = name;
    this.isWaiting = isWaiting;
    table.add(this);
  }

  hold(bytes: number, holding = Holding.Body): boolean {
    const isHeld = this.#table.change(this, holding, bytes);
    if (isHeld) this.#bytes += bytes;
    return isHeld;
  }

  canRelease(): boolean {
    return this.isWaiting;
  }

  releaseFor(): void {
    this.isReleased = true;
    this.hold(-this.#bytes);
  }
}

interface Case {
  title: string;
  /** Bytes and state of the holders, in the order of their phases. */
  holders: { bytes: number; isWaiting: boolean; holding?: Holding }[];
  wanted: number;
  isHeld: boolean;
  released: number[];
}

// Guards against a crowd that keeps others out, and against work that is ended for a newcomer.
const cases: Case[] = [
  {
    title: 'nothing is released while there is room',
    holders: [{ bytes: 60, isWaiting: true }],
    wanted: 40,
    isHeld: true,
    released: [],
  },
  {
    title: 'the holder that waits longest is released first',
    holders: [
      { bytes: 50, isWaiting: true },
      { bytes: 50, isWaiting: true },
    ],
    wanted: 10,
    isHeld: true,
    released: [0],
  },
  {
    title: 'as many are released as needed',
    holders: [
      { bytes: 30, isWaiting: true },
      { bytes: 30, isWaiting: true },
      { bytes: 40, isWaiting: true },
    ],
    wanted: 50,
    isHeld: true,
    released: [0, 1],
  },
  {
    title: 'work in progress is not released',
    holders: [
      { bytes: 50, isWaiting: false },
      { bytes: 50, isWaiting: true },
    ],
    wanted: 50,
    isHeld: true,
    released: [1],
  },
  {
    title: 'none is released where that would not make enough room',
    holders: [
      { bytes: 90, isWaiting: false },
      { bytes: 10, isWaiting: true },
    ],
    wanted: 20,
    isHeld: false,
    released: [],
  },
  {
    title: 'bytes of another kind are not counted',
    holders: [{ bytes: 100, isWaiting: true, holding: Holding.Headers }],
    wanted: 100,
    isHeld: true,
    released: [],
  },
  {
    title: 'more than the limit is never held',
    holders: [{ bytes: 10, isWaiting: true }],
    wanted: 101,
    isHeld: false,
    released: [],
  },
];

for (const { title, holders, wanted, isHeld, released } of cases) {
  test(title, (t) => {
    const table = new HeldByteTable(() => LIMIT);
    const others = holders.map(({ bytes, isWaiting, holding }, index) => {
      const holder = new FakeHolder(table, `${index}`, isWaiting);
      t.true(holder.hold(bytes, holding));
      return holder;
    });
    const newcomer = new FakeHolder(table, 'new', true);
    t.is(newcomer.hold(wanted), isHeld);
    const names = others.filter((holder) => holder.isReleased).map(({ name }) => Number(name));
    t.deepEqual(names, released);
    t.true(table.total(Holding.Body) <= LIMIT);
  });
}

test('a holder that enters another phase is released last', (t) => {
  const table = new HeldByteTable(() => LIMIT);
  const [first, second] = ['first', 'second'].map((name) => new FakeHolder(table, name, true));
  first?.hold(50);
  second?.hold(50);
  if (first) table.restart(first);
  t.true(new FakeHolder(table, 'new', true).hold(10));
  t.deepEqual([first?.isReleased, second?.isReleased], [false, true]);
});

test('a removed holder no longer counts', (t) => {
  const table = new HeldByteTable(() => LIMIT);
  const holder = new FakeHolder(table, 'first', false);
  holder.hold(LIMIT);
  table.remove(holder);
  t.is(table.total(Holding.Body), 0);
  t.is(table.size, 0);
});
