/**
 * This VM's copy of the index of one partition of batches. It is read on demand:
 * a caller's question is answered after the index was read to its end once,
 * counted from the question, so every VM answers alike without following
 * everything. Texts are read where a caller asks for them and are not kept.
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

/** How long a follower lets the log wait for news, ms; a connection that has gone silent hides news this long and a call more. */
const FOLLOW_WAIT_MS = 900;
/** Pause of a follower after a failed read, ms. */
const RETRY_MS = 100;
/** Records that are applied before other tasks get a turn. */
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
   * Reads to the end as of now. Questions that come while a read is under way
   * share the next one: that under way may have begun before them.
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

  /** Waits up to `waitMs` for a record behind those known. */
  async waitForRecords(
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<SyncOutcome> {
    const outcome = await this.readOnce(waitMs, signal);
    return outcome.kind === 'failed' ? outcome : {kind: 'current'};
  }

  /**
   * The results from position `after` on, of `maxBytes` of output at most but
   * one at least.
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

  /** `listed` with their texts, in the same order. */
  async readTexts(
    listed: readonly ListedResult[],
  ): Promise<Result<readonly ItemResult[]>> {
    const refs = listed.map(({text}) => text);
    const texts = await this.payloads.read(this.partition, refs);
    if (!texts.ok) return texts;
    return succeed(listed.map((result, i) => addText(result, texts.value[i])));
  }

  /** The batch as it was submitted. */
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

  /** Applies records as they come, until `signal`. */
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
      // Two reads may be under way at once and bring the same records.
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

/** All partitions of this VM. */
export class IndexReplicas {
  private readonly byPartition = new Map<number, IndexReplica>();

  constructor(
    private readonly store: LogStore,
    private readonly logger: EventLogger,
  ) {}

  /** The partition that keeps `batchId`; the same on every VM. */
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
