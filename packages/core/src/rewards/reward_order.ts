/** In which order items whose texts are whole get their scores. */

import type {Job, OpenBatch} from '../batches/batch_job.js';

/**
 * Items of the batch that is due first go first.
 *
 * Items whose group lacked least went first for a while: a trainer with groups
 * of 8 then waited behind others with groups of 4 for as long as calls queued.
 * With most app endpoints gone for 12 s it was served 0.83 of what it was owed,
 * and all of it in order of due times (mean of three plays in pairs).
 */
export function rankUnscored(batches: Iterable<OpenBatch>): readonly Job[] {
  const open = [...batches].filter(({terms}) => terms !== undefined);
  open.sort((a, b) => a.terms!.dueAtMs - b.terms!.dueAtMs);
  return open.flatMap(({jobs}) => [...jobs.values()].filter(isUnscored));
}

function isUnscored({state}: Job): boolean {
  return state === 'unscored';
}
