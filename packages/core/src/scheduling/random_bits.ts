/** Generates seeded pseudo-random numbers, so that decisions can be reproduced. */

/** Returns the next 32 random bits as an unsigned integer. */
export type RandomBits = () => number;

/** Creates a generator that mixes a Weyl sequence; not cryptographically secure. */
export function createRandomBits(seed: number): RandomBits {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x9e3779b9) >>> 0;
    let mixed = state ^ (state >>> 16);
    mixed = Math.imul(mixed, 0x21f0aaad);
    mixed ^= mixed >>> 15;
    mixed = Math.imul(mixed, 0x735a2d97);
    return (mixed ^ (mixed >>> 15)) >>> 0;
  };
}

/** Returns a uniform integer from 0 to `bound` - 1. */
export function pickRandomBelow(random: RandomBits, bound: number): number {
  return Math.floor((random() / 2 ** 32) * bound);
}

/** Returns up to `count` different items in random order. */
export function pickRandomItems<T>(
  random: RandomBits,
  items: readonly T[],
  count: number,
): readonly T[] {
  const remaining = [...items];
  const picked: T[] = [];
  while (picked.length < count && remaining.length > 0) {
    picked.push(
      ...remaining.splice(pickRandomBelow(random, remaining.length), 1),
    );
  }
  return picked;
}
