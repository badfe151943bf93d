/**
 * Keeps this VM's replica of the batch index of one partition. The replica is
 * synchronized on demand: before a call is answered, the index is read up to its
 * end at that time, so all VMs give the same answer without following every
 * partition. Texts are read when a caller requests them and are not cached.
 */

import {
  BatchIndex,
  type IndexChange,
  type IndexedBatch,
} from '@radishyoke/core/batches/batch_index';
import type {
  Batch,
  IndexRecord,
  ItemResult,
  ListedResult,
} from '@radishyoke/core/batches/batch_record';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';
import {decodeBatch, decodeIndexRecord} from './batch_codec.js';
import {INDEX_TOPIC, BATCH_RETENTION_MS} from './batch_topics.js';
import {PayloadLog} from './payload_log.js';
import type {LogStore, StoredRecord} from '../store/log_store.js';

/** Long poll of a follower, ms. A connection that has gone silent hides new records for this long plus one call. */
const FOLLOW_WAIT_MS = 900;
/** Pause of a follower after a failed read, ms. */
const RETRY_MS = 100;
/** Records that are applied before the event loop gets a chance to run other tasks. */
const SLICE_RECORDS = 64;

export type SyncOutcome =
  | {readonly kind: 'current'}
  | {readonly kind: 'failed'; readonly error: RadishyokeError};

type Listener = (change: IndexChange) => void;

export class IndexReplica {
  readonly index = new BatchIndex();
  private readonly payloads: PayloadLog;
  private nextOffset = 0;
  private currentSync: Promise<SyncOutcome> | undefined;
  private nextSync: Promise<SyncOutcome> | undefined;
  private readonly listeners = new Set<Listener>();

  constructor(
    private readonly store: LogStore,
    readonly partition: number,
    private readonly logger: EventLogger,
  ) {
    this.payloads = new PayloadLog(store);
  }

  addListener(listener: Listener): void {
    this.listeners.add(listener);
  }

  removeListener(listener: Listener): void {
    this.listeners.delete(listener);
  }

  /**
   * Reads the index up to its present end. Calls made during a read share the
   * next read, since the current one may have passed the end before they came.
   */
  sync(): Promise<SyncOutcome> {
    if (!this.currentSync) {
      this.currentSync = this.readToEnd().finally(
        () => (this.currentSync = undefined),
      );
      return this.currentSync;
    }
    this.nextSync ??= this.currentSync.then(() => {
      this.nextSync = undefined;
      return this.sync();
    });
    return this.nextSync;
  }

