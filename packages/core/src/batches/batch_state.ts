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

/** The output of one item, and the records that it was joined from. */
interface FoldedItem {
  readonly transcript: Transcript;
  /** Identities of the records applied, see `identify`. */
  readonly applied: Set<string>;
}

/**
 * Joins the progress records of one batch, in log order, into transcripts of
 * its items.
 */
export class ProgressFold {
  private readonly byItem = new Map<string, FoldedItem>();

  constructor(private readonly batchId: string) {}

  get transcripts(): ReadonlyMap<string, Transcript> {
    return new Map(
      [...this.byItem].map(([id, {transcript}]) => [id, transcript]),
    );
  }

  /**
   * Applies the next record. Progress that does not follow the output so far is
   * dropped; that part is then generated again. So would be what follows a record
   * of which a copy is stored late, if the copy were applied.
   */
  apply(record: ProgressRecord): void {
    const {batchId, itemId, afterRun, events, isWhole} = record;
    if (batchId !== this.batchId) return;
    const {transcript, applied} = this.openItem(itemId);
    const identity = identify(record);
    if (applied.has(identity)) return;
    applied.add(identity);
    const isJoined = transcript.join(afterRun, events);
    if (isJoined && isWhole) transcript.finish();
  }

  private openItem(itemId: string): FoldedItem {
    let item = this.byItem.get(itemId);
    if (!item) {
      item = {transcript: new Transcript(), applied: new Set()};
      this.byItem.set(itemId, item);
    }
    return item;
  }
}

/**
 * Identifies a record among those of its item. An event of a run identifies all
 * output before it, so the first and the last one identify the events.
 */
function identify({events, isWhole = false}: ProgressRecord): string {
  const first = events.at(0);
  const last = events.at(-1);
  return `${first?.run} ${first?.id} ${last?.run} ${last?.id} ${isWhole}`;
}
