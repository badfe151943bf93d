/**
 * Folds the records of one partition into batches and their results. Positions
 * of results follow from the order of records alone: the first result of an
 * item counts, wherever it came from, and later ones are void. Two VMs that run
 * one item at the same time therefore never give it two positions.
 */

import type {
  Batch,
  BatchItem,
  BatchRecord,
  ItemResult,
} from './batch_record.js';
import type {ListedResult, ResultCache} from './result_cache.js';
import {Transcript} from './transcript.js';

/** What is known of one item. */
export interface ItemEntry {
  readonly item: BatchItem;
  /** Undefined until the item has a result. */
  position: number | undefined;
  /** Attempts that an endpoint answered as failed. */
  failures: number;
  /** Reward calls that an endpoint answered as failed. */
  rewardFailures: number;
  /** Output that was stored before the item had a result. */
  readonly transcript: Transcript;
}

/** What is known of one batch. */
export interface BatchEntry {
  readonly batch: Batch;
  readonly items: ReadonlyMap<string, ItemEntry>;
  /** Results by position. */
  readonly results: ListedResult[];
  isEnded: boolean;
}

/** What a record changed, for those who act on it. */
export type LedgerChange =
  | {readonly kind: 'opened'; readonly entry: BatchEntry}
  | {readonly kind: 'ended'; readonly entry: BatchEntry}
  | {
      readonly kind: 'listed';
      readonly entry: BatchEntry;
      readonly result: ItemResult;
    };

type ProgressRecord = Extract<BatchRecord, {kind: 'progress'}>;

interface PendingSubmission {
  readonly slices: Uint8Array[];
}

/** Decodes the joined slices of a submission. */
export type DecodeBatch = (bytes: Uint8Array) => Batch;

export class BatchLedger {
  private readonly batches = new Map<string, BatchEntry>();
  private readonly pending = new Map<string, PendingSubmission>();

  /**
   * @param decode Undoes what the writer did before it cut the slices.
   * @param cache Bounds the results in memory, over all ledgers that share it.
   */
  constructor(
    private readonly decode: DecodeBatch,
    private readonly cache: ResultCache,
  ) {}

  get entries(): IterableIterator<BatchEntry> {
    return this.batches.values();
  }

  get(batchId: string): BatchEntry | undefined {
    return this.batches.get(batchId);
  }

  /** Takes the next record of the partition, which stands at `offset`. */
  apply(record: BatchRecord, offset: number): LedgerChange | undefined {
    switch (record.kind) {
      case 'slice':
        this.takeSlice(record.submission, record.index, record.bytes);
        return undefined;
      case 'accepted':
        return this.accept(record.batchId, record.submission, record.slices);
      case 'result':
        return this.list(record.batchId, record.result, offset);
      case 'progress':
        this.addProgress(record);
        return undefined;
      case 'attempt_failed': {
        const entry = this.findItem(record.batchId, record.itemId);
        if (entry) entry.failures += 1;
        return undefined;
      }
      case 'reward_failed': {
        const entry = this.findItem(record.batchId, record.itemId);
        if (entry) entry.rewardFailures += 1;
        return undefined;
      }
      case 'ended':
        return this.end(record.batchId);
    }
  }

  /** Forgets batches that were submitted before `beforeMs` (Unix ms). */
  forget(beforeMs: number): void {
    for (const [id, {batch}] of this.batches) {
      if (batch.submittedAtMs < beforeMs) this.batches.delete(id);
    }
  }

  private takeSlice(
    submission: string,
    index: number,
    bytes: Uint8Array,
  ): void {
    let pending = this.pending.get(submission);
    if (!pending) {
      pending = {slices: []};
      this.pending.set(submission, pending);
    }
    pending.slices[index] = bytes;
  }

  /**
   * A submission is repeated when its acknowledgement was lost, at any VM and
   * even after the batch ended. It shows as two acceptances of one id; the
   * first counts, so that nothing runs or is listed twice.
   */
  private accept(
    batchId: string,
    submission: string,
    slices: number,
  ): LedgerChange | undefined {
    const pending = this.pending.get(submission);
    this.pending.delete(submission);
    if (this.batches.has(batchId)) return undefined;
    if (!pending || countSlices(pending.slices) !== slices) return undefined;
    const batch = this.decode(joinSlices(pending.slices));
    const entry = createEntry(batch);
    this.batches.set(batchId, entry);
    return {kind: 'opened', entry};
  }

  private list(
    batchId: string,
    result: ItemResult,
    offset: number,
  ): LedgerChange | undefined {
    const entry = this.batches.get(batchId);
    const item = entry?.items.get(result.itemId);
    if (!entry || !item || item.position !== undefined) return undefined;
    item.position = entry.results.length;
    item.transcript.clear();
    const listed = {offset, result};
    entry.results.push(listed);
    this.cache.add(listed);
    return {kind: 'listed', entry, result};
  }

  /** Progress that does not follow what is known is dropped; it only costs its generation again. */
  private addProgress(record: ProgressRecord): void {
    const {batchId, itemId, afterRun, events, isWhole} = record;
    const entry = this.findItem(batchId, itemId);
    if (!entry || entry.position !== undefined) return;
    const isJoined = entry.transcript.join(afterRun, events);
    if (isJoined && isWhole) entry.transcript.finish();
  }

  private findItem(batchId: string, itemId: string): ItemEntry | undefined {
    return this.batches.get(batchId)?.items.get(itemId);
  }

  private end(batchId: string): LedgerChange | undefined {
    const entry = this.batches.get(batchId);
    if (!entry || entry.isEnded) return undefined;
    entry.isEnded = true;
    return {kind: 'ended', entry};
  }
}

function createEntry(batch: Batch): BatchEntry {
  const items = new Map<string, ItemEntry>();
  for (const item of batch.items) {
    items.set(item.id, {
      item,
      position: undefined,
      failures: 0,
      rewardFailures: 0,
      transcript: new Transcript(),
    });
  }
  return {batch, items, results: [], isEnded: false};
}

function countSlices(slices: readonly Uint8Array[]): number {
  return slices.filter(slice => slice !== undefined).length;
}

function joinSlices(slices: readonly Uint8Array[]): Uint8Array {
  const joined = new Uint8Array(
    slices.reduce((sum, {length}) => sum + length, 0),
  );
  let at = 0;
  for (const slice of slices) {
    joined.set(slice, at);
    at += slice.length;
  }
  return joined;
}
