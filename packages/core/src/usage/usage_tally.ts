/** Counts the requests of one VM until the counts are appended to the log. */

import {findWindow, type UsageCount} from './usage_record.js';

/**
 * Maximum number of pending windows; the log does not retain counts of older
 * ones either.
 */
const MAX_WINDOWS = 60;

export class UsageTally {
  private readonly windows = new Map<number, Map<string, number>>();

  constructor(private readonly windowMs: number) {}

  get isEmpty(): boolean {
    return this.windows.size === 0;
  }

  /** Counts a request of the account that an endpoint started at `unixMs`. */
  record(account: string, unixMs: number): void {
    const window = findWindow(unixMs, this.windowMs);
    const counts = this.windows.get(window) ?? new Map<string, number>();
    this.windows.set(window, counts);
    if (this.windows.size > MAX_WINDOWS) this.dropOldest();
    counts.set(account, (counts.get(account) ?? 0) + 1);
  }

  /** Returns all counts and starts over from zero. */
  take(): readonly UsageCount[] {
    const taken = [...this.windows].flatMap(([window, counts]) =>
      [...counts].map(([account, requests]) => ({window, account, requests})),
    );
    this.windows.clear();
    return taken;
  }

  private dropOldest(): void {
    this.windows.delete(Math.min(...this.windows.keys()));
  }
}
