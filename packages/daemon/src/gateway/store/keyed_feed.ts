/**
 * Follows a keyed topic: reads the newest record of each key first, and then every later
 * record. If the log has dropped the records to continue from, the feed starts again with
 * the newest records; a key that is missing among them was removed in the meantime.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';
import type {KeyedRecord, LogStore} from './log_store.js';

export interface FeedConfig {
  readonly topic: string;
  /** Longest time that a read waits at the log for new records, ms. */
  readonly waitMs: number;
  /** Pause between new records and the next read, ms, so that bursts are read together. */
  readonly gatherMs: number;
}

export interface FeedEvents {
  onRecord(record: KeyedRecord): void;
  /** All records of a snapshot were handed over; called after each start or restart. */
  onCaughtUp(): void;
  /** The log answered. */
  onContact(): void;
  /** All records of one read were handed over. */
  onRead(): void;
  onReadFailed(detail: string): void;
}

/** First pause after a failed read, ms; doubles up to `MAX_RETRY_MS`. Short, because a VM that can not read the topic serves from outdated records. */
const FIRST_RETRY_MS = 50;
const MAX_RETRY_MS = 400;
/** Least time between two reads to catch up, ms, so that callers with wrong keys can not overload the log. */
const CATCH_UP_PAUSE_MS = 50;

/** Result of one read by the feed. */
type FeedStep = 'news' | 'quiet' | 'expired' | 'failed';

export class KeyedFeed {
  private nextOffset = 0;
  private readonly latestOffsets = new Map<string, number>();
  private readonly abort = new AbortController();
  private isFailing = false;
  private lastContactMs = -Infinity;
  /** Steady ms at which the last read to catch up began. */
  private lastCatchUpMs = -Infinity;
  private currentCatchUp: Promise<boolean> | undefined;
  private nextCatchUp: Promise<boolean> | undefined;

  constructor(
    private readonly store: LogStore,
    private readonly cfg: FeedConfig,
    private readonly events: FeedEvents,
    private readonly logger: EventLogger,
  ) {}

  /** Runs until `stop`. */
  async run(): Promise<void> {
    let needsSnapshot = true;
    let retryMs = FIRST_RETRY_MS;
    while (!this.abort.signal.aborted) {
      const outcome: FeedStep = needsSnapshot
        ? await this.readSnapshot()
        : await this.readNext();
      if (outcome === 'failed') {
        await this.pause(retryMs);
        retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
        continue;
      }
      retryMs = FIRST_RETRY_MS;
      needsSnapshot = outcome === 'expired';
      if (outcome === 'news') await this.pause(this.cfg.gatherMs);
    }
  }

  stop(): void {
    this.abort.abort();
  }

  /**
   * Reads to the end of the topic, in addition to the feed's own reads; returns
   * whether that succeeded. Calls made before the read begins share it. Calls made
   * during a read share the next one, since the log may have answered the current
   * one before they came.
   */
  catchUp(): Promise<boolean> {
    this.nextCatchUp ??= this.readThrottled();
    return this.nextCatchUp;
  }

  private async readThrottled(): Promise<boolean> {
    // Its error reaches the callers that wait for it.
    await this.currentCatchUp?.catch(() => undefined);
    const waitMs = this.lastCatchUpMs + CATCH_UP_PAUSE_MS - performance.now();
    if (waitMs > 0) await this.pause(waitMs);
    this.lastCatchUpMs = performance.now();
    this.currentCatchUp = this.readToEnd();
    this.nextCatchUp = undefined;
    return this.currentCatchUp;
  }

  /** Steady ms since the log last answered. */
  measureSilenceMs(): number {
    return performance.now() - this.lastContactMs;
  }

  private async readToEnd(): Promise<boolean> {
    const {signal} = this.abort;
    for (;;) {
      const {topic} = this.cfg;
      const outcome = await this.store.readKeyed(topic, this.nextOffset, {
        waitMs: 0,
        signal,
      });
      // If history is gone, `run` starts again with a snapshot.
      if (outcome.kind !== 'page') return false;
      this.applyNew(outcome.records);
      this.onSuccess();
      this.events.onRead();
      if (
        outcome.records.length === 0 ||
        this.nextOffset >= outcome.endOffset
      ) {
        return true;
      }
    }
  }

  private async readSnapshot(): Promise<FeedStep> {
    const outcome = await this.store.readNewest(this.cfg.topic);
    if (outcome.kind !== 'page') {
      this.onFailure(
        outcome.kind === 'failed' ? outcome.error.detail : 'expired',
      );
      return 'failed';
    }
    // A snapshot that lags behind would bring back records that were replaced.
    if (outcome.endOffset < this.nextOffset) {
      this.onFailure('the snapshot is older than records already read');
      return 'failed';
    }
    const present = new Set(outcome.records.map(({key}) => key));
    for (const record of outcome.records) this.apply(record);
    for (const key of [...this.latestOffsets.keys()]) {
      if (present.has(key)) continue;
      this.apply({key, value: undefined, offset: outcome.endOffset - 1});
    }
    this.nextOffset = outcome.endOffset;
    this.onSuccess();
    this.events.onRead();
    this.events.onCaughtUp();
    return 'news';
  }

  private async readNext(): Promise<FeedStep> {
    const {topic, waitMs} = this.cfg;
    const {signal} = this.abort;
    const outcome = await this.store.readKeyed(topic, this.nextOffset, {
      waitMs,
      signal,
    });
    if (outcome.kind === 'failed') {
      this.onFailure(outcome.error.detail);
      return 'failed';
    }
    this.onSuccess();
    if (outcome.kind === 'expired') {
      this.logger.log('warn', 'history of a topic is gone, reading anew', {
        topic,
        from: this.nextOffset,
        first: outcome.firstOffset,
      });
      return 'expired';
    }
    this.applyNew(outcome.records);
    this.events.onRead();
    return outcome.records.length > 0 ? 'news' : 'quiet';
  }

  /** Applies only records that a concurrent read has not applied already: of two reads the later may finish first. */
  private applyNew(records: readonly KeyedRecord[]): void {
    for (const record of records) {
      if (record.offset >= this.nextOffset) this.apply(record);
    }
  }

  private apply(record: KeyedRecord): void {
    this.nextOffset = Math.max(this.nextOffset, record.offset + 1);
    const latestOffset = this.latestOffsets.get(record.key) ?? -1;
    if (record.offset < latestOffset) return;
    if (record.offset === latestOffset && record.value !== undefined) return;
    if (record.value === undefined) this.latestOffsets.delete(record.key);
    else this.latestOffsets.set(record.key, record.offset);
    this.events.onRecord(record);
  }

  private onSuccess(): void {
    this.lastContactMs = performance.now();
    if (this.isFailing) {
      this.isFailing = false;
      this.logger.log('info', 'topic is read again', {topic: this.cfg.topic});
    }
    this.events.onContact();
  }

  private onFailure(detail: string): void {
    if (this.abort.signal.aborted) return;
    if (!this.isFailing) {
      this.isFailing = true;
      this.logger.log('warn', 'topic can not be read', {
        topic: this.cfg.topic,
        detail,
      });
    }
    this.events.onReadFailed(detail);
  }

  private async pause(ms: number): Promise<void> {
    try {
      await sleep(ms, undefined, {signal: this.abort.signal});
    } catch {
      // Interrupted by `stop`, which the loop checks.
    }
  }
}
