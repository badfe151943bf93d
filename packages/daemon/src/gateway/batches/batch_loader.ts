/**
 * Reads the parts of a batch that a coordinator needs and the index does not
 * have: the submission and, if another coordinator has started the batch, the
 * output made so far.
 */

import {
  type IndexedBatch,
  isComplete,
} from '@radishyoke/core/batches/batch_index';
import type {ItemResult} from '@radishyoke/core/batches/batch_record';
import {
  assembleState,
  type BatchState,
  ProgressFold,
} from '@radishyoke/core/batches/batch_state';
import type {Transcript} from '@radishyoke/core/batches/transcript';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import type {EventLogger} from '../../logger.js';
import type {LogStore} from '../store/log_store.js';
import type {IndexReplica, IndexReplicas} from './index_replica.js';
import {decodeProgressRecord} from './batch_codec.js';
import {PROGRESS_TOPIC} from './batch_topics.js';

/** First pause after a failed read, ms; it doubles up to `MAX_RETRY_MS`. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** Batches that are read at the same time, oldest first. With more, all of them would complete late on a slow link. */
const MAX_LOADS = 3;

type Transcripts = ReadonlyMap<string, Transcript>;

/** Selects what to read of a batch. */
export interface LoadOptions {
  /** Whether another coordinator may have run items of the batch, so that its progress must be read. */
  readonly mayHaveProgress: boolean;
  /** Ids of the items whose result texts are read. */
  readonly textsOf: ReadonlySet<string>;
}

export class BatchLoader {
  private running = 0;
  private readonly waiting: Array<() => void> = [];

  constructor(
    private readonly store: LogStore,
    private readonly replicas: IndexReplicas,
    private readonly logger: EventLogger,
  ) {}

  /** Retries until the batch is read; returns undefined if `signal` aborts or the batch completes first. */
  async load(
    entry: IndexedBatch,
    options: LoadOptions,
    signal: AbortSignal,
  ): Promise<BatchState | undefined> {
    const wasComplete = isComplete(entry);
    let retryMs = FIRST_RETRY_MS;
    await this.acquireSlot();
    try {
      while (!signal.aborted && isComplete(entry) === wasComplete) {
        const state = await this.loadOnce(entry, options);
        if (state.ok) return state.value;
        this.logFailure(entry, state.error);
        await sleep(retryMs);
        retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
      }
      return undefined;
    } finally {
      this.running -= 1;
      this.waiting.shift()?.();
    }
  }

  private async loadOnce(
    entry: IndexedBatch,
    {mayHaveProgress, textsOf}: LoadOptions,
  ): Promise<Result<BatchState>> {
    const replica = this.replicas.locate(entry.header.id);
    const batch = await replica.readSubmission(entry);
    if (!batch.ok) return batch;
    const transcripts: Result<Transcripts> = mayHaveProgress
      ? await this.readProgress(entry, replica.partition)
      : succeed(new Map());
    if (!transcripts.ok) return transcripts;
    const results = await readResults(entry, replica, textsOf);
    if (!results.ok) return results;
    return succeed(
      assembleState(batch.value, entry, {
        transcripts: transcripts.value,
        results: results.value,
      }),
    );
  }

  private async readProgress(
    {header}: IndexedBatch,
    partition: number,
  ): Promise<Result<Transcripts>> {
    const fold = new ProgressFold(header.id);
    let nextOffset = 0;
    for (;;) {
      const outcome = await this.store.read(
        PROGRESS_TOPIC,
        partition,
        nextOffset,
        {
          waitMs: 0,
        },
      );
      if (outcome.kind === 'failed') return fail(outcome.error);
      if (outcome.kind === 'expired') {
        nextOffset = Math.max(nextOffset + 1, outcome.firstOffset);
        continue;
      }
      for (const {offset, bytes} of outcome.records) {
        nextOffset = offset + 1;
        this.applyProgress(fold, bytes, {partition, offset});
      }
      const isAtEnd = nextOffset >= outcome.endOffset;
      if (isAtEnd || outcome.records.length === 0) {
        return succeed(fold.transcripts);
      }
    }
  }

  private applyProgress(
    fold: ProgressFold,
    bytes: Uint8Array,
    position: {readonly partition: number; readonly offset: number},
  ): void {
    try {
      fold.apply(decodeProgressRecord(bytes));
    } catch (err) {
      const detail = String(err);
      this.logger.log('error', 'record can not be read and is skipped', {
        ...position,
        detail,
      });
    }
  }

  private async acquireSlot(): Promise<void> {
    if (this.running >= MAX_LOADS) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
    this.running += 1;
  }

  private logFailure({header}: IndexedBatch, error: RadishyokeError): void {
    this.logger.log('warn', 'batch can not be read', {
      batch: header.id,
      detail: error.detail,
    });
  }
}

async function readResults(
  {results}: IndexedBatch,
  replica: IndexReplica,
  textsOf: ReadonlySet<string>,
): Promise<Result<ReadonlyMap<string, ItemResult>>> {
  const requested = results.filter(({itemId}) => textsOf.has(itemId));
  const read = await replica.readTexts(requested);
  if (!read.ok) return read;
  return succeed(new Map(read.value.map(result => [result.itemId, result])));
}
