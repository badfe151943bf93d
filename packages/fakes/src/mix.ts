/** Stateless pseudo-random numbers: the same seed and index give the same number. */

const UINT32_RANGE = 2 ** 32;

/** Hashes two integers to an unsigned 32-bit integer. */
export function mix32(seed: number, index: number): number {
  let x =
    Math.imul(seed ^ 0x9e3779b9, 0x85ebca6b) + Math.imul(index, 0xc2b2ae35);
  x = Math.imul(x ^ (x >>> 16), 0x21f0aaad);
  x = Math.imul(x ^ (x >>> 15), 0x735a2d97);
  return (x ^ (x >>> 15)) >>> 0;
}

/** Hashes two integers to a number above 0 and below 1. */
export function mixUnit(seed: number, index: number): number {
  return (mix32(seed, index) + 0.5) / UINT32_RANGE;
}
