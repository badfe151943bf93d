/**
 * Reads one stream of the log continuously from an offset and retries after
 * failures.
 */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {LoggedRecord, StreamName} from '@radishyoke/shared/log_record';
import type {LogClient, LogRead} from './log_client.js';

/** Callbacks to the owner of a reader. */
export interface LogReaderHandler<T> {
  /**
   * Receives new records, possibly none, in order and without gaps. `caughtUp` means
   * that the log had no further records; `oldest` is the lowest offset that it still
   * retains. May return another offset to continue from.
   */
  onRecords(
    records: ReadonlyArray<LoggedRecord<T>>,
    caughtUp: boolean,
    oldest: number,
  ): number | undefined;
  /** Retention dropped the requested offset; returns the offset to continue from. */
  onExpired(oldest: number): number;
  /** A read failed; the reader retries by itself. */
  onReadFailed(error: RadishyokeError): void;
  /** Whether a caller is waiting for a record to be read back. */
  isAwaited(): boolean;
}

export interface LogReaderConfig {
  readonly stream: StreamName;
  /** Maximum number of records per read. */
  readonly maxRecords: number;
  /** Maximum time that the log may delay its response until there is a new record. */
  readonly pollWaitMs: number;
  /**
   * Added to `pollWaitMs`; a connection that is silent for longer is treated as
   * lost.
   */
  readonly timeoutMs: number;
  /**
   * Pause after a read that returned records, so that more accumulate. Each response has
   * a few hundred bytes of headers, which would outweigh the records if every append was
   * read separately.
   */
  readonly readPauseMs: number;
}

/**
 * `pollWaitMs` and `timeoutMs` together limit how long a half-open connection can delay
 * a new configuration: after 3.5 s the read is repeated on another connection, well
 * within the 6 s in which a change must be in force.
 */
export const LOG_READER_DEFAULTS = {
  maxRecords: 1000,
  pollWaitMs: 2000,
  timeoutMs: 1500,
  readPauseMs: 200,
} as const;

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;

/** Reads until it is stopped. */
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

  /** Ends the pause between reads early because a caller now waits for a record. */
  skipPause(): void {
    if (this.isPausing) this.wake?.();
  }

  /** Continues from another offset; the result of a read in flight is discarded. */
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

  /** Pauses so that records accumulate, unless a caller is waiting for one. */
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
