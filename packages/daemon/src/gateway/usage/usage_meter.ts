/**
 * Counts the requests of this VM that endpoints started, and appends the counts to the log
 * soon after, because counts that were not written are lost with the VM.
 */

import type {Caller} from '@radishyoke/core/accounts/client_account';
import {hashToUnitInterval} from '@radishyoke/core/routing/route_table';
import type {UsageEntry} from '@radishyoke/core/usage/usage_record';
import {UsageTally} from '@radishyoke/core/usage/usage_tally';
import {setTimeout as sleep} from 'node:timers/promises';
import type {LogStore} from '../store/log_store.js';
import {COUNT_TOPIC, encodeUsage} from './usage_codec.js';

export interface MeterConfig {
  /** Determines the partition, so that VMs are spread over all partitions. */
  readonly vmName: string;
  readonly incarnationId: string;
}

/** Least time between two writes, ms: a VM with few requests writes each one at once, a VM with many writes them together. */
const MIN_WRITE_INTERVAL_MS = 500;
/** Pause after a failed write, ms; doubles up to `MAX_RETRY_MS`. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 800;

export class UsageMeter {
  private readonly tally: UsageTally;
  private readonly partition: number;
  private nextNumber = 0;
  private lastWriteMs = -Infinity;
  private writing: Promise<void> | undefined;
  private isStopped = false;

  constructor(
    private readonly store: LogStore,
    private readonly cfg: MeterConfig,
    windowMs: number,
  ) {
    this.tally = new UsageTally(windowMs);
    const fraction = hashToUnitInterval(cfg.vmName);
    this.partition = Math.floor(fraction * store.partitions);
  }

  /** Counts a request of the caller that an endpoint started at `unixMs`. */
  record(caller: Caller, unixMs: number): void {
    if (caller.kind !== 'account') return;
    this.tally.record(caller.name, unixMs);
    this.writing ??= this.writeAll().finally(() => (this.writing = undefined));
  }

  /** Resolves once all counts are written, or `stop` is called. */
  async finish(): Promise<void> {
    this.lastWriteMs = -Infinity;
    await this.writing;
  }

  stop(): void {
    this.isStopped = true;
  }

  private async writeAll(): Promise<void> {
    while (!this.tally.isEmpty && !this.isStopped) {
      const waitMs =
        this.lastWriteMs + MIN_WRITE_INTERVAL_MS - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      this.lastWriteMs = performance.now();
      const {incarnationId: writer} = this.cfg;
      const number = this.nextNumber++;
      await this.write({writer, number, counts: this.tally.take()});
    }
  }

  /** Appends the entry; retries it with the same number before the next entry is written. */
  private async write(entry: UsageEntry): Promise<void> {
    const bytes = encodeUsage(entry);
    let retryMs = FIRST_RETRY_MS;
    while (!this.isStopped) {
      const outcome = await this.store.append(COUNT_TOPIC, this.partition, [
        bytes,
      ]);
      if (outcome.kind === 'appended') return;
      await sleep(retryMs);
      retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
    }
  }
}
