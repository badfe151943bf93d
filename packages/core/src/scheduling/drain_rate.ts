/** How fast a queue drains, measured only while there is something to drain. */

/** Ms of backlog after which older measurements weigh a third. */
const MEMORY_MS = 10_000;
/** Ms of backlog needed before the rate is believed. */
const MIN_BUSY_MS = 1000;

export class DrainRate {
  private cost = 0;
  private busyMs = 0;
  private recordedAtMs = 0;
  private wasBacklogged = false;

  /**
   * Notes the queue's state after some event. A quiet queue drains slowly for
   * want of work; counting that time would refuse the next burst for nothing.
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

  /** Expected ms until `cost` has drained; undefined when nothing is known. */
  estimateMs(cost: number): number | undefined {
    if (this.busyMs < MIN_BUSY_MS || this.cost <= 0) return undefined;
    return (cost / this.cost) * this.busyMs;
  }
}
