/**
 * Tells when records of a partition are old enough to be trimmed, from the times
 * at which their writer appended. A log that holds only so much in all refuses
 * every append once it is full, whatever its own retention.
 */

interface Sample {
  readonly offset: number;
  readonly atMs: number;
}

/** Marks are this part of the kept time apart. */
const SAMPLES_PER_RETENTION = 6;

export class TrimTracker {
  /** The oldest first. */
  private samples: Sample[] = [];

  /** @param retentionMs How long records stay. */
  constructor(private readonly retentionMs: number) {}

  /**
   * Takes note that a record stands at `offset`; says before which offset all
   * records are older than the kept time, if that is news. Times are steady ms.
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
