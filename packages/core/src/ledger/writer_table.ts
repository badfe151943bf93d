/** Detects duplicate records by the sequence numbers of each writer. */

import type {Stamp} from '@radishyoke/shared/log_record';

/** Last record of a writer: key, sequence number, adjusted log time. */
export type WriterEntry = readonly [string, number, number];

/** Returns a key that identifies the writer of a stamp. */
export function buildWriterKey(
  stamp: Pick<Stamp, 'vm' | 'incarnation'>,
): string {
  return `${stamp.vm}/${stamp.incarnation}`;
}

/**
 * Highest sequence number read from each writer. A writer repeats an append
 * whose response was lost, so the same number can occur twice. Writers append
 * in the order of their numbers and never skip one for good, so a number at or
 * below the highest is a duplicate.
 */
export class WriterTable {
  private readonly highest = new Map<
    string,
    {readonly seq: number; readonly seenAtMs: number}
  >();

  constructor(entries: readonly WriterEntry[] = []) {
    for (const [key, seq, seenAtMs] of entries) {
      this.highest.set(key, {seq, seenAtMs});
    }
  }

  /** Returns whether this is the first copy of the record, and records it. */
  recordIfNew(stamp: Stamp, nowMs: number): boolean {
    const key = buildWriterKey(stamp);
    const existing = this.highest.get(key);
    if (existing !== undefined && stamp.seq <= existing.seq) return false;
    this.highest.set(key, {seq: stamp.seq, seenAtMs: nowMs});
    return true;
  }

  /** Returns the highest sequence number of a writer; 0 for none. */
  highestSeqOf(writer: string): number {
    return this.highest.get(writer)?.seq ?? 0;
  }

  /** Removes writers that wrote nothing since `sinceMs`. */
  dropBefore(sinceMs: number): void {
    for (const [key, {seenAtMs}] of this.highest) {
      if (seenAtMs < sinceMs) this.highest.delete(key);
    }
  }

  toSnapshot(): readonly WriterEntry[] {
    return [...this.highest].map(([key, {seq, seenAtMs}]) => [
      key,
      seq,
      seenAtMs,
    ]);
  }
}
