/**
 * Appends the records of one partition in few calls. An append that got no answer
 * is retried, so the log may store its records twice, in any order with later
 * ones; `IndexRecord` and `ProgressRecord` say why that changes nothing.
 */

import type {
  IndexRecord,
  ListedResult,
  PayloadRef,
  ProgressRecord,
} from '@radishyoke/core/batches/batch_record';
import {TrimTracker} from '@radishyoke/core/batches/trim_tracker';
import {setTimeout as sleep} from 'node:timers/promises';
import {encodeRecord} from './batch_codec.js';
import {
  INDEX_TOPIC,
  BATCH_RETENTION_MS,
  PAYLOAD_TOPIC,
  PROGRESS_TOPIC,
} from './batch_topics.js';
import {PayloadLog} from './payload_log.js';
import type {LogStore} from '../store/log_store.js';

/** Records are buffered this long before a call, ms; short compared to the 500 ms between two reads of a trainer. */
const BUFFER_MS = 30;
/** Pause after a failed append, ms. */
const RETRY_MS = 120;
/** Memory limit for records that wait to be written, bytes. When it is reached, new records are dropped and their items run again, because a trainer waits for the oldest ones. */
const MAX_QUEUED_BYTES = 16 * 1024 * 1024;

/** Concurrent appends of results in one partition, so that one whose answer is lost does not block the next ones. Their order does not matter. */
const MAX_INDEX_WRITES = 4;
/** Retention of progress records, ms. After a failover, the text of an item that has run for longer is generated again. */
const PROGRESS_RETENTION_MS = 60_000;

/** Where and how a writer stores its records. */
interface WriterOptions {
  readonly partition: number;
  /** The topic whose records are trimmed once they are older than `retentionMs`. */
  readonly topic: string;
  readonly retentionMs: number;
  /** Maximum number of concurrent appends; 1 preserves the order. */
  readonly maxWrites: number;
}

/** Queues entries and appends them to the log in groups. */
abstract class BufferedWriter<T> {
  private pending: T[] = [];
  private pendingBytes = 0;
  private isBuffering = false;
  private writes = 0;
  private isStopped = false;
  private readonly trimTracker: TrimTracker;

  constructor(
    protected readonly store: LogStore,
    private readonly options: WriterOptions,
  ) {
    this.trimTracker = new TrimTracker(options.retentionMs);
  }

  protected get partition(): number {
    return this.options.partition;
  }

  /** Appends all of `entries`; returns false if the append must be retried. */
  protected abstract append(entries: readonly T[]): Promise<boolean>;

  /** Returns the approximate size of `entry` in the log, bytes. */
  protected abstract measure(entry: T): number;

  /** Queues `entry`; returns false if the queue is full. */
  protected queue(entry: T): boolean {
    const bytes = this.measure(entry);
    if (this.pendingBytes + bytes > MAX_QUEUED_BYTES) return false;
    this.pending.push(entry);
    this.pendingBytes += bytes;
    this.scheduleWrite();
    return true;
  }

  /** Records that the topic has a record at `offset`, and trims expired records before it. */
  protected recordAppended(offset: number): void {
    const before = this.trimTracker.recordAppend(offset, performance.now());
    if (before === undefined) return;
    void this.store.trim(this.options.topic, this.partition, before);
  }

  /** Stops retries and drops the entries whose append has not started. */
  stop(): void {
    this.isStopped = true;
    this.pending = [];
  }

  private scheduleWrite(): void {
    const isFull = this.writes >= this.options.maxWrites;
    if (this.isBuffering || isFull || this.pending.length === 0) return;
    void this.writeBuffered();
  }

  private async writeBuffered(): Promise<void> {
    this.isBuffering = true;
    await sleep(BUFFER_MS);
    this.isBuffering = false;
    this.writes += 1;
    const entries = this.dequeue();
    this.scheduleWrite();
    while (!this.isStopped && !(await this.append(entries))) {
      await sleep(RETRY_MS);
    }
    this.writes -= 1;
    this.scheduleWrite();
  }

