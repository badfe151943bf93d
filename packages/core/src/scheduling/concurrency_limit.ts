/**
 * How many requests an endpoint takes at once, found from its reports, and how
 * the VMs share that number without a coordinator.
 */

import type {LoadReport} from '@radishyoke/shared/endpoint';

/** The limit before anything is known. */
const INITIAL_LIMIT = 16;
const MIN_LIMIT = 1;
const MAX_LIMIT = 1024;
/** Part of the limit in use from which on it may grow. */
const GROWTH_MIN_UTILIZATION = 0.8;
const GROWTH_FACTOR = 1.15;
const REJECTION_FACTOR = 0.7;
/** Part by which a batch may differ between two reports and count as the same. */
const SAME_BATCH_TOLERANCE = 0.05;
/** How long a limit that was found is believed before more is tried. */
const CEILING_VALID_MS = 10_000;
/** How much more is tried then. */
const CEILING_RAISE_FACTOR = 1.1;

/**
 * Adapts one endpoint's limit. Engines admit all that comes: what they can't run
 * waits inside, where no priority holds. So the limit follows what runs as soon
 * as anything stays waiting there, and grows while the endpoint keeps up.
 */
export class ConcurrencyLimit {
  private value = INITIAL_LIMIT;
  private rejectedAtMs = -Infinity;
  /** What the endpoint was seen to run while more waited. */
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
      // Growing past this again and again would make interactive requests wait
      // inside the endpoint each time.
      this.ceiling = running;
      this.ceilingAtMs = measuredAtMs;
      this.value = clamp(Math.min(this.value, running));
      return;
    }
    if (measuredAtMs - this.ceilingAtMs > CEILING_VALID_MS) {
      this.ceiling = clamp(Math.ceil(this.ceiling * CEILING_RAISE_FACTOR));
      this.ceilingAtMs = measuredAtMs;
    }
    // A report from before the endpoint refused work knows nothing of it.
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
 * Whether the endpoint runs all it can. Engines form their batch anew every so
 * often, and what has just come waits until then; a limit that took this for
 * saturation would fall to whatever runs. So something has to wait in two
 * reports, with the batch no larger in the later one.
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
 * Divides `limit` among VMs by their demands: each gets what it asks for up to
 * an equal share, and what is not asked for goes to the others in equal parts.
 * Every VM computes the same parts from the same view, in the same order, so
 * that they add up to at most `limit`. Remainders go to the first VMs from
 * `offset` on, which differs by endpoint, so that no VM is favoured everywhere.
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
