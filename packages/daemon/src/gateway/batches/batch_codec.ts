/** Bytes of batch and lease records. Written by one VM, read by all. */

import type {
  Batch,
  IndexRecord,
  ProgressRecord,
} from '@radishyoke/core/batches/batch_record';
import type {LeaseRecord} from '@radishyoke/core/leases/log_lease';
import {Packr} from 'msgpackr';

/** Plain maps, so that records of one version of the program can be read by another. */
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

/** The payload of a submission. */
export function encodeBatch(batch: Batch): Uint8Array {
  return packr.pack(batch);
}

export function decodeBatch(bytes: Uint8Array): Batch {
  return packr.unpack(bytes) as Batch;
}
