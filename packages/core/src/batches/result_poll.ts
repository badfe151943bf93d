/**
 * Decides how long a read of results is held. A trainer reads at an interval and
 * continues once enough groups are complete, so an answer that does not complete
 * the step is held for further results: otherwise the trainer would get those
 * only with its next read.
 */

/** State of the results that a read could return now. */
export interface AvailableResults {
  /** Number of results from the requested position on. */
  readonly count: number;
  /** Whether no further result will come. */
  readonly isComplete: boolean;
  /** Whether as many groups are complete as the trainer waits for. */
  readonly isStepReady: boolean;
}

/** Time limits of one read. */
export interface PollTerms {
  /** Steady ms until which the caller accepts to wait for a result. */
  readonly waitUntilMs: number;
  /** Steady ms at which the results are due. */
  readonly dueAtMs: number;
}

/**
 * Maximum delay of available results, ms. Trainers read twice a second, so an
 * answer held for less than half a second does not delay their next read.
 */
const MAX_HOLD_MS = 450;

/** One read of results that may be held. */
export class ResultPoll {
  /** Steady ms at which a result was first available. */
  private firstResultMs: number | undefined;

  constructor(private readonly terms: PollTerms) {}

  /** Returns how long to wait for further results, ms; 0 to answer now. */
  measureWaitMs(available: AvailableResults, nowMs: number): number {
    const {waitUntilMs} = this.terms;
    if (available.isComplete) return 0;
    if (available.count <= 0) return Math.max(waitUntilMs - nowMs, 0);
    if (available.isStepReady) return 0;
    this.firstResultMs ??= nowMs;
    const untilMs = Math.min(
      this.firstResultMs + MAX_HOLD_MS,
      this.getDueLimitMs(this.firstResultMs),
      waitUntilMs,
    );
    return Math.max(untilMs - nowMs, 0);
  }

  /** A result that is there in time is answered in time. */
  private getDueLimitMs(firstResultMs: number): number {
    const {dueAtMs} = this.terms;
    return firstResultMs <= dueAtMs ? dueAtMs : Infinity;
  }
}
