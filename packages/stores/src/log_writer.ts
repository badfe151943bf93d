/**
 * Writes one stream of the log for one VM: stamps, queues and batches records, and
 * repeats failed appends until the records are stored.
 */

import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import type {IncarnationId, VmId} from '@radishyoke/shared/ids';
import type {Stamp, StreamName} from '@radishyoke/shared/log_record';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import type {AppendBudget} from './append_budget.js';
import type {LogClient} from './log_client.js';

/** A record without the stamp, which the writer adds. */
export type Unstamped<T> = T extends unknown ? Omit<T, 'stamp'> : never;

export interface LogWriterConfig {
  readonly stream: StreamName;
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  /** Maximum number of pending records; further ones are refused. */
  readonly maxPending: number;
  /** Maximum number of records per append. */
  readonly maxBatch: number;
  readonly appendTimeoutMs: number;
}

/**
 * Computes the outcome of a record from the log's response, for streams that this VM
 * does not read. Without it, records settle when they are read back.
 */
export type SettleByAnswer<T, R> = (value: T, offset: number) => R;

/** Limits that suit every stream. */
export const LOG_WRITER_DEFAULTS = {
  maxPending: 4096,
  maxBatch: 512,
  appendTimeoutMs: 2000,
} as const;

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;

interface PendingRecord<T, R> {
  readonly value: T;
  /** Whether the log has confirmed the append. */
  isAppended: boolean;
  /** Whether it was sent in at least one append. */
  wasSent: boolean;
  readonly resolve: (result: Result<R>) => void;
}

/**
 * Only one append is in flight at a time, and a record is sent only together with or
 * after all earlier ones that are unconfirmed. Repeating an append whose response was
 * lost is therefore harmless: readers accept the first copy of each sequence number
 * and ignore the others, even one that is delayed and arrives last.
 */
export class LogWriter<T extends {readonly stamp: Stamp}, R> {
  private readonly pending = new Map<number, PendingRecord<T, R>>();
  private lastSeq = 0;
  private isLooping = false;
  private isClosed = false;
  private failures = 0;
  private wake: (() => void) | undefined;

  constructor(
    private readonly client: LogClient,
    private readonly budget: AppendBudget,
    private readonly cfg: LogWriterConfig,
    private readonly settleByAnswer?: SettleByAnswer<T, R>,
  ) {}

  /** Number of records that have no outcome yet. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /**
   * Queues a record and resolves with its outcome when it has settled. Fails
   * immediately if the buffer is full or the writer is closed; the record is then
   * guaranteed not to be written.
   */
  append(body: Unstamped<T>): Promise<Result<R>> {
    if (this.isClosed)
      return Promise.resolve(fail(createRefusal('the log writer is closed')));
    if (this.pending.size >= this.cfg.maxPending) {
      return Promise.resolve(
        fail(createRefusal('too many records are waiting for the log')),
      );
    }
    const {vm, incarnation} = this.cfg;
    const seq = ++this.lastSeq;
    const value = {...body, stamp: {vm, incarnation, seq}} as unknown as T;
    return new Promise(resolve => {
      this.pending.set(seq, {
        value,
        isAppended: false,
        wasSent: false,
        resolve,
      });
      this.startLoop();
    });
  }

  /** Settles the record with `stamp`; returns whether it was pending in this writer. */
  settle(stamp: Stamp, outcome: R): boolean {
    if (!this.isOwn(stamp)) return false;
    const entry = this.pending.get(stamp.seq);
    if (entry === undefined) return false;
    this.pending.delete(stamp.seq);
    entry.resolve(succeed(outcome));
    this.failThrough(stamp.seq - 1);
    return true;
  }

  /**
   * Fails pending records up to `seq`. Either retention dropped them before this VM read
   * them, or a later record was read, so readers will ignore them.
   */
  failThrough(seq: number): void {
    for (const [pendingSeq, entry] of this.pending) {
      if (pendingSeq > seq) return;
      this.pending.delete(pendingSeq);
      entry.resolve(
        fail(
          createError('log_unavailable', 'the record was not read back', {
            ran: 'maybe',
          }),
        ),
      );
    }
  }

  /** Fails all pending records and sends nothing more. */
  close(): void {
    this.isClosed = true;
    for (const [seq, entry] of this.pending) {
      this.pending.delete(seq);
      const detail =
        'the log writer was closed before the record was read back';
      const ran = entry.wasSent ? 'maybe' : 'no';
      entry.resolve(fail(createError('log_unavailable', detail, {ran})));
    }
    this.wake?.();
  }

  private isOwn(stamp: Stamp): boolean {
    return (
      stamp.vm === this.cfg.vm && stamp.incarnation === this.cfg.incarnation
    );
  }

  private startLoop(): void {
    if (this.isLooping) return;
    this.isLooping = true;
    void this.loop();
  }

  private async loop(): Promise<void> {
    let backoffMs = 0;
    // Batches the records that are queued within the same turn of the event loop.
    await Promise.resolve();
    while (!this.isClosed && this.hasUnsent()) {
      const waitMs = Math.max(backoffMs, this.budget.getWaitMs(Date.now()));
      if (waitMs > 0) {
        await this.sleep(waitMs);
        backoffMs = 0;
        continue;
      }
      this.budget.takeToken(Date.now());
      backoffMs = await this.appendBatch(backoffMs);
    }
    this.isLooping = false;
  }

  /** Sends one append; returns the minimum ms to wait before the next. */
  private async appendBatch(lastBackoffMs: number): Promise<number> {
    const batch = this.collectBatch();
    for (const entry of batch) entry.wasSent = true;
    const result = await this.client.append(
      this.cfg.stream,
      batch.map(entry => entry.value),
      {timeoutMs: this.cfg.appendTimeoutMs},
    );
    if (result.kind === 'appended') {
      this.onAppended(batch, result.first);
      this.failures = 0;
      return 0;
    }
    this.failures++;
    const exponentialMs = FIRST_BACKOFF_MS * 2 ** Math.min(this.failures, 8);
    const backoffMs = Math.min(MAX_BACKOFF_MS, exponentialMs);
    return Math.max(lastBackoffMs, backoffMs, result.error.retryAfterMs ?? 0);
  }

  private onAppended(
    batch: ReadonlyArray<PendingRecord<T, R>>,
    first: number,
  ): void {
    batch.forEach((entry, i) => {
      entry.isAppended = true;
      if (this.settleByAnswer === undefined) return;
      const {value} = entry;
      this.settle(value.stamp, this.settleByAnswer(value, first + i));
    });
  }

  private hasUnsent(): boolean {
    for (const entry of this.pending.values())
      if (!entry.isAppended) return true;
    return false;
  }

  private collectBatch(): Array<PendingRecord<T, R>> {
    const batch: Array<PendingRecord<T, R>> = [];
    for (const entry of this.pending.values()) {
      if (entry.isAppended) continue;
      batch.push(entry);
      if (batch.length >= this.cfg.maxBatch) break;
    }
    return batch;
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, ms);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}

function createRefusal(detail: string): RadishyokeError {
  return createError('log_unavailable', detail);
}
