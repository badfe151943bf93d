/** A VM's share of the appends that the platform's log takes. */

/** Appends that may follow one another at once after a pause. */
const BURST_APPENDS = 4;
const MS_PER_SECOND = 1000;

/**
 * A token bucket over all streams of one VM. The log refuses appends over a
 * limit that all VMs share; if each took what it liked, a busy VM would starve
 * the session renewals of the others and cost them their leases. Each VM keeps
 * to the deployment's budget divided by the number of live VMs, which it knows
 * without asking anybody.
 */
export class AppendBudget {
  private tokens = BURST_APPENDS;
  private refilledAtMs = 0;

  constructor(private appendsPerSecond: number) {}

  setAppendsPerSecond(appendsPerSecond: number): void {
    this.appendsPerSecond = appendsPerSecond;
  }

  /** Ms from one append to the next when all of the share is used. */
  get intervalMs(): number {
    return MS_PER_SECOND / this.appendsPerSecond;
  }

  /** Ms until an append may be made; 0 for now. */
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
