/** Bytes of usage records. Written by one VM, read by all. */

import type {
  ReportRecord,
  UsageEntry,
} from '@radishyoke/core/usage/usage_record';
import {Packr} from 'msgpackr';

/** Counts of all VMs, each VM in one partition. */
export const COUNT_TOPIC = 'usage_counts';
/** Decisions and deliveries, in one partition. */
export const REPORT_TOPIC = 'usage_reports';
export const REPORT_PARTITION = 0;

/** Plain maps, so that records of one version of the program can be read by another. */
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
