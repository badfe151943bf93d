/**
 * The staleness bound of steps: which weight versions are still of use to a
 * step, now and by the time that a work would be complete.
 */

/** Steps kept after their last news. */
const MAX_STEPS = 10_000;

interface StepVersions {
  min: number;
  /** Mean ms between rises of the bound; Infinity until two were seen. */
  intervalMs: number;
  raisedAtMs: number;
}

export class Freshness {
  private readonly steps = new Map<string, StepVersions>();

  /** The trainer moved on. Returns whether the bound rose. */
  raise(stepKey: string, min: number, nowMs: number): boolean {
    const step = this.steps.get(stepKey);
    if (!step) {
      this.steps.set(stepKey, {min, intervalMs: Infinity, raisedAtMs: nowMs});
      if (this.steps.size > MAX_STEPS) {
        this.steps.delete(this.steps.keys().next().value!);
      }
      return true;
    }
    if (min <= step.min) return false;
    const perVersionMs = (nowMs - step.raisedAtMs) / (min - step.min);
    step.intervalMs =
      step.intervalMs === Infinity
        ? perVersionMs
        : (step.intervalMs + perVersionMs) / 2;
    step.min = min;
    step.raisedAtMs = nowMs;
    return true;
  }

  /** The oldest version of use now. */
  findMin(stepKey: string, itemMin: number): number {
    const step = stepKey === '' ? undefined : this.steps.get(stepKey);
    return step ? Math.max(step.min, itemMin) : itemMin;
  }

  /** The oldest version that will be of use at `atMs`, going by the past. */
  predictMin(stepKey: string, itemMin: number, atMs: number): number {
    const min = this.findMin(stepKey, itemMin);
    const step = this.steps.get(stepKey);
    if (!step || step.intervalMs === Infinity || step.intervalMs <= 0) {
      return min;
    }
    const rises = Math.floor((atMs - step.raisedAtMs) / step.intervalMs);
    return min + Math.max(0, rises);
  }
}
