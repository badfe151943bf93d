/**
 * Appends records of one partition, gathered into few calls. Records of batches
 * count once however often they stand, so an append without an answer is simply
 * made again.
 */

import type {BatchRecord} from '@radishyoke/core/batches/batch_record';
import {setTimeout as sleep} from 'node:timers/promises';
import {encodeRecord} from './batch_codec.js';
import {BATCH_TOPIC} from './batch_book.js';
import type {LogStore} from '../store/log_store.js';

/** Records are gathered this long before a call, ms: short against the 500 ms between two reads of a trainer. */
const GATHER_MS = 30;
/** Pause after a failed append, ms. */
const RETRY_MS = 120;
/** Records that wait may take this much memory, bytes; the oldest are the ones a trainer waits for, so newer are dropped and their items run again. */
const MAX_WAITING_BYTES = 16 * 1024 * 1024;

export class RecordWriter {
  private waiting: Uint8Array[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private isStopped = false;

  constructor(
    private readonly store: LogStore,
    private readonly partition: number,
  ) {}

  /** Queues `record`; false where too much waits already. */
  write(record: BatchRecord): boolean {
    const bytes = encodeRecord(record);
    if (this.waitingBytes + bytes.length > MAX_WAITING_BYTES) return false;
    this.waiting.push(bytes);
    this.waitingBytes += bytes.length;
    if (!this.isWriting) void this.run();
    return true;
  }

  /** Drops what waits and is not on its way. */
  stop(): void {
    this.isStopped = true;
    this.waiting = [];
  }

  private async run(): Promise<void> {
    this.isWriting = true;
    while (this.waiting.length > 0 && !this.isStopped) {
      await sleep(GATHER_MS);
      await this.appendSome(this.takeSome());
    }
    this.isWriting = false;
  }

  private async appendSome(records: readonly Uint8Array[]): Promise<void> {
    while (records.length > 0 && !this.isStopped) {
      const outcome = await this.store.append(
        BATCH_TOPIC,
        this.partition,
        records,
      );
      if (outcome.kind === 'appended') return;
      await sleep(RETRY_MS);
    }
  }

  private takeSome(): readonly Uint8Array[] {
    const limit = this.store.maxAppendBytes / 2;
    const taken: Uint8Array[] = [];
    let bytes = 0;
    while (this.waiting.length > 0) {
      const [first] = this.waiting;
      if (taken.length > 0 && bytes + first.length > limit) break;
      taken.push(first);
      bytes += first.length;
      this.waiting.shift();
    }
    this.waitingBytes -= bytes;
    return taken;
  }
}
