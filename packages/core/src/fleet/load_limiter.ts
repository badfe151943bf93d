/**
 * Limits how many engines load weights at once, and predicts how long a load
 * takes.
 *
 * Engines fetch weights over a shared resource. Up to some unknown number,
 * loads do not slow each other. Beyond it every load takes longer, none ends
 * sooner, and items are sent to engines that are not ready. The limiter finds
 * this number: its limit grows while loads take about their best time, and
 * shrinks when they take much longer.
 */

import {findLowerMedian} from './lower_median.js';

/** A load that has ended; times are steady ms. */
export interface EndedLoad {
  readonly startedMs: number;
  readonly endedMs: number;
}

/** Maximum share of all engines that load at once. */
const MAX_SHARE = 0.29;
/** Number of engines that may always load at once, even in a small fleet. */
const MIN_AT_ONCE = 2;
/**
 * Initial limit until loads have shown that more are possible. The limit does
 * not fall below it later, because a VM that is itself delayed sees all loads
 * as slow.
 */
const INITIAL_AT_ONCE = 10;
/** Loads slow each other if they take this many times their best time. */
const SLOWDOWN_FACTOR = 1.5;
/**
 * Number of loads whose median is judged, so that a single slow engine or a
 * load that started earlier does not count.
 */
const SAMPLE_SIZE = 5;
/** Assumed duration of a load before the first one ended, ms. */
const INITIAL_LOAD_MS = 950;
/** Bounds on the duration of a single load, ms. */
const MIN_LOAD_MS = 100;
const MAX_LOAD_MS = 5000;
/** Weight of the latest load in the expected duration. */
const SMOOTHING = 0.25;

/** Learns from the loads during one coordinator's term. */
export class LoadLimiter {
  private atOnce = INITIAL_AT_ONCE;
  private expectedLoadMs = INITIAL_LOAD_MS;
  /** Least median of `SAMPLE_SIZE` loads so far, ms. */
  private bestMs = MAX_LOAD_MS;
  private samples: number[] = [];
  /**
   * Loads that started before this time (steady ms) ran under a limit that has
   * since been reduced.
   */
  private sampledFromMs = -Infinity;
  private hasBeenSlowed = false;

  /** Expected duration of the next load, ms. */
  get expectedMs(): number {
    return this.expectedLoadMs;
  }

  /** Returns how many of `engineCount` engines may load at once. */
  computeLimit(engineCount: number): number {
    const maxAtOnce = Math.floor(engineCount * MAX_SHARE);
    return Math.max(MIN_AT_ONCE, Math.min(maxAtOnce, Math.floor(this.atOnce)));
  }

  /**
   * Records a load that ended under `limit`; `isFull` if as many engines as
   * allowed were loading.
   */
  recordLoad(
    {startedMs, endedMs}: EndedLoad,
    limit: number,
    isFull: boolean,
  ): void {
    const tookMs = clampLoad(endedMs - startedMs);
    this.expectedLoadMs += (tookMs - this.expectedLoadMs) * SMOOTHING;
    if (startedMs < this.sampledFromMs) return;
    this.samples.push(tookMs);
    if (this.samples.length < SAMPLE_SIZE) return;
    const typicalMs = findLowerMedian(this.samples)!;
    this.samples = [];
    this.bestMs = Math.min(this.bestMs, typicalMs);
    if (typicalMs > this.bestMs * SLOWDOWN_FACTOR) {
      // Loads that started together with too many others also end late.
      this.sampledFromMs = endedMs + typicalMs;
      this.shrink(limit * (this.bestMs / typicalMs));
    } else if (isFull) {
      this.grow();
    }
  }

  private shrink(atOnce: number): void {
    this.atOnce = Math.max(INITIAL_AT_ONCE, atOnce);
    this.hasBeenSlowed = true;
  }

  /**
   * Doubles the limit with each round of loads until they slow each other for
   * the first time; then increases it by one per round.
   */
  private grow(): void {
    this.atOnce += this.hasBeenSlowed ? SAMPLE_SIZE / this.atOnce : SAMPLE_SIZE;
  }
}

function clampLoad(tookMs: number): number {
  return Math.min(Math.max(tookMs, MIN_LOAD_MS), MAX_LOAD_MS);
}
