/**
 * The account of what a process holds for others: bodies in receipt and on their way, and
 * answers that are not read. When it is full, what stands still gives way first, so that a
 * crowd that stalls does not lock ordinary callers out; then what is largest.
 */

import {BLOCK_BYTES, BlockPool} from './block_pool.js';

/** Something held that the account may drop. */
export interface MemoryHolder {
  /** Steady ms at which it last got on; undefined while it has to be kept. */
  readonly progressMs: number | undefined;
  /** Drops it, since there is too little memory. The account no longer counts it. */
  evict(): void;
}

/** Default for a VM without a limit of its own, bytes. */
const DEFAULT_MAX_BYTES = 64 * 1024 * 1024;
/** Share of the memory that unused blocks may take. */
const FREE_BLOCKS_SHARE = 0.25;
/** What got on within this time does not stand still, ms. */
const STALL_MS = 2000;

/** Memory for all holders together. */
export class MemoryBudget {
  private readonly sizes = new Map<MemoryHolder, number>();
  private total = 0;
  private evictions = 0;

  /** Memory of bodies, used again by the next. */
  readonly blocks: BlockPool;

  /**
   * @param besideLargeShare One holder may exceed `maxBytes` while all others together take
   * less than this share of it: a single long body has to pass on a small VM.
   */
  constructor(
    readonly maxBytes = DEFAULT_MAX_BYTES,
    private readonly besideLargeShare = 0,
  ) {
    this.blocks = new BlockPool(
      Math.floor((maxBytes * FREE_BLOCKS_SHARE) / BLOCK_BYTES),
    );
  }

  /** Bytes that are held now. */
  get heldBytes(): number {
    return this.total;
  }

  /** How often something was dropped. */
  get evictedCount(): number {
    return this.evictions;
  }

  /**
   * Records that `holder` takes `bytes` by now. While there is too little memory, others
   * are evicted, and `holder` itself if nothing else can be. Returns whether it is kept.
   */
  hold(holder: MemoryHolder, bytes: number): boolean {
    this.total += bytes - (this.sizes.get(holder) ?? 0);
    this.sizes.set(holder, bytes);
    while (this.total > this.maxBytes && !this.isOneLarge()) {
      const victim = this.chooseVictim() ?? holder;
      this.evictions += 1;
      this.release(victim);
      victim.evict();
      if (victim === holder) return false;
    }
    return true;
  }

  /** Records that `holder` takes nothing any more. */
  release(holder: MemoryHolder): void {
    this.total -= this.sizes.get(holder) ?? 0;
    this.sizes.delete(holder);
  }

  /** Whether a single holder takes so much, and all others so little that it may. */
  private isOneLarge(): boolean {
    const largestBytes = Math.max(...this.sizes.values());
    const othersBytes = this.total - largestBytes;
    return othersBytes < this.maxBytes * this.besideLargeShare;
  }

  /** Drops what has stood still for longest; returns whether there was such. */
  evictStalled(): boolean {
    const victim = this.findStalled();
    if (!victim) return false;
    this.evictions += 1;
    this.release(victim);
    victim.evict();
    return true;
  }

  private chooseVictim(): MemoryHolder | undefined {
    return this.findStalled() ?? this.findLargest();
  }

  private findStalled(): MemoryHolder | undefined {
    let earliestMs = performance.now() - STALL_MS;
    let stalled: MemoryHolder | undefined;
    for (const holder of this.sizes.keys()) {
      const {progressMs} = holder;
      if (progressMs === undefined || progressMs >= earliestMs) continue;
      [stalled, earliestMs] = [holder, progressMs];
    }
    return stalled;
  }

  private findLargest(): MemoryHolder | undefined {
    let mostBytes = -1;
    let largest: MemoryHolder | undefined;
    for (const [holder, bytes] of this.sizes) {
      if (holder.progressMs === undefined || bytes <= mostBytes) continue;
      [largest, mostBytes] = [holder, bytes];
    }
    return largest;
  }
}
