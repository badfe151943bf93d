/**
 * Tells when records of a partition are old enough to be trimmed, from the times
 * at which their writer appended. A log that holds only so much in all refuses
 * every append once it is full, whatever its own retention.
 */

interface Mark {
  readonly offset: number;
  readonly atMs: number;
}

/** Marks are this part of the kept time apart. */
const MARKS_KEPT = 6;

export class TrimMarks {
  /** The oldest first. */
  private marks: Mark[] = [];

  /** @param keepMs How long records stay. */
  constructor(private readonly keepMs: number) {}

  /**
   * Takes note that a record stands at `offset`; says before which offset all
   * records are older than the kept time, if that is news. Times are steady ms.
   */
  note(offset: number, nowMs: number): number | undefined {
    const last = this.marks.at(-1);
    if (!last || nowMs - last.atMs >= this.keepMs / MARKS_KEPT) {
      this.marks.push({offset, atMs: nowMs});
    }
    const old = this.marks.filter(({atMs}) => nowMs - atMs > this.keepMs);
    if (old.length === 0) return undefined;
    this.marks = this.marks.slice(old.length);
    return old.at(-1)!.offset;
  }
}
