/**
 * Assembles the state of a batch for a coordinator that takes it over: its
 * submission, its state in the index, and the stored output of incomplete items.
 */

import {type AttemptIds, NO_ATTEMPTS} from './attempt_ids.js';
import type {IndexedBatch} from './batch_index.js';
import type {
  Batch,
  BatchItem,
  ItemResult,
  ProgressRecord,
} from './batch_record.js';
import {Transcript} from './transcript.js';

export interface ItemState {
  readonly item: BatchItem;
  /** Output that was stored before the item had a result. */
  readonly transcript: Transcript;
  /** Runs that an endpoint answered as failed. */
  readonly failedRuns: AttemptIds;
  /** Reward calls that an endpoint answered as failed. */
  readonly failedRewardCalls: AttemptIds;
  /** Whether it has a result. */
  readonly isListed: boolean;
  /** Its result, if the output has been read. */
  readonly result?: ItemResult;
}

export interface BatchState {
  readonly batch: Batch;
  readonly items: ReadonlyMap<string, ItemState>;
  readonly isEnded: boolean;
}

/** Stored output of items, which the index does not contain. */
export interface StoredOutput {
  readonly transcripts: ReadonlyMap<string, Transcript>;
  readonly results: ReadonlyMap<string, ItemResult>;
}

/**
 * Combines the indexed state of `batch` with output that was read from the log.
 */
export function assembleState(
  batch: Batch,
  entry: IndexedBatch,
  {transcripts, results}: StoredOutput,
): BatchState {
  const items = new Map<string, ItemState>();
  for (const item of batch.items) {
    const indexed = entry.items.get(item.id);
    const isListed = indexed?.position !== undefined;
    const stored = isListed ? undefined : transcripts.get(item.id);
    const result = results.get(item.id);
    items.set(item.id, {
      item,
      transcript: stored ?? new Transcript(),
      failedRuns: indexed?.failedRuns ?? NO_ATTEMPTS,
      failedRewardCalls: indexed?.failedRewardCalls ?? NO_ATTEMPTS,
      isListed,
      ...(result ? {result} : {}),
    });
  }
  return {batch, items, isEnded: entry.isEnded};
}

/**
 * Joins the progress records of one batch, in log order, into transcripts of
 * its items.
 */
export class ProgressFold {
  private readonly byItem = new Map<string, Transcript>();

  constructor(private readonly batchId: string) {}

  get transcripts(): ReadonlyMap<string, Transcript> {
    return this.byItem;
  }

  /**
   * Applies the next record. Progress that does not follow the output so far is
   * dropped; that part is then generated again.
   */
  apply({batchId, itemId, afterRun, events, isWhole}: ProgressRecord): void {
    if (batchId !== this.batchId) return;
    let transcript = this.byItem.get(itemId);
    if (!transcript) {
      transcript = new Transcript();
      this.byItem.set(itemId, transcript);
    }
    const isJoined = transcript.join(afterRun, events);
    if (isJoined && isWhole) transcript.finish();
  }
}
