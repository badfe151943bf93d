/** Determines the order in which items with complete output are scored. */

import type {Job, OpenBatch} from '../batches/batch_job.js';

/**
 * Ranks items by the due time of their batch.
 *
 * If they were ranked by the number of scores that a group still lacks, a trainer
 * with large groups would wait behind trainers with small ones while calls queue.
 */
export function rankUnscored(batches: Iterable<OpenBatch>): readonly Job[] {
  const open = [...batches].filter(({terms}) => terms !== undefined);
  open.sort((a, b) => a.terms!.dueAtMs - b.terms!.dueAtMs);
  return open.flatMap(({jobs}) => [...jobs.values()].filter(isUnscored));
}

function isUnscored({state}: Job): boolean {
  return state === 'unscored';
}
