/** Encodes and decodes the crash records that VMs share about requests in flight on endpoints that crashed. */

import type {CrashRecord} from '@radishyoke/core/crashes/crash_registry';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import {createError} from '@radishyoke/shared/error_kind';
import {Packr} from 'msgpackr';
import * as v from 'valibot';

const crashRecordsSchema = v.array(
  v.object({
    endpointId: v.string(),
    atMs: v.number(),
    weight: v.pipe(v.number(), v.minValue(0)),
  }),
);

/** Packs plain maps, so that other versions of the program can read the records. */
const packr = new Packr({useRecords: false});

export function encodeCrashRecords(
  records: readonly CrashRecord[],
): Uint8Array {
  return packr.pack(records);
}

export function decodeCrashRecords(
  bytes: Uint8Array,
): Result<readonly CrashRecord[]> {
  try {
    return succeed(v.parse(crashRecordsSchema, packr.unpack(bytes)));
  } catch (err) {
    return fail(createError('bad_request', String(err)));
  }
}
