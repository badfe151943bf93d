/**
 * Decides the retry delay of a refused caller: the time until the requests before it have
 * been served, plus jitter, so that callers refused together do not retry together.
 */

/** Callers wait at most this share of the time that they have left. */
const MAX_DEADLINE_SHARE = 1 / 3;
/** Shortest delay, ms: less would only repeat the refusal. */
const MIN_RETRY_MS = 20;

/** Inputs of the retry delay. */
export interface ReturnTerms {
  /** Expected time until all that goes before the caller has been served, ms. */
  readonly drainMs: number;
  /** Time until the caller stops waiting, ms. */
  readonly remainingMs: number;
}

/** Returns the time after which the caller may return, ms; `random` is in [0, 1). */
export function decideReturnMs(
  {drainMs, remainingMs}: ReturnTerms,
  random: number,
): number {
  const longestMs = Math.max(remainingMs * MAX_DEADLINE_SHARE, 1);
  const earliestMs = Math.min(
    Math.max(drainMs, MIN_RETRY_MS),
    // Leaves half of the range for the spread.
    longestMs / 2,
  );
  const latestMs = Math.min(2 * earliestMs, longestMs);
  return Math.floor(earliestMs + random * (latestMs - earliestMs));
}
