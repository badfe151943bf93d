/**
 * Follows one stream of the log and feeds its fold, starting at the first
 * record or, if retention has dropped that, at the first complete checkpoint.
 */

import {
  type Checkpoint,
  CheckpointAssembler,
  type CheckpointTiming,
  isCheckpointDue,
} from '@radishyoke/core/ledger/checkpoint';
import type {LogClient} from '@radishyoke/stores/log_client';
import {LOG_READER_DEFAULTS, LogReader} from '@radishyoke/stores/log_reader';
import type {
  CheckpointPart,
  LoggedRecord,
  StreamName,
} from '@radishyoke/shared/log_record';

/** Access of a follower to the fold that it feeds. */
export interface FoldPort<T> {
  /** Offset of the next record to apply. */
  next(): number;
  /** Adjusted log time of the last record. */
  nowMs(): number;
  apply(record: LoggedRecord<T>): void;
  /** Replaces the folded state by that of a snapshot. */
  restore(snapshot: unknown): void;
  /**
   * Restarts with an empty state at offset `oldest` if everything that the
   * dropped records can have produced has expired after `windowMs`. Returns
   * whether it did.
   */
  startEmpty(oldest: number, windowMs: number): boolean;
  /**
   * Whether a caller is waiting for a record of this stream to be read back.
   */
  isAwaited(): boolean;
}

/** State of a follower and its stream. */
export interface FollowerStatus {
  readonly next: number;
  /** Unix ms of the last successful read; 0 if there was none. */
  readonly lastReadAtMs: number;
  /** Same as `lastReadAtMs`, on the monotonic clock. */
  readonly lastReadMonotonicMs: number;
  /** Unix ms since which reads have failed; undefined while they succeed. */
  readonly failingSinceMs: number | undefined;
  /** Whether all records that the log had at the last read are folded. */
  readonly caughtUp: boolean;
  /** Whether `caughtUp` has been true at least once since this VM started. */
  readonly hasBeenCaughtUp: boolean;
  /**
   * Whether the stream's first records are gone and no checkpoint has been
   * found yet.
   */
  readonly seeking: boolean;
}

/** Reads one stream and applies its records to a fold. */
export class StreamFollower<T extends object> {
  private readonly reader: LogReader<T>;
  private assembler = new CheckpointAssembler();
  private seeking = false;
  private caughtUp = false;
  private hasBeenCaughtUp = false;
  private oldest = 0;
  private oldestTimeMs: number | undefined;
  private lastTimeMs = 0;
  private lastReadAtMs = 0;
  private lastReadMonotonicMs = -Infinity;
  private lastRecordAtMs = 0;
  private failingSinceMs: number | undefined;
  private frozenAtMs = 0;
  /** End of the grace period after an outage, on the monotonic clock. */
  private graceUntilMs = -Infinity;
  private checkpointAsOf = 0;
  private checkpointTimeMs: number | undefined;

  /**
   * `onHealth` is called when reads start to fail and when they succeed again.
   */
  constructor(
    client: LogClient,
    readonly stream: StreamName,
    private readonly fold: FoldPort<T>,
    private readonly graceMs: number,
    private readonly onHealth: () => void,
  ) {
    this.reader = new LogReader(
      client,
      {...LOG_READER_DEFAULTS, stream},
      {
        onRecords: (records, caughtUp, oldest) =>
          this.applyRecords(records, caughtUp, oldest),
        onExpired: oldest => this.seekCheckpoint(oldest),
        onReadFailed: () => this.onReadFailure(),
        isAwaited: () => this.fold.isAwaited(),
      },
    );
  }

  start(): void {
    this.reader.start(this.fold.next());
  }

  stop(): void {
    this.reader.stop();
  }

  /**
   * Ends the pause between reads early because a caller is waiting for a record
   * to be read back.
   */
  skipPause(): void {
    this.reader.skipPause();
  }

  /**
   * Continues reading at the position of the fold after it was advanced by
   * other means.
   */
  moveToFold(): void {
    this.seeking = false;
    this.reader.moveTo(this.fold.next());
  }

  status(): FollowerStatus {
    return {
      next: this.fold.next(),
      lastReadAtMs: this.lastReadAtMs,
      lastReadMonotonicMs: this.lastReadMonotonicMs,
      failingSinceMs: this.failingSinceMs,
      caughtUp: this.caughtUp && !this.seeking,
      hasBeenCaughtUp: this.hasBeenCaughtUp && !this.seeking,
      seeking: this.seeking,
    };
  }

