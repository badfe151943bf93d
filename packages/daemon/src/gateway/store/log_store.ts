/**
 * The platform's partitioned log as the gateway uses it. What an append that
 * got no answer did is never guessed: it is `unknown` until the log is read.
 */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';

/** What became of an append. */
export type AppendOutcome =
  /** All records stand, the first at `offset`. */
  | {readonly kind: 'appended'; readonly offset: number}
  /** Nothing stands and nothing will: the partition ends elsewhere. */
  | {readonly kind: 'conflict'; readonly endOffset: number}
  /** Nothing stands and nothing will. */
  | {readonly kind: 'refused'; readonly error: RadishyokeError}
  /** The records may stand, now or seconds from now. */
  | {readonly kind: 'unknown'; readonly error: RadishyokeError};

/** One record with its place in its partition. */
export interface StoredRecord {
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** What a read returned. */
export type ReadOutcome =
  | {
      readonly kind: 'page';
      readonly records: readonly StoredRecord[];
      /** Offset at which the partition ended when it was read. */
      readonly endOffset: number;
      readonly firstOffset: number;
    }
  /** Retention has dropped what was asked for. */
  | {readonly kind: 'expired'; readonly firstOffset: number}
  | {readonly kind: 'failed'; readonly error: RadishyokeError};

/** A record of a keyed topic; without a value the key is removed. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly offset: number;
}

/** A keyed record to be written; without a value the key is removed. */
export interface NewKeyedRecord {
  readonly key: string;
  readonly value?: Uint8Array;
}

export type KeyedReadOutcome =
  | {
      readonly kind: 'page';
      readonly records: readonly KeyedRecord[];
      readonly endOffset: number;
    }
  | {readonly kind: 'expired'; readonly firstOffset: number}
  | {readonly kind: 'failed'; readonly error: RadishyokeError};

/** Options of one append. */
export interface AppendOptions {
  /** The append fails unless the partition ends at this offset. */
  readonly expectedEndOffset?: number;
  /** Without an answer for this long its outcome is unknown, ms. */
  readonly timeoutMs?: number;
}

/** Options of one read. */
export interface ReadOptions {
  /** How long the log may wait for a first record, ms. */
  readonly waitMs: number;
  /** About how much to return at most; one record comes in any case. */
  readonly maxBytes?: number;
  readonly signal?: AbortSignal;
}

/** One connection pool to the platform's log. */
export abstract class LogStore {
  /** Partitions of each topic. */
  abstract readonly partitions: number;
  /** Most bytes of one record. */
  abstract readonly maxRecordBytes: number;
  /** Most bytes of one append. */
  abstract readonly maxAppendBytes: number;

  /** Appends all of `records` or none. */
  abstract append(
    topic: string,
    partition: number,
    records: readonly Uint8Array[],
    options?: AppendOptions,
  ): Promise<AppendOutcome>;

  /** Appends all of `records` to a keyed topic or none. */
  abstract appendKeyed(
    topic: string,
    records: readonly NewKeyedRecord[],
  ): Promise<AppendOutcome>;

  abstract read(
    topic: string,
    partition: number,
    from: number,
    options: ReadOptions,
  ): Promise<ReadOutcome>;

  /** Reads a keyed topic, which has one partition. */
  abstract readKeyed(
    topic: string,
    from: number,
    options: ReadOptions,
  ): Promise<KeyedReadOutcome>;

  /**
   * The newest record of each key. Pages are not a snapshot: records from the
   * returned `endOffset` on must be read after it.
   */
  abstract readNewest(topic: string): Promise<KeyedReadOutcome>;

  /** Lets the log drop the records of a partition before `offset`. */
  abstract trim(
    topic: string,
    partition: number,
    offset: number,
  ): Promise<boolean>;

  abstract close(): void;
}
