/** Order in which items with complete output are scored. */

import type {Job, OpenBatch} from '../batches/batch_job.js';

/**
 * Ranks items by the due time of their batch.
 *
 * Ranked by the number of scores that a group still lacks, a trainer with large
 * groups would wait behind trainers with small ones for as long as calls queue.
 */
export function rankUnscored(batches: Iterable<OpenBatch>): readonly Job[] {
  const open = [...batches].filter(({terms}) => terms !== undefined);
  open.sort((a, b) => a.terms!.dueAtMs - b.terms!.dueAtMs);
  return open.flatMap(({jobs}) => [...jobs.values()].filter(isUnscored));
}

function isUnscored({state}: Job): boolean {
  return state === 'unscored';
}