  private dequeue(): readonly T[] {
    const limit = this.store.maxAppendBytes / 2;
    let bytes = 0;
    let count = 0;
    for (const entry of this.pending) {
      const size = this.measure(entry);
      if (count > 0 && bytes + size > limit) break;
      bytes += size;
      count += 1;
    }
    this.pendingBytes -= bytes;
    return this.pending.splice(0, count);
  }
}

/** Writes the output of running items. */
export class ProgressWriter extends BufferedWriter<Uint8Array> {
  constructor(store: LogStore, partition: number) {
    const topic = PROGRESS_TOPIC;
    super(store, {
      partition,
      topic,
      retentionMs: PROGRESS_RETENTION_MS,
      maxWrites: 1,
    });
  }

  /** Queues `record`; returns false if the queue is full. */
  write(record: ProgressRecord): boolean {
    return this.queue(encodeRecord(record));
  }

  protected measure(entry: Uint8Array): number {
    return entry.length;
  }

  protected async append(entries: readonly Uint8Array[]): Promise<boolean> {
    const {store, partition} = this;
    const outcome = await store.append(PROGRESS_TOPIC, partition, entries);
    if (outcome.kind !== 'appended') return false;
    this.recordAppended(outcome.offset);
    return true;
  }
}

type ResultRecord = Extract<IndexRecord, {kind: 'result'}>;

/** An index record that does not have the location of its text yet, and the text. */
interface PendingRecord {
  readonly record: Exclude<IndexRecord, {kind: 'accepted'}>;
  readonly text: Uint8Array;
  /** Size of the encoded record, bytes. */
  readonly bytes: number;
}

/**
 * Writes results, failures and ends to the index. Texts are stored first, so the
 * text of every result in the index can be read.
 */
export class IndexWriter extends BufferedWriter<PendingRecord> {
  private readonly payloads: PayloadLog;
  /** Locations of the texts of entries whose append to the index is not confirmed yet. */
  private readonly storedTexts = new WeakMap<
    readonly PendingRecord[],
    readonly PayloadRef[]
  >();

  constructor(store: LogStore, partition: number) {
    const topic = PAYLOAD_TOPIC;
    const maxWrites = MAX_INDEX_WRITES;
    super(store, {
      partition,
      topic,
      retentionMs: BATCH_RETENTION_MS,
      maxWrites,
    });
    this.payloads = new PayloadLog(store);
  }

  /** Queues `record`; returns false if the queue is full. */
  write(record: Exclude<IndexRecord, {kind: 'accepted'}>): boolean {
    const text = new Uint8Array();
    return this.queue({record, text, bytes: encodeRecord(record).length});
  }

  /** Queues a result and its text; returns false if the queue is full. */
  writeResult(
    batchId: string,
    listed: Omit<ListedResult, 'text'>,
    text: Uint8Array,
  ): boolean {
    const record = {
      kind: 'result',
      batchId,
      listed: {...listed, text: []},
    } as const;
    return this.queue({record, text, bytes: encodeRecord(record).length});
  }

  protected measure({text, bytes}: PendingRecord): number {
    return text.length + bytes;
  }

  protected async append(entries: readonly PendingRecord[]): Promise<boolean> {
    const {store, partition} = this;
    const refs = await this.storeTexts(entries);
    if (!refs) return false;
    const records = entries.map(({record}, i) =>
      encodeRecord(
        record.kind === 'result' ? addText(record, refs[i]) : record,
      ),
    );
    const outcome = await store.append(INDEX_TOPIC, partition, records);
    return outcome.kind === 'appended';
  }

  /** Stores the texts of `entries`, once only: a retry of the append to the index reuses the locations. */
  private async storeTexts(
    entries: readonly PendingRecord[],
  ): Promise<readonly PayloadRef[] | undefined> {
    const cached = this.storedTexts.get(entries);
    if (cached) return cached;
    const texts = entries.map(({text}) => text);
    const outcome = await this.payloads.append(this.partition, texts);
    if (outcome.kind === 'failed') return undefined;
    this.storedTexts.set(entries, outcome.refs);
    const [first] = outcome.refs.flat();
    if (first) this.recordAppended(first.offset);
    return outcome.refs;
  }
}

function addText(
  {kind, batchId, listed}: ResultRecord,
  text: PayloadRef,
): ResultRecord {
  return {kind, batchId, listed: {...listed, text}};
}
