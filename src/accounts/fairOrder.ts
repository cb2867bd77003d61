/** How {@link fairOrder} divides and compares items. */
export interface FairOrderRules<T> {
  /** Account of an item; undefined if it belongs to none. */
  accountOf: (item: T) => string | undefined;
  /** Whether two neighbouring items are of the same rank, within which accounts take turns. */
  isSameRank: (a: T, b: T) => boolean;
  /** Compares items of the same rank. */
  compare: (a: T, b: T) => number;
  /** What an account was served per unit of weight; read again each time that one is chosen. */
  servedPerWeight: (account: string) => number;
  /** Whether an item that was yielded last is to be yielded again in its account's next turn. */
  hasMore: (item: T) => boolean;
}

/** Items of one account within a rank, served in their given order. */
interface Flow<T> {
  account: string;
  items: T[];
  next: number;
  served: number;
}

/**
 * Yields sorted items rank by rank, and within a rank always from the account that was served least
 * per unit of weight. The consumer records what it serves before it requests the next item, so that
 * items that cannot be served cost their account nothing. Items of no account keep their place by
 * the comparison.
 *
 * @param sorted - items in ascending order of rank, and within a rank by `compare`
 */
export function* fairOrder<T>(sorted: readonly T[], rules: FairOrderRules<T>): Generator<T> {
  for (let start = 0; start < sorted.length;) {
    const first = sorted[start] as T;
    let end = start + 1;
    while (end < sorted.length && rules.isSameRank(first, sorted[end] as T)) end++;
    yield* orderRank(sorted.slice(start, end), rules);
    start = end;
  }
}

function* orderRank<T>(items: readonly T[], rules: FairOrderRules<T>): Generator<T> {
  const { compare, servedPerWeight, hasMore } = rules;
  const { flows, others } = divide(items, rules);
  // The name decides last, so that a later holder finds the same order.
  const isBefore = (a: Flow<T>, b: Flow<T>) =>
    (a.served - b.served ||
      compare(a.items[a.next] as T, b.items[b.next] as T) ||
      (a.account < b.account ? -1 : 1)) < 0;
  for (let index = (flows.length >> 1) - 1; index >= 0; index--) sink(flows, index, isBefore);
  let nextOther = 0;
  for (let flow = flows[0]; flow; flow = flows[0]) {
    const item = flow.items[flow.next] as T;
    const other = others[nextOther];
    if (other !== undefined && compare(other, item) <= 0) {
      yield other;
      if (!hasMore(other)) nextOther++;
      continue;
    }
    yield item;
    if (!hasMore(item)) flow.next++;
    if (flow.next < flow.items.length) flow.served = servedPerWeight(flow.account);
    else {
      const last = flows.pop();
      if (last && last !== flow) flows[0] = last;
    }
    sink(flows, 0, isBefore);
  }
  while (nextOther < others.length) {
    const other = others[nextOther] as T;
    yield other;
    if (!hasMore(other)) nextOther++;
  }
}

function divide<T>(
  items: readonly T[],
  { accountOf, servedPerWeight }: FairOrderRules<T>,
): { flows: Flow<T>[]; others: T[] } {
  const flows = new Map<string, Flow<T>>();
  const others: T[] = [];
  for (const item of items) {
    const account = accountOf(item);
    if (account === undefined) {
      others.push(item);
      continue;
    }
    const flow = flows.get(account);
    if (flow) flow.items.push(item);
    else flows.set(account, { account, items: [item], next: 0, served: servedPerWeight(account) });
  }
  return { flows: [...flows.values()], others };
}

/** Restores the order of a binary heap below a position. */
function sink<T>(heap: T[], index: number, isBefore: (a: T, b: T) => boolean): void {
  for (let parent = index; ;) {
    let child = 2 * parent + 1;
    if (child >= heap.length) return;
    if (child + 1 < heap.length && isBefore(heap[child + 1] as T, heap[child] as T)) child++;
    const [upper, lower] = [heap[parent] as T, heap[child] as T];
    if (!isBefore(lower, upper)) return;
    heap[parent] = lower;
    heap[child] = upper;
    parent = child;
  }
}
