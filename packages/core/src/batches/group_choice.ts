/**
 * Which groups of a batch its trainer will use. A trainer waits for a number of
 * complete groups, so the items of the others only matter once those are done.
 */

import {estimateRemaining, type Job, type OpenBatch} from './batch_job.js';

/** What is left of an item that only waits for its score, in events of a generation. */
const REWARD_EVENTS = 6;

/** How the groups of a batch stand. */
export interface GroupChoice {
  /** Groups to finish first: those carried over, then the ones closest to their end. */
  readonly needed: ReadonlySet<string>;
  /** Whether as many groups as wanted are complete, carried ones among them. */
  readonly isSatisfied: boolean;
}

interface GroupState {
  readonly group: string;
  /** Tokens of its longest unfinished item, less for a chosen group; 0 when it is complete. */
  readonly longest: number;
  readonly isCarried: boolean;
}

/** A group that was chosen before counts as this much closer to its end, so that two about equal ones do not take each other's places by turns. */
const CHOSEN_GROUP_FACTOR = 0.6;

/** Chooses the groups of `open` to finish first, and remembers the choice there. */
export function chooseGroups(
  open: OpenBatch,
  tokensPerEvent: number,
): GroupChoice {
  const groups = summarizeGroups(open, tokensPerEvent);
  const wanted = Math.min(open.batch.groupsWanted, groups.length);
  const ranked = [...groups].sort(
    (a, b) =>
      Number(b.isCarried) - Number(a.isCarried) || a.longest - b.longest,
  );
  const chosen = ranked.slice(0, wanted);
  const isSatisfied = chosen.every(({longest}) => longest === 0);
  const needed = new Set(chosen.map(({group}) => group));
  open.chosenGroups = needed;
  return {needed, isSatisfied};
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
