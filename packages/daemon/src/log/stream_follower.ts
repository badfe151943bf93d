/**
 * Follows one stream of the log and keeps its fold: from the first record, or,
 * where retention dropped that, from the first whole checkpoint.
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

/** What a follower asks of the owner of the fold that it feeds. */
export interface FoldPort<T> {
  /** Offset of the next record to apply. */
  next(): number;
  /** Adjusted log time at the last record. */
  nowMs(): number;
  apply(record: LoggedRecord<T>): void;
  /** Replaces the folded state by a snapshot's. */
  restore(snapshot: unknown): void;
  /**
   * Starts over with nothing at offset `oldest`, if all that the dropped records
   * can have left is outdated after `windowMs`; returns whether it did.
   */
  startEmpty(oldest: number, windowMs: number): boolean;
  /** Whether somebody waits for a record of this stream to be read back. */
  isAwaited(): boolean;
}

/** How a follower stands with its stream. */
export interface FollowerStatus {
  readonly next: number;
  /** Unix ms of the last read that succeeded; 0 for none. */
  readonly lastReadAtMs: number;
  /** As `lastReadAtMs`, on the monotonic clock. */
  readonly lastReadMonotonicMs: number;
  /** Unix ms since which reads fail. */
  readonly failingSinceMs: number | undefined;
  /** Whether all records that the log had were read and folded. */
  readonly caughtUp: boolean;
  /** Whether that was ever so since the start of this VM. */
  readonly hasBeenCaughtUp: boolean;
  /** Whether the start of the state is missing and no checkpoint was found. */
  readonly seeking: boolean;
}

/** One stream's reader with its fold. */
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
  /** On the monotonic clock. */
  private graceUntilMs = -Infinity;
  private checkpointAsOf = 0;
  private checkpointTimeMs: number | undefined;

  /** `onHealth` is called when reads begin to fail or succeed again. */
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
        read: (records, caughtUp, oldest) =>
          this.applyRecords(records, caughtUp, oldest),
        expired: oldest => this.seekCheckpoint(oldest),
        failed: () => this.onReadFailure(),
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

  /** Somebody waits for a record to be read back. */
  hurry(): void {
    this.reader.hurry();
  }

  /** The fold was moved on by other means: reads go on from where it is. */
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
   * Log time as far as this VM can tell: the last record's and the time since.
   * In an outage every session lapses by the log's time. Taken at its word, the
   * VMs would claim one another's leases as soon as the log is back, from
   * holders that are well. So the estimate stands still while reads fail and for
   * `graceMs` after, in which holders renew.
   */
  estimateLogNowMs(): number {
    const estimateMs = this.estimateUnfrozenMs();
    const isInGrace = performance.now() < this.graceUntilMs;
    const isFrozen = this.failingSinceMs !== undefined || isInGrace;
    return isFrozen ? Math.min(estimateMs, this.frozenAtMs) : estimateMs;
  }

  /** Whether this VM should now write a checkpoint of the stream. */
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
   * Retention dropped records that this VM has not folded. Going on with what is
   * left would give this VM another state than the others have, which shows as
   * two owners of a step. So it folds nothing before it has a snapshot whose
   * later records are all still there.
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
