/** Lengths of outputs: log-normally distributed, determined by the request's seed. */

import {mixUnit} from './mix.js';

export interface LengthDistribution {
  readonly medianTokens: number;
  /** Standard deviation of the logarithm; 0 makes all outputs equally long. */
  readonly sigma: number;
}

// Negative, so that they differ from the token positions that `writeTokens` hashes.
const FIRST_RANDOM_INDEX = -1;
const SECOND_RANDOM_INDEX = -2;

/** Returns the length of the complete output, at least 1 token. */
export function pickOutputTokens(
  seed: number,
  distribution: LengthDistribution,
): number {
  const radius = Math.sqrt(-2 * Math.log(mixUnit(seed, FIRST_RANDOM_INDEX)));
  const normal =
    radius * Math.cos(2 * Math.PI * mixUnit(seed, SECOND_RANDOM_INDEX));
  const {medianTokens, sigma} = distribution;
  return Math.max(1, Math.round(medianTokens * Math.exp(sigma * normal)));
}
