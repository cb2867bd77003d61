/** Node of a {@link LinkedList}. */
export interface ListNode<T> {
  readonly value: T;
  prev: ListNode<T> | undefined;
  next: ListNode<T> | undefined;
  list: LinkedList<T> | undefined;
}

/** Doubly linked list; every operation is O(1), including removal from the middle. */
export class LinkedList<T> {
  #first: ListNode<T> | undefined;
  #last: ListNode<T> | undefined;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  get first(): ListNode<T> | undefined {
    return this.#first;
  }

  pushBack(value: T): ListNode<T> {
    const node: ListNode<T> = { value, prev: undefined, next: undefined, list: undefined };
    this.#append(node);
    return node;
  }

  /** Removes a node; returns false if it is not in this list. */
  remove(node: ListNode<T>): boolean {
    if (node.list !== this) return false;
    if (node.prev) node.prev.next = node.next;
    else this.#first = node.next;
    if (node.next) node.next.prev = node.prev;
    else this.#last = node.prev;
    node.prev = undefined;
    node.next = undefined;
    node.list = undefined;
    this.#size -= 1;
    return true;
  }

  /** Iterates over the values from first to last. */
  *values(): Generator<T> {
    for (let node = this.#first; node; node = node.next) yield node.value;
  }

  moveToBack(node: ListNode<T>): void {
    if (this.remove(node)) this.#append(node);
  }

  #append(node: ListNode<T>): void {
    node.list = this;
    node.prev = this.#last;
    if (this.#last) this.#last.next = node;
    else this.#first = node;
    this.#last = node;
    this.#size += 1;
  }
}
