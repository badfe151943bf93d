/** Which batches before one have items that it asks for again. */

import {type IndexedBatch, isComplete} from './batch_index.js';

/**
 * Closed batches of a model whose texts are kept: groups that were not complete
 * come again in the next step, or in the one after it where steps are asked for
 * ahead.
 */
export const KEPT_STEPS = 3;

/** Those of `known` that are over and share items with `entry`, the oldest first. */
export function listEarlier(
  entry: IndexedBatch,
  known: readonly IndexedBatch[],
): readonly IndexedBatch[] {
  const {model, submittedAtMs} = entry.header;
  const isBefore = ({header}: IndexedBatch) =>
    header.model === model && header.submittedAtMs < submittedAtMs;
  const itemIds = [...entry.items.keys()];
  return known
    .filter(earlier => isBefore(earlier) && isComplete(earlier))
    .sort((a, b) => a.header.submittedAtMs - b.header.submittedAtMs)
    .slice(-KEPT_STEPS)
    .filter(({items}) => itemIds.some(id => items.has(id)));
}