  /** Waits up to `waitMs` for a record after the last one applied. */
  async waitForRecords(
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<SyncOutcome> {
    const outcome = await this.readOnce(waitMs, signal);
    return outcome.kind === 'failed' ? outcome : {kind: 'current'};
  }

  /**
   * Returns the results from position `after` on, limited to `maxBytes` of
   * output. At least one result is returned if there is any.
   */
  async readResults(
    {results}: IndexedBatch,
    after: number,
    maxBytes: number,
  ): Promise<Result<readonly ItemResult[]>> {
    const page: ListedResult[] = [];
    let bytes = 0;
    for (const listed of results.slice(after)) {
      bytes += listed.text.reduce((sum, part) => sum + part.bytes, 0);
      if (page.length > 0 && bytes > maxBytes) break;
      page.push(listed);
    }
    return this.readTexts(page);
  }

  /** Adds the texts to `listed`; keeps the order. */
  async readTexts(
    listed: readonly ListedResult[],
  ): Promise<Result<readonly ItemResult[]>> {
    const refs = listed.map(({text}) => text);
    const texts = await this.payloads.read(this.partition, refs);
    if (!texts.ok) return texts;
    return succeed(listed.map((result, i) => addText(result, texts.value[i])));
  }

  /** Reads the batch as it was submitted. */
  async readSubmission({
    header,
    payload,
  }: IndexedBatch): Promise<Result<Batch>> {
    const read = await this.payloads.read(this.partition, [payload]);
    if (!read.ok) return read;
    try {
      return succeed(decodeBatch(read.value[0]));
    } catch (err) {
      const detail = `submission of ${header.id}: ${String(err)}`;
      return fail(createError('internal', detail));
    }
  }

  /** Applies records as they arrive, until `signal` aborts. */
  async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const outcome = await this.readOnce(FOLLOW_WAIT_MS, signal);
      if (outcome.kind === 'failed' && !signal.aborted) await sleep(RETRY_MS);
    }
  }

  private async readToEnd(): Promise<SyncOutcome> {
    for (;;) {
      const outcome = await this.readOnce(0);
      if (outcome.kind === 'failed') return outcome;
      if (outcome.isAtEnd) return {kind: 'current'};
    }
  }

  private async readOnce(
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<
    | {readonly kind: 'read'; readonly isAtEnd: boolean}
    | {readonly kind: 'failed'; readonly error: RadishyokeError}
  > {
    const {store, partition} = this;
    const options = signal ? {waitMs, signal} : {waitMs};
    const outcome = await store.read(
      INDEX_TOPIC,
      partition,
      this.nextOffset,
      options,
    );
    switch (outcome.kind) {
      case 'failed':
        return outcome;
      case 'expired':
        this.logger.log('info', 'start of a partition is gone', {
          partition,
          from: this.nextOffset,
          first: outcome.firstOffset,
        });
        this.nextOffset = Math.max(this.nextOffset, outcome.firstOffset);
        return {kind: 'read', isAtEnd: false};
      case 'page':
        await this.applyAll(outcome.records);
        return {kind: 'read', isAtEnd: this.nextOffset >= outcome.endOffset};
    }
  }

  private async applyAll(records: readonly StoredRecord[]): Promise<void> {
    for (const [index, {offset, bytes}] of records.entries()) {
      // Concurrent reads may return the same records.
      if (offset < this.nextOffset) continue;
      this.nextOffset = offset + 1;
      this.applyOne(bytes, offset);
      if (index % SLICE_RECORDS === SLICE_RECORDS - 1) await sleep(0);
    }
    this.index.forget(Date.now() - BATCH_RETENTION_MS);
  }

  private decode(bytes: Uint8Array, offset: number): IndexRecord | undefined {
    try {
      return decodeIndexRecord(bytes);
    } catch (err) {
      this.logger.log('error', 'record can not be read and is skipped', {
        partition: this.partition,
        offset,
        detail: String(err),
      });
      return undefined;
    }
  }

  private applyOne(bytes: Uint8Array, offset: number): void {
    const record = this.decode(bytes, offset);
    if (!record) return;
    const change = this.index.apply(record);
    if (!change) return;
    for (const listener of this.listeners) listener(change);
  }
}

function addText(listed: ListedResult, bytes: Uint8Array): ItemResult {
  const {itemId, state, versions, score} = listed;
  return {
    itemId,
    state,
    versions,
    output: Buffer.from(bytes).toString('utf8'),
    ...(score === undefined ? {} : {score}),
  };
}

/** The index replicas of all partitions on this VM, created on first use. */
export class IndexReplicas {
  private readonly byPartition = new Map<number, IndexReplica>();

  constructor(
    private readonly store: LogStore,
    private readonly logger: EventLogger,
  ) {}

  /** Returns the replica of the partition that stores `batchId`, which is the same one on every VM. */
  locate(batchId: string): IndexReplica {
    let hash = 0;
    for (let i = 0; i < batchId.length; i++) {
      hash = (Math.imul(hash, 31) + batchId.charCodeAt(i)) >>> 0;
    }
    return this.open(hash % this.store.partitions);
  }

  open(partition: number): IndexReplica {
    let replica = this.byPartition.get(partition);
    if (!replica) {
      replica = new IndexReplica(this.store, partition, this.logger);
      this.byPartition.set(partition, replica);
    }
    return replica;
  }

  openAll(): readonly IndexReplica[] {
    return Array.from({length: this.store.partitions}, (_, i) => this.open(i));
  }
}
