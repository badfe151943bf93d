/**
 * A model of coordinators that take over from each other before a log that
 * stores the record of a failure late, twice, or both. It compares what they give
 * up with the answers that the engine gave.
 */

import {BatchScheduler} from '../batch_scheduler.js';
import type {Batch, FailureRecord, IndexRecord} from '../batch_record.js';
import type {Run} from '../batch_job.js';
import {countEarlierFailures} from '../earlier_batches.js';
import type {ListReason, ScheduleAction} from '../schedule_action.js';
import {
  acceptBatch,
  createBatch,
  createEngine,
  createTerms,
  FixtureLog,
  listResult,
} from './batch_fixtures.js';

/** When the log stores a record, and whether a copy arrives later. */
export type Delivery = 'once' | 'twice' | 'late';

export type CopyCommand =
  | {
      readonly kind: 'end_run';
      readonly end: 'failed' | 'impossible';
      readonly delivery: Delivery;
    }
  /** A VM of a build that stores no ids ran an item, and it failed. */
  | {
      readonly kind: 'old_build_failure';
      readonly item: number;
      readonly delivery: Exclude<Delivery, 'late'>;
    }
  /** One of the records in flight is stored. */
  | {readonly kind: 'arrive'; readonly index: number}
  | {readonly kind: 'take_over'}
  /** The trainer ends the batch and requests its items again. */
  | {readonly kind: 'next_batch'};

export interface CopyOptions {
  /** Whether a copy has an id of its own, as if each record counted. */
  readonly countsCopies: boolean;
}

/** Answers of the engine about one item. */
interface Answers {
  failed: number;
  /** Of `failed`, those to VMs of the earlier build. */
  failedBefore: number;
  impossible: number;
}

export const ATTEMPTS = 3;
export const ITEM_IDS: readonly string[] = ['g0a', 'g0b'];
/** Batches in which an item may use up its attempts. */
const MAX_BATCHES = 3;

export class RecordCopiesModel {
  readonly violations: string[] = [];
  private readonly batches: Batch[] = [];
  private readonly log = new FixtureLog(this.batches);
  /** Records that the log has not stored yet. */
  private readonly inFlight: IndexRecord[] = [];
  private readonly answers = new Map<string, Answers>();
  private terms = 0;
  private nowMs = 0;
  private scheduler = this.createScheduler();
  private runs: Run[] = [];

  constructor(private readonly options: CopyOptions) {
    for (const id of ITEM_IDS) {
      this.answers.set(id, {failed: 0, failedBefore: 0, impossible: 0});
    }
    this.openBatch();
  }

  apply(command: CopyCommand): void {
    this.nowMs += 100;
    switch (command.kind) {
      case 'end_run':
        this.endRun(command.end, command.delivery);
        break;
      case 'old_build_failure':
        this.failAtOldBuild(ITEM_IDS[command.item], command.delivery);
        break;
      case 'arrive':
        this.arrive(command.index);
        break;
      case 'take_over':
        this.takeOver();
        break;
      case 'next_batch':
        this.log.apply({kind: 'ended', batchId: this.batch.id});
        this.scheduler.closeBatch(this.batch.id);
        this.openBatch();
    }
    this.decide();
  }

  /** Number of answers of 500 for an item. */
  countFailed(itemId: string): number {
    return this.answers.get(itemId)!.failed;
  }

  /** Whether the coordinator has counted the same failures as the log, once all records are stored. */
  agreesWithLog(): boolean {
    for (const record of this.inFlight.splice(0)) this.store(record);
    const {items} = this.log.index.get(this.batch.id)!;
    const [open] = this.scheduler.openBatches;
    return [...open.jobs].every(
      ([id, {failedRuns}]) =>
        failedRuns.length === items.get(id)!.failedRuns.length &&
        items.get(id)!.failedRuns.every(run => failedRuns.includes(run)),
    );
  }

  private get batch(): Batch {
    return this.batches.at(-1)!;
  }

