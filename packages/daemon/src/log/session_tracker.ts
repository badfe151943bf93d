/** Whether this VM may still believe in its own leases, by its own clock. */

/** Timing of sessions; equal on all VMs. */
export interface SessionTiming {
  /** Log time without renewal after which the leases of a VM lapse. */
  readonly ttlMs: number;
  readonly renewalMs: number;
}

export const DEFAULT_SESSION_TIMING: SessionTiming = {
  ttlMs: 6000,
  renewalMs: 2000,
};

/** Part of the ttl that a holder leaves for clocks that run at unlike rates. */
const CLOCK_RATE_MARGIN = 0.1;

/**
 * Counts from the moment at which a renewal was handed to the writer, on the
 * monotonic clock: the log took the record later than that, so the session lasts
 * at least as long by the log's clock as by this count. A VM that was paused or
 * cut off from the log sees here that others may hold its leases by now.
 */
export class SessionTracker {
  private renewedAtMs = -Infinity;
  private requestedAtMs = -Infinity;

  constructor(readonly timing: SessionTiming) {}

  /** Whether a renewal is due. */
  isDue(monotonicMs: number): boolean {
    return monotonicMs - this.requestedAtMs >= this.timing.renewalMs;
  }

  /** A renewal is being handed to the writer. */
  markRequested(monotonicMs: number): void {
    this.requestedAtMs = monotonicMs;
  }

  /** The renewal asked for at `askedAtMs` was read back. */
  markConfirmed(requestedAtMs: number): void {
    this.renewedAtMs = Math.max(this.renewedAtMs, requestedAtMs);
  }

  /** Whether no other VM can hold this VM's leases yet. */
  isValid(monotonicMs: number): boolean {
    return monotonicMs < this.validUntilMs();
  }

  /** On the monotonic clock. */
  validUntilMs(): number {
    return this.renewedAtMs + this.timing.ttlMs * (1 - CLOCK_RATE_MARGIN);
  }
}
