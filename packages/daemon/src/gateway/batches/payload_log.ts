/**
 * Stores submissions and texts in the log. They are most of the bytes in the
 * log, so they are read only when they are requested: a VM that has just started
 * reads the index, not the texts of all earlier steps.
 */

import type {
  PayloadPart,
  PayloadRef,
} from '@radishyoke/core/batches/batch_record';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import type {AppendOutcome, LogStore} from '../store/log_store.js';
import {PAYLOAD_TOPIC} from './batch_topics.js';

/** Bytes of records by offset. */
type RecordsByOffset = Map<number, Uint8Array>;

/** The locations of stored payloads, or the reason why they were not stored. */
export type StoreOutcome =
  | {readonly kind: 'stored'; readonly refs: readonly PayloadRef[]}
  | {readonly kind: 'failed'; readonly error: RadishyokeError};

/** Bytes that the log adds to each record in the answer to a read. */
const RECORD_OVERHEAD_BYTES = 8;

export class PayloadLog {
  constructor(private readonly store: LogStore) {}

  /**
   * Stores `payloads` without retries. After a failure some of their bytes may
   * be in the log, but no reference to them is returned.
   */
  async append(
    partition: number,
    payloads: readonly Uint8Array[],
  ): Promise<StoreOutcome> {
    const splitPayloads = payloads.map(payload => this.split(payload));
    const offsets: number[] = [];
    const {maxAppendBytes} = this.store;
    for (const group of groupIntoAppends(
      splitPayloads.flat(),
      maxAppendBytes,
    )) {
      const outcome = await this.store.append(PAYLOAD_TOPIC, partition, group);
      if (outcome.kind !== 'appended') {
        return {kind: 'failed', error: toError(outcome)};
      }
      for (const i of group.keys()) offsets.push(outcome.offset + i);
    }
    let next = 0;
    const refs = splitPayloads.map(parts =>
      parts.map(({length}) => ({offset: offsets[next++], bytes: length})),
    );
    return {kind: 'stored', refs};
  }

  /** Reads the payload of each reference in `refs`. */
  async read(
    partition: number,
    refs: readonly PayloadRef[],
  ): Promise<Result<readonly Uint8Array[]>> {
    const found: RecordsByOffset = new Map();
    for (const range of groupContiguous(refs.flat())) {
      const error = await this.readContiguous(partition, range, found);
      if (error) return fail(error);
    }
    return succeed(refs.map(ref => joinParts(ref, found)));
  }

  /** Reads the records of a contiguous range into `found`; returns the error if a read failed. */
  private async readContiguous(
    partition: number,
    range: readonly PayloadPart[],
    found: RecordsByOffset,
  ): Promise<RadishyokeError | undefined> {
    const end = range[0].offset + range.length;
    let next = range[0].offset;
    while (next < end) {
      const left = range.slice(next - range[0].offset);
      const outcome = await this.store.read(PAYLOAD_TOPIC, partition, next, {
        waitMs: 0,
        maxBytes: computeReadBytes(left),
      });
      if (outcome.kind === 'failed') return outcome.error;
      if (outcome.kind === 'expired' || outcome.records.length === 0) {
        return createError('log_unavailable', 'the log forgot the text');
      }
      for (const {offset, bytes} of outcome.records) found.set(offset, bytes);
      next += outcome.records.length;
    }
    return undefined;
  }

  /** Splits a payload that may be larger than one record of the log. */
  private split(payload: Uint8Array): readonly Uint8Array[] {
    const {maxRecordBytes} = this.store;
    const parts: Uint8Array[] = [];
    for (let at = 0; at < payload.length; at += maxRecordBytes) {
      parts.push(payload.subarray(at, at + maxRecordBytes));
    }
    return parts;
  }
}

function toError(
  outcome: Exclude<AppendOutcome, {kind: 'appended'}>,
): RadishyokeError {
  if (outcome.kind !== 'conflict') return outcome.error;
  return createError('log_unavailable', 'conflict');
}

/** Groups records so that each group fits into one append. */
function groupIntoAppends(
  records: readonly Uint8Array[],
  maxBytes: number,
): ReadonlyArray<readonly Uint8Array[]> {
  const groups: Uint8Array[][] = [];
  let bytes = Infinity;
  for (const record of records) {
    bytes += record.length;
    if (bytes > maxBytes) {
      groups.push([]);
      bytes = record.length;
    }
    groups.at(-1)!.push(record);
  }
  return groups;
}

/** Sorts parts by offset and groups those with consecutive offsets. */
function groupContiguous(
  parts: readonly PayloadPart[],
): ReadonlyArray<readonly PayloadPart[]> {
  const ranges: PayloadPart[][] = [];
  let end: number | undefined;
  for (const part of [...parts].sort((a, b) => a.offset - b.offset)) {
    if (part.offset !== end) ranges.push([]);
    ranges.at(-1)!.push(part);
    end = part.offset + 1;
  }
  return ranges;
}

function computeReadBytes(parts: readonly PayloadPart[]): number {
  return parts.reduce((sum, {bytes}) => sum + bytes + RECORD_OVERHEAD_BYTES, 0);
}

function joinParts(ref: PayloadRef, found: RecordsByOffset): Uint8Array {
  return Buffer.concat(ref.map(({offset}) => found.get(offset)!));
}
