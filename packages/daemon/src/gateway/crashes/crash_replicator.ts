/**
 * Tells all VMs of requests that endpoints crashed beside, through a keyed topic
 * of the log: a record for each request, kept until it is withdrawn, so that the
 * news outlives all VMs. A VM that can not reach the log goes by what it saw.
 */

import type {CrashRegistry} from '@radishyoke/core/crashes/crash_registry';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';
import {KeyedFeed} from '../store/keyed_feed.js';
import type {
  KeyedRecord,
  LogStore,
  NewKeyedRecord,
} from '../store/log_store.js';
import {decodeMarks, encodeMarks} from './crash_codec.js';

/** The log may hold a read this long, ms: there are hardly any news, and a connection that has gone silent hides them for no longer. */
const READ_WAIT_MS = 3000;
/** Pause after news, ms: a crash brings those of several VMs. */
const GATHER_MS = 20;
/** Requests that one append tells of. */
const MAX_RECORDS_PER_APPEND = 100;
/** Pause after an append that may not stand, ms, doubling up to the next figure. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 2000;

export class CrashReplicator {
  private readonly feed: KeyedFeed;
  /** Fingerprints whose record is to be written or withdrawn. */
  private readonly pending = new Set<string>();
  private isWriting = false;
  private isStopped = false;

  constructor(
    private readonly store: LogStore,
    private readonly topic: string,
    private readonly book: CrashRegistry,
    /** Told of each request that the log tells of. */
    private readonly onUpdate: (fingerprint: string) => void,
    private readonly logger: EventLogger,
  ) {
    const cfg = {topic, waitMs: READ_WAIT_MS, gatherMs: GATHER_MS};
    const events = {
      onRecord: (record: KeyedRecord) => this.applyRecord(record),
      onCaughtUp: () => undefined,
      onContact: () => undefined,
      onRead: () => undefined,
      onLost: () => undefined,
    };
    this.feed = new KeyedFeed(store, cfg, events, logger);
  }

  /** Follows the topic until `stop`. */
  run(): Promise<void> {
    return this.feed.run();
  }

  stop(): void {
    this.isStopped = true;
    this.feed.stop();
  }

  /** What the book says of the request now is told to the other VMs. */
  publish(fingerprint: string): void {
    for (const forgotten of this.book.prune(Date.now())) {
      this.pending.add(forgotten);
    }
    this.pending.add(fingerprint);
    if (!this.isWriting) void this.writePending();
  }

  private applyRecord({key, value, offset}: KeyedRecord): void {
    if (value === undefined) {
      this.book.clear(key);
      return;
    }
    const marks = decodeMarks(value);
    if (marks.ok) {
      this.book.merge(key, marks.value, Date.now());
      this.onUpdate(key);
      return;
    }
    const {detail} = marks.error;
    this.logger.log('warn', 'record skipped', {key, offset, detail});
  }

  /** Writes until nothing is pending. */
  private async writePending(): Promise<void> {
    this.isWriting = true;
    let retryMs = FIRST_RETRY_MS;
    await sleep(GATHER_MS);
    while (this.pending.size > 0 && !this.isStopped) {
      const batch = [...this.pending].slice(0, MAX_RECORDS_PER_APPEND);
      for (const fingerprint of batch) this.pending.delete(fingerprint);
      const records = batch.map(fingerprint => this.createRecord(fingerprint));
      const outcome = await this.store.appendKeyed(this.topic, records);
      if (outcome.kind === 'appended') {
        retryMs = FIRST_RETRY_MS;
        continue;
      }
      for (const fingerprint of batch) this.pending.add(fingerprint);
      await sleep(retryMs);
      retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
    }
    this.isWriting = false;
  }

  /** A request that the book no longer has is withdrawn. */
  private createRecord(key: string): NewKeyedRecord {
    const marks = this.book.getCrashes(key);
    return marks.length === 0 ? {key} : {key, value: encodeMarks(marks)};
  }
}
