/** A simple reference log: stores all records and applies retention on reading. */

export interface NaiveRecord {
  readonly offset: number;
  readonly timeMs: number;
  readonly value: unknown;
}

export class NaiveLog {
  private readonly all: NaiveRecord[] = [];
  private oldest = 0;

  constructor(
    private readonly retainRecords: number,
    private readonly retainMs: number,
  ) {}

  append(values: readonly unknown[], timeMs: number): void {
    for (const value of values)
      this.all.push({offset: this.all.length, timeMs, value});
  }

  /** Returns the records from `from` on; undefined if that offset has expired. */
  read(from: number, max: number, nowMs: number) {
    const retained = this.all.filter(
      r =>
        r.offset >= this.all.length - this.retainRecords &&
        r.timeMs >= nowMs - this.retainMs,
    );
    this.oldest = Math.max(this.oldest, retained[0]?.offset ?? this.all.length);
    if (from < this.oldest) return undefined;
    return this.all.filter(r => r.offset >= from).slice(0, max);
  }
}
