/**
 * Determines which records of a partition are old enough to be trimmed, from
 * the times at which their writer appended them. A log with a limited total
 * size refuses every append once it is full, whatever its own retention.
 */

interface Sample {
  readonly offset: number;
  readonly atMs: number;
}

/** Number of append times that are stored per retention time. */
const SAMPLES_PER_RETENTION = 6;

export class TrimTracker {
  /** Oldest first. */
  private samples: Sample[] = [];

  /** @param retentionMs How long records are retained. */
  constructor(private readonly retentionMs: number) {}

  /**
   * Records an append at `offset` (steady ms). Returns the offset before which
   * all records have outlived the retention, if it has advanced.
   */
  recordAppend(offset: number, nowMs: number): number | undefined {
    const last = this.samples.at(-1);
    if (
      !last ||
      nowMs - last.atMs >= this.retentionMs / SAMPLES_PER_RETENTION
    ) {
      this.samples.push({offset, atMs: nowMs});
    }
    const old = this.samples.filter(
      ({atMs}) => nowMs - atMs > this.retentionMs,
    );
    if (old.length === 0) return undefined;
    this.samples = this.samples.slice(old.length);
    return old.at(-1)!.offset;
  }
}
