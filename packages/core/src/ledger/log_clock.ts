/** Time that all readers of a stream derive identically from its records. */

/** State of the clock in a snapshot. */
export interface LogClockSnapshot {
  readonly nowMs: number;
  readonly lastRawMs: number;
}

/**
 * A monotonic clock derived from the log's timestamps. If the log's clock is
 * set back, a dead VM would keep its session and leases longer by as much as
 * the clock was set back. A backward jump therefore counts as no elapsed time,
 * and the time after it counts in full. A forward jump expires sessions early;
 * because of fencing numbers this costs only a takeover.
 */
export class LogClock {
  private current: number;
  private lastRaw: number;

  constructor(snapshot: LogClockSnapshot = {nowMs: 0, lastRawMs: 0}) {
    this.current = snapshot.nowMs;
    this.lastRaw = snapshot.lastRawMs;
  }

  /** Adjusted Unix ms at the last record. */
  get nowMs(): number {
    return this.current;
  }

  /** Advances to the time of the next record and returns the adjusted time. */
  advance(rawMs: number): number {
    this.current += Math.max(0, rawMs - this.lastRaw);
    this.lastRaw = rawMs;
    return this.current;
  }

  toSnapshot(): LogClockSnapshot {
    return {nowMs: this.current, lastRawMs: this.lastRaw};
  }
}
