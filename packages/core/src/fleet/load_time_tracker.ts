/**
 * Predicts how long a load of weights takes.
 *
 * The prediction is a high quantile of the latest loads: an item sent too soon is
 * refused, and one sent too late leaves the engine idle. The true end of a load
 * that was over in time is not known; it counts as slightly shorter than
 * expected, so that the prediction can fall.
 */

/** What was seen of one load; times are steady ms. */
export interface ObservedLoad {
  readonly startedMs: number;
  /** When its end was expected. */
  readonly expectedMs: number;
  /** Latest time after `expectedMs` at which it was seen running; undefined if it was not. */
  readonly lastRunningMs: number | undefined;
  /** Earliest time at which it was known to be over. */
  readonly knownOverMs: number;
}

/** Assumed duration of a load before the first one was seen, ms. */
const INITIAL_MS = 950;
/** Bounds on the duration of a single load, ms. */
const MIN_MS = 100;
const MAX_MS = 5000;
/** Number of the latest loads that count. */
const WINDOW = 8;
/** Share of the loads that should be over at the predicted time. */
const QUANTILE = 0.75;
/** Amount by which a load that was over in time counts as shorter than expected, ms. */
const ON_TIME_REDUCTION_MS = 10;
/**
 * Number of loads that were over in time in a row after which that amount
 * doubles, so that the prediction falls soon once loads are short again.
 */
const LOADS_PER_DOUBLING = 8;

/** Durations of the latest loads of all engines. */
export class LoadTimeTracker {
  private readonly tookMs: number[] = [];
  private predictedMs = INITIAL_MS;
  /** Number of loads since one was last seen running at its expected end. */
  private onTimeCount = 0;

  /** Predicted duration of the next load, ms. */
  get expectedMs(): number {
    return this.predictedMs;
  }

  /** Records a load, and returns about when it ended. */
  record(load: ObservedLoad): number {
    const {startedMs} = load;
    const estimatedMs = this.estimateEnd(load) - startedMs;
    const tookMs = Math.min(Math.max(estimatedMs, MIN_MS), MAX_MS);
    this.tookMs.push(tookMs);
    if (this.tookMs.length > WINDOW) this.tookMs.shift();
    const sorted = [...this.tookMs].sort((a, b) => a - b);
    const rank = Math.ceil(sorted.length * QUANTILE) - 1;
    this.predictedMs = sorted[rank];
    return startedMs + tookMs;
  }

  private estimateEnd(load: ObservedLoad): number {
    const {expectedMs, lastRunningMs, knownOverMs} = load;
    if (lastRunningMs !== undefined) {
      this.onTimeCount = 0;
      return (lastRunningMs + knownOverMs) / 2;
    }
    const doublings = Math.floor(this.onTimeCount / LOADS_PER_DOUBLING);
    this.onTimeCount += 1;
    return expectedMs - ON_TIME_REDUCTION_MS * 2 ** doublings;
  }
}
