/**
 * This VM's copy of one partition of batches. It is read on demand: a caller's
 * question is answered after the partition was read to its end once, counted
 * from the question, so every VM answers alike without following everything.
 */

import {
  type BatchEntry,
  BatchLedger,
  type LedgerChange,
} from '@radishyoke/core/batches/batch_ledger';
import type {
  BatchRecord,
  ItemResult,
} from '@radishyoke/core/batches/batch_record';
import {ResultCache} from '@radishyoke/core/batches/result_cache';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';
import {decodeBatch, decodeBatchRecord} from './batch_codec.js';
import type {LogStore, StoredRecord} from '../store/log_store.js';

export const BATCH_TOPIC = 'batches';

/** How long a follower lets the log wait for news, ms; a connection that has gone silent hides news this long and a call more. */
const FOLLOW_WAIT_MS = 900;
/** Pause of a follower after a failed read, ms. */
const RETRY_MS = 100;
/** Batches are forgotten this long after their submission, ms: callers may read for 120 s, and clocks of VMs differ. */
export const KEEP_BATCH_MS = 180_000;
/** Records that are applied before other tasks get a turn. */
const SLICE_RECORDS = 64;

export type SyncOutcome =
  | {readonly kind: 'current'}
  | {readonly kind: 'failed'; readonly error: RadishyokeError};

type Listener = (change: LedgerChange) => void;

export class BatchBook {
  readonly ledger: BatchLedger;
  private next = 0;
  private running: Promise<SyncOutcome> | undefined;
  private queued: Promise<SyncOutcome> | undefined;
  private readonly listeners = new Set<Listener>();

  constructor(
    private readonly store: LogStore,
    readonly partition: number,
    private readonly logger: EventLogger,
    cache: ResultCache,
  ) {
    this.ledger = new BatchLedger(decodeBatch, cache);
  }

  listen(listener: Listener): void {
    this.listeners.add(listener);
  }

  unlisten(listener: Listener): void {
    this.listeners.delete(listener);
  }

  /**
   * Reads to the end as of now. Questions that come while a read is under way
   * share the next one: that under way may have begun before them.
   */
  sync(): Promise<SyncOutcome> {
    if (!this.running) {
      this.running = this.readToEnd().finally(() => (this.running = undefined));
      return this.running;
    }
    this.queued ??= this.running.then(() => {
      this.queued = undefined;
      return this.sync();
    });
    return this.queued;
  }

  /** Waits up to `waitMs` for a record behind those known. */
  async waitForNews(
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<SyncOutcome> {
    const outcome = await this.readOnce(waitMs, signal);
    return outcome.kind === 'failed' ? outcome : {kind: 'current'};
  }

  /**
   * The results from position `after` on, of `maxChars` of output at most but
   * one at least. Those that are no longer in memory are read from the log.
   */
  async readResults(
    {results}: BatchEntry,
    after: number,
    maxChars: number,
  ): Promise<Result<readonly ItemResult[]>> {
    const page: ItemResult[] = [];
    let found: ReadonlyMap<number, ItemResult> = new Map();
    let chars = 0;
    for (const {offset, result: kept} of results.slice(after)) {
      if (!kept && !found.has(offset)) {
        const read = await this.readResultsAt(offset);
        if (!read.ok) return page.length > 0 ? succeed(page) : read;
        found = read.value;
      }
      const result = kept ?? found.get(offset);
      if (!result) return fail(createError('log_unavailable', 'text is gone'));
      chars += result.output.length;
      if (page.length > 0 && chars > maxChars) break;
      page.push(result);
    }
    return succeed(page);
  }

  /** Results in one page of the log that begins at `from`, by offset. */
  private async readResultsAt(
    from: number,
  ): Promise<Result<ReadonlyMap<number, ItemResult>>> {
    const {store, partition} = this;
    const read = await store.read(BATCH_TOPIC, partition, from, {waitMs: 0});
    if (read.kind === 'failed') return fail(read.error);
    if (read.kind === 'expired') {
      return fail(createError('log_unavailable', 'the log forgot the text'));
    }
    const found = new Map<number, ItemResult>();
    for (const {offset, bytes} of read.records) {
      const record = this.decode(bytes, offset);
      if (record?.kind === 'result') found.set(offset, record.result);
    }
    return succeed(found);
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
      BATCH_TOPIC,
      partition,
      this.next,
      options,
    );
    switch (outcome.kind) {
      case 'failed':
        return outcome;
      case 'expired':
        this.logger.log('info', 'start of a partition is gone', {
          partition,
          from: this.next,
          first: outcome.firstOffset,
        });
        this.next = Math.max(this.next, outcome.firstOffset);
        return {kind: 'read', isAtEnd: false};
      case 'page':
        await this.applyAll(outcome.records);
        return {kind: 'read', isAtEnd: this.next >= outcome.endOffset};
    }
  }

  private async applyAll(records: readonly StoredRecord[]): Promise<void> {
    for (const [index, {offset, bytes}] of records.entries()) {
      // Two reads may be under way at once and bring the same records.
      if (offset < this.next) continue;
      this.next = offset + 1;
      this.applyOne(bytes, offset);
      if (index % SLICE_RECORDS === SLICE_RECORDS - 1) await sleep(0);
    }
    this.ledger.forget(Date.now() - KEEP_BATCH_MS);
  }

  private decode(bytes: Uint8Array, offset: number): BatchRecord | undefined {
    try {
      return decodeBatchRecord(bytes);
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
    const change = this.ledger.apply(record, offset);
    if (!change) return;
    for (const listener of this.listeners) listener(change);
  }
}

/** All partitions of this VM. */
export class BatchShelf {
  private readonly books = new Map<number, BatchBook>();
  private readonly cache = new ResultCache();

  constructor(
    private readonly store: LogStore,
    private readonly logger: EventLogger,
  ) {}

  /** The partition that keeps `batchId`; the same on every VM. */
  locate(batchId: string): BatchBook {
    let hash = 0;
    for (let i = 0; i < batchId.length; i++) {
      hash = (Math.imul(hash, 31) + batchId.charCodeAt(i)) >>> 0;
    }
    return this.open(hash % this.store.partitions);
  }

  open(partition: number): BatchBook {
    let book = this.books.get(partition);
    if (!book) {
      book = new BatchBook(this.store, partition, this.logger, this.cache);
      this.books.set(partition, book);
    }
    return book;
  }

  openAll(): readonly BatchBook[] {
    return Array.from({length: this.store.partitions}, (_, i) => this.open(i));
  }
}
