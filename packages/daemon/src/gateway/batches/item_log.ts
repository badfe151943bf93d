/** Writes down what becomes of items while they run, for callers and for whoever takes over. */

import type {Job} from '@radishyoke/core/batches/batch_job';
import type {ItemResult} from '@radishyoke/core/batches/batch_record';
import type {LogStore} from '../store/log_store.js';
import type {IndexReplicas} from './index_replica.js';
import {IndexWriter, ProgressWriter} from './record_writer.js';

type FailureKind = 'attempt_failed' | 'attempt_impossible' | 'reward_failed';

/** Of one partition. */
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
    /** Names the coordinator in the results that it lists. */
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

  /** An endpoint answered that an attempt, or a reward call, failed. */
  writeFailure(kind: FailureKind, job: Job): void {
    const {id: batchId} = job.batch.batch;
    this.openWriters(batchId).index.write({kind, batchId, itemId: job.item.id});
  }

  /** Writes the events that came since the last time. */
  writeProgress(job: Job): void {
    const {recordedEvents} = job;
    const isNew = job.transcript.events.length > recordedEvents;
    if (isNew && job.state !== 'finished')
      this.writeText(job, recordedEvents, false);
  }

  /**
   * A coordinator that takes over while the score is under way must not make
   * the text again. The last event goes along even if it was written before, as
   * it is what the mark stands behind.
   */
  writeCompleteText(job: Job): void {
    const last = job.transcript.events.length - 1;
    this.writeText(job, Math.min(job.recordedEvents, last), true);
  }

  /** Writes the events of a text from the one at `from` on. */
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
