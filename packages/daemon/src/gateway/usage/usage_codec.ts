/** Topics and encoding of usage records, which one VM writes and all VMs read. */

import type {
  ReportRecord,
  UsageEntry,
} from '@radishyoke/core/usage/usage_record';
import {Packr} from 'msgpackr';

/** Usage counts of all VMs; each VM writes to one partition. */
export const COUNT_TOPIC = 'usage_counts';
/** Decided and delivered reports, in a single partition. */
export const REPORT_TOPIC = 'usage_reports';
export const REPORT_PARTITION = 0;

/** Packs plain maps, so that other versions of the program can read the records. */
const packr = new Packr({useRecords: false});

export function encodeUsage(record: UsageEntry | ReportRecord): Uint8Array {
  return packr.pack(record);
}

export function decodeUsageEntry(bytes: Uint8Array): UsageEntry {
  return packr.unpack(bytes) as UsageEntry;
}

export function decodeReportRecord(bytes: Uint8Array): ReportRecord {
  return packr.unpack(bytes) as ReportRecord;
}
