/**
 * How many tokens a sample will take. Samples of one group share their prompt
 * and tend to be alike in length, so that those that ended, and how far the
 * others have come, tell of the rest.
 */

/** Groups kept; older ones are forgotten. */
const MAX_GROUPS = 20_000;
/** Share of the upper bound that is assumed before anything is known. */
const ASSUMED_SHARE = 0.5;
/** Weight of the newest sample in a group's and the overall mean. */
const NEWEST_WEIGHT = 0.3;

export class LengthEstimate {
  private readonly groups = new Map<string, number>();
  private share = ASSUMED_SHARE;

  /** Notes the whole length of a finished sample. */
  noteFinished(groupKey: string, tokens: number, maxTokens: number): void {
    if (maxTokens <= 0) return;
    this.share += NEWEST_WEIGHT * 0.1 * (tokens / maxTokens - this.share);
    if (groupKey === '') return;
    const mean = this.groups.get(groupKey);
    this.groups.set(
      groupKey,
      mean === undefined ? tokens : mean + NEWEST_WEIGHT * (tokens - mean),
    );
    if (this.groups.size > MAX_GROUPS) {
      this.groups.delete(this.groups.keys().next().value!);
    }
  }

  /** Expected whole length of a sample that has already `tokens`. */
  estimate(groupKey: string, maxTokens: number, tokens: number): number {
    const mean = this.groups.get(groupKey) ?? this.share * maxTokens;
    // Long tails: what has outlived its estimate will likely live on as long
    // again by a part.
    return Math.min(maxTokens, Math.max(mean, tokens * 1.25 + 1));
  }
}
