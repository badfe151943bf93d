/**
 * Which windows were decided and which the platform has, as the log tells. The
 * first decision for a window stands, so a holder that takes over, or one that
 * got no answer, tells exactly what was told before.
 */

import type {ReportRecord, UsageReport} from './usage_record.js';

export class ReportTracker {
  /** Decided and not known to be delivered, by window. */
  private readonly open = new Map<number, UsageReport>();
  private readonly delivered = new Set<number>();
  /** The newest window that was decided, or the one before the first. */
  private lastDecided: number | undefined;

  /** Windows that the platform may not have yet, the oldest first. */
  get undelivered(): readonly UsageReport[] {
    return [...this.open.values()].sort((a, b) => a.window - b.window);
  }

  /** Takes the next record of the partition. */
  apply(record: ReportRecord): void {
    const {window} = record;
    switch (record.kind) {
      case 'begun':
        this.lastDecided ??= window - 1;
        return;
      case 'delivered':
        this.open.delete(window);
        this.delivered.add(window);
        return;
      case 'decided':
        if (this.open.has(window) || this.delivered.has(window)) return;
        this.open.set(window, {window, counts: record.counts});
        this.lastDecided = Math.max(this.lastDecided ?? window, window);
    }
  }

  /**
   * The next window to decide; undefined before the first. Windows follow each
   * other without a gap, but those further back than `maxBehind` are left out:
   * nothing counted in them is kept any more.
   */
  findNext(current: number, maxBehind: number): number | undefined {
    if (this.lastDecided === undefined) return undefined;
    return Math.max(this.lastDecided + 1, current - maxBehind);
  }

  /** Forgets windows before `window`; returns those that the platform may not have. */
  forget(window: number): readonly number[] {
    for (const known of [...this.delivered]) {
      if (known < window) this.delivered.delete(known);
    }
    const undelivered = [...this.open.keys()].filter(known => known < window);
    for (const known of undelivered) this.open.delete(known);
    return undelivered;
  }
}
