/** Averages a sequence of values with bounded memory. */

/** Arithmetic mean of the first values, and an exponential moving average from then on. */
export class MovingAverage {
  private count = 0;
  private mean = 0;

  /** @param weight The weight of the newest value once enough values have arrived, in (0, 1]. */
  constructor(private readonly weight: number) {}

  /** The average; undefined until a value was added. */
  get value(): number | undefined {
    return this.count === 0 ? undefined : this.mean;
  }

  add(value: number): void {
    this.count += 1;
    const weight = Math.max(this.weight, 1 / this.count);
    this.mean += weight * (value - this.mean);
  }
}
