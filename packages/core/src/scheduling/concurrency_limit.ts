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
const GROW_FROM_USE = 0.8;
const GROWTH = 1.15;
const REJECTION_CUT = 0.7;
/** Part by which a batch may differ between two reports and count as the same. */
const SAME_BATCH_PART = 0.05;
/** How long a limit that was found is believed before more is tried. */
const CEILING_KEPT_MS = 10_000;
/** How much more is tried then. */
const CEILING_RAISE = 1.1;

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
  private last?: LoadReport;

  get limit(): number {
    return Math.max(MIN_LIMIT, Math.floor(this.value));
  }

  noteReport(report: LoadReport): void {
    const {running, measuredAtMs} = report;
    const before = this.last;
    this.last = report;
    if (before && isSaturated(before, report)) {
      // Growing past this again and again would make interactive requests wait
      // inside the endpoint each time.
      this.ceiling = running;
      this.ceilingAtMs = measuredAtMs;
      this.value = clamp(Math.min(this.value, running));
      return;
    }
    if (measuredAtMs - this.ceilingAtMs > CEILING_KEPT_MS) {
      this.ceiling = clamp(Math.ceil(this.ceiling * CEILING_RAISE));
      this.ceilingAtMs = measuredAtMs;
    }
    // A report from before the endpoint refused work knows nothing of it.
    if (measuredAtMs <= this.rejectedAtMs) return;
    if (running >= this.value * GROW_FROM_USE) {
      this.value = Math.min(this.ceiling, clamp(this.value * GROWTH + 1));
    }
  }

  noteRejected(nowMs: number): void {
    this.rejectedAtMs = nowMs;
    this.value = clamp(this.value * REJECTION_CUT);
  }
}

/**
 * Whether the endpoint runs all it can. Engines form their batch anew every so
 * often, and what has just come waits until then; a limit that took this for
 * saturation would fall to whatever runs. So something has to wait in two
 * reports, with the batch no larger in the later one.
 */
function isSaturated(before: LoadReport, now: LoadReport): boolean {
  const isWaiting = before.waiting > 0 && now.waiting > 0;
  const change = Math.abs(now.running - before.running);
  return (
    isWaiting && now.running > 0 && change <= now.running * SAME_BATCH_PART
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
  const parts = demands.map(() => 0);
  let rest = limit;
  let open = demands.map((_, index) => index).filter(i => demands[i] > 0);
  while (rest > 0 && open.length > 0) {
    const each = Math.floor(rest / open.length);
    if (each === 0) break;
    for (const index of open) {
      const part = Math.min(each, demands[index] - parts[index]);
      parts[index] += part;
      rest -= part;
    }
    open = open.filter(index => parts[index] < demands[index]);
  }
  const start = open.findIndex(index => index >= offset % demands.length);
  for (let i = 0; i < open.length && rest > 0; i++, rest--) {
    parts[open[(Math.max(0, start) + i) % open.length]]++;
  }
  return parts;
}
