/**
 * Tracks requests that endpoints answered recently. A request that is sent
 * continually is in flight during most crashes. A recent answer on any VM clears
 * it, as it shows that the request does not crash endpoints.
 */

/**
 * How long an answer clears its request, ms. A request that has started to
 * crash endpoints gets no further answers, so its last one soon expires.
 */
const ANSWER_VALIDITY_MS = 10_000;
/**
 * Maximum number of tracked requests; the most recently answered are retained.
 */
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
