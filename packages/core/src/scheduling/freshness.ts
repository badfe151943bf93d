/** The staleness bound of steps: which weight versions are still of use to one. */

/** Steps kept after their last news. */
const MAX_STEPS = 10_000;

export class Freshness {
  private readonly mins = new Map<string, number>();

  /** The trainer moved on. Returns whether the step's bound rose. */
  raise(stepKey: string, min: number): boolean {
    const before = this.mins.get(stepKey);
    if (before !== undefined && min <= before) return false;
    this.mins.delete(stepKey);
    this.mins.set(stepKey, min);
    if (this.mins.size > MAX_STEPS) {
      this.mins.delete(this.mins.keys().next().value!);
    }
    return true;
  }

  /** The oldest version of use to a work of the step now. */
  findMin(stepKey: string, itemMin: number): number {
    const min = stepKey === '' ? undefined : this.mins.get(stepKey);
    return min === undefined ? itemMin : Math.max(min, itemMin);
  }
}
