/**
 * Tracks the present and the usual pace of one engine. Comparing them separates
 * an engine that has become slow from one that always is.
 */

import {SlowdownReport} from './slowdown_report.js';

/** Weight of a new sample in the present pace. */
const SMOOTHING = 0.12;
/** Minimum number of samples for a reading. */
const MIN_SAMPLES = 6;
/** How long a reading is valid, ms. */
const READING_VALIDITY_MS = 4000;
/** Time over which the usual pace follows a present pace that is close to it, ms. */
const FOLLOW_MS = 5000;
/**
 * The same if the present pace is much better: an engine may be first observed
 * during a slowdown, but a slow engine does not become fast for a short time.
 */
const IMPROVE_MS = 1000;
/** Bounds of the present pace, as shares of the usual one, that are close to it. */
const MIN_CLOSE_RATIO = 0.7;
const MAX_CLOSE_RATIO = 1.4;
/** Rise per second of the usual pace while the present one is above `MAX_CLOSE_RATIO`. */
const MAX_USUAL_RISE_PER_S = 0.02;
/** Maximum time that one sample covers, ms. */
const MAX_SAMPLE_MS = 200;
/** The usual pace is known once samples have come for this long, ms. */
const KNOWN_AFTER_MS = 4000;
/** An engine is slow beyond this multiple of its standard pace. */
const SLOW_FACTOR = 1.9;
/** A slow engine recovers below this multiple. */
const RECOVERED_FACTOR = 1.4;
/**
 * Time for which an engine on a shared machine must be slow before its runs
 * leave, ms. Shorter slowdowns pass before a move would pay.
 */
const PERSISTENCE_MS = 800;
/** Time after which an engine that was left as slow is planned with its usual pace again, ms. */
const SUSPECT_MS = 8000;
/** Typical duration of a disturbance that passes, ms. */
const DISTURBANCE_MS = 600;

/** Pace of one engine, in ms per event; times are steady ms. */
export class EnginePace {
  readonly reports = new SlowdownReport();
  private presentMs = 0;
  /** The newest sample of the pace. */
  private latestMs = 0;
  private usualMs: number | undefined;
  private samples = 0;
  private firstMs = Infinity;
  private lastMs = -Infinity;
  /** Start of the gap since which the engine has been slow. */
  private slowSinceMs = Infinity;
  /** Time of the last sample that was slow. */
  private lastSlowMs = -Infinity;
  private isSlow = false;
  /** Whether the engine was slow when its last reading expired. */
  private isSuspect = false;

  /** Records a sample of the pace; `standardMs` is the pace without a slowdown. */
  record(paceMs: number, gapMs: number, standardMs: number, nowMs: number) {
    if (nowMs - this.lastMs > READING_VALIDITY_MS) this.restart(paceMs);
    const stepMs = Math.min(nowMs - this.lastMs, MAX_SAMPLE_MS);
    this.presentMs += (paceMs - this.presentMs) * SMOOTHING;
    this.samples += 1;
    this.latestMs = paceMs;
    this.firstMs = Math.min(this.firstMs, nowMs);
    this.lastMs = nowMs;
    if (this.usualMs !== undefined) {
      this.reports.compare(paceMs / this.usualMs, nowMs);
    }
    this.updateSlowSince(paceMs, gapMs, standardMs, nowMs);
    if (this.samples >= MIN_SAMPLES) this.learnUsual(stepMs);
  }

  private restart(paceMs: number): void {
    // The first samples after a suspicion confirm or end it.
    if (!this.isSuspect) this.presentMs = paceMs;
    this.samples = 0;
    this.slowSinceMs = Infinity;
  }

  private updateSlowSince(
    paceMs: number,
    gapMs: number,
    standardMs: number,
    nowMs: number,
  ): void {
    const limitMs = standardMs * SLOW_FACTOR;
    if (paceMs > limitMs) {
      this.slowSinceMs = Math.min(this.slowSinceMs, nowMs - gapMs);
      this.lastSlowMs = nowMs;
    } else if (this.presentMs <= limitMs) {
      this.slowSinceMs = Infinity;
    }
  }

  private learnUsual(stepMs: number): void {
    this.usualMs ??= this.presentMs;
    const ratio = this.presentMs / this.usualMs;
    if (ratio > MAX_CLOSE_RATIO) {
      this.usualMs *= 1 + MAX_USUAL_RISE_PER_S * (stepMs / 1000);
      return;
    }
    // Early on, the growth by run is still being learned and moves all paces.
    const ageMs = Math.max(this.lastMs - this.firstMs, IMPROVE_MS);
    const followMs =
      ratio < MIN_CLOSE_RATIO ? IMPROVE_MS : Math.min(ageMs, FOLLOW_MS);
    this.usualMs += (this.presentMs - this.usualMs) * (stepMs / followMs);
  }

