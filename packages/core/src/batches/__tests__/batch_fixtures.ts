/** Builders of batches, records and engines for tests. */

import type {OpenBatchTerms, Run} from '../batch_job.js';
import {BatchLedger} from '../batch_ledger.js';
import type {
  Batch,
  BatchItem,
  BatchRecord,
  OutputEvent,
} from '../batch_record.js';
import {BatchScheduler} from '../batch_scheduler.js';
import {ResultCache} from '../result_cache.js';
import type {ScheduleAction} from '../schedule_action.js';
import type {EngineView} from '../engine_board.js';

export const MODEL = 'm0';
export const SERVICE = 'llm';

export function createItem(
  id: string,
  extra: Partial<BatchItem> = {},
): BatchItem {
  return {
    id,
    group: id.slice(0, 2),
    path: `/r/${id}`,
    headers: {},
    body: new Uint8Array([1, 2]),
    promptTokens: 100,
    maxOutputTokens: 1000,
    expectedOutputTokens: 10,
    ...extra,
  };
}

export function createBatch(
  id: string,
  itemIds: readonly string[],
  extra: Partial<Batch> = {},
): Batch {
  return {
    id,
    host: 'h',
    path: '/r/x',
    step: 0,
    model: MODEL,
    minVersion: 1,
    groupsWanted: new Set(itemIds.map(item => item.slice(0, 2))).size,
    items: itemIds.map(item => createItem(item)),
    submittedAtMs: 0,
    ...extra,
  };
}

/** A ledger whose records stand one behind the other. */
export class FixtureLedger extends BatchLedger {
  private nextOffset = 0;

  override apply(record: BatchRecord, offset = this.nextOffset) {
    this.nextOffset = offset + 1;
    return super.apply(record, offset);
  }
}

/** Batches stand in the slices as they are. */
export function createLedger(
  batches: readonly Batch[],
  cache = new ResultCache(),
): FixtureLedger {
  return new FixtureLedger(bytes => batches[bytes[0]], cache);
}

/** The records that accept the batch at `index` of those the ledger knows. */
export function acceptBatch(
  batch: Batch,
  index: number,
  submission = `${batch.id}-1`,
): readonly BatchRecord[] {
  const batchId = batch.id;
  return [
    {
      kind: 'slice',
      batchId,
      submission,
      index: 0,
      bytes: new Uint8Array([index]),
    },
    {kind: 'accepted', batchId, submission, slices: 1},
  ];
}

export function createEvent(id: number, run: string, version = 1): OutputEvent {
  return {id, run, version, data: `${id}`};
}

export function createEngine(
  id: string,
  extra: Partial<EngineView> = {},
): EngineView {
  return {
    id,
    service: SERVICE,
    slots: 4,
    kvTokens: 100_000,
    versions: new Map([[MODEL, 1]]),
    loading: new Set(),
    ...extra,
  };
}

export function createTerms(
  extra: Partial<OpenBatchTerms> = {},
): OpenBatchTerms {
  return {
    service: SERVICE,
    attempts: 3,
    minVersion: 1,
    singleVersion: false,
    dueAtMs: 7500,
    giveUpAtMs: 40_000,
    ...extra,
  };
}

export interface ScheduleFixture {
  readonly scheduler: BatchScheduler;
  readonly ledger: FixtureLedger;
  open(batch: Batch, terms?: OpenBatchTerms): void;
}

/** A scheduler with engines, and a ledger that its batches go through. */
export function createSchedule(
  engines: readonly EngineView[],
): ScheduleFixture {
  const scheduler = new BatchScheduler({tokensPerEvent: 1, runPrefix: 'vm'});
  scheduler.setEngines(engines);
  const batches: Batch[] = [];
  const ledger = createLedger(batches);
  return {
    scheduler,
    ledger,
    open(
      batch: Batch,
      terms = createTerms({minVersion: batch.minVersion}),
    ): void {
      batches.push(batch);
      for (const record of acceptBatch(batch, batches.length - 1)) {
        ledger.apply(record);
      }
      scheduler.openBatch(ledger.get(batch.id)!, terms);
    },
  };
}

/** The runs that `actions` start. */
export function listStarts(actions: readonly ScheduleAction[]): readonly Run[] {
  return actions.flatMap(action =>
    action.kind === 'start' ? [action.run] : [],
  );
}

/** The runs that `actions` stop, with the reasons. */
export function listStops(
  actions: readonly ScheduleAction[],
): ReadonlyArray<readonly [Run, string]> {
  return actions.flatMap(action =>
    action.kind === 'stop' ? [[action.run, action.reason] as const] : [],
  );
}
