/** Stores staleness bounds: the oldest weight version that each step accepts. */

/** Maximum number of steps stored; the least recently raised are dropped. */
const MAX_STEPS = 10_000;

export class StalenessBounds {
  private readonly minVersions = new Map<string, number>();

  /** Raises the step's bound to `minVersion`; returns whether it increased. */
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

  /** Returns the oldest version that a work item of the step currently accepts. */
  findMinVersion(stepKey: string, itemMin: number): number {
    const stepMin = stepKey === '' ? undefined : this.minVersions.get(stepKey);
    return stepMin === undefined ? itemMin : Math.max(stepMin, itemMin);
  }
}
