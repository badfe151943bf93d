/** What batches before one have of the items that it asks for again. */

import {type IndexedBatch, isComplete} from './batch_index.js';

/**
 * Closed batches of a model whose texts are kept: groups that were not complete
 * come again in the next step, or in the one after it where steps are asked for
 * ahead.
 */
export const RETAINED_BATCHES = 3;

/** Those of `known` that are over and share items with `entry`, the oldest first. */
export function listEarlierBatches(
  entry: IndexedBatch,
  candidates: readonly IndexedBatch[],
): readonly IndexedBatch[] {
  const {model, submittedAtMs} = entry.header;
  const isBefore = ({header}: IndexedBatch) =>
    header.model === model && header.submittedAtMs < submittedAtMs;
  const itemIds = [...entry.items.keys()];
  return candidates
    .filter(earlier => isBefore(earlier) && isComplete(earlier))
    .sort((a, b) => a.header.submittedAtMs - b.header.submittedAtMs)
    .slice(-RETAINED_BATCHES)
    .filter(({items}) => itemIds.some(id => items.has(id)));
}

/** How an item failed in batches before one that asks for it again. */
export interface EarlierFailures {
  /** Attempts that an endpoint answered as failed. */
  readonly failures: number;
  /** Attempts that an endpoint answered as impossible. */
  readonly rejections: number;
}

/** By item of `entry`, those of `known` that failed; an item that comes again must not be run for ever. */
export function countEarlierFailures(
  entry: IndexedBatch,
  candidates: readonly IndexedBatch[],
): ReadonlyMap<string, EarlierFailures> {
  const earlier = candidates.filter(
    other =>
      other !== entry &&
      other.header.submittedAtMs <= entry.header.submittedAtMs,
  );
  const counts = new Map<string, EarlierFailures>();
  for (const {items} of earlier) {
    for (const id of entry.items.keys()) {
      const item = items.get(id);
      if (!item || item.failures + item.rejections === 0) continue;
      const {failures = 0, rejections = 0} = counts.get(id) ?? {};
      counts.set(id, {
        failures: failures + item.failures,
        rejections: rejections + item.rejections,
      });
    }
  }
  return counts;
}
