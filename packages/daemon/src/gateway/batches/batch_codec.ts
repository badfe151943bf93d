/** Encodes and decodes batch and lease records, which any VM may read. */

import type {
  Batch,
  IndexRecord,
  ProgressRecord,
} from '@radishyoke/core/batches/batch_record';
import type {LeaseRecord} from '@radishyoke/core/leases/log_lease';
import {Packr} from 'msgpackr';

/** Encodes plain maps, so that other versions of the program can read the records. */
const packr = new Packr({useRecords: false});

export function encodeRecord(
  record: IndexRecord | ProgressRecord | LeaseRecord,
): Uint8Array {
  return packr.pack(record);
}

export function decodeIndexRecord(bytes: Uint8Array): IndexRecord {
  return packr.unpack(bytes) as IndexRecord;
}

export function decodeProgressRecord(bytes: Uint8Array): ProgressRecord {
  return packr.unpack(bytes) as ProgressRecord;
}

export function decodeLeaseRecord(bytes: Uint8Array): LeaseRecord {
  return packr.unpack(bytes) as LeaseRecord;
}

/** Encodes the payload of a submission. */
export function encodeBatch(batch: Batch): Uint8Array {
  return packr.pack(batch);
}

export function decodeBatch(bytes: Uint8Array): Batch {
  return packr.unpack(bytes) as Batch;
}
