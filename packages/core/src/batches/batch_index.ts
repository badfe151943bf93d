/**
 * Folds the index of one partition into batches and the positions of their
 * results. Positions depend only on the order of records: the first result of
 * an item counts, whoever wrote it, and later ones are void. Two VMs that run
 * one item at the same time therefore never assign it two positions.
 *
 * The index contains no output, because a VM has to read the complete index of
 * a partition before it can answer requests about it.
 */

import {addAttempt, type AttemptIds, NO_ATTEMPTS} from './attempt_ids.js';
import type {
  BatchHeader,
  FailureRecord,
  IndexRecord,
  ListedResult,
  PayloadRef,
} from './batch_record.js';
import {GroupProgress} from './group_progress.js';

/** State of one item in the index. */
export interface IndexedItem {
  /** Undefined until the item has a result. */
  position: number | undefined;
  /** Runs that an endpoint answered as failed. */
  failedRuns: AttemptIds;
  /** Runs that an endpoint answered as impossible. */
  rejectedRuns: AttemptIds;
  /** Reward calls that an endpoint answered as failed. */
  failedRewardCalls: AttemptIds;
}

/** State of one batch in the index. */
export interface IndexedBatch {
  readonly header: BatchHeader;
  readonly items: ReadonlyMap<string, IndexedItem>;
  /** Location of the stored submission. */
  readonly payload: PayloadRef;
  /** Results in the order of their positions. */
  readonly results: ListedResult[];
  /** Undefined if the index does not contain the groups of the batch. */
  readonly groupProgress: GroupProgress | undefined;
  /** Whether a result said that the trainer has all that it waits for. */
  isStepEnded: boolean;
  isEnded: boolean;
}

/** What a record changed. */
export type IndexChange =
  | {readonly kind: 'opened'; readonly entry: IndexedBatch}
  | {readonly kind: 'ended'; readonly entry: IndexedBatch}
  | {
      readonly kind: 'listed';
      readonly entry: IndexedBatch;
      readonly listed: ListedResult;
    }
  | {
      readonly kind: 'failed';
      readonly entry: IndexedBatch;
      readonly failure: FailureRecord;
    };

/** The list of an item that each kind of failure is added to. */
const ATTEMPT_LISTS = {
  attempt_failed: 'failedRuns',
  attempt_impossible: 'rejectedRuns',
  reward_failed: 'failedRewardCalls',
} as const;

export class BatchIndex {
  private readonly batches = new Map<string, IndexedBatch>();
  /** Batches that were submitted before this are dropped, Unix ms. */
  private retainedFromMs = -Infinity;

  get entries(): IterableIterator<IndexedBatch> {
    return this.batches.values();
  }

  get(batchId: string): IndexedBatch | undefined {
    return this.batches.get(batchId);
  }

  /** Applies the next record of the partition. */
  apply(record: IndexRecord): IndexChange | undefined {
    switch (record.kind) {
      case 'accepted':
        return this.accept(record);
      case 'result':
        return this.list(record.batchId, record.listed);
      case 'attempt_failed':
      case 'attempt_impossible':
      case 'reward_failed':
        return this.recordFailure(record);
      case 'ended':
        return this.end(record.batchId);
    }
  }

  /**
   * Drops batches that were submitted before `beforeMs` (Unix ms). Their ids stay
   * void: a copy of an acceptance would open the batch again without its results.
   */
  forget(beforeMs: number): void {
    this.retainedFromMs = Math.max(this.retainedFromMs, beforeMs);
    for (const [id, {header}] of this.batches) {
      if (header.submittedAtMs < beforeMs) this.batches.delete(id);
    }
  }

  /**
   * A submission is repeated if its acknowledgement was lost, at any VM and
   * even after the batch has ended. The log then holds two acceptances of one
   * id; the first counts, so that nothing is run or listed twice.
   */
  private accept({
    header,
    itemIds,
    groupNumbers,
    payload,
  }: Extract<IndexRecord, {kind: 'accepted'}>): IndexChange | undefined {
    if (this.batches.has(header.id)) return undefined;
    if (header.submittedAtMs < this.retainedFromMs) return undefined;
    const items = new Map<string, IndexedItem>();
    for (const id of itemIds) {
      items.set(id, {
        position: undefined,
        failedRuns: NO_ATTEMPTS,
        rejectedRuns: NO_ATTEMPTS,
        failedRewardCalls: NO_ATTEMPTS,
      });
    }
    const entry: IndexedBatch = {
      header,
      items,
      payload,
      results: [],
      groupProgress:
        groupNumbers?.length === itemIds.length
          ? new GroupProgress(itemIds, groupNumbers)
          : undefined,
      isStepEnded: false,
      isEnded: false,
    };
    this.batches.set(header.id, entry);
    return {kind: 'opened', entry};
  }

  private list(batchId: string, listed: ListedResult): IndexChange | undefined {
    const entry = this.batches.get(batchId);
    const item = entry?.items.get(listed.itemId);
    if (!entry || !item || item.position !== undefined) return undefined;
    item.position = entry.results.length;
    entry.results.push(listed);
    entry.groupProgress?.recordResult(listed.itemId);
    entry.isStepEnded ||= listed.endsStep ?? false;
    return {kind: 'listed', entry, listed};
  }

  private recordFailure(failure: FailureRecord): IndexChange | undefined {
    const {kind, batchId, itemId, attempt} = failure;
    const entry = this.batches.get(batchId);
    const item = entry?.items.get(itemId);
    if (!entry || !item) return undefined;
    const list = ATTEMPT_LISTS[kind];
    const attempts = addAttempt(item[list], attempt);
    if (attempts === item[list]) return undefined;
    item[list] = attempts;
    return {kind: 'failed', entry, failure};
  }

  private end(batchId: string): IndexChange | undefined {
    const entry = this.batches.get(batchId);
    if (!entry || entry.isEnded) return undefined;
    entry.isEnded = true;
    return {kind: 'ended', entry};
  }
}

/** Whether no item of the batch has to run any more. */
export function isComplete({isEnded, results, items}: IndexedBatch): boolean {
  return isEnded || results.length === items.size;
}

/**
 * Whether the trainer has all that its step waits for. Groups that an earlier
 * step left incomplete must be among them, which the coordinator knows. Results
 * may be appended in another order than they were made, so the groups are counted
 * as well. Without known groups the step counts as ready.
 */
export function isStepReady(entry: IndexedBatch): boolean {
  const {header, groupProgress, isStepEnded} = entry;
  if (!groupProgress) return true;
  return isStepEnded && groupProgress.completeCount >= header.groupsWanted;
}
