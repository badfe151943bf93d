/**
 * Tracks what one VM observes of a plain service as a whole: how long its requests take,
 * whether its endpoints report slowdowns, and its attempt budget.
 */

import {AttemptBudget} from './attempt_budget.js';

/** Number of answers whose durations are kept. */
const KEPT_ANSWERS = 100;
/** Number of answers from which the 95th percentile is known. */
const MIN_ANSWERS = 20;
/** Quantile of durations at which a hedge is due. */
const QUANTILE = 0.95;

/** Observations of one plain service. */
export class ServiceRecord {
  readonly budget = new AttemptBudget();
  private readonly durationsMs: number[] = [];
  private next = 0;
  private reportsSlowdown = false;

  /** Whether an endpoint of the service ever reported a slowdown. */
  get hasSlowdownReports(): boolean {
    return this.reportsSlowdown;
  }

  recordSlowdownReport(): void {
    this.reportsSlowdown = true;
  }

  /** Records the time from a request's first attempt to its answer. */
  recordAnswer(tookMs: number): void {
    this.durationsMs[this.next] = tookMs;
    this.next = (this.next + 1) % KEPT_ANSWERS;
  }

  /** Time within which 95% of the recent requests were answered, ms; undefined if too few were. */
  measureP95Ms(): number | undefined {
    const count = this.durationsMs.length;
    if (count < MIN_ANSWERS) return undefined;
    const sorted = [...this.durationsMs].sort((a, b) => a - b);
    return sorted[Math.ceil(count * QUANTILE) - 1];
  }
}
