/**
 * Limits the appends of a VM to its share of the rate that the platform's log permits.
 */

/** Appends that may be made without waiting after a pause. */
const BURST_APPENDS = 4;
const MS_PER_SECOND = 1000;

/**
 * A token bucket over all streams of one VM. The log refuses appends over a limit that
 * all VMs share. Without a share per VM, a busy VM could block the session renewals of
 * the others, which would lose their leases. The share is the deployment's budget
 * divided by the number of live VMs, which needs no coordination.
 */
export class AppendBudget {
  private tokens = BURST_APPENDS;
  private refilledAtMs = 0;

  constructor(private appendsPerSecond: number) {}

  setAppendsPerSecond(appendsPerSecond: number): void {
    this.appendsPerSecond = appendsPerSecond;
  }

  /** Ms between appends at the full rate of this share. */
  get intervalMs(): number {
    return MS_PER_SECOND / this.appendsPerSecond;
  }

  /** Returns the ms until the next append is permitted; 0 if it is permitted now. */
  getWaitMs(nowMs: number): number {
    this.refill(nowMs);
    if (this.tokens >= 1) return 0;
    const missing = 1 - this.tokens;
    return Math.ceil((missing * MS_PER_SECOND) / this.appendsPerSecond);
  }

  takeToken(nowMs: number): void {
    this.refill(nowMs);
    this.tokens -= 1;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.refilledAtMs = nowMs;
    const gained = (elapsedMs * this.appendsPerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(BURST_APPENDS, this.tokens + gained);
  }
}
