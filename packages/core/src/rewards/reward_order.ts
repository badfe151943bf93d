/** In which order items whose texts are whole get their scores. */

import type {Job, OpenBatch} from '../batches/batch_job.js';
import {chooseGroups} from '../batches/group_choice.js';
import {compareRanks} from '../batches/job_rules.js';

/**
 * Items of groups that a trainer waits for go first, then those whose group
 * lacks least, then those that are due first. A trainer uses whole groups only,
 * so the score that completes one is worth more than one that begins another.
 */
export function rankUnscored(
  batches: Iterable<OpenBatch>,
  tokensPerEvent: number,
): readonly Job[] {
  const ranked: Array<{job: Job; rank: readonly number[]}> = [];
  for (const open of batches) {
    const unscored = [...open.jobs.values()].filter(isUnscored);
    if (unscored.length === 0 || !open.terms) continue;
    const {needed} = chooseGroups(open, tokensPerEvent);
    const lacking = countLacking(open);
    const {dueAtMs} = open.terms;
    for (const job of unscored) {
      const {group} = job.item;
      const isNeeded = needed.has(group) ? 0 : 1;
      ranked.push({job, rank: [isNeeded, lacking.get(group) ?? 0, dueAtMs]});
    }
  }
  ranked.sort((a, b) => compareRanks(a.rank, b.rank));
  return ranked.map(({job}) => job);
}

function isUnscored({state}: Job): boolean {
  return state === 'unscored';
}

/** Items without a result, by group. */
function countLacking({jobs}: OpenBatch): ReadonlyMap<string, number> {
  const lacking = new Map<string, number>();
  for (const {item, state} of jobs.values()) {
    if (state === 'finished') continue;
    lacking.set(item.group, (lacking.get(item.group) ?? 0) + 1);
  }
  return lacking;
}
