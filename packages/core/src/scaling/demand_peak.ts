/** The most that was wanted at once in the last while. */

/** Steps come every few seconds; a peak holds over some of them, so that orders do not follow each one. */
const KEEP_MS = 20_000;

interface Sample {
  readonly atMs: number;
  readonly items: number;
}

export class DemandPeak {
  /** Falling values: a later one that is as high makes those before it void. */
  private samples: Sample[] = [];

  note(items: number, nowMs: number): void {
    this.samples = this.samples.filter(
      sample => sample.items > items && nowMs - sample.atMs < KEEP_MS,
    );
    this.samples.push({atMs: nowMs, items});
  }

  get items(): number {
    return this.samples[0]?.items ?? 0;
  }
}
