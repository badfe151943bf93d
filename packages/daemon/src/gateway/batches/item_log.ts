/** Writes down what becomes of items while they run, for callers and for whoever takes over. */

import type {Job} from '@radishyoke/core/batches/batch_job';
import type {
  BatchRecord,
  ItemResult,
} from '@radishyoke/core/batches/batch_record';
import type {LogStore} from '../store/log_store.js';
import type {BatchShelf} from './batch_book.js';
import {RecordWriter} from './record_writer.js';

export class ItemLog {
  /** By partition. */
  private readonly writers = new Map<number, RecordWriter>();

  constructor(
    private readonly store: LogStore,
    private readonly shelf: BatchShelf,
  ) {}

  writeResult(batchId: string, result: ItemResult): void {
    this.write({kind: 'result', batchId, result});
  }

  /** An endpoint answered that an attempt, or a reward call, failed. */
  writeFailure(kind: 'attempt_failed' | 'reward_failed', job: Job): void {
    const itemId = job.item.id;
    this.write({kind, batchId: job.batch.batch.id, itemId});
  }

  /** Writes the events that came since the last time. */
  writeProgress(job: Job): void {
    const {recorded} = job;
    const isNew = job.transcript.events.length > recorded;
    if (isNew && job.state !== 'finished') this.writeText(job, recorded, false);
  }

  /**
   * A coordinator that takes over while the score is under way must not make
   * the text again. The last event goes along even if it was written before, as
   * it is what the mark stands behind.
   */
  writeWholeText(job: Job): void {
    const last = job.transcript.events.length - 1;
    this.writeText(job, Math.min(job.recorded, last), true);
  }

  /** Writes the events of a text from the one at `from` on. */
  private writeText(job: Job, from: number, isWhole: boolean): void {
    const {events} = job.transcript;
    const afterRun = events[from - 1]?.run;
    this.write({
      kind: 'progress',
      batchId: job.batch.batch.id,
      itemId: job.item.id,
      ...(afterRun === undefined ? {} : {afterRun}),
      events: events.slice(from),
      ...(isWhole ? {isWhole} : {}),
    });
    job.recorded = events.length;
  }

  private write(record: Exclude<BatchRecord, {kind: 'slice'}>): void {
    const {partition} = this.shelf.locate(record.batchId);
    let writer = this.writers.get(partition);
    if (!writer) {
      writer = new RecordWriter(this.store, partition);
      this.writers.set(partition, writer);
    }
    writer.write(record);
  }
}
