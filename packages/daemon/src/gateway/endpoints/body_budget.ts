/** Limits the memory that the unfinished bodies of all answers take together. */

/** A body that is being received. */
export interface BodyHolder {
  /** Gives its memory back, since it is the largest and there is too little. */
  evict(): void;
}

/** Memory for all bodies, bytes: a twelfth of the smallest VM's. */
const MAX_TOTAL_BYTES = 20 * 1024 * 1024;

export class BodyBudget {
  private readonly sizes = new Map<BodyHolder, number>();
  private total = 0;

  constructor(private readonly maxBytes = MAX_TOTAL_BYTES) {}

  /** Bytes that are held now. */
  get heldBytes(): number {
    return this.total;
  }

  /** Records that `holder` takes `bytes` by now. While there is too little memory, the largest body is evicted. */
  hold(holder: BodyHolder, bytes: number): void {
    this.total += bytes - (this.sizes.get(holder) ?? 0);
    this.sizes.set(holder, bytes);
    while (this.total > this.maxBytes) this.evictLargest();
  }

  release(holder: BodyHolder): void {
    this.total -= this.sizes.get(holder) ?? 0;
    this.sizes.delete(holder);
  }

  private evictLargest(): void {
    const [first] = this.sizes;
    let [largest, most] = first;
    for (const [holder, bytes] of this.sizes) {
      if (bytes > most) [largest, most] = [holder, bytes];
    }
    this.release(largest);
    largest.evict();
  }
}
