/**
 * Estimates the share by which each further run on an endpoint increases the
 * event gap, by a regression of the gaps on the number of runs.
 *
 * Both are compared with their recent means on the same endpoint, so endpoints
 * that differ in speed can be pooled. A jump of the gap is a change of the
 * endpoint's speed and resets its means.
 */

import {SLOWDOWN_PER_RUN} from './speed_tracker.js';

interface RecentMeans {
  furtherRuns: number;
  gapMs: number;
  samples: number;
}

/** Bounds of the estimate. */
const MIN_GROWTH = 0.001;
const MAX_GROWTH = 0.1;
/** Weight of the initial estimate, as the sum of squared deviations in runs. */
const PRIOR_WEIGHT = 50;
/** Sum of squared deviations beyond which older samples lose weight. */
const MAX_WEIGHT = 20_000;
/** Number of samples that the recent means cover. */
const MEAN_SAMPLES = 200;
/** Number of samples before deviations from the means count. */
const MIN_SAMPLES = 8;
/** A gap beyond this multiple of the mean, or below its inverse, is a jump. */
const JUMP_FACTOR = 1.6;

/** Estimate for the endpoints of one service. */
export class GrowthEstimate {
  private readonly means = new Map<string, RecentMeans>();
  /** Sums of squared deviations of the runs, and of their products with gaps. */
  private weight = PRIOR_WEIGHT;
  private product = PRIOR_WEIGHT * SLOWDOWN_PER_RUN;

  get growthPerRun(): number {
    const estimate = this.product / this.weight;
    return Math.min(Math.max(estimate, MIN_GROWTH), MAX_GROWTH);
  }

  record(endpointId: string, gapMs: number, runs: number): void {
    const furtherRuns = Math.max(runs - 1, 0);
    const means = this.means.get(endpointId);
    if (!means || isJump(gapMs / means.gapMs)) {
      this.means.set(endpointId, {furtherRuns, gapMs, samples: 1});
      return;
    }
    if (means.samples >= MIN_SAMPLES) this.compare(means, gapMs, furtherRuns);
    means.samples += 1;
    const share = 1 / Math.min(means.samples, MEAN_SAMPLES);
    means.furtherRuns += (furtherRuns - means.furtherRuns) * share;
    means.gapMs += (gapMs - means.gapMs) * share;
  }

  forget(endpointId: string): void {
    this.means.delete(endpointId);
  }

  private compare(means: RecentMeans, gapMs: number, furtherRuns: number) {
    // Relative to the mean gap, which already contains the growth by the mean
    // number of runs.
    const base = 1 + this.growthPerRun * means.furtherRuns;
    const runsDeviation = (furtherRuns - means.furtherRuns) / base;
    const gapDeviation = gapMs / means.gapMs - 1;
    this.weight += runsDeviation ** 2;
    this.product += runsDeviation * gapDeviation;
    if (this.weight <= MAX_WEIGHT) return;
    this.product *= MAX_WEIGHT / this.weight;
    this.weight = MAX_WEIGHT;
  }
}

function isJump(ratio: number): boolean {
  return ratio > JUMP_FACTOR || ratio < 1 / JUMP_FACTOR;
}
