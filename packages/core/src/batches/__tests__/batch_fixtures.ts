/** Fixtures of batches, records and engines for tests. */

import type {OpenBatchTerms, Run} from '../batch_job.js';
import {BatchIndex} from '../batch_index.js';
import type {
  Batch,
  BatchItem,
  IndexRecord,
  ItemResult,
  OutputEvent,
  ProgressRecord,
} from '../batch_record.js';
import {BatchScheduler, type SchedulerConfig} from '../batch_scheduler.js';
import {assembleState, type BatchState, ProgressFold} from '../batch_state.js';
import type {ScheduleAction} from '../schedule_action.js';
import type {EarlierFailures} from '../earlier_batches.js';
import type {EngineView} from '../engine_health.js';

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

/** The state that a coordinator has after reading the given records. */
export class FixtureLog {
  readonly index = new BatchIndex();
  private readonly folds = new Map<string, ProgressFold>();

  constructor(private readonly batches: readonly Batch[]) {}

  apply(record: IndexRecord) {
    return this.index.apply(record);
  }

  applyProgress(record: ProgressRecord): void {
    this.openFold(record.batchId).apply(record);
  }

  get(batchId: string): BatchState {
    const batch = this.batches.find(({id}) => id === batchId)!;
    const {transcripts} = this.openFold(batchId);
    const entry = this.index.get(batchId)!;
    return assembleState(batch, entry, {transcripts, results: new Map()});
  }

  private openFold(batchId: string): ProgressFold {
    const fold = this.folds.get(batchId) ?? new ProgressFold(batchId);
    this.folds.set(batchId, fold);
    return fold;
  }
}

export function acceptBatch(batch: Batch): IndexRecord {
  const {items, ...header} = batch;
  const itemIds = items.map(({id}) => id);
  return {kind: 'accepted', header, itemIds, payload: []};
}

/** Creates the record that lists `result`. */
export function listResult(
  batchId: string,
  {itemId, state, versions, endsStep}: ItemResult,
  offset = 0,
  writer = 'vm',
): IndexRecord {
  const text = [{offset, bytes: 1}];
  const listed = {
    itemId,
    state,
    versions,
    text,
    writer,
    ...(endsStep ? {endsStep} : {}),
  };
  return {kind: 'result', batchId, listed};
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
  readonly log: FixtureLog;
  open(
    batch: Batch,
    terms?: OpenBatchTerms,
    failed?: ReadonlyMap<string, EarlierFailures>,
  ): void;
}

/**
 * Creates a scheduler with engines, and a log that its batches pass through.
 */
export function createSchedule(
  engines: readonly EngineView[],
  extra: Partial<SchedulerConfig> = {},
): ScheduleFixture {
  const cfg = {tokensPerEvent: 1, runPrefix: 'vm', ...extra};
  const scheduler = new BatchScheduler(cfg);
  scheduler.setEngines(engines);
  const batches: Batch[] = [];
  const log = new FixtureLog(batches);
  return {
    scheduler,
    log,
    open(
      batch: Batch,
      terms = createTerms({minVersion: batch.minVersion}),
      failed = new Map(),
    ): void {
      batches.push(batch);
      log.apply(acceptBatch(batch));
      scheduler.openBatch(log.get(batch.id), terms, {failed});
    },
  };
}

/** Returns the runs that `actions` start. */
export function listStarts(actions: readonly ScheduleAction[]): readonly Run[] {
  return actions.flatMap(action =>
    action.kind === 'start' ? [action.run] : [],
  );
}

/** Returns the runs that `actions` stop, with the reasons. */
export function listStops(
  actions: readonly ScheduleAction[],
): ReadonlyArray<readonly [Run, string]> {
  return actions.flatMap(action =>
    action.kind === 'stop' ? [[action.run, action.reason] as const] : [],
  );
}
