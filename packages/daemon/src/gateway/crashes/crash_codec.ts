/** Bytes of what VMs tell each other of a request beside which endpoints crashed. */

import type {CrashRecord} from '@radishyoke/core/crashes/crash_registry';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import {createError} from '@radishyoke/shared/error_kind';
import {Packr} from 'msgpackr';
import * as v from 'valibot';

const marksSchema = v.array(
  v.object({
    endpointId: v.string(),
    atMs: v.number(),
    weight: v.pipe(v.number(), v.minValue(0)),
  }),
);

/** Plain maps, so that records of one version of the program can be read by another. */
const packr = new Packr({useRecords: false});

export function encodeMarks(marks: readonly CrashRecord[]): Uint8Array {
  return packr.pack(marks);
}

export function decodeMarks(bytes: Uint8Array): Result<readonly CrashRecord[]> {
  try {
    return succeed(v.parse(marksSchema, packr.unpack(bytes)));
  } catch (err) {
    return fail(createError('bad_request', String(err)));
  }
}
