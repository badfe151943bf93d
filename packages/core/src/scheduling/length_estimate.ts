/**
 * How many tokens a sample will take. Samples of one group share their prompt
 * and tend to be alike in length, so that those that ended tell of the rest;
 * where none has, samples with about the same upper bound tell.
 */

/** Groups kept; older ones are forgotten. */
const MAX_GROUPS = 20_000;
/** Share of the upper bound that is assumed before anything is known. */
const ASSUMED_SHARE = 0.5;
/** Share of the upper bound that the longest sample of a step is taken to reach. */
const ASSUMED_LONGEST_SHARE = 0.8;
/** Weight of the newest sample in a group's mean. */
const GROUP_WEIGHT = 0.3;
/** Weight of the newest sample in the mean of all with such an upper bound. */
const BOUND_WEIGHT = 0.03;
/** Weight of the newest step in the longest share. */
const STEP_WEIGHT = 0.3;
/** What has outlived its estimate will likely live on by this part again. */
const OUTLIVED_PART = 0.25;

export class LengthEstimate {
  private readonly groups = new Map<string, number>();
  /** Mean share of the upper bound, by the bound's power of two. */
  private readonly shares = new Map<number, number>();
  private longestShare = ASSUMED_LONGEST_SHARE;

  /** Notes the whole length of a finished sample. */
  noteFinished(groupKey: string, tokens: number, maxTokens: number): void {
    if (maxTokens <= 0) return;
    const size = Math.floor(Math.log2(maxTokens));
    const share = this.shares.get(size) ?? ASSUMED_SHARE;
    const news = tokens / maxTokens - share;
    this.shares.set(size, share + BOUND_WEIGHT * news);
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
  noteStep(longestTokens: number, maxTokens: number): void {
    if (maxTokens <= 0) return;
    const news = longestTokens / maxTokens - this.longestShare;
    this.longestShare += STEP_WEIGHT * news;
  }

  /** Expected whole length of a sample that has already `tokens`. */
  estimate(groupKey: string, maxTokens: number, tokens: number): number {
    const size = Math.floor(Math.log2(Math.max(1, maxTokens)));
    const share = this.shares.get(size) ?? ASSUMED_SHARE;
    const mean = this.groups.get(groupKey) ?? share * maxTokens;
    const outlived = tokens * (1 + OUTLIVED_PART) + 1;
    return Math.min(maxTokens, Math.max(mean, outlived));
  }

  /** How long a sample with `tokens` may still take if it is its step's longest. */
  estimateLongestLeft(maxTokens: number, tokens: number): number {
    const left = this.longestShare * maxTokens - tokens;
    return Math.min(
      maxTokens - tokens,
      Math.max(left, tokens * OUTLIVED_PART + 1),
    );
  }
}
