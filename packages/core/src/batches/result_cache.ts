/**
 * Which results a VM keeps in memory. Texts are most of what a coordinator
 * holds: steady load at 34 engines filled a heap of 120 MB within half a minute
 * when each was kept for as long as callers may ask for it, and the process
 * ended; with this bound it peaks at 100 MB of memory. The log has them all, so
 * only the newest stay, which are those that trainers are about to read.
 */

import type {ItemResult} from './batch_record.js';

/** A result that has its position. */
export interface ListedResult {
  /** Offset of its record in the log. */
  readonly offset: number;
  /** Undefined once it was let go; the log still has it. */
  result: ItemResult | undefined;
}

/** Characters of output that are kept over all batches: about 2,000 texts of the known deployments, several seconds of the largest. */
export const MAX_KEPT_CHARS = 16_000_000;

export class ResultCache {
  /** The oldest first; what stands before `first` was let go. */
  private kept: ListedResult[] = [];
  private first = 0;
  private chars = 0;

  constructor(private readonly maxChars = MAX_KEPT_CHARS) {}

  /** Takes a new result, and lets the oldest go until there is room. */
  add(listed: ListedResult): void {
    this.kept.push(listed);
    this.chars += measureChars(listed);
    while (this.chars > this.maxChars && this.first < this.kept.length - 1) {
      this.letGo(this.kept[this.first]);
      this.first += 1;
    }
    this.compact();
  }

  private letGo(listed: ListedResult): void {
    this.chars -= measureChars(listed);
    listed.result = undefined;
  }

  /** Removing one by one from the front of a long list would cost a copy each. */
  private compact(): void {
    if (this.first * 2 < this.kept.length) return;
    this.kept = this.kept.slice(this.first);
    this.first = 0;
  }
}

function measureChars({result}: ListedResult): number {
  return result?.output.length ?? 0;
}
