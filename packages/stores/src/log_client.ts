/** The operations on the platform's log that the service uses. */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {LoggedRecord, StreamName} from '@radishyoke/shared/log_record';
import type {Result} from '@radishyoke/shared/result';
import type {CallOptions} from './call_options.js';

/** The outcome of an append. */
export type AppendResult =
  /** All records are stored, from offset `first` up to but excluding `next`. */
  | {readonly kind: 'appended'; readonly first: number; readonly next: number}
  /** No record is stored, nor will one be as a late effect of this call. */
  | {readonly kind: 'refused'; readonly error: RadishyokeError}
  /**
   * Without a usable response the records may be stored now or later; only reading
   * shows it.
   */
  | {readonly kind: 'unknown'; readonly error: RadishyokeError};

export interface LogQuery {
  /** Offset of the first requested record. */
  readonly from: number;
  /** Maximum number of records to return. */
  readonly max: number;
  /** Time that the log waits for a first record before it returns an empty page. */
  readonly waitMs: number;
}

export type LogRead =
  | {
      readonly kind: 'page';
      /** Lowest offset that the stream still retains. */
      readonly oldest: number;
      /** `from` of the next read. */
      readonly next: number;
      /** In order and without gaps. */
      readonly records: ReadonlyArray<LoggedRecord<unknown>>;
    }
  /** Retention has dropped the requested offset; `oldest` is the lowest one left. */
  | {readonly kind: 'expired'; readonly oldest: number};

export abstract class LogClient {
  abstract read(
    stream: StreamName,
    query: LogQuery,
    options: CallOptions,
  ): Promise<Result<LogRead>>;

  /** Appends all of `values` at consecutive offsets, or none of them. */
  abstract append(
    stream: StreamName,
    values: readonly unknown[],
    options: CallOptions,
  ): Promise<AppendResult>;

  /** Aborts calls in flight and closes all connections. */
  abstract close(): Promise<void>;
}
