/**
 * Appends records of one partition, gathered into few calls. Records of batches
 * count once however often they stand, so an append without an answer is simply
 * made again.
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

/** Records are gathered this long before a call, ms: short against the 500 ms between two reads of a trainer. */
const BUFFER_MS = 30;
/** Pause after a failed append, ms. */
const RETRY_MS = 120;
/** Records that wait may take this much memory, bytes; the oldest are the ones a trainer waits for, so newer are dropped and their items run again. */
const MAX_QUEUED_BYTES = 16 * 1024 * 1024;

/** Groups of results of one partition under way at once: one whose answer is lost must not hold up those behind it. Their order is of no matter. */
const MAX_INDEX_WRITES = 4;
/** Progress stays this long, ms: the text of an item that runs for longer is made again by a successor. */
const PROGRESS_RETENTION_MS = 60_000;

/** Where a writer's records go, and how. */
interface WriterOptions {
  readonly partition: number;
  /** Is trimmed of what is older than `keepMs`. */
  readonly topic: string;
  readonly retentionMs: number;
  /** Groups of records that may be under way at once; 1 keeps their order. */
  readonly maxWrites: number;
}

/** A queue of what is to stand in the log, written a few at a time. */
abstract class BufferedWriter<T> {
  private pending: T[] = [];
  private pendingBytes = 0;
  private isBuffering = false;
  private writes = 0;
  private isStopped = false;
  private readonly marks: TrimTracker;

  constructor(
    protected readonly store: LogStore,
    private readonly options: WriterOptions,
  ) {
    this.marks = new TrimTracker(options.retentionMs);
  }

  protected get partition(): number {
    return this.options.partition;
  }

  /** Appends all of `entries`; false where that is to be tried again. */
  protected abstract append(entries: readonly T[]): Promise<boolean>;

  /** Bytes that `entry` takes in the log, about. */
  protected abstract measure(entry: T): number;

  /** Queues `entry`; false where too much waits already. */
  protected queue(entry: T): boolean {
    const bytes = this.measure(entry);
    if (this.pendingBytes + bytes > MAX_QUEUED_BYTES) return false;
    this.pending.push(entry);
    this.pendingBytes += bytes;
    this.scheduleWrite();
    return true;
  }

  /** A record of the topic stands at `offset`. */
  protected recordAppended(offset: number): void {
    const before = this.marks.recordAppend(offset, performance.now());
    if (before === undefined) return;
    void this.store.trim(this.options.topic, this.partition, before);
  }

  /** Drops what waits and is not on its way. */
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

/** Writes the output of items that run. */
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

  /** Queues `record`; false where too much waits already. */
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

/** A record of the index without the place of its text, and that text. */
interface PendingRecord {
  readonly record: Exclude<IndexRecord, {kind: 'accepted'}>;
  readonly text: Uint8Array;
  /** Bytes of the record. */
  readonly bytes: number;
}

/**
 * Writes what becomes of items into the index. The texts go first: a reader who
 * finds a result in the index finds its text too.
 */
export class IndexWriter extends BufferedWriter<PendingRecord> {
  private readonly payloads: PayloadLog;
  /** Where texts of entries stand that are on their way. */
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

  /** Queues `record`; false where too much waits already. */
  write(record: Exclude<IndexRecord, {kind: 'accepted'}>): boolean {
    const text = new Uint8Array();
    return this.queue({record, text, bytes: encodeRecord(record).length});
  }

  /** Queues a result and its text; false where too much waits already. */
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

  /** Texts that stand are not sent again when the index did not answer. */
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
