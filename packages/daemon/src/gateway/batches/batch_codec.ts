/** Bytes of batch and lease records. Written by one VM, read by all. */

import type {Batch, BatchRecord} from '@radishyoke/core/batches/batch_record';
import type {LeaseRecord} from '@radishyoke/core/leases/log_lease';
import {Packr} from 'msgpackr';

/** Plain maps, so that records of one version of the program can be read by another. */
const packr = new Packr({useRecords: false});

export function encodeRecord(record: BatchRecord | LeaseRecord): Uint8Array {
  return packr.pack(record);
}

export function decodeBatchRecord(bytes: Uint8Array): BatchRecord {
  return packr.unpack(bytes) as BatchRecord;
}

export function decodeLeaseRecord(bytes: Uint8Array): LeaseRecord {
  return packr.unpack(bytes) as LeaseRecord;
}

export function encodeBatch(batch: Batch): Uint8Array {
  return packr.pack(batch);
}

export function decodeBatch(bytes: Uint8Array): Batch {
  return packr.unpack(bytes) as Batch;
}

/** Room that a slice's own fields take in its record, bytes. */
const SLICE_OVERHEAD = 512;

/**
 * The records that accept `batch`: its slices, then the acceptance.
 *
 * @param submission Unique for each try, so that slices of two tries never mix.
 */
export function encodeSubmission(
  batch: Batch,
  submission: string,
  maxRecordBytes: number,
): readonly Uint8Array[] {
  const whole = encodeBatch(batch);
  const sliceBytes = maxRecordBytes - SLICE_OVERHEAD;
  const records: Uint8Array[] = [];
  const batchId = batch.id;
  for (let at = 0; at < whole.length; at += sliceBytes) {
    const bytes = whole.subarray(at, at + sliceBytes);
    const index = records.length;
    records.push(
      encodeRecord({kind: 'slice', batchId, submission, index, bytes}),
    );
  }
  const slices = records.length;
  records.push(encodeRecord({kind: 'accepted', batchId, submission, slices}));
  return records;
}
