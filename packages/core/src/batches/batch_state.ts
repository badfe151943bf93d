/**
 * A batch as a coordinator takes it over: what was submitted, what the index
 * says of it, and what is stored of the texts that are not whole yet.
 */

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
  readonly failures: number;
  readonly rewardFailures: number;
  /** Whether it has a result. */
  readonly isListed: boolean;
  /** Its result, where the text was read. */
  readonly result?: ItemResult;
}

export interface BatchState {
  readonly batch: Batch;
  readonly items: ReadonlyMap<string, ItemState>;
  readonly isEnded: boolean;
}

/** What is stored of items beside the index. */
export interface StoredOutput {
  readonly transcripts: ReadonlyMap<string, Transcript>;
  readonly results: ReadonlyMap<string, ItemResult>;
}

/** The state of `batch` as the index has it now, with output that was read from the log. */
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
      failures: indexed?.failures ?? 0,
      rewardFailures: indexed?.rewardFailures ?? 0,
      isListed,
      ...(result ? {result} : {}),
    });
  }
  return {batch, items, isEnded: entry.isEnded};
}

/** Texts of the items of one batch, joined from progress in the order of the log. */
export class ProgressFold {
  private readonly byItem = new Map<string, Transcript>();

  constructor(private readonly batchId: string) {}

  get transcripts(): ReadonlyMap<string, Transcript> {
    return this.byItem;
  }

  /** Takes the next record. Progress that does not follow what is known is dropped; it only costs its generation again. */
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
