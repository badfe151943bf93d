/**
 * Snapshots of a stream's folded state on the stream itself, so that what must
 * last outlives the log's retention.
 */

import type {CheckpointPart, LoggedRecord} from '@radishyoke/shared/log_record';
import {computeDigest} from './digest.js';
import {buildWriterKey} from './writer_table.js';

/** Characters of snapshot text in one record. */
const PART_CHARS = 48_000;
/** Unfinished checkpoints kept while reading; over it the oldest go first. */
const MAX_UNFINISHED = 16;

/** A part without the stamp that its writer adds. */
export type CheckpointBody = Omit<CheckpointPart, 'stamp'>;

/** A whole snapshot as read from the log. */
export interface Checkpoint {
  /** Offset of the first record that the snapshot does not cover. */
  readonly asOf: number;
  /** Offset of the record that completed it. */
  readonly completedAt: number;
  /** Log time of the record that completed it. */
  readonly timeMs: number;
  readonly text: string;
}

/** Cuts a snapshot of the state before offset `asOf` into records. */
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
 * Puts parts together. Several VMs may write checkpoints at once, and copies of
 * a part may stand in the log; parts are told apart by writer, offset and
 * digest, and any one whole checkpoint will do.
 */
export class CheckpointAssembler {
  private readonly unfinished = new Map<string, Map<number, string>>();

  /** Takes the next record; returns the checkpoint that it completes. */
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

/** What decides whether a checkpoint is due. */
export interface CheckpointTiming {
  /** How long the log keeps a record. */
  readonly retentionMs: number;
  /** From 0 to 1, other for each VM, so that one writes and the others see it. */
  readonly jitter: number;
}

/** What is known of a stream's window when a checkpoint may be due. */
export interface StreamWindow {
  readonly oldest: number;
  readonly next: number;
  /** Offset covered by the last whole checkpoint; 0 for none. */
  readonly checkpointAsOf: number;
  /** Log time since which no whole checkpoint was made. */
  readonly sinceMs: number;
  readonly nowMs: number;
}

/** Part of the retention after which a new checkpoint is due. */
const DUE_SHARE = 0.25;
/** Spread between the VMs, in the same measure. */
const JITTER_SHARE = 0.125;
/** A checkpoint's own records must not make the next one due. */
const MIN_RECORDS_BETWEEN = 500;

/**
 * Whether a checkpoint is due: by time, against the retention that operators
 * stated, and by count, against the window that the log is seen to keep, should
 * it keep less than was stated. At most three eighths of the window pass between
 * two checkpoints, so a reader that starts at the oldest record meets a whole
 * one whose later records are all still there.
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
