/** Time as every reader of one stream derives it from the records alone. */

/** What a snapshot keeps of the clock. */
export interface LogClockSnapshot {
  readonly nowMs: number;
  readonly lastRawMs: number;
}

/**
 * The log's clock made monotone. Should the log's clock step back, sessions
 * would outlive their holders by the size of the step: a VM that died would keep
 * its leases for that long. So a step back counts as no time at all, and the
 * time after it counts in full. A step forward lets sessions lapse early, which
 * costs a takeover and, because of fencing numbers, nothing else.
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

  /** Takes the time of the next record and returns the adjusted one. */
  advance(rawMs: number): number {
    this.current += Math.max(0, rawMs - this.lastRaw);
    this.lastRaw = rawMs;
    return this.current;
  }

  toSnapshot(): LogClockSnapshot {
    return {nowMs: this.current, lastRawMs: this.lastRaw};
  }
}
