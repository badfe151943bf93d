/**
 * Estimates how many tokens a sample will have. Samples of one group share their
 * prompt and tend to have similar lengths, so the group's finished samples are
 * used; before any, finished samples with a similar upper bound are.
 */

/** Maximum number of groups stored; the oldest are dropped. */
const MAX_GROUPS = 20_000;
/** Assumed length before any measurement, as a share of the upper bound. */
const INITIAL_SHARE = 0.5;
/**
 * Assumed length of a step's longest sample before any measurement, as a share
 * of the upper bound.
 */
const INITIAL_LONGEST_SHARE = 0.8;
/** Weight of the newest sample in a group's mean. */
const GROUP_WEIGHT = 0.3;
/** Weight of the newest sample in the mean of those with a similar upper bound. */
const BOUND_WEIGHT = 0.03;
/** Weight of the newest step in the mean share of longest samples. */
const STEP_WEIGHT = 0.3;
/**
 * Expected further growth of a sample that exceeds its estimate, as a share of
 * its length.
 */
const GROWTH_MARGIN = 0.25;

export class LengthEstimate {
  private readonly groups = new Map<string, number>();
  /** Mean length as a share of the upper bound, by the bound's power of two. */
  private readonly shares = new Map<number, number>();
  private longestShare = INITIAL_LONGEST_SHARE;

  /** Records the length of a finished sample. */
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

  /** Records the length of the longest sample of a finished step. */
  recordStep(longestTokens: number, maxTokens: number): void {
    if (maxTokens <= 0) return;
    const deviation = longestTokens / maxTokens - this.longestShare;
    this.longestShare += STEP_WEIGHT * deviation;
  }

  /** Returns the expected total length of a sample that has `tokens` so far. */
  estimate(groupKey: string, maxTokens: number, tokens: number): number {
    const bucket = Math.floor(Math.log2(Math.max(1, maxTokens)));
    const share = this.shares.get(bucket) ?? INITIAL_SHARE;
    const mean = this.groups.get(groupKey) ?? share * maxTokens;
    const minimum = tokens * (1 + GROWTH_MARGIN) + 1;
    return Math.min(maxTokens, Math.max(mean, minimum));
  }

  /**
   * Returns the expected remaining tokens of a sample that is its step's
   * longest.
   */
  estimateLongestRemaining(maxTokens: number, tokens: number): number {
    const remaining = this.longestShare * maxTokens - tokens;
    return Math.min(
      maxTokens - tokens,
      Math.max(remaining, tokens * GROWTH_MARGIN + 1),
    );
  }
}
