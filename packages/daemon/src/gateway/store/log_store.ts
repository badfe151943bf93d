/**
 * The platform's partitioned log as the gateway uses it. The outcome of an append without
 * an answer is never guessed: it is `unknown` until the log is read.
 */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';

/** Outcome of an append. */
export type AppendOutcome =
  /** All records are stored, the first at `offset`. */
  | {readonly kind: 'appended'; readonly offset: number}
  /** Nothing is stored or will be, because the partition ends at another offset than expected. */
  | {readonly kind: 'conflict'; readonly endOffset: number}
  /** Nothing is stored or will be. */
  | {readonly kind: 'refused'; readonly error: RadishyokeError}
  /** The records may be stored, now or seconds later. */
  | {readonly kind: 'unknown'; readonly error: RadishyokeError};

/** A record with its offset in its partition. */
export interface StoredRecord {
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** Outcome of a read. */
export type ReadOutcome =
  | {
      readonly kind: 'page';
      readonly records: readonly StoredRecord[];
      /** Offset at which the partition ended when it was read. */
      readonly endOffset: number;
      readonly firstOffset: number;
    }
  /** Retention has dropped the requested records. */
  | {readonly kind: 'expired'; readonly firstOffset: number}
  | {readonly kind: 'failed'; readonly error: RadishyokeError};

/** A record of a keyed topic; one without a value removes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly offset: number;
}

/** A keyed record to be written; one without a value removes the key. */
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
  /** The outcome is unknown if no answer arrives within this time, ms. */
  readonly timeoutMs?: number;
}

/** Options of one read. */
export interface ReadOptions {
  /** Longest time that the log waits for a first record, ms. */
  readonly waitMs: number;
  /** Approximate limit of the returned bytes; at least one record is returned regardless. */
  readonly maxBytes?: number;
  readonly signal?: AbortSignal;
}

/** Client of the platform's log. */
export abstract class LogStore {
  /** Number of partitions of each topic. */
  abstract readonly partitions: number;
  /** Largest size of one record, bytes. */
  abstract readonly maxRecordBytes: number;
  /** Largest size of one append, bytes. */
  abstract readonly maxAppendBytes: number;

  /** Appends either all of `records` or none. */
  abstract append(
    topic: string,
    partition: number,
    records: readonly Uint8Array[],
    options?: AppendOptions,
  ): Promise<AppendOutcome>;

  /** Appends either all of `records` to a keyed topic or none. */
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
   * Reads the newest record of each key. The result is not an atomic snapshot: records
   * from the returned `endOffset` on must be read afterwards.
   */
  abstract readNewest(topic: string): Promise<KeyedReadOutcome>;

  /** Allows the log to drop the records of a partition before `offset`. */
  abstract trim(
    topic: string,
    partition: number,
    offset: number,
  ): Promise<boolean>;

  abstract close(): void;
}
