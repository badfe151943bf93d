/**
 * Shares crash records between VMs through a keyed topic of the log. Each suspected request
 * has one log record, which is retained until it is withdrawn, so that its crashes are not
 * forgotten if all VMs restart. A VM that can not reach the log relies on the crashes it saw itself.
 */

import type {
  CrashRecord,
  CrashRegistry,
} from '@radishyoke/core/crashes/crash_registry';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';
import {KeyedFeed} from '../store/keyed_feed.js';
import type {
  KeyedRecord,
  LogStore,
  NewKeyedRecord,
} from '../store/log_store.js';
import {decodeCrashRecords, encodeCrashRecords} from './crash_codec.js';

/** Longest time that a read waits at the log, ms: updates are rare, and a connection that went silent hides them for no longer than this. */
const READ_WAIT_MS = 3000;
/** Pause before a read or write that follows an update, ms: one crash causes updates from several VMs. */
const GATHER_MS = 20;
const MAX_RECORDS_PER_APPEND = 100;
/** Pause after an append that may have failed, ms; doubles up to `MAX_RETRY_MS`. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 2000;

export class CrashReplicator {
  private readonly feed: KeyedFeed;
  /** Fingerprints whose record has to be written or withdrawn. */
  private readonly pending = new Set<string>();
  /** Fingerprints whose newest record may be from this VM. */
  private readonly published = new Set<string>();
  private isWriting = false;
  private isStopped = false;

  constructor(
    private readonly store: LogStore,
    private readonly topic: string,
    private readonly registry: CrashRegistry,
    /** Called for each request whose crashes were read from the log. */
    private readonly onUpdate: (fingerprint: string) => void,
    private readonly logger: EventLogger,
  ) {
    const cfg = {topic, waitMs: READ_WAIT_MS, gatherMs: GATHER_MS};
    const events = {
      onRecord: (record: KeyedRecord) => this.applyRecord(record),
      onCaughtUp: () => undefined,
      onContact: () => undefined,
      onRead: () => undefined,
      onReadFailed: () => undefined,
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

  /** Publishes the crashes of the request to the other VMs, and withdraws the log records of requests that the registry drops. */
  publish(fingerprint: string): void {
    for (const pruned of this.registry.prune(Date.now())) {
      this.pending.add(pruned);
    }
    this.enqueue(fingerprint);
  }

  private enqueue(fingerprint: string): void {
    this.pending.add(fingerprint);
    if (!this.isWriting) void this.writePending();
  }

  private applyRecord({key, value, offset}: KeyedRecord): void {
    if (value === undefined) {
      this.registry.clear(key);
      this.published.delete(key);
      return;
    }
    const crashes = decodeCrashRecords(value);
    if (crashes.ok) {
      this.registry.merge(key, crashes.value, Date.now());
      this.onUpdate(key);
      if (this.isOutdated(key, crashes.value)) this.enqueue(key);
      return;
    }
    const {detail} = crashes.error;
    this.logger.log('warn', 'record skipped', {key, offset, detail});
  }

  /**
   * Whether the newest record of the request lacks crashes that this VM had
   * published. A copy of an older record that is stored late hides them from VMs
   * that start afterwards.
   */
  private isOutdated(key: string, newest: readonly CrashRecord[]): boolean {
    if (!this.published.has(key)) return false;
    return newest.length < this.registry.getCrashes(key).length;
  }

  /** Writes all pending records, and retries until the log stores them. */
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

  /** Returns the request's record; one without a value withdraws it. */
  private createRecord(key: string): NewKeyedRecord {
    const crashes = this.registry.getCrashes(key);
    if (crashes.length === 0) {
      this.published.delete(key);
      return {key};
    }
    this.published.add(key);
    return {key, value: encodeCrashRecords(crashes)};
  }
}
