/**
 * The task that writes this VM's audit chain: it gathers entries into blocks,
 * and ties the chains of all VMs to one another.
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
  /** Entries that wait for the log at most; those that come later are dropped. */
  readonly maxWaiting: number;
}

/** Some 5 MB of entries: at ten a second, more than half an hour of outage. */
export const DEFAULT_MAX_WAITING = 20_000;
const MAX_ENTRIES_PER_BLOCK = 500;
/** Blocks handed to the writer and not yet on the log. */
const MAX_BLOCKS_IN_FLIGHT = 2;
const MIN_FLUSH_MS = 1000;
/** Appends of this VM's share between two of the audit's: it takes a third. */
const SHARES_PER_FLUSH = 3;
const ANCHOR_INTERVAL_MS = 60_000;
/** Foreign heads named in one block. */
const MAX_WITNESSED_PER_BLOCK = 8;

interface Gap {
  readonly fromMs: number;
  toMs: number;
  dropped: number;
}

/** One instance a VM, beside its log task. */
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

  /** Entries that wait for the log, and those dropped since it took one. */
  get status(): {readonly waiting: number; readonly dropped: number} {
    return {waiting: this.waiting.length, dropped: this.gap?.dropped ?? 0};
  }

  start(): void {
    void this.log.changes.observe(change => this.recordForeignHead(change));
    this.schedule();
  }

  /** Takes an entry; with a full buffer it is dropped, and the gap is told. */
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

  /** Writes what waits and closes the chain; resolves when the log has it. */
  async leave(): Promise<void> {
    clearTimeout(this.timer);
    this.stopped = true;
    this.reportGap();
    this.waiting.push({kind: 'closed', atMs: Date.now()});
    const blocks: Array<Promise<unknown>> = [];
    while (this.waiting.length > 0) blocks.push(this.writeBlock());
    await Promise.all(blocks);
  }

  /** Stops at once; what waits is lost, and the chain shows no end. */
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
   * Entries are dropped when the log is down for longer than the buffer lasts.
   * Unsaid, the audit would look whole; so the gap takes the place of the first
   * entries that can be written again, inside the chain.
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

  /** Tells the other VMs of this chain's head once in a while. */
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
