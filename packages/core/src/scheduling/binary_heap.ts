/** Implements a priority queue as a binary heap in an array. */

export class BinaryHeap<T> {
  private readonly items: T[] = [];

  /** `isBefore(a, b)` returns whether `a` leaves the heap before `b`. */
  constructor(private readonly isBefore: (a: T, b: T) => boolean) {}

  get size(): number {
    return this.items.length;
  }

  peek(): T | undefined {
    return this.items[0];
  }

  push(item: T): void {
    const {items} = this;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(item, items[parent])) break;
      items[index] = items[parent];
      index = parent;
    }
    items[index] = item;
  }

  pop(): T | undefined {
    const {items} = this;
    const first = items[0];
    const last = items.pop();
    if (items.length > 0) this.siftDown(last!);
    return first;
  }

  /** Removes all items for which `keep` returns false. */
  retain(keep: (item: T) => boolean): void {
    const retained = this.items.filter(keep);
    this.items.length = 0;
    for (const item of retained) this.push(item);
  }

  private siftDown(item: T): void {
    const {items} = this;
    const size = items.length;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= size) break;
      if (child + 1 < size && this.isBefore(items[child + 1], items[child])) {
        child++;
      }
      if (!this.isBefore(items[child], item)) break;
      items[index] = items[child];
      index = child;
    }
    items[index] = item;
  }
}
