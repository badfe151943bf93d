/** In which order items whose texts are whole get their scores. */

import type {Job, OpenBatch} from '../batches/batch_job.js';

/**
 * Items of the batch that is due first go first.
 *
 * By what a group lacks, a trainer with large groups would wait behind others
 * with small ones for as long as calls queue.
 */
export function rankUnscored(batches: Iterable<OpenBatch>): readonly Job[] {
  const open = [...batches].filter(({terms}) => terms !== undefined);
  open.sort((a, b) => a.terms!.dueAtMs - b.terms!.dueAtMs);
  return open.flatMap(({jobs}) => [...jobs.values()].filter(isUnscored));
}

function isUnscored({state}: Job): boolean {
  return state === 'unscored';
}
