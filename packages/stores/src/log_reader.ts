/** Follows one stream of the log from an offset, through outages. */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {LoggedRecord, StreamName} from '@radishyoke/shared/log_record';
import type {LogClient, LogRead} from './log_client.js';

/** What a reader tells its owner. */
export interface LogReaderHandler<T> {
  /**
   * New records, maybe none, in order and without gaps. `caughtUp` when the log
   * had no more at that moment; `oldest` is the lowest offset it still holds.
   * May return another offset to go on from.
   */
  onRecords(
    records: ReadonlyArray<LoggedRecord<T>>,
    caughtUp: boolean,
    oldest: number,
  ): number | undefined;
  /** Retention dropped the wanted offset; returns the offset to go on from. */
  onExpired(oldest: number): number;
  /** A read failed; the reader goes on trying. */
  onReadFailed(error: RadishyokeError): void;
  /** Whether somebody waits for a record to be read back. */
  isAwaited(): boolean;
}

export interface LogReaderConfig {
  readonly stream: StreamName;
  /** Most records in one read. */
  readonly maxRecords: number;
  /** How long the log may hold a read that has nothing to tell. */
  readonly pollWaitMs: number;
  /** On top of the wait: a connection silent for longer counts as lost. */
  readonly timeoutMs: number;
  /**
   * Pause after a read that brought records, for more to gather. Each answer
   * costs some hundred bytes of headers; read at once after each append, they
   * would outweigh the records.
   */
  readonly readPauseMs: number;
}

/**
 * The wait and the timeout together bound how long a connection that went
 * silent for good can hide a new configuration: 3.5 s, after which the read is
 * made again on another connection. That leaves time within the 6 s in which a
 * change has to be in force.
 */
export const LOG_READER_DEFAULTS = {
  maxRecords: 1000,
  pollWaitMs: 2000,
  timeoutMs: 1500,
  readPauseMs: 200,
} as const;

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;

/** A task that reads until it is stopped. */
export class LogReader<T> {
  private readonly abort = new AbortController();
  private nextOffset = 0;
  private wake: (() => void) | undefined;
  private isPausing = false;
  private lastReadCount = 0;

  constructor(
    private readonly client: LogClient,
    private readonly cfg: LogReaderConfig,
    private readonly handler: LogReaderHandler<T>,
  ) {}

  /** Starts reading at offset `from`. */
  start(from: number): void {
    this.nextOffset = from;
    void this.loop();
  }

  stop(): void {
    this.abort.abort();
    this.wake?.();
  }

  /** Ends a pause in which records gather: somebody now waits for one. */
  skipPause(): void {
    if (this.isPausing) this.wake?.();
  }

  /** Goes on from another offset; what a read in flight brings is dropped. */
  moveTo(offset: number): void {
    this.nextOffset = offset;
  }

  private async loop(): Promise<void> {
    let backoffMs = FIRST_BACKOFF_MS;
    while (!this.abort.signal.aborted) {
      if (await this.readOnce()) {
        backoffMs = FIRST_BACKOFF_MS;
        const isTail =
          this.lastReadCount > 0 && this.lastReadCount < this.cfg.maxRecords;
        if (isTail) await this.pauseForMore();
        continue;
      }
      await this.sleep(backoffMs);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
  }

  /** Lets records gather, unless somebody waits for one. */
  private async pauseForMore(): Promise<void> {
    if (this.handler.isAwaited()) return;
    this.isPausing = true;
    await this.sleep(this.cfg.readPauseMs);
    this.isPausing = false;
  }

  private async readOnce(): Promise<boolean> {
    const {stream, maxRecords, pollWaitMs, timeoutMs} = this.cfg;
    const from = this.nextOffset;
    this.lastReadCount = 0;
    const result = await this.client.read(
      stream,
      {from, max: maxRecords, waitMs: pollWaitMs},
      {timeoutMs, signal: this.abort.signal},
    );
    if (this.abort.signal.aborted || this.nextOffset !== from) return true;
    if (!result.ok) {
      this.handler.onReadFailed(result.error);
      return false;
    }
    this.handlePage(result.value);
    return true;
  }

  private handlePage(page: LogRead): void {
    if (page.kind === 'expired') {
      this.nextOffset = this.handler.onExpired(page.oldest);
      return;
    }
    this.nextOffset = page.next;
    this.lastReadCount = page.records.length;
    const requestedOffset = this.handler.onRecords(
      page.records as ReadonlyArray<LoggedRecord<T>>,
      page.records.length < this.cfg.maxRecords,
      page.oldest,
    );
    this.nextOffset = requestedOffset ?? this.nextOffset;
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, ms);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
