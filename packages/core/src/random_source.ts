/** A small deterministic generator, seeded by whoever drives the core. */

const INCREMENT = 0x6d2b79f5;

export class RandomSource {
  constructor(private state: number) {}

  /** A whole number from 0 up to, not including, `bound`. */
  next(bound: number): number {
    this.state = (this.state + INCREMENT) | 0;
    let bits = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    bits = (bits + Math.imul(bits ^ (bits >>> 7), 61 | bits)) ^ bits;
    return ((bits ^ (bits >>> 14)) >>> 0) % bound;
  }

  /** Up to `count` different items. */
  sample<T>(items: readonly T[], count: number): readonly T[] {
    const rest = [...items];
    const chosen: T[] = [];
    while (chosen.length < count && rest.length > 0) {
      chosen.push(...rest.splice(this.next(rest.length), 1));
    }
    return chosen;
  }
}
