/**
 * Checkpoints: snapshots of a stream's folded state, written to the stream
 * itself so that the state outlives the log's retention.
 */

import type {CheckpointPart, LoggedRecord} from '@radishyoke/shared/log_record';
import {computeDigest} from './digest.js';
import {buildWriterKey} from './writer_table.js';

/** Maximum length of the snapshot text in one record, in characters. */
const PART_CHARS = 48_000;
/**
 * Maximum number of incomplete checkpoints cached while reading; the oldest are
 * dropped first.
 */
const MAX_UNFINISHED = 16;

/** A checkpoint part without the stamp, which its writer adds. */
export type CheckpointBody = Omit<CheckpointPart, 'stamp'>;

/** A complete snapshot as read from the log. */
export interface Checkpoint {
  /** Offset of the first record that the snapshot does not cover. */
  readonly asOf: number;
  /** Offset of the record that completed it. */
  readonly completedAt: number;
  /** Log time of the record that completed it. */
  readonly timeMs: number;
  readonly text: string;
}

/** Splits a snapshot of the state before offset `asOf` into records. */
export function splitCheckpoint(
  asOf: number,
  snapshot: unknown,
): readonly CheckpointBody[] {
  const text = JSON.stringify(snapshot);
  const digest = computeDigest(text);
  const parts = Math.max(1, Math.ceil(text.length / PART_CHARS));
  return Array.from({length: parts}, (_, part) => ({
    kind: 'checkpoint_part' as const,
    asOf,
    part,
    parts,
    digest,
    text: text.slice(part * PART_CHARS, (part + 1) * PART_CHARS),
  }));
}

/**
 * Assembles checkpoints from their parts. Several VMs may write checkpoints at
 * the same time and the log may contain duplicate parts, so parts are grouped
 * by writer, offset and digest. Any one complete checkpoint is sufficient.
 */
export class CheckpointAssembler {
  private readonly unfinished = new Map<string, Map<number, string>>();

  /** Adds the next record; returns the checkpoint that it completes, if any. */
  add(record: LoggedRecord<CheckpointPart>): Checkpoint | undefined {
    const {stamp, asOf, part, parts, digest, text} = record.value;
    const key = `${buildWriterKey(stamp)}/${asOf}/${digest}`;
    const texts = this.unfinished.get(key) ?? new Map<number, string>();
    this.unfinished.set(key, texts);
    texts.set(part, text);
    if (texts.size < parts) {
      this.dropOverflow();
      return undefined;
    }
    this.unfinished.delete(key);
    const joined = Array.from({length: parts}, (_, i) => texts.get(i)).join('');
    if (computeDigest(joined) !== digest) return undefined;
    const {offset, timeMs} = record;
    return {asOf, completedAt: offset, timeMs, text: joined};
  }

  private dropOverflow(): void {
    for (const key of this.unfinished.keys()) {
      if (this.unfinished.size <= MAX_UNFINISHED) return;
      this.unfinished.delete(key);
    }
  }
}

/** Settings that decide when a checkpoint is due. */
export interface CheckpointTiming {
  /** How long the log retains a record. */
  readonly retentionMs: number;
  /**
   * From 0 to 1 and different on each VM, so that one VM writes a checkpoint
   * before it becomes due on the others.
   */
  readonly jitter: number;
}

/**
 * Retained range of a stream, which determines whether a checkpoint is due.
 */
export interface StreamWindow {
  readonly oldest: number;
  readonly next: number;
  /** Offset covered by the last complete checkpoint; 0 for none. */
  readonly checkpointAsOf: number;
  /** Log time since which no complete checkpoint was written. */
  readonly sinceMs: number;
  readonly nowMs: number;
}

/** Share of the retention after which a new checkpoint is due. */
const DUE_SHARE = 0.25;
/** Maximum jitter between VMs, as a share of the retention. */
const JITTER_SHARE = 0.125;
/** Keeps the records of one checkpoint from making the next one due. */
const MIN_RECORDS_BETWEEN = 500;

/**
 * Whether a checkpoint is due, either by time, compared with the configured
 * retention, or by record count, compared with the range the log actually
 * retains, which may be shorter than configured. At most three eighths of the
 * range pass between two checkpoints, so a reader that starts at the oldest
 * record finds a complete checkpoint and all records after it.
 */
export function isCheckpointDue(
  window: StreamWindow,
  timing: CheckpointTiming,
): boolean {
  const {oldest, next, checkpointAsOf, sinceMs, nowMs} = window;
  if (next === checkpointAsOf) return false;
  const share = DUE_SHARE + JITTER_SHARE * timing.jitter;
  const dueByTime = nowMs - sinceMs >= timing.retentionMs * share;
  const records = next - checkpointAsOf;
  const dueByCount =
    oldest > 0 &&
    records >= MIN_RECORDS_BETWEEN &&
    records >= (next - oldest) * share;
  return dueByTime || dueByCount;
}
