/**
 * Computes how many rollouts of a step to run at once. Larger batches have more
 * throughput, but slow down each stream, and a step completes only with its
 * longest sample. With K streams, the step needs tokens / K decoding rounds and
 * its longest sample as many as its own tokens. Both end together at
 * K = tokens / longestTokens, whatever the engines' speed.
 */

/** Tokens that a step still has to generate. */
export interface RemainingWork {
  /** Expected remaining tokens of all its work items, queued and running. */
  readonly tokens: number;
  /** Expected remaining tokens of its longest work item. */
  readonly longestTokens: number;
}

/** Factor on the ideal number, as lengths are estimates and don't pack evenly. */
const SLACK = 2;
/** Always allowed streams per endpoint; they hardly slow each other down. */
const UNRESTRICTED_STREAMS_PER_ENDPOINT = 9;

/** Returns the number of streams expected to complete the step earliest. */
export function computeBatchTarget(
  remaining: RemainingWork,
  endpoints: number,
): number {
  const minimum = Math.max(1, endpoints) * UNRESTRICTED_STREAMS_PER_ENDPOINT;
  if (remaining.longestTokens <= 0) return minimum;
  const ideal = remaining.tokens / remaining.longestTokens;
  return Math.max(minimum, Math.ceil(ideal * SLACK));
}
