/**
 * Requests that endpoints answered lately. A request that is asked all the time
 * is beside most crashes; what it was answered a moment ago clears it, on all
 * VMs, as it can not be what crashes endpoints.
 */

/** An answer speaks for a request for this long, ms: one that has begun to crash endpoints since is not answered any more. */
const ANSWER_VALIDITY_MS = 10_000;
/** Requests that are kept, the last answered. */
export const MAX_ANSWERED = 1000;

export class RecentAnswers {
  /** Steady ms by fingerprint, the oldest first. */
  private readonly answeredMs = new Map<string, number>();

  record(fingerprint: string, nowMs: number): void {
    this.answeredMs.delete(fingerprint);
    this.answeredMs.set(fingerprint, nowMs);
    if (this.answeredMs.size <= MAX_ANSWERED) return;
    const [oldest] = this.answeredMs.keys();
    this.answeredMs.delete(oldest);
  }

  hasRecent(fingerprint: string, nowMs: number): boolean {
    const answeredMs = this.answeredMs.get(fingerprint) ?? -Infinity;
    return nowMs - answeredMs <= ANSWER_VALIDITY_MS;
  }
}
