import { effectiveWeight } from './shares.js';

/** Account that a queued item belongs to. */
export interface ItemAccount {
  name: string;
  weight: number;
}

interface Entry<T> {
  item: T;
  /** Virtual time at which the item is due. */
  tag: number;
}

/**
 * Queue that serves accounts by weight (start-time fair queueing). The items of one account, and
 * those of none, stay in order of arrival; without accounts the queue is first in, first out.
 */
export class FairBacklog<T> {
  #entries: Entry<T>[] = [];
  #virtualTime = 0;
  /** Virtual time at which the next item of an account is due. */
  readonly #nextTags = new Map<string, number>();

  get length(): number {
    return this.#entries.length;
  }

  get first(): T | undefined {
    return this.#entries[0]?.item;
  }

  push(item: T, account?: ItemAccount): void {
    let tag = this.#virtualTime;
    if (account) {
      tag = Math.max(tag, this.#nextTags.get(account.name) ?? 0);
      this.#nextTags.set(account.name, tag + 1 / effectiveWeight(account.weight));
    }
    let index = this.#entries.length;
    while (index > 0 && (this.#entries[index - 1]?.tag ?? 0) > tag) index--;
    this.#entries.splice(index, 0, { item, tag });
  }

  shift(): T | undefined {
    const entry = this.#entries.shift();
    if (!entry) return undefined;
    this.#virtualTime = entry.tag;
    // Without waiting items no account is ahead of another.
    if (this.#entries.length === 0) this.#nextTags.clear();
    return entry.item;
  }

  /** Removes and returns all items. */
  drain(): T[] {
    const items = this.#entries.map(({ item }) => item);
    this.#entries = [];
    this.#nextTags.clear();
    return items;
  }
}
