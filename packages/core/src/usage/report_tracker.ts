/**
 * Tracks for which windows usage reports have been decided and which of them the
 * platform has received, according to the log. The first decision for a window
 * counts, so a lease holder that takes over, or one that got no response, sends
 * exactly the same counts again.
 */

import type {ReportRecord, UsageReport} from './usage_record.js';

export class ReportTracker {
  /** Decided reports that may not have been delivered, by window. */
  private readonly open = new Map<number, UsageReport>();
  private readonly delivered = new Set<number>();
  /** The newest decided window; initially the one before the first. */
  private lastDecided: number | undefined;

  /** Reports that the platform may not have received, the oldest first. */
  get undelivered(): readonly UsageReport[] {
    return [...this.open.values()].sort((a, b) => a.window - b.window);
  }

  /** Applies the next record of the partition. */
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
   * Returns the next window to decide; undefined before the first. Windows
   * follow each other without gaps, but those more than `maxBehind` back are
   * skipped, as their counts are no longer stored.
   */
  findNext(current: number, maxBehind: number): number | undefined {
    if (this.lastDecided === undefined) return undefined;
    return Math.max(this.lastDecided + 1, current - maxBehind);
  }

  /**
   * Drops windows before `window`; returns those that the platform may not have
   * received.
   */
  forget(window: number): readonly number[] {
    for (const deliveredWindow of [...this.delivered]) {
      if (deliveredWindow < window) this.delivered.delete(deliveredWindow);
    }
    const undelivered = [...this.open.keys()].filter(
      openWindow => openWindow < window,
    );
    for (const undeliveredWindow of undelivered)
      this.open.delete(undeliveredWindow);
    return undelivered;
  }
}
