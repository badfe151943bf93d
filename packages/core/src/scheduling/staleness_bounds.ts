/** The staleness bound of steps: which weight versions are still of use to one. */

/** Steps kept after their last news. */
const MAX_STEPS = 10_000;

export class StalenessBounds {
  private readonly minVersions = new Map<string, number>();

  /** The trainer moved on. Returns whether the step's bound rose. */
  raise(stepKey: string, minVersion: number): boolean {
    const previous = this.minVersions.get(stepKey);
    if (previous !== undefined && minVersion <= previous) return false;
    this.minVersions.delete(stepKey);
    this.minVersions.set(stepKey, minVersion);
    if (this.minVersions.size > MAX_STEPS) {
      this.minVersions.delete(this.minVersions.keys().next().value!);
    }
    return true;
  }

  /** The oldest version of use to a work of the step now. */
  findMinVersion(stepKey: string, itemMin: number): number {
    const stepMin = stepKey === '' ? undefined : this.minVersions.get(stepKey);
    return stepMin === undefined ? itemMin : Math.max(stepMin, itemMin);
  }
}
