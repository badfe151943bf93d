/**
 * Chooses the groups of a batch to finish first. A trainer waits for a number
 * of complete groups, so items of other groups only matter after that.
 */

import {estimateRemaining, type Job, type OpenBatch} from './batch_job.js';

/**
 * Remaining cost of an item that only waits for its score, in output events.
 */
const REWARD_EVENTS = 6;

/** The groups chosen for a batch. */
export interface GroupChoice {
  /**
   * Groups to finish first: those carried over, then those closest to
   * completion.
   */
  readonly needed: ReadonlySet<string>;
  /**
   * Whether as many groups as requested are complete, carried ones included.
   */
  readonly isSatisfied: boolean;
}

interface GroupState {
  readonly group: string;
  /**
   * Remaining tokens of its longest unfinished item, reduced for a chosen
   * group; 0 if the group is complete.
   */
  readonly longest: number;
  readonly isCarried: boolean;
}

/**
 * Factor on the remaining tokens of a group that was chosen before, so that two
 * groups of about equal length do not alternate.
 */
const CHOSEN_GROUP_FACTOR = 0.6;

/**
 * Chooses the groups of `open` to finish first, and stores the choice in
 * `open`.
 */
export function chooseGroups(
  open: OpenBatch,
  tokensPerEvent: number,
): GroupChoice {
  const groups = summarizeGroups(open, tokensPerEvent);
  const requestedCount = Math.min(open.batch.groupsWanted, groups.length);
  const ranked = [...groups].sort(
    (a, b) =>
      Number(b.isCarried) - Number(a.isCarried) || a.longest - b.longest,
  );
  const chosen = ranked.slice(0, requestedCount);
  const isSatisfied = chosen.every(({longest}) => longest === 0);
  const needed = new Set(chosen.map(({group}) => group));
  open.chosenGroups = needed;
  return {needed, isSatisfied};
}

/**
 * Whether the trainer of `open` has all groups that it waits for: those carried
 * over, and as many as requested in all.
 */
export function isStepComplete({
  batch,
  jobs,
  carriedGroups,
}: OpenBatch): boolean {
  const groups = new Set<string>();
  const incomplete = new Set<string>();
  for (const {item, state} of jobs.values()) {
    groups.add(item.group);
    if (state !== 'finished') incomplete.add(item.group);
  }
  for (const group of carriedGroups) if (incomplete.has(group)) return false;
  const requested = Math.min(batch.groupsWanted, groups.size);
  return groups.size - incomplete.size >= requested;
}

function summarizeGroups(
  open: OpenBatch,
  tokensPerEvent: number,
): readonly GroupState[] {
  const longest = new Map<string, number>();
  for (const job of open.jobs.values()) {
    const {group} = job.item;
    const tokensLeft = estimateTokensLeft(job, tokensPerEvent);
    longest.set(group, Math.max(longest.get(group) ?? 0, tokensLeft));
  }
  return [...longest].map(([group, tokens]) => ({
    group,
    longest: open.chosenGroups.has(group)
      ? tokens * CHOSEN_GROUP_FACTOR
      : tokens,
    isCarried: open.carriedGroups.has(group),
  }));
}

function estimateTokensLeft(job: Job, tokensPerEvent: number): number {
  const rewardTokens = job.item.reward ? REWARD_EVENTS * tokensPerEvent : 0;
  switch (job.state) {
    case 'finished':
      return 0;
    case 'unscored':
      return rewardTokens;
    default:
      return estimateRemaining(job, tokensPerEvent) + rewardTokens;
  }
}
