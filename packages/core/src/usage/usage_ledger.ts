/** Sums the usage counts of all VMs by window and account. */

import type {AccountCounts, UsageEntry} from './usage_record.js';

interface LastEntry {
  readonly number: number;
  /** The oldest open window when the entry was applied. */
  readonly window: number;
}

/**
 * Number of windows without an entry after which a writer is dropped; the log
 * does not retain its entries any longer.
 */
const RETAINED_WINDOWS = 100;

export class UsageLedger {
  private readonly windows = new Map<number, Map<string, number>>();
  /** The last entry of each writer. */
  private readonly writers = new Map<string, LastEntry>();
  /** Windows before this one are closed. */
  private firstOpenWindow = 0;

  /**
   * Applies the next entry of the partition, and returns how many of its
   * requests belong to windows that are already closed.
   *
   * A writer that got no response appends its entry again before the next one,
   * so an entry whose number is not above the last is a duplicate.
   */
  apply({writer, number, counts}: UsageEntry): number {
    if (number <= (this.writers.get(writer)?.number ?? -1)) return 0;
    this.writers.set(writer, {number, window: this.firstOpenWindow});
    let late = 0;
    for (const {window, account, requests} of counts) {
      if (window < this.firstOpenWindow) late += requests;
      else this.add(window, account, requests);
    }
    return late;
  }

  /** The oldest open window that has counts. */
  get firstWindow(): number | undefined {
    const windows = [...this.windows.keys()];
    return windows.length === 0 ? undefined : Math.min(...windows);
  }

  /** Requests of a window by account, as recorded so far. */
  sum(window: number): AccountCounts {
    return Object.fromEntries(this.windows.get(window) ?? []);
  }

  /** Closes the windows before `window` and drops their counts. */
  close(window: number): void {
    this.firstOpenWindow = Math.max(this.firstOpenWindow, window);
    for (const storedWindow of [...this.windows.keys()]) {
      if (storedWindow < this.firstOpenWindow)
        this.windows.delete(storedWindow);
    }
    for (const [writer, lastEntry] of this.writers) {
      const isOld = lastEntry.window < this.firstOpenWindow - RETAINED_WINDOWS;
      if (isOld) this.writers.delete(writer);
    }
  }

  private add(window: number, account: string, requests: number): void {
    const counts = this.windows.get(window) ?? new Map<string, number>();
    this.windows.set(window, counts);
    counts.set(account, (counts.get(account) ?? 0) + requests);
  }
}
