/**
 * Finds how many concurrent requests an endpoint can run, from its reports, and
 * divides that number among the VMs without a coordinator.
 */

import type {LoadReport} from '@radishyoke/shared/endpoint';

/** The limit before any report. */
const INITIAL_LIMIT = 16;
const MIN_LIMIT = 1;
const MAX_LIMIT = 1024;
/** Share of the limit that must be in use for it to grow. */
const GROWTH_MIN_UTILIZATION = 0.8;
const GROWTH_FACTOR = 1.15;
const REJECTION_FACTOR = 0.7;
/** Relative difference up to which two batch sizes count as equal. */
const SAME_BATCH_TOLERANCE = 0.05;
/** Time for which a ceiling found at saturation holds before it is raised. */
const CEILING_VALID_MS = 10_000;
/** Factor by which the ceiling is raised then. */
const CEILING_RAISE_FACTOR = 1.1;

/**
 * Adapts the concurrency limit of one endpoint. Engines accept all requests and
 * queue inside what they can't run, where priorities have no effect. So the limit
 * drops to the running number once requests keep waiting there, and grows while
 * the endpoint keeps up.
 */
export class ConcurrencyLimit {
  private value = INITIAL_LIMIT;
  private rejectedAtMs = -Infinity;
  /** Number of requests that ran when the endpoint was last saturated. */
  private ceiling = MAX_LIMIT;
  private ceilingAtMs = 0;
  private lastReport?: LoadReport;

  get limit(): number {
    return Math.max(MIN_LIMIT, Math.floor(this.value));
  }

  recordReport(report: LoadReport): void {
    const {running, measuredAtMs} = report;
    const previous = this.lastReport;
    this.lastReport = report;
    if (previous && isSaturated(previous, report)) {
      // Each time the limit grew past this ceiling, interactive requests would wait
      // inside the endpoint.
      this.ceiling = running;
      this.ceilingAtMs = measuredAtMs;
      this.value = clamp(Math.min(this.value, running));
      return;
    }
    if (measuredAtMs - this.ceilingAtMs > CEILING_VALID_MS) {
      this.ceiling = clamp(Math.ceil(this.ceiling * CEILING_RAISE_FACTOR));
      this.ceilingAtMs = measuredAtMs;
    }
    // A report measured before the last rejection doesn't reflect it.
    if (measuredAtMs <= this.rejectedAtMs) return;
    if (running >= this.value * GROWTH_MIN_UTILIZATION) {
      this.value = Math.min(
        this.ceiling,
        clamp(this.value * GROWTH_FACTOR + 1),
      );
    }
  }

  recordRejection(nowMs: number): void {
    this.rejectedAtMs = nowMs;
    this.value = clamp(this.value * REJECTION_FACTOR);
  }
}

/**
 * Whether the endpoint runs as many requests as it can. Engines rebuild their
 * batch at intervals, and new requests wait until then, which is no saturation.
 * So requests must be waiting in two reports in a row with batches of equal size.
 */
function isSaturated(previous: LoadReport, current: LoadReport): boolean {
  const isWaiting = previous.waiting > 0 && current.waiting > 0;
  const change = Math.abs(current.running - previous.running);
  return (
    isWaiting &&
    current.running > 0 &&
    change <= current.running * SAME_BATCH_TOLERANCE
  );
}

function clamp(limit: number): number {
  return Math.min(MAX_LIMIT, Math.max(MIN_LIMIT, limit));
}

/**
 * Divides `limit` among VMs by max-min fairness: each gets its demand up to an
 * equal share, and what others don't need is divided equally among the rest.
 * VMs with the same view compute the same shares, which add up to at most
 * `limit`. Remainders go to the VMs from `offset` on, which differs by endpoint
 * so that no VM is favoured everywhere.
 */
export function divideLimit(
  limit: number,
  demands: readonly number[],
  offset: number,
): readonly number[] {
  const shares = demands.map(() => 0);
  let remaining = limit;
  let unsatisfied = demands
    .map((_, index) => index)
    .filter(i => demands[i] > 0);
  while (remaining > 0 && unsatisfied.length > 0) {
    const each = Math.floor(remaining / unsatisfied.length);
    if (each === 0) break;
    for (const index of unsatisfied) {
      const share = Math.min(each, demands[index] - shares[index]);
      shares[index] += share;
      remaining -= share;
    }
    unsatisfied = unsatisfied.filter(index => shares[index] < demands[index]);
  }
  const start = unsatisfied.findIndex(
    index => index >= offset % demands.length,
  );
  for (let i = 0; i < unsatisfied.length && remaining > 0; i++, remaining--) {
    shares[unsatisfied[(Math.max(0, start) + i) % unsatisfied.length]]++;
  }
  return shares;
}