  /** Pace without disturbances, ms per event; undefined without samples. */
  getUsualMs(): number | undefined {
    return this.usualMs;
  }

  /** Current pace, ms per event; undefined without a valid reading. */
  getPresentMs(nowMs: number): number | undefined {
    const isValid =
      this.samples >= MIN_SAMPLES && nowMs - this.lastMs <= READING_VALIDITY_MS;
    return isValid ? this.presentMs : undefined;
  }

  /** Whether the engine has been observed long enough for its usual pace to be known. */
  isKnown(): boolean {
    return this.lastMs - this.firstMs >= KNOWN_AFTER_MS;
  }

  /**
   * Pace to plan with, ms per event: the usual one, unless the engine is slow
   * or was left as slow. After that it returns to the usual one over time.
   */
  getPlannedMs(nowMs: number): number | undefined {
    if (this.usualMs === undefined) return undefined;
    if (this.isSlow || this.isDisturbed(nowMs)) return this.presentMs;
    if (!this.isSuspect) return this.usualMs;
    const ageMs = nowMs - this.lastMs - READING_VALIDITY_MS;
    const share = Math.min(Math.max(1 - ageMs / SUSPECT_MS, 0), 1);
    return this.usualMs + (this.presentMs - this.usualMs) * share;
  }

  /** Whether it is slower now on a machine that it does not share, so that the slowdown may last. */
  private isDisturbed(nowMs: number): boolean {
    if (this.reports.isReported || this.usualMs === undefined) return false;
    const presentMs = this.getPresentMs(nowMs) ?? 0;
    return presentMs > this.usualMs * MAX_CLOSE_RATIO;
  }

  /** Whether runs should leave the engine, as it has been slow for long. */
  updateSlow(standardMs: number, nowMs: number): boolean {
    const presentMs = this.getPresentMs(nowMs);
    if (presentMs === undefined) {
      // Nothing has shown yet that a slow engine has recovered.
      this.isSuspect ||= this.isSlow;
      this.isSlow = false;
      return false;
    }
    this.isSuspect = false;
    if (this.isSlow) {
      this.isSlow = presentMs > standardMs * RECOVERED_FACTOR;
    } else {
      this.isSlow = this.isLasting() && presentMs > standardMs * SLOW_FACTOR;
    }
    return this.isSlow;
  }

  /** Whether the slowness may last; on a machine that is not shared it always may. */
  private isLasting(): boolean {
    if (!this.reports.isReported) return true;
    return this.lastSlowMs - this.slowSinceMs >= PERSISTENCE_MS;
  }

  /** Whether the last `updateSlow` found the engine slow. */
  get wasSlow(): boolean {
    return this.isSlow;
  }

  /**
   * Time that a run will lose until a disturbance passes, ms. The engine's
   * report is newer than the gaps, which then confirm it or not.
   */
  getDelayMs(nowMs: number): number {
    const reported = this.reports.getSlowdown(nowMs);
    const slowdown = Math.max(this.getObservedSlowdown(nowMs), reported);
    if (!this.reports.isReported || slowdown <= MAX_CLOSE_RATIO) return 0;
    return this.estimateDisturbanceMs(nowMs) * (1 - 1 / slowdown);
  }

  /**
   * Slowdown that the gaps show. The newest one counts by itself, as a
   * disturbance is half over before the smoothed pace shows it.
   */
  private getObservedSlowdown(nowMs: number): number {
    const presentMs = this.getPresentMs(nowMs);
    if (presentMs === undefined || this.usualMs === undefined) return 1;
    // Older gaps do not show whether the disturbance goes on.
    if (nowMs - this.lastMs > DISTURBANCE_MS) return 1;
    return Math.max(presentMs, this.latestMs) / this.usualMs;
  }

  /** Expected rest of a disturbance, ms. */
  private estimateDisturbanceMs(nowMs: number): number {
    const elapsedMs = nowMs - this.slowSinceMs;
    // One that has outlasted the typical duration may be of any length.
    return elapsedMs >= 0 && elapsedMs < DISTURBANCE_MS
      ? DISTURBANCE_MS - elapsedMs
      : DISTURBANCE_MS;
  }
}
