/**
 * How many engines may load weights at once, and how long a load takes.
 *
 * Engines fetch weights over something that they share. Up to a number that
 * nobody tells, loads do not slow each other; beyond it each takes longer, none
 * comes sooner, and items are sent to engines that are not ready. So the number
 * is found out: it grows while loads take what they took at their best, and
 * shrinks when they take much longer.
 */

import {findLowerMedian} from './lower_median.js';

/** One load that has ended, in ms of the steady clock. */
export interface EndedLoad {
  readonly startedMs: number;
  readonly endedMs: number;
}

/** Engines that load at once at most, as a share of all. */
const MAX_SHARE = 0.29;
/** Engines that may load at once however few there are. */
const MIN_AT_ONCE = 2;
/** Engines that may load at once until loads have shown that more may; never fewer later, as a VM that is late itself takes all loads for slow. */
const INITIAL_AT_ONCE = 10;
/** Loads that take this many times their best slow each other. */
const SLOWDOWN_FACTOR = 1.5;
/** Loads of which the middle one is judged, so that one slow engine, or one load that had begun before, does not count. */
const SAMPLE_SIZE = 5;
/** How long a load is taken to last until one was seen, ms. */
const INITIAL_LOAD_MS = 950;
/** Bounds on what is learned of the length of loads, ms. */
const MIN_LOAD_MS = 100;
const MAX_LOAD_MS = 5000;
/** Weight of the last load in the expected length. */
const SMOOTHING = 0.25;

/** Learns from the loads of one coordinator's term. */
export class LoadLimiter {
  private atOnce = INITIAL_AT_ONCE;
  private expectedLoadMs = INITIAL_LOAD_MS;
  /** The least that a middle load of `JUDGED` took, ms. */
  private bestMs = MAX_LOAD_MS;
  private samples: number[] = [];
  /** Loads that began before this steady ms tell of a number that was given up. */
  private sampledFromMs = -Infinity;
  private hasBeenSlowed = false;

  /** How long the next load should take, ms. */
  get expectedMs(): number {
    return this.expectedLoadMs;
  }

  /** How many of `engineCount` engines may load at once. */
  computeLimit(engineCount: number): number {
    const maxAtOnce = Math.floor(engineCount * MAX_SHARE);
    return Math.max(MIN_AT_ONCE, Math.min(maxAtOnce, Math.floor(this.atOnce)));
  }

  /** A load has ended while `limit` engines might load at once, and as many did if `isFull`. */
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
      // Loads that began beside too many others end late as well.
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

  /** Doubles with each round of loads until they slow each other for the first time, then one by one. */
  private grow(): void {
    this.atOnce += this.hasBeenSlowed ? SAMPLE_SIZE / this.atOnce : SAMPLE_SIZE;
  }
}

function clampLoad(tookMs: number): number {
  return Math.min(Math.max(tookMs, MIN_LOAD_MS), MAX_LOAD_MS);
}
