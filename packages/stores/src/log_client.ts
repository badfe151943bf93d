/** The platform's log as the service uses it. */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {LoggedRecord, StreamName} from '@radishyoke/shared/log_record';
import type {Result} from '@radishyoke/shared/result';
import type {CallOptions} from './call_options.js';

/** What became of an append. */
export type AppendResult =
  /** All records stand, from offset `first` up to but without `next`. */
  | {readonly kind: 'appended'; readonly first: number; readonly next: number}
  /** None of the records stand, nor ever will by this call. */
  | {readonly kind: 'refused'; readonly error: RadishyokeError}
  /** No answer came: the records may stand, now or soon. Only reading tells. */
  | {readonly kind: 'unknown'; readonly error: RadishyokeError};

export interface LogQuery {
  /** Offset of the first record wanted. */
  readonly from: number;
  /** Most records to return. */
  readonly max: number;
  /** How long the log waits for a first record before it answers with none. */
  readonly waitMs: number;
}

export type LogRead =
  | {
      readonly kind: 'page';
      /** Lowest offset that the stream still holds. */
      readonly oldest: number;
      /** `from` of the next read. */
      readonly next: number;
      /** In order and without gaps. */
      readonly records: ReadonlyArray<LoggedRecord<unknown>>;
    }
  /** Retention has dropped what was asked for; `oldest` is what is left. */
  | {readonly kind: 'expired'; readonly oldest: number};

export abstract class LogClient {
  abstract read(
    stream: StreamName,
    query: LogQuery,
    options: CallOptions,
  ): Promise<Result<LogRead>>;

  /** Appends all of `values` or none, next to one another. */
  abstract append(
    stream: StreamName,
    values: readonly unknown[],
    options: CallOptions,
  ): Promise<AppendResult>;

  /** Breaks calls in flight and closes all connections. */
  abstract close(): Promise<void>;
}
