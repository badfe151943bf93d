/**
 * The task that writes this VM's audit chain: it batches entries into blocks
 * and includes the heads of other VMs' chains, so that the chains attest each
 * other.
 */

import {
  AuditChain,
  type AuditBlock,
  type LoggedHead,
} from '@radishyoke/core/audit/audit_chain';
import type {AuditEntry} from '@radishyoke/core/audit/audit_entry';
import {buildWriterKey} from '@radishyoke/core/ledger/writer_table';
import type {LogClient} from '@radishyoke/stores/log_client';
import {LOG_WRITER_DEFAULTS, LogWriter} from '@radishyoke/stores/log_writer';
import type {IncarnationId, VmId} from '@radishyoke/shared/ids';
import type {LogChange, LogTask} from '../log/log_task.js';

export interface AuditTaskConfig {
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  /**
   * Maximum number of entries that wait for the log; further ones are dropped.
   */
  readonly maxWaiting: number;
}

/**
 * About 5 MB, enough for a log outage of over 30 minutes at 10 entries per
 * second.
 */
export const DEFAULT_MAX_WAITING = 20_000;
const MAX_ENTRIES_PER_BLOCK = 500;
/**
 * Maximum number of blocks passed to the writer that are not in the log yet.
 */
const MAX_BLOCKS_IN_FLIGHT = 2;
const MIN_FLUSH_MS = 1000;
/**
 * Minimum flush interval in append intervals of this VM, so that the audit uses
 * at most a third of the VM's appends.
 */
const SHARES_PER_FLUSH = 3;
const ANCHOR_INTERVAL_MS = 60_000;
/** Maximum number of heads of other VMs' chains per block. */
const MAX_WITNESSED_PER_BLOCK = 8;

interface Gap {
  readonly fromMs: number;
  toMs: number;
  dropped: number;
}

/** Writes the audit chain of one VM; one instance per log task. */
export class AuditTask {
  private readonly chain: AuditChain;
  private readonly writer: LogWriter<AuditBlock, number>;
  private readonly waiting: AuditEntry[] = [];
  private readonly foreignHeads = new Map<string, LoggedHead>();
  private blocksInFlight = 0;
  private gap: Gap | undefined;
  private anchoredAtMs = -Infinity;
  private anchoredNumber = 0;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(
    client: LogClient,
    private readonly log: LogTask,
    private readonly cfg: AuditTaskConfig,
  ) {
    this.chain = new AuditChain(buildWriterKey(cfg));
    this.writer = new LogWriter<AuditBlock, number>(
      client,
      log.budget,
      {...LOG_WRITER_DEFAULTS, ...cfg, stream: 'audit'},
      (_block, offset) => offset,
    );
  }

  /** Entries that wait for the log, and those dropped since the last gap. */
  get status(): {readonly waiting: number; readonly dropped: number} {
    return {waiting: this.waiting.length, dropped: this.gap?.dropped ?? 0};
  }

  start(): void {
    void this.log.changes.observe(change => this.recordForeignHead(change));
    this.schedule();
  }

  /** Queues an entry; if the buffer is full, drops it and records a gap. */
  record(entry: AuditEntry): void {
    if (this.waiting.length < this.cfg.maxWaiting) {
      this.waiting.push(entry);
      return;
    }
    const nowMs = Date.now();
    this.gap ??= {fromMs: nowMs, toMs: nowMs, dropped: 0};
    this.gap.toMs = nowMs;
    this.gap.dropped++;
  }

  /**
   * Writes all waiting entries and closes the chain; resolves when they are in
   * the log.
   */
  async closeChain(): Promise<void> {
    clearTimeout(this.timer);
    this.stopped = true;
    this.reportGap();
    this.waiting.push({kind: 'closed', atMs: Date.now()});
    const blocks: Array<Promise<unknown>> = [];
    while (this.waiting.length > 0) blocks.push(this.writeBlock());
    await Promise.all(blocks);
  }

  /**
   * Stops immediately; waiting entries are lost and the chain is not closed.
   */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    this.writer.close();
  }

  private schedule(): void {
    if (this.stopped) return;
    const shareMs = SHARES_PER_FLUSH * this.log.budget.intervalMs;
    const delayMs = Math.max(MIN_FLUSH_MS, shareMs);
    this.timer = setTimeout(() => {
      this.flush();
      this.schedule();
    }, delayMs);
  }

  private flush(): void {
    while (
      this.waiting.length > 0 &&
      this.blocksInFlight < MAX_BLOCKS_IN_FLIGHT
    ) {
      void this.writeBlock();
    }
  }

  private async writeBlock(): Promise<void> {
    this.blocksInFlight++;
    const entries = this.waiting.splice(0, MAX_ENTRIES_PER_BLOCK);
    this.reportGap();
    const block = this.chain.seal(entries, this.takeForeignHeads());
    const appended = await this.writer.append(block);
    this.blocksInFlight--;
    if (appended.ok) this.publishHead({...block, offset: appended.value});
  }

  /**
   * Queues a `gap` entry for the entries dropped while the log was down for
   * longer than the buffer lasts. Without it in the chain the audit would look
   * complete.
   */
  private reportGap(): void {
    if (this.gap === undefined) return;
    this.waiting.push({kind: 'gap', ...this.gap});
    this.gap = undefined;
  }

  private takeForeignHeads(): readonly LoggedHead[] {
    const heads = [...this.foreignHeads.values()].slice(
      0,
      MAX_WITNESSED_PER_BLOCK,
    );
    for (const head of heads) this.foreignHeads.delete(head.writer);
    return heads;
  }

  /** Publishes the chain's head to the other VMs, at most once per interval. */
  private publishHead({number, hash, offset}: LoggedHead): void {
    const nowMs = performance.now();
    if (nowMs - this.anchoredAtMs < ANCHOR_INTERVAL_MS && !this.stopped) return;
    if (number <= this.anchoredNumber) return;
    this.anchoredAtMs = nowMs;
    this.anchoredNumber = number;
    void this.log.append({kind: 'audit_anchored', number, hash, offset});
  }

  private recordForeignHead(change: LogChange): void {
    if (change.kind !== 'state') return;
    const {value} = change.judged.record;
    if (value.kind !== 'audit_anchored') return;
    if (change.judged.verdict.kind === 'void') return;
    const writer = buildWriterKey(value.stamp);
    if (writer === this.chain.writer) return;
    const {number, hash, offset} = value;
    this.foreignHeads.set(writer, {writer, number, hash, offset});
  }
}
