/** What one VM has counted and not written down yet. */

import {findWindow, type UsageCount} from './usage_record.js';

/** Windows that wait at most; the log does not keep counts of older ones either. */
const MAX_WINDOWS = 60;

export class UsageTally {
  private readonly windows = new Map<number, Map<string, number>>();

  constructor(private readonly windowMs: number) {}

  get isEmpty(): boolean {
    return this.windows.size === 0;
  }

  /** An endpoint began a request of the account at `unixMs`. */
  record(account: string, unixMs: number): void {
    const window = findWindow(unixMs, this.windowMs);
    const counts = this.windows.get(window) ?? new Map<string, number>();
    this.windows.set(window, counts);
    if (this.windows.size > MAX_WINDOWS) this.dropOldest();
    counts.set(account, (counts.get(account) ?? 0) + 1);
  }

  /** Hands over all counts; what is counted from here on is new. */
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
