/**
 * How many rollouts of a step to run at once. Full batches make the most tokens,
 * but each stream slows down as the batch grows, and a step is as late as its
 * longest sample. With K streams the whole takes work/K turns and the longest
 * sample takes its own length in turns; both turns are equally long, so that
 * both end together at K = work / longest, whatever the engines' speed.
 */

/** What a step has left to generate. */
export interface RemainingWork {
  /** Expected tokens of all its works, queued and running. */
  readonly tokens: number;
  /** Expected tokens of the one that takes longest from now. */
  readonly longestTokens: number;
}

/** Streams beyond the ideal, as lengths are only expected and don't pack tightly. */
const SLACK = 2;
/** Streams on each endpoint that slow one another too little to be held back. */
const UNRESTRICTED_STREAMS_PER_ENDPOINT = 9;

/** The number of streams at which the step is expected to be whole first. */
export function computeBatchTarget(
  remaining: RemainingWork,
  endpoints: number,
): number {
  const minimum = Math.max(1, endpoints) * UNRESTRICTED_STREAMS_PER_ENDPOINT;
  if (remaining.longestTokens <= 0) return minimum;
  const ideal = remaining.tokens / remaining.longestTokens;
  return Math.max(minimum, Math.ceil(ideal * SLACK));
}
