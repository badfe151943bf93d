/** Tells copies of a record from the first one, per writer. */

import type {Stamp} from '@radishyoke/shared/log_record';

/** One writer's last record: key, sequence number, adjusted log time. */
export type WriterEntry = readonly [string, number, number];

/** Names the writer of a stamp. */
export function buildWriterKey(
  stamp: Pick<Stamp, 'vm' | 'incarnation'>,
): string {
  return `${stamp.vm}/${stamp.incarnation}`;
}

/**
 * Highest sequence number seen of each writer. An append whose answer was lost
 * is appended again; it shows as the same number twice. A writer sends in the
 * order of its numbers and never leaves one out for good while sending a later
 * one, so a number at or below the highest is a copy.
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

  /** Whether this is the first copy of the record; remembers it. */
  recordIfNew(stamp: Stamp, nowMs: number): boolean {
    const key = buildWriterKey(stamp);
    const existing = this.highest.get(key);
    if (existing !== undefined && stamp.seq <= existing.seq) return false;
    this.highest.set(key, {seq: stamp.seq, seenAtMs: nowMs});
    return true;
  }

  /** Highest number of a writer; 0 for none. */
  highestSeqOf(writer: string): number {
    return this.highest.get(writer)?.seq ?? 0;
  }

  /** Forgets writers that wrote nothing since `sinceMs`. */
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
