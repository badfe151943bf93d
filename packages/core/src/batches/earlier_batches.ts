/**
 * Finds what earlier batches have for items that a later batch requests again.
 */

import {type IndexedBatch, isComplete} from './batch_index.js';

/**
 * Number of closed batches per model whose output is retained. Incomplete
 * groups are requested again in the next step, or in the one after it by
 * trainers that submit steps ahead.
 */
export const RETAINED_BATCHES = 3;

/**
 * Batches among `candidates` that are over and share items with `entry`, the
 * oldest first.
 */
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

/** How often an item failed in earlier batches. */
export interface EarlierFailures {
  /** Number of runs that an endpoint answered as failed. */
  readonly failures: number;
  /** Number of runs that an endpoint answered as impossible. */
  readonly rejections: number;
}

/**
 * Counts the failures of the items of `entry` in earlier batches, by item id,
 * so that an item that is requested again and again is not run forever.
 */
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
      if (!item) continue;
      const {failedRuns, rejectedRuns} = item;
      if (failedRuns.length + rejectedRuns.length === 0) continue;
      const {failures = 0, rejections = 0} = counts.get(id) ?? {};
      counts.set(id, {
        failures: failures + failedRuns.length,
        rejections: rejections + rejectedRuns.length,
      });
    }
  }
  return counts;
}
