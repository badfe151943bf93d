/** Measures how fast a queue drains, only while it has a backlog. */

/**
 * Time constant of the exponential decay, in ms of backlog: after this time a
 * measurement counts for about a third.
 */
const MEMORY_MS = 10_000;
/** Ms of measured backlog needed before the rate is used. */
const MIN_BUSY_MS = 1000;

export class DrainRate {
  private cost = 0;
  private busyMs = 0;
  private recordedAtMs = 0;
  private wasBacklogged = false;

  /**
   * Records the queue's state after an event. Time without a backlog is left out:
   * it would lower the rate, and the next burst would be refused needlessly.
   */
  record(nowMs: number, drainedCost: number, isBacklogged: boolean): void {
    if (this.wasBacklogged) {
      const elapsedMs = Math.max(0, nowMs - this.recordedAtMs);
      const decay = Math.exp(-elapsedMs / MEMORY_MS);
      this.cost = this.cost * decay + drainedCost;
      this.busyMs = this.busyMs * decay + elapsedMs;
    }
    this.recordedAtMs = nowMs;
    this.wasBacklogged = isBacklogged;
  }

  /** Returns the expected ms until `cost` has drained; undefined if unknown. */
  estimateMs(cost: number): number | undefined {
    if (this.busyMs < MIN_BUSY_MS || this.cost <= 0) return undefined;
    return (cost / this.cost) * this.busyMs;
  }
}
