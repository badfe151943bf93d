/**
 * Decides whether an endpoint's report that its machine is slowed down is used. A
 * report is valid for a short time, is bounded, and is ignored if the event gaps
 * keep contradicting it.
 */

/** How long a report is valid, ms. */
const VALIDITY_MS = 500;
/** Bounds of a reported slowdown. */
const MIN_SLOWDOWN = 1;
const MAX_SLOWDOWN = 3;
/** Share of the reported excess that a gap must show to confirm the report. */
const CONFIRMED_SHARE = 0.25;
/** Weight of the newest comparison in the trust. */
const TRUST_SMOOTHING = 0.25;
/** Reports are ignored below this share of confirmed ones. */
const MIN_TRUST = 0.25;

/** Reports of one endpoint; times are steady ms. */
export class SlowdownReport {
  private slowdown = MIN_SLOWDOWN;
  private reportedMs = -Infinity;
  private isCompared = true;
  private trust = 1;

  /** Whether the endpoint reports at all, as it shares its machine. */
  get isReported(): boolean {
    return this.reportedMs > -Infinity;
  }

  report(slowdown: number, nowMs: number): void {
    if (!Number.isFinite(slowdown)) return;
    this.slowdown = Math.min(Math.max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN);
    this.reportedMs = nowMs;
    this.isCompared = this.slowdown === MIN_SLOWDOWN;
  }

  /** Compares the newest report with the first event gap after it. */
  compare(observed: number, nowMs: number): void {
    if (this.isCompared || nowMs - this.reportedMs > VALIDITY_MS) return;
    this.isCompared = true;
    const excess = (this.slowdown - MIN_SLOWDOWN) * CONFIRMED_SHARE;
    const isConfirmed = observed > MIN_SLOWDOWN + excess;
    this.trust += (Number(isConfirmed) - this.trust) * TRUST_SMOOTHING;
  }

  /** The reported slowdown if it is valid and trusted; otherwise 1, which means none. */
  getSlowdown(nowMs: number): number {
    const isUsed =
      this.trust >= MIN_TRUST && nowMs - this.reportedMs <= VALIDITY_MS;
    return isUsed ? this.slowdown : MIN_SLOWDOWN;
  }
}
