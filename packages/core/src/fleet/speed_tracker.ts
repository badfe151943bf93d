/**
 * How fast endpoints generate, from the gaps between events of the runs that
 * this VM follows. Liveness checks pass on an endpoint that has become slow, so
 * only its output tells.
 *
 * A gap grows with the runs beside it, and endpoints of one service differ by
 * nature. So what is kept is the pace: the gap that a lone run would see.
 */

import {findLowerMedian} from './lower_median.js';

interface Speed {
  /** Smoothed pace, ms an event. */
  paceMs: number;
  samples: number;
  lastMs: number;
  /** Smallest smoothed pace that was seen: what the endpoint is like in health. */
  bestMs: number;
}

/** Each run beside a run makes its events come this much later, as a share. */
const SLOWDOWN_PER_RUN = 0.023;
/** Weight of a new sample; about the last eight count. Follows a change within half a second at usual rates. */
const SMOOTHING = 0.12;
/** Fewer samples say nothing yet. */
const MIN_SAMPLES = 6;
/** A reading is trusted this long, ms; then the endpoint is given work again to tell. */
const READING_VALIDITY_MS = 4000;
/** Slower than this multiple of the typical endpoint counts as slow. Endpoints differ by 1.3 by nature, slow ones by 3 and more. */
const SLOW_FACTOR = 1.9;
/** A slow endpoint counts as slow until it is back below this multiple; a bound for both directions would move work back and forth. */
const RECOVERED_FACTOR = 1.4;
/** Pace of an endpoint that has shown nothing, with no other to compare, ms an event; only the proportion matters. */
const UNKNOWN_PACE_MS = 40;
/** The typical pace is worked out this often, ms; a decision follows each few ms. */
const TYPICAL_REFRESH_MS = 50;
/** A longer gap is a pause, such as a load of weights, and tells nothing of the speed, ms. The slowest engines seen make an event in 250. */
const MAX_GAP_MS = 500;

export class SpeedTracker {
  private readonly speeds = new Map<string, Speed>();
  private slow: ReadonlySet<string> = new Set();
  private typicalPaceMs: number | undefined;
  /** When the typical pace was worked out last, steady ms. */
  private typicalAtMs = -Infinity;

  /** Two events of one run came `gapMs` apart, with `runs` on the endpoint. */
  record(endpointId: string, gapMs: number, runs: number, nowMs: number): void {
    if (gapMs > MAX_GAP_MS) return;
    const paceMs = gapMs / computeCrowdingFactor(runs);
    const speed = this.speeds.get(endpointId);
    if (!speed || nowMs - speed.lastMs > READING_VALIDITY_MS) {
      const bestMs = speed?.bestMs ?? Infinity;
      const first = {paceMs, samples: 1, lastMs: nowMs, bestMs: bestMs};
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
   * Pace of the endpoint as far as can be told, ms an event: as it is now, or
   * else as it was at its best, since a hindrance may have passed meanwhile.
   */
  findPaceMs(endpointId: string, nowMs: number): number | undefined {
    const bestMs = this.speeds.get(endpointId)?.bestMs ?? Infinity;
    const knownMs = Number.isFinite(bestMs) ? bestMs : undefined;
    return this.getCurrentPaceMs(endpointId, nowMs) ?? knownMs;
  }

  /** Pace of a typical endpoint, for those that have shown nothing yet, ms an event. */
  findTypicalPaceMs(nowMs: number): number | undefined {
    // Asked for once for each endpoint that has shown nothing.
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

  /** Gap between the events of each of `runs` runs on an endpoint, ms. */
  predictGapMs(endpointId: string, runs: number, nowMs: number): number {
    const paceMs =
      this.findPaceMs(endpointId, nowMs) ??
      this.findTypicalPaceMs(nowMs) ??
      UNKNOWN_PACE_MS;
    return paceMs * computeCrowdingFactor(runs);
  }

  /** Endpoints that are much slower than the typical one. */
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

  /** Smoothed pace, or undefined where nothing recent is known. */
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

/** How many times a lone run's gap one of `runs` runs sees. */
export function computeCrowdingFactor(runs: number): number {
  return 1 + SLOWDOWN_PER_RUN * Math.max(runs - 1, 0);
}
