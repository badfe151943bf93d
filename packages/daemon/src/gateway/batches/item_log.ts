/** Writes the progress and results of running items to the log, for callers and for a coordinator that takes over. */

import type {Job} from '@radishyoke/core/batches/batch_job';
import type {
  FailureKind,
  ItemResult,
} from '@radishyoke/core/batches/batch_record';
import type {LogStore} from '../store/log_store.js';
import type {IndexReplicas} from './index_replica.js';
import {IndexWriter, ProgressWriter} from './record_writer.js';

/** The writers of one partition. */
interface Writers {
  readonly index: IndexWriter;
  readonly progress: ProgressWriter;
}

export class ItemLog {
  /** By partition. */
  private readonly writers = new Map<number, Writers>();

  constructor(
    private readonly store: LogStore,
    private readonly replicas: IndexReplicas,
    /** Identifies this coordinator in the results that it writes. */
    private readonly writer: string,
  ) {}

  writeResult(batchId: string, result: ItemResult): void {
    const {output, ...rest} = result;
    const listed = {...rest, writer: this.writer};
    this.openWriters(batchId).index.writeResult(
      batchId,
      listed,
      Buffer.from(output),
    );
  }

  /** Records that an endpoint answered `attempt`, the id of a run or a reward call, with a failure. */
  writeFailure(kind: FailureKind, job: Job, attempt: string): void {
    const {id: batchId} = job.batch.batch;
    const {id: itemId} = job.item;
    this.openWriters(batchId).index.write({kind, batchId, itemId, attempt});
  }

  /** Writes the events that were added since the last write. */
  writeProgress(job: Job): void {
    const {recordedEvents} = job;
    const isNew = job.transcript.events.length > recordedEvents;
    if (isNew && job.state !== 'finished')
      this.writeText(job, recordedEvents, false);
  }

  /**
   * Marks the text of an item as complete, so that a coordinator that takes over
   * before the score arrives does not generate the text again. The last
   * event is written again if necessary, since the position of a record in the
   * text follows from its events.
   */
  writeCompleteText(job: Job): void {
    const last = job.transcript.events.length - 1;
    this.writeText(job, Math.min(job.recordedEvents, last), true);
  }

  /** Writes the events of a text from index `from` on. */
  private writeText(job: Job, from: number, isWhole: boolean): void {
    const {events} = job.transcript;
    const {id: batchId} = job.batch.batch;
    const afterRun = events[from - 1]?.run;
    this.openWriters(batchId).progress.write({
      batchId,
      itemId: job.item.id,
      ...(afterRun === undefined ? {} : {afterRun}),
      events: events.slice(from),
      ...(isWhole ? {isWhole} : {}),
    });
    job.recordedEvents = events.length;
  }

  private openWriters(batchId: string): Writers {
    const {partition} = this.replicas.locate(batchId);
    let writers = this.writers.get(partition);
    if (!writers) {
      writers = {
        index: new IndexWriter(this.store, partition),
        progress: new ProgressWriter(this.store, partition),
      };
      this.writers.set(partition, writers);
    }
    return writers;
  }
}
