/**
 * Predicts how fast endpoints generate. A gap between events grows with the
 * number of runs on the endpoint; the pace is the gap that a single run would
 * see.
 */

/** Expected speed of one endpoint. */
export interface SpeedForecast {
  /** Gap between the events of a single run, ms. */
  readonly paceMs: number;
  /** Share by which each further run increases the gap. */
  readonly growthPerRun: number;
  /** Time that a new run will lose to a disturbance that is about to pass, ms. */
  readonly delayMs: number;
}

/** Speeds of endpoints, learned from event gaps; times are steady ms. */
export abstract class SpeedModel {
  /**
   * Records that two events of one run were `gapMs` apart, with `runs` on the
   * endpoint.
   */
  abstract record(
    endpointId: string,
    gapMs: number,
    runs: number,
    nowMs: number,
  ): void;

  /** Drops what is known of an endpoint that was removed or has restarted. */
  abstract forget(endpointId: string): void;

  abstract forecast(endpointId: string, nowMs: number): SpeedForecast;

  /**
   * Predicted gap between the events of each of `runs` runs on an endpoint at
   * its current speed, ms.
   */
  abstract predictGapMs(
    endpointId: string,
    runs: number,
    nowMs: number,
  ): number;

  /** Pace of a typical endpoint, ms per event; undefined without samples. */
  abstract findTypicalPaceMs(nowMs: number): number | undefined;

  /** Returns the endpoints that runs should leave, as they are much too slow. */
  abstract listSlow(nowMs: number): ReadonlySet<string>;
}

/** Factor by which the event gap grows if `runs` runs share an endpoint. */
export function computeGrowth(growthPerRun: number, runs: number): number {
  return 1 + growthPerRun * Math.max(runs - 1, 0);
}
