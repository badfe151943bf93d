/**
 * How many tokens a sample will take. Samples of one group share their prompt
 * and tend to be alike in length, so that those that ended tell of the rest;
 * where none has, samples with about the same upper bound tell.
 */

/** Groups kept; older ones are forgotten. */
const MAX_GROUPS = 20_000;
/** Share of the upper bound that is assumed before anything is known. */
const INITIAL_SHARE = 0.5;
/** Share of the upper bound that the longest sample of a step is taken to reach. */
const INITIAL_LONGEST_SHARE = 0.8;
/** Weight of the newest sample in a group's mean. */
const GROUP_WEIGHT = 0.3;
/** Weight of the newest sample in the mean of all with such an upper bound. */
const BOUND_WEIGHT = 0.03;
/** Weight of the newest step in the longest share. */
const STEP_WEIGHT = 0.3;
/** What has outlived its estimate will likely live on by this part again. */
const GROWTH_MARGIN = 0.25;

export class LengthEstimate {
  private readonly groups = new Map<string, number>();
  /** Mean share of the upper bound, by the bound's power of two. */
  private readonly shares = new Map<number, number>();
  private longestShare = INITIAL_LONGEST_SHARE;

  /** Notes the whole length of a finished sample. */
  recordFinished(groupKey: string, tokens: number, maxTokens: number): void {
    if (maxTokens <= 0) return;
    const bucket = Math.floor(Math.log2(maxTokens));
    const share = this.shares.get(bucket) ?? INITIAL_SHARE;
    const deviation = tokens / maxTokens - share;
    this.shares.set(bucket, share + BOUND_WEIGHT * deviation);
    if (groupKey === '') return;
    const mean = this.groups.get(groupKey);
    this.groups.set(
      groupKey,
      mean === undefined ? tokens : mean + GROUP_WEIGHT * (tokens - mean),
    );
    if (this.groups.size > MAX_GROUPS) {
      this.groups.delete(this.groups.keys().next().value!);
    }
  }

  /** Notes how long the longest sample of a whole step was. */
  recordStep(longestTokens: number, maxTokens: number): void {
    if (maxTokens <= 0) return;
    const deviation = longestTokens / maxTokens - this.longestShare;
    this.longestShare += STEP_WEIGHT * deviation;
  }

  /** Expected whole length of a sample that has already `tokens`. */
  estimate(groupKey: string, maxTokens: number, tokens: number): number {
    const bucket = Math.floor(Math.log2(Math.max(1, maxTokens)));
    const share = this.shares.get(bucket) ?? INITIAL_SHARE;
    const mean = this.groups.get(groupKey) ?? share * maxTokens;
    const minimum = tokens * (1 + GROWTH_MARGIN) + 1;
    return Math.min(maxTokens, Math.max(mean, minimum));
  }

  /** How long a sample with `tokens` may still take if it is its step's longest. */
  estimateLongestRemaining(maxTokens: number, tokens: number): number {
    const remaining = this.longestShare * maxTokens - tokens;
    return Math.min(
      maxTokens - tokens,
      Math.max(remaining, tokens * GROWTH_MARGIN + 1),
    );
  }
}