  /**
   * Estimates the current log time from the last record and the time since it
   * was read. During an outage no session can be renewed, so by the log's time
   * all sessions expire, and VMs would claim the leases of healthy holders when
   * the log is back. The estimate therefore does not advance while reads fail
   * and for `graceMs` afterwards, in which holders renew.
   */
  estimateLogNowMs(): number {
    const estimateMs = this.estimateUnfrozenMs();
    const isInGrace = performance.now() < this.graceUntilMs;
    const isFrozen = this.failingSinceMs !== undefined || isInGrace;
    return isFrozen ? Math.min(estimateMs, this.frozenAtMs) : estimateMs;
  }

  /** Whether this VM should write a checkpoint of the stream now. */
  isCheckpointDue(timing: CheckpointTiming): boolean {
    const {caughtUp} = this.status();
    if (!caughtUp || this.checkpointTimeMs === undefined) return false;
    return isCheckpointDue(
      {
        oldest: this.oldest,
        next: this.fold.next(),
        checkpointAsOf: this.checkpointAsOf,
        sinceMs: this.checkpointTimeMs,
        nowMs: this.lastTimeMs + Math.max(0, Date.now() - this.lastRecordAtMs),
      },
      timing,
    );
  }

  /** Estimates the log time without regard to outages. */
  private estimateUnfrozenMs(): number {
    return this.fold.nowMs() + Math.max(0, Date.now() - this.lastRecordAtMs);
  }

  private applyRecords(
    records: ReadonlyArray<LoggedRecord<T>>,
    caughtUp: boolean,
    oldest: number,
  ): number | undefined {
    this.oldest = oldest;
    for (const record of records) {
      this.recordTime(record);
      const checkpoint = this.collectCheckpoint(record);
      if (!this.seeking) {
        if (record.offset === this.fold.next()) this.fold.apply(record);
        continue;
      }
      if (checkpoint !== undefined && checkpoint.asOf >= this.oldest) {
        return this.restoreCheckpoint(checkpoint);
      }
    }
    this.caughtUp = caughtUp;
    this.hasBeenCaughtUp ||= caughtUp && !this.seeking;
    this.onReadSuccess();
    return this.seeking && caughtUp ? this.tryStartEmpty() : undefined;
  }

  private recordTime(record: LoggedRecord<T>): void {
    this.lastRecordAtMs = Date.now();
    this.lastTimeMs = record.timeMs;
    this.checkpointTimeMs ??= record.timeMs;
    this.oldestTimeMs ??= record.timeMs;
  }

  private collectCheckpoint(record: LoggedRecord<T>): Checkpoint | undefined {
    const value = record.value as {readonly kind?: string};
    if (value.kind !== 'checkpoint_part') return undefined;
    const part = record as unknown as LoggedRecord<CheckpointPart>;
    const checkpoint = this.assembler.add(part);
    if (checkpoint === undefined) return undefined;
    this.checkpointAsOf = Math.max(this.checkpointAsOf, checkpoint.asOf);
    this.checkpointTimeMs = checkpoint.timeMs;
    return checkpoint;
  }

  /**
   * Handles records that retention dropped before this VM folded them. Folding
   * only the remaining records would give this VM a different state from the
   * others, for example two owners of a step. So it folds nothing until it has
   * a snapshot after which no record is missing.
   */
  private seekCheckpoint(oldest: number): number {
    this.seeking = true;
    this.caughtUp = false;
    this.oldest = oldest;
    this.oldestTimeMs = undefined;
    this.assembler = new CheckpointAssembler();
    this.onReadSuccess();
    return oldest;
  }

  private restoreCheckpoint(checkpoint: Checkpoint): number {
    this.fold.restore(JSON.parse(checkpoint.text));
    this.seeking = false;
    return this.fold.next();
  }

  private tryStartEmpty(): number | undefined {
    if (this.oldestTimeMs === undefined) return undefined;
    const windowMs = this.lastTimeMs - this.oldestTimeMs;
    if (!this.fold.startEmpty(this.oldest, windowMs)) return undefined;
    this.seeking = false;
    return this.oldest;
  }

  private onReadSuccess(): void {
    this.lastReadAtMs = Date.now();
    this.lastReadMonotonicMs = performance.now();
    if (this.failingSinceMs === undefined) return;
    this.failingSinceMs = undefined;
    this.graceUntilMs = performance.now() + this.graceMs;
    this.onHealth();
  }

  private onReadFailure(): void {
    if (this.failingSinceMs !== undefined) return;
    this.frozenAtMs = this.estimateLogNowMs();
    this.failingSinceMs = Date.now();
    this.onHealth();
  }
}
