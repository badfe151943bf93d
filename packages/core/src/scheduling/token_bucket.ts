/** Implements a token bucket that gets the current time as an argument. */

export class TokenBucket {
  private tokens: number;
  private refilledAtMs = 0;

  /** Starts full. */
  constructor(
    private readonly capacity: number,
    private readonly tokensPerSecond: number,
  ) {
    this.tokens = capacity;
  }

  /** Takes `count` tokens if available; returns whether it did. */
  take(nowMs: number, count = 1): boolean {
    this.refill(nowMs);
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Adds tokens, up to the capacity. */
  add(count: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + count);
  }

  /** Returns the ms until refilling over time provides `count` tokens. */
  measureWaitMs(nowMs: number, count = 1): number {
    this.refill(nowMs);
    const missing = count - this.tokens;
    return missing <= 0 ? 0 : Math.ceil((missing / this.tokensPerSecond) * 1e3);
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
    this.add((elapsedMs * this.tokensPerSecond) / 1e3);
  }
}