  private createScheduler(): BatchScheduler {
    this.terms += 1;
    const runPrefix = `vm.${this.terms}`;
    const scheduler = new BatchScheduler({tokensPerEvent: 1, runPrefix});
    scheduler.setEngines([createEngine('e0')]);
    return scheduler;
  }

  private openBatch(): void {
    const id = `b${this.batches.length}`;
    const batch = createBatch(id, ITEM_IDS, {submittedAtMs: this.nowMs});
    this.batches.push(batch);
    this.log.apply(acceptBatch(batch));
    this.openInScheduler();
    this.decide();
  }

  /** Opens the batch with what the log has of it and of earlier ones. */
  private openInScheduler(): void {
    const entries = [...this.log.index.entries];
    const failed = countEarlierFailures(entries.at(-1)!, entries);
    const terms = createTerms({attempts: ATTEMPTS, giveUpAtMs: Infinity});
    const state = this.log.get(this.batch.id);
    this.scheduler.openBatch(state, terms, {failed});
  }

  private takeOver(): void {
    this.scheduler = this.createScheduler();
    this.runs = [];
    this.openInScheduler();
  }

  private endRun(end: 'failed' | 'impossible', delivery: Delivery): void {
    const run = this.runs.shift();
    if (!run) return;
    const {id: itemId} = run.job.item;
    const {id: batchId} = run.job.batch.batch;
    this.answers.get(itemId)![end] += 1;
    const kind = end === 'failed' ? 'attempt_failed' : 'attempt_impossible';
    this.append({kind, batchId, itemId, attempt: run.id}, delivery);
    this.scheduler.onRunEnd(run, end, this.nowMs);
  }

  private failAtOldBuild(
    itemId: string,
    delivery: Exclude<Delivery, 'late'>,
  ): void {
    const answers = this.answers.get(itemId)!;
    // Such a VM gives the item up itself after its last attempt.
    if (answers.failedBefore + 1 >= ATTEMPTS) return;
    answers.failed += 1;
    answers.failedBefore += 1;
    const batchId = this.batch.id;
    this.append({kind: 'attempt_failed', batchId, itemId}, delivery);
  }

  private append(record: FailureRecord, delivery: Delivery): void {
    if (delivery !== 'late') this.store(record);
    if (delivery !== 'once') this.inFlight.push(this.copy(record));
  }

  private copy(record: FailureRecord): FailureRecord {
    if (!this.options.countsCopies) return record;
    return {...record, attempt: `${record.attempt ?? ''} copy`};
  }

  private arrive(index: number): void {
    if (this.inFlight.length === 0) return;
    const at = index % this.inFlight.length;
    for (const record of this.inFlight.splice(at, 1)) this.store(record);
  }

  /** The coordinator reads each record as soon as it is stored. */
  private store(record: IndexRecord): void {
    const change = this.log.apply(record);
    if (change?.kind === 'failed') {
      this.scheduler.onFailureRecorded(change.failure);
    }
  }

  private decide(): void {
    for (const action of this.scheduler.decide(this.nowMs)) {
      this.perform(action);
    }
  }

  private perform(action: ScheduleAction): void {
    switch (action.kind) {
      case 'start':
        this.runs.push(action.run);
        return;
      case 'stop':
        this.runs = this.runs.filter(run => run !== action.run);
        this.scheduler.onRunEnd(action.run, 'stopped', this.nowMs);
        return;
      case 'list': {
        const {batchId, result, reason} = action;
        this.log.apply(listResult(batchId, result));
        if (!this.isJustified(result.itemId, reason)) {
          this.violations.push(`${result.itemId} errored: ${reason}`);
        }
        return;
      }
      case 'confirm_config':
        return;
    }
  }

  private isJustified(itemId: string, reason: ListReason): boolean {
    const {failed, impossible} = this.answers.get(itemId)!;
    switch (reason) {
      case 'attempts_used_up':
        return failed >= ATTEMPTS;
      case 'impossible':
        return impossible > 0;
      case 'failed_in_earlier_batches':
        return failed >= MAX_BATCHES * ATTEMPTS || impossible >= MAX_BATCHES;
      default:
        return false;
    }
  }
}
