/**
 * Tracks how fast endpoints generate, from the gaps between events of the runs
 * on this VM. Liveness checks pass on an endpoint that has become slow, so only
 * its output shows it.
 *
 * A gap grows with the number of runs on the endpoint, and endpoints of one
 * service differ by nature. The tracker therefore stores the pace: the gap that
 * a single run would see.
 */

import {findLowerMedian} from './lower_median.js';
import {computeGrowth, type SpeedForecast, SpeedModel} from './speed_model.js';

interface Speed {
  /** Smoothed pace, ms per event. */
  paceMs: number;
  samples: number;
  lastMs: number;
  /** Smallest smoothed pace so far, as of a healthy endpoint. */
  bestMs: number;
}

/** Share by which each further run on an endpoint increases the event gap. */
export const SLOWDOWN_PER_RUN = 0.023;
/**
 * Weight of a new sample; about the last eight count. At usual rates this
 * follows a change within half a second.
 */
const SMOOTHING = 0.12;
/** Minimum number of samples for a reading. */
const MIN_SAMPLES = 6;
/**
 * How long a reading is valid, ms; after that the endpoint gets work again,
 * which yields new readings.
 */
const READING_VALIDITY_MS = 4000;
/**
 * An endpoint is slow beyond this multiple of the typical pace. Healthy
 * endpoints differ by a factor of 1.3, slow ones by 3 and more.
 */
const SLOW_FACTOR = 1.9;
/**
 * A slow endpoint remains slow until its pace is below this multiple; a single
 * bound would move work back and forth.
 */
const RECOVERED_FACTOR = 1.4;
/**
 * Assumed pace if no endpoint has a reading, ms per event; only ratios matter
 * then.
 */
const UNKNOWN_PACE_MS = 40;
/**
 * How often the typical pace is recomputed, ms; decisions are made every few
 * ms.
 */
const TYPICAL_REFRESH_MS = 50;
/**
 * A longer gap is a pause, such as a load of weights, and not a sample of the
 * speed, ms. The slowest engines seen generate an event every 250 ms.
 */
const MAX_GAP_MS = 500;

export class SpeedTracker extends SpeedModel {
  private readonly speeds = new Map<string, Speed>();
  private slow: ReadonlySet<string> = new Set();
  private typicalPaceMs: number | undefined;
  /** Steady ms at which the typical pace was last computed. */
  private typicalAtMs = -Infinity;

  /**
   * Records that two events of one run were `gapMs` apart, with `runs` on the
   * endpoint.
   */
  record(endpointId: string, gapMs: number, runs: number, nowMs: number): void {
    if (gapMs > MAX_GAP_MS) return;
    const paceMs = gapMs / computeCrowdingFactor(runs);
    const speed = this.speeds.get(endpointId);
    if (!speed || nowMs - speed.lastMs > READING_VALIDITY_MS) {
      const bestMs = speed?.bestMs ?? Infinity;
      const first = {paceMs, samples: 1, lastMs: nowMs, bestMs};
      this.speeds.set(endpointId, first);
      return;
    }
    speed.paceMs += (paceMs - speed.paceMs) * SMOOTHING;
    speed.samples += 1;
    speed.lastMs = nowMs;
    if (speed.samples < MIN_SAMPLES) return;
    speed.bestMs = Math.min(speed.bestMs, speed.paceMs);
  }

  forget(endpointId: string): void {
    this.speeds.delete(endpointId);
    this.typicalAtMs = -Infinity;
  }

  /**
   * Pace of the endpoint, ms per event: the current one if there is a valid
   * reading, otherwise the best one, as the cause of a slowdown may be gone.
   */
  findPaceMs(endpointId: string, nowMs: number): number | undefined {
    const bestMs = this.speeds.get(endpointId)?.bestMs ?? Infinity;
    const bestPaceMs = Number.isFinite(bestMs) ? bestMs : undefined;
    return this.getCurrentPaceMs(endpointId, nowMs) ?? bestPaceMs;
  }

  /**
   * Pace of a typical endpoint, for endpoints without readings, ms per event.
   */
  findTypicalPaceMs(nowMs: number): number | undefined {
    // Cached, as it is requested once for each endpoint without readings.
    if (nowMs - this.typicalAtMs >= TYPICAL_REFRESH_MS) {
      this.typicalAtMs = nowMs;
      this.typicalPaceMs = this.computeTypicalPaceMs(nowMs);
    }
    return this.typicalPaceMs;
  }

  private computeTypicalPaceMs(nowMs: number): number | undefined {
    const paces: number[] = [];
    for (const id of this.speeds.keys()) {
      const paceMs = this.findPaceMs(id, nowMs);
      if (paceMs !== undefined) paces.push(paceMs);
    }
    return findLowerMedian(paces);
  }

  /**
   * Predicted gap between the events of each of `runs` runs on an endpoint, ms.
   */
  predictGapMs(endpointId: string, runs: number, nowMs: number): number {
    const paceMs =
      this.findPaceMs(endpointId, nowMs) ??
      this.findTypicalPaceMs(nowMs) ??
      UNKNOWN_PACE_MS;
    return paceMs * computeCrowdingFactor(runs);
  }

  forecast(endpointId: string, nowMs: number): SpeedForecast {
    const paceMs = this.predictGapMs(endpointId, 1, nowMs);
    return {paceMs, growthPerRun: SLOWDOWN_PER_RUN, delayMs: 0};
  }

  /** Returns the endpoints that are much slower than the typical one. */
  listSlow(nowMs: number): ReadonlySet<string> {
    const paces = new Map<string, number>();
    for (const id of this.speeds.keys()) {
      const paceMs = this.getCurrentPaceMs(id, nowMs);
      if (paceMs !== undefined) paces.set(id, paceMs);
    }
    const typical = findLowerMedian([...paces.values()]) ?? Infinity;
    const slow = new Set<string>();
    for (const [id, paceMs] of paces) {
      const factor = this.slow.has(id) ? RECOVERED_FACTOR : SLOW_FACTOR;
      if (paceMs > typical * factor) slow.add(id);
    }
    this.slow = slow;
    return slow;
  }

  /** Smoothed pace, or undefined without a valid reading. */
  private getCurrentPaceMs(
    endpointId: string,
    nowMs: number,
  ): number | undefined {
    const speed = this.speeds.get(endpointId);
    if (!speed || speed.samples < MIN_SAMPLES) return undefined;
    return nowMs - speed.lastMs > READING_VALIDITY_MS
      ? undefined
      : speed.paceMs;
  }
}

/**
 * Returns the factor by which the event gap grows if `runs` runs share an
 * endpoint.
 */
export function computeCrowdingFactor(runs: number): number {
  return computeGrowth(SLOWDOWN_PER_RUN, runs);
}
