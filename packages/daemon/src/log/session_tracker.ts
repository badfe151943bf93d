/**
 * Tracks, by this VM's own clock, whether its session and thereby its leases
 * are valid.
 */

/** Timing of sessions; it must be the same on all VMs. */
export interface SessionTiming {
  /** Log time without a renewal after which the leases of a VM expire. */
  readonly ttlMs: number;
  readonly renewalMs: number;
}

export const DEFAULT_SESSION_TIMING: SessionTiming = {
  ttlMs: 6000,
  renewalMs: 2000,
};

/**
 * Share of the TTL that a holder does not use, because clocks run at different
 * rates.
 */
const CLOCK_RATE_MARGIN = 0.1;

/**
 * Measures on the monotonic clock from the moment a renewal is passed to the
 * writer. The log accepts the record later than that, so the session lasts at
 * least as long by the log's clock. A VM that was paused or lost its connection
 * to the log finds its session invalid here, since other VMs may have claimed
 * its leases.
 */
export class SessionTracker {
  private renewedAtMs = -Infinity;
  private requestedAtMs = -Infinity;

  constructor(readonly timing: SessionTiming) {}

  /** Whether a renewal is due. */
  isDue(monotonicMs: number): boolean {
    return monotonicMs - this.requestedAtMs >= this.timing.renewalMs;
  }

  /** Records that a renewal is being passed to the writer. */
  markRequested(monotonicMs: number): void {
    this.requestedAtMs = monotonicMs;
  }

  /** Records that the renewal requested at `requestedAtMs` was read back. */
  markConfirmed(requestedAtMs: number): void {
    this.renewedAtMs = Math.max(this.renewedAtMs, requestedAtMs);
  }

  /**
   * Whether the session is valid, so that no other VM can hold this VM's
   * leases.
   */
  isValid(monotonicMs: number): boolean {
    return monotonicMs < this.validUntilMs();
  }

  /** Returns the end of the session's validity, ms on the monotonic clock. */
  validUntilMs(): number {
    return this.renewedAtMs + this.timing.ttlMs * (1 - CLOCK_RATE_MARGIN);
  }
}
